// Connections to the port of links that never send a complete frame: a long frame before the hello, and
// several nodes with long frames at once. The links end, the memory held stays bounded, and other links work.
#include "support/LinksFixture.h"
#include "transport/LinkInput.h"
#include "transport/SystemClock.h"

#include <doctest/doctest.h>
#include <malloc.h>

using namespace Ebonystack;
using namespace Ebonystack::Testing;

namespace {

constexpr std::size_t maxInputBytes = 1 << 20;

/// The length prefix of a frame whose content never arrives completely.
std::string frameStart(std::uint32_t length)
{
    std::string prefix;
    for (int shift = 24; shift >= 0; shift -= 8)
        prefix += static_cast<char>(length >> shift & 0xff);
    return prefix;
}

} // namespace

TEST_CASE("a connection that begins with a long frame instead of a hello is closed at once")
{
    LinksFixture fixture(maxInputBytes);
    const auto stream = fixture.connect();
    stream->write(frameStart(100000));
    CHECK(Testing::runUntil(fixture.io, [&] { return fixture.ended == 1; }));
}

TEST_CASE("of several links with long incomplete frames the longest are ended, and others work")
{
    LinksFixture fixture(maxInputBytes);
    std::vector<std::shared_ptr<ByteStream>> streams;
    for (int i = 0; i < 4; ++i) {
        streams.push_back(fixture.connectAs("10.0.0." + std::to_string(i)));
        streams.back()->write(frameStart(1000000) + std::string(700000, 'x'));
    }
    CHECK(Testing::runUntil(fixture.io, [&] { return fixture.ended == 3; }));
    CHECK(fixture.events.lostOrigins == 3);
    const auto sound = fixture.connectAs("10.0.0.9");
    sound->write(encodeFrame(LinkHeartbeat {}));
    CHECK(Testing::runUntil(fixture.io, [&] { return fixture.events.heartbeats == 1; }));
}

// Guards against requests of other callers being lost with a link that is ended for want of memory.
TEST_CASE("of several long requests on links, those without memory are answered, and their links go on")
{
    LinksFixture fixture(maxInputBytes);
    HopRequest request;
    request.body = std::string(500'000, 'x'); // there is memory for one
    std::vector<std::shared_ptr<ByteStream>> streams;
    std::vector<std::string> rests;
    for (int i = 0; i < 4; ++i) {
        request.number = static_cast<std::uint64_t>(i) + 1;
        const std::string frame = encodeFrame(request);
        streams.push_back(fixture.connectAs("10.0.0." + std::to_string(i)));
        streams.back()->write(frame.substr(0, 300'000));
        rests.push_back(frame.substr(300'000));
    }
    CHECK(Testing::runUntil(fixture.io, [&] { return fixture.events.refused.size() == 3; }));
    CHECK(fixture.admission.budget().heldBytes() <= maxInputBytes);
    CHECK(fixture.admission.refusals(MemoryUse::PeerRequest) == 3);
    for (int i = 0; i < 4; ++i)
        streams[i]->write(rests[i] + encodeFrame(LinkHeartbeat {}));
    CHECK(Testing::runUntil(
        fixture.io, [&] { return fixture.events.heartbeats == 4 && fixture.events.requests.size() == 1; }));
    CHECK(fixture.ended == 0);
    REQUIRE(fixture.events.requests.size() == 1);
    CHECK(fixture.events.requests[0].body == request.body);
    CHECK(fixture.admission.budget().heldBytes() > request.body.size()); // held by the body
    fixture.events.requests.clear();
    CHECK(fixture.admission.budget().heldBytes() == 0);
}

// Guards against a response without memory holding up the others on its link, or ending it.
TEST_CASE("a long response without memory waits for it, then is given up, and its link goes on")
{
    LinksFixture fixture(maxInputBytes);
    CountingEvents events;
    MemoryAdmission admission(maxInputBytes);
    PeerLinks entry { fixture.io, fixture.log, events, { { "127.0.0.2" }, 5 }, fixture.acceptor.port(),
        admission };
    const VmId upstream { "127.0.0.1" };
    entry.setPeers({ upstream });
    entry.tick(monotonicNow());
    REQUIRE(Testing::runUntil(fixture.io, [&] { return entry.isUp(upstream); }));
    std::optional<MemoryBudget::Reservation> others(admission.budget());
    others->resize(maxInputBytes / 2);
    HopResponse response;
    response.body = std::string(maxInputBytes * 3 / 4, 'x');
    const HopOrigin origin { { "127.0.0.2" }, 5 };
    const auto reply = [&](std::uint64_t number) {
        response.number = number;
        fixture.links.reply(origin, response);
        HopResponse next;
        next.number = number + 1;
        fixture.links.reply(origin, next);
    };
    reply(1);
    CHECK(Testing::runUntil(fixture.io, [&] {
        entry.tick(monotonicNow());
        return events.responses.size() == 1;
    }));
    CHECK(events.discarded == std::vector<std::uint64_t> { 1 });
    CHECK(events.responses[0].number == 2);
    reply(3);
    const Instant soon = monotonicNow() + std::chrono::milliseconds(50);
    CHECK(Testing::runUntil(fixture.io, [&] { return monotonicNow() > soon; }));
    others.reset();
    CHECK(Testing::runUntil(fixture.io, [&] {
        entry.tick(monotonicNow());
        return events.responses.size() == 3;
    }));
    CHECK(events.discarded.size() == 1);
    CHECK(entry.isUp(upstream));
}

// Guards against a second response being given up early, for the pause of the one before.
TEST_CASE("each response without memory has a pause of its own, which is no silence of the peer")
{
    LinksFixture fixture(maxInputBytes);
    CountingEvents events;
    MemoryAdmission admission(maxInputBytes);
    PeerLinks entry { fixture.io, fixture.log, events, { { "127.0.0.2" }, 5 }, fixture.acceptor.port(),
        admission };
    const VmId upstream { "127.0.0.1" };
    entry.setPeers({ upstream });
    entry.tick(monotonicNow());
    REQUIRE(Testing::runUntil(fixture.io, [&] { return entry.isUp(upstream); }));
    MemoryBudget::Reservation others(admission.budget());
    others.resize(maxInputBytes);
    HopResponse response;
    response.body = std::string(20'000, 'x');
    for (response.number = 1; response.number <= 2; ++response.number)
        fixture.links.reply({ { "127.0.0.2" }, 5 }, response);
    const auto runFor = [&](std::chrono::milliseconds time, bool ticks) {
        const Instant until = monotonicNow() + time;
        Testing::runUntil(fixture.io, [&] {
            if (ticks)
                entry.tick(monotonicNow());
            return monotonicNow() > until;
        });
    };
    runFor(std::chrono::milliseconds(200), true);
    others.resize(maxInputBytes - 30'000); // room for one
    runFor(std::chrono::milliseconds(200), true);
    CHECK(events.responses.size() == 1);
    CHECK(events.discarded.empty());
    runFor(std::chrono::milliseconds(2000), false); // the node stands still
    others.resize(0);
    entry.tick(monotonicNow());
    CHECK(Testing::runUntil(fixture.io, [&] { return events.responses.size() == 2; }));
    CHECK(events.discarded.empty());
    CHECK(entry.isUp(upstream));
}

// Guards against links, and the requests on them, being lost at full memory with the news of the store.
TEST_CASE("control frames are received while there is no memory for requests and responses")
{
    LinksFixture fixture(maxInputBytes);
    MemoryBudget::Reservation others(fixture.admission.budget());
    others.resize(maxInputBytes);
    const auto stream = fixture.connectAs("10.0.0.2");
    StoreChangesPush push;
    push.update.items.push_back({ "key", 7, std::string(40'000, 'x') });
    HopResume resume;
    resume.numbers.assign(20'000, 70'000);
    stream->write(encodeFrame(push) + encodeFrame(resume) + encodeFrame(LinkHeartbeat {}));
    CHECK(Testing::runUntil(fixture.io, [&] { return fixture.events.heartbeats == 1; }));
    CHECK(fixture.events.lostOrigins == 0);
}

// Guards against memory that is held and counted nowhere: a lost link's incomplete frame, a short one's
// buffer.
TEST_CASE("the buffers of a link are as long as what is counted of them")
{
    MemoryAdmission admission(std::size_t { 256 } << 20);
    LinkInput input(admission);
    const auto allocated = [] {
        const auto info = ::mallinfo2();
        return info.uordblks + info.hblkhd;
    };
    const std::size_t before = allocated();
    HopRequest request;
    request.body = std::string(std::size_t { 8 } << 20, 'x');
    input.append(std::string_view(encodeFrame(request)).substr(0, 6 << 20));
    CHECK(std::holds_alternative<LinkInput::Incomplete>(input.next(maxFrameBytes)));
    input.clear();
    CHECK(allocated() < before + request.body.size() + (1 << 20));

    request.body = std::string(20'000, 'x');
    const std::string frame = encodeFrame(request);
    std::vector<LinkInput::Next> requests;
    const std::size_t base = allocated();
    for (int i = 0; i < 200; ++i) {
        input.append(frame);
        requests.push_back(input.next(maxFrameBytes));
    }
    CHECK(allocated() - base < admission.budget().heldBytes() * 3 / 2);
}

TEST_CASE("a frame that exceeds the other node's limit is not sent, and the link stays up")
{
    LinksFixture fixture(maxInputBytes);
    CountingEvents events;
    MemoryAdmission senderAdmission(maxInputBytes * 4);
    PeerLinks sender { fixture.io, fixture.log, events, { { "127.0.0.2" }, 5 }, fixture.acceptor.port(),
        senderAdmission };
    const VmId receiver { "127.0.0.1" };
    sender.setPeers({ receiver });
    sender.tick(monotonicNow());
    REQUIRE(Testing::runUntil(fixture.io, [&] { return sender.isUp(receiver); }));
    HopRequest request;
    request.body = std::string(maxInputBytes / 2, 'x');
    CHECK(sender.send(receiver, request));
    request.body = std::string(maxInputBytes * 2, 'x');
    CHECK_FALSE(sender.send(receiver, request));
    CHECK_FALSE(Testing::runUntil(fixture.io, [&] { return !sender.isUp(receiver); }));
}
