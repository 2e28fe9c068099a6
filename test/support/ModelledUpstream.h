// A model of an upstream and of the connections from the node beside it, in virtual time. The connections
// are kept and reused as in UpstreamConnectionPool; the upstream rejects requests, repeats rejections late,
// closes connections and stays silent at random, and counts how often it has begun to run each request.
#pragma once

#include "coordination/CarriedRequests.h"
#include "lab/SimulationClock.h"
#include "state/RandomSource.h"
#include "transport/UpstreamTransport.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Ebonystack::Testing {

/// Shares of the requests, in percent, that the upstream does not run and answer.
struct UpstreamFaults {
    std::uint64_t rejected { 0 };
    std::uint64_t repeatedLate { 0 }; ///< of the rejections
    std::uint64_t lost { 0 }; ///< the connection is closed, half of them after the run
    std::uint64_t silent { 0 }; ///< not run
    std::uint64_t failed { 0 }; ///< run, with a server error

    auto operator<=>(const UpstreamFaults&) const = default;
};

class ModelledUpstream {
public:
    struct Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;

    /// The connections of one process of the node beside the upstream.
    class Pool : public UpstreamTransport, public std::enable_shared_from_this<Pool> {
    public:
        explicit Pool(ModelledUpstream& upstream)
            : m_upstream(upstream)
        {
        }

        ExchangeId send(UpstreamRequest request, Callback done) override
        {
            const ExchangeId exchange = m_nextExchange++;
            ConnectionPtr connection = takeIdle(request.id);
            const bool isNew = !connection;
            if (isNew) {
                connection = std::make_shared<Connection>();
                connection->pool = weak_from_this();
                m_open.push_back(connection);
            }
            connection->carried.add(request.id);
            connection->exchange = exchange;
            connection->request = std::move(request);
            connection->done = std::move(done);
            m_upstream.m_clock.after(
                transitTime, [&to = m_upstream, weak = weak_from_this(), connection, exchange] {
                    if (const auto alive = weak.lock();
                        alive && to.m_isDown && connection->exchange == exchange)
                        return alive->finish(connection, { UpstreamResult::Kind::NotConnected }, false);
                    to.receive(connection, exchange);
                });
            return exchange;
        }

        void abort(ExchangeId exchange) override
        {
            for (const ConnectionPtr& connection : std::vector(m_open)) {
                if (connection->exchange == exchange)
                    drop(connection);
            }
        }

        void respond(const ConnectionPtr& connection, const std::string& id, HttpResponse response)
        {
            if (connection->exchange == 0)
                return drop(connection);
            if (id != connection->request.id) {
                connection->hadStrayResponse = true;
                return;
            }
            response.head.fields.add("X-Id", id);
            finish(connection, { UpstreamResult::Kind::Responded, std::move(response) },
                !connection->hadStrayResponse);
        }

        void end(const ConnectionPtr& connection)
        {
            if (connection->exchange == 0)
                return drop(connection);
            finish(connection, { UpstreamResult::Kind::Lost, {}, true, connection->isReused }, false);
        }

        void endAll()
        {
            for (const ConnectionPtr& connection : std::vector(m_open))
                end(connection);
        }

    private:
        ConnectionPtr takeIdle(const std::string& id)
        {
            for (std::size_t i = m_idle.size(); i-- > 0;) {
                if (m_idle[i]->carried.mayContain(id))
                    continue;
                ConnectionPtr connection = m_idle[i];
                m_idle.erase(m_idle.begin() + static_cast<std::ptrdiff_t>(i));
                return connection;
            }
            return nullptr;
        }

        void finish(const ConnectionPtr& connection, UpstreamResult result, bool reusable)
        {
            const Callback done = std::exchange(connection->done, nullptr);
            connection->exchange = 0;
            connection->isReused = true;
            if (reusable)
                m_idle.push_back(connection);
            else
                drop(connection);
            done(std::move(result));
        }

        void drop(const ConnectionPtr& connection)
        {
            connection->exchange = 0;
            connection->done = nullptr;
            connection->isOpen = false;
            std::erase(m_idle, connection);
            std::erase(m_open, connection);
        }

        ModelledUpstream& m_upstream;
        std::vector<ConnectionPtr> m_open;
        std::vector<ConnectionPtr> m_idle; // the most recently used last
        ExchangeId m_nextExchange { 1 };
    };

    struct Connection {
        std::weak_ptr<Pool> pool;
        CarriedRequests carried;
        UpstreamRequest request;
        UpstreamTransport::Callback done;
        ExchangeId exchange { 0 }; // 0: idle
        bool isOpen { true };
        bool isReused { false };
        bool hadStrayResponse { false };
        std::vector<std::string> lateRejections; // ids; sent where the next response is expected
    };

    ModelledUpstream(SimulationClock& clock, RandomSource& random)
        : m_clock(clock)
        , m_random(random)
    {
    }

    void setFaults(const UpstreamFaults& faults) { m_faults = faults; }
    /// While it is down, the upstream accepts no connections.
    void setDown(bool down) { m_isDown = down; }
    /// How often the upstream has begun to run each request, by id.
    const std::map<std::string, int>& runs() const { return m_runs; }

private:
    static constexpr Duration transitTime = std::chrono::milliseconds(1);

    bool occurs(std::uint64_t percent) { return m_random.below(100) < percent; }

    void receive(const ConnectionPtr& connection, ExchangeId exchange)
    {
        if (!connection->isOpen && occurs(50))
            return; // closed before the request was read
        const std::string id = connection->request.id;
        for (const std::string& late : std::exchange(connection->lateRejections, {}))
            respond(connection, late, 503, true);
        if (occurs(m_faults.rejected)) {
            if (occurs(m_faults.repeatedLate))
                connection->lateRejections.push_back(id);
            return respond(connection, id, 503, true);
        }
        if (occurs(m_faults.silent))
            return;
        const bool isLost = occurs(m_faults.lost);
        if (isLost && occurs(50))
            return end(connection);
        ++m_runs[id];
        const std::uint16_t status = !occurs(m_faults.failed) ? 200 : occurs(50) ? 500 : 503;
        const Duration serviceTime = std::chrono::milliseconds(5 + m_random.below(occurs(10) ? 3000 : 300));
        m_clock.after(serviceTime, [connection, exchange, id, status, isLost] {
            if (connection->exchange != exchange)
                return; // aborted, or taken for rejected
            if (isLost)
                end(connection);
            else
                respond(connection, id, status, false);
        });
    }

    static void respond(
        const ConnectionPtr& connection, const std::string& id, std::uint16_t status, bool notRun)
    {
        const auto pool = connection->pool.lock();
        if (!pool || !connection->isOpen)
            return;
        HttpResponse response;
        response.head.status = status;
        response.head.fields.add(notRun ? "X-Not-Run" : "X-Seal", "1");
        pool->respond(connection, id, std::move(response));
    }

    static void end(const ConnectionPtr& connection)
    {
        const auto pool = connection->pool.lock();
        if (pool && connection->isOpen)
            pool->end(connection);
    }

    SimulationClock& m_clock;
    RandomSource& m_random;
    UpstreamFaults m_faults;
    bool m_isDown { false };
    std::map<std::string, int> m_runs;
};

} // namespace Ebonystack::Testing
