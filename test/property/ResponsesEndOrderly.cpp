// A response without a length is complete only after an orderly end of its connection, in whichever order the
// node meets its bytes, an error on write and the end on read.
#include "support/RawUpstream.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace Ebonystack;
using namespace Ebonystack::Testing;

namespace {

/// One action of the upstream, after which the node handles some events.
struct Step {
    std::size_t sentBytes;
    std::size_t readBytes; // of the request
    int nodeHandlers;
};

enum class Ending { Orderly, Reset, OrderlyThenReset };

rc::Gen<Step> genStep()
{
    return rc::gen::build<Step>(rc::gen::set(&Step::sentBytes, rc::gen::inRange<std::size_t>(0, 3000)),
        rc::gen::set(&Step::readBytes, rc::gen::elementOf(std::vector<std::size_t> { 1, 5000, 400'000 })),
        rc::gen::set(&Step::nodeHandlers, rc::gen::inRange(0, 6)));
}

} // namespace

TEST_CASE("property: a response without a length is complete only after an orderly end")
{
    const bool holds = rc::check([] {
        RawUpstream upstream(*rc::gen::elementOf(std::vector<std::size_t> { 0, 100'000, 8'000'000 }));
        const auto steps = *rc::gen::container<std::vector<Step>>(*rc::gen::inRange(1, 6), genStep());
        const Ending ending = *rc::gen::element(Ending::Orderly, Ending::Reset, Ending::OrderlyThenReset);
        const int handlersBetweenEnds = *rc::gen::inRange(0, 6);
        upstream.send("HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n");
        std::string body;
        for (const Step& step : steps) {
            const std::string part(step.sentBytes, static_cast<char>('a' + body.size() % 26));
            upstream.send(part);
            body += part;
            upstream.read(step.readBytes);
            upstream.runNode(step.nodeHandlers);
        }
        if (ending != Ending::Reset)
            upstream.endOrderly();
        upstream.runNode(handlersBetweenEnds);
        if (ending != Ending::Orderly)
            upstream.reset();
        RC_ASSERT(upstream.awaitResult());
        const bool isComplete = upstream.result->kind == UpstreamResult::Kind::Responded;
        if (ending == Ending::Orderly)
            RC_ASSERT(isComplete);
        if (ending == Ending::Reset)
            RC_ASSERT(!isComplete);
        if (isComplete)
            RC_ASSERT(upstream.result->response.body == body);
    });
    CHECK(holds);
}
