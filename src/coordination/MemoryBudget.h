// Counts the bytes that a node holds for messages, or for one kind of them, against a limit.
#pragma once

#include <cstddef>
#include <memory>

namespace Ebonystack {

/// Not thread-safe.
class MemoryBudget {
public:
    explicit MemoryBudget(std::size_t limitBytes)
        : m_limit(limitBytes)
    {
    }
    MemoryBudget(const MemoryBudget&) = delete;
    MemoryBudget& operator=(const MemoryBudget&) = delete;

    std::size_t limit() const { return m_limit; }
    std::size_t heldBytes() const { return *m_held; }
    /// Whether the holders together hold more than the limit.
    bool isExceeded() const { return *m_held > m_limit; }

    /// The bytes of one holder, returned to the budget with the object, which may outlive the budget.
    class Reservation {
    public:
        explicit Reservation(MemoryBudget& budget)
            : m_held(budget.m_held)
        {
        }
        ~Reservation() { resize(0); }
        Reservation(const Reservation&) = delete;
        Reservation& operator=(const Reservation&) = delete;

        void resize(std::size_t bytes)
        {
            *m_held = *m_held - m_bytes + bytes;
            m_bytes = bytes;
        }
        std::size_t bytes() const { return m_bytes; }

    private:
        const std::shared_ptr<std::size_t> m_held; // the budget's
        std::size_t m_bytes { 0 };
    };

private:
    const std::size_t m_limit;
    const std::shared_ptr<std::size_t> m_held { std::make_shared<std::size_t>(
        0) }; // the sum of all reservations
};

} // namespace Ebonystack
