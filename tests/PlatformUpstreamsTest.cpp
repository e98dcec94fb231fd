#include "platform/PlatformUpstreams.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <variant>
#include <vector>

#include "tests/support/FakeHttpServer.h"
#include "tests/support/RunUntil.h"

using namespace crocuslever;
using namespace crocuslever::testing;
using cell::OrderOutcome;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(PlatformUpstreamsTest)

namespace {

static constexpr std::int64_t kBorn = 1000;

/// An upstream that counts the starts it executes, and a client of it.
struct UpstreamFixture {
    UpstreamFixture()
        : server(io, "127.0.0.1", 0)
        , upstreams(io, [this](const cell::CellEvent& event) { record(event); })
    {
        server.route("POST", "/-/hold", [this](const ExchangePtr& exchange) {
            ++polls;
            leases += exchange->request().body.find("until-ms") != std::string::npos;
            if (isFenced)
                exchange->reply(409, R"({"clock-ms":5,"reason":"fence"})");
            else
                exchange->reply(200, R"({"clock-ms":5,"num-running":[],"ended":[],"born":)" + std::to_string(born) + "}");
        });
        server.route("POST", "/-/run-start", [this](const ExchangePtr& exchange) {
            ++starts;
            exchange->reply(200, R"({"clock-ms":5})");
        });
    }

    ~UpstreamFixture() { upstreams.stop(); }

    void record(const cell::CellEvent& event)
    {
        if (const cell::OrderResult* result = std::get_if<cell::OrderResult>(&event))
            outcomes.push_back(result->outcome);
        if (const cell::PollResult* result = std::get_if<cell::PollResult>(&event))
            outcomes.push_back(result->outcome);
    }

    /// The upstream starts again under its id and address; its connections are closed, as a process that ends closes them.
    void restart()
    {
        ++born;
        server.closeConnections();
    }

    void poll(std::int64_t leaseUntilMs)
    {
        cell::UpstreamPoll call;
        call.target = target();
        call.token = 1;
        call.leaseUntilMs = leaseUntilMs;
        upstreams.execute(call);
    }

    OrderOutcome awaitOutcome()
    {
        outcomes.clear();
        BOOST_REQUIRE(runUntil(io, [this] { return !outcomes.empty(); }));
        return outcomes.back();
    }

    cell::UpstreamTarget target() const { return { "u-1", server.endpoint(), kBorn }; }

    void start(int count)
    {
        for (int n = 0; n < count; ++n) {
            cell::RunStart order;
            order.ticket = static_cast<Ticket>(n) + 1;
            order.target = target();
            order.task = "00000000000000a1.0.0." + std::to_string(n);
            order.run = 1;
            order.leaseUntilMs = 5000;
            order.token = 1;
            upstreams.execute(order);
        }
    }

    int count(OrderOutcome outcome) const { return static_cast<int>(std::count(outcomes.begin(), outcomes.end(), outcome)); }

    boost::asio::io_context io;
    FakeHttpServer server;
    platform::PlatformUpstreams upstreams;
    std::vector<OrderOutcome> outcomes; ///< Of orders and polls.
    std::int64_t born { kBorn };
    bool isFenced { false };
    int starts { 0 };
    int polls { 0 };
    int leases { 0 }; ///< Polls that renew the leases.
};

} // namespace

// Starts that waited for a silent upstream were sent when it was back, after their tasks had been started elsewhere.
BOOST_AUTO_TEST_CASE(StartsThatWaitedForASilentUpstreamAreNotSentLater)
{
    constexpr int kStarts = 60;
    UpstreamFixture fixture;
    fixture.server.setFrozen(true);
    fixture.start(kStarts);
    fixture.io.run_for(milliseconds(1600));
    fixture.server.setFrozen(false);
    BOOST_REQUIRE(runUntil(fixture.io, [&] { return fixture.outcomes.size() == kStarts; }));
    BOOST_TEST(fixture.starts == 0);
    BOOST_TEST(fixture.count(OrderOutcome::NotSent) >= kStarts / 2);
}

// An upstream that had started again under its id executed starts that were meant for its former incarnation, with an expiry on
// the former clock: its runs outlasted the lease that a successor of the owner waits for.
BOOST_AUTO_TEST_CASE(NextIncarnationExecutesAStart)
{
    UpstreamFixture fixture;
    fixture.start(1);
    BOOST_TEST((fixture.awaitOutcome() == OrderOutcome::Ok));
    BOOST_TEST(fixture.starts == 1);
    fixture.restart();
    fixture.start(1);
    BOOST_TEST((fixture.awaitOutcome() == OrderOutcome::NotSent));
    BOOST_TEST(fixture.starts == 1);
}

// The same for polls, which renew the leases of all runs.
BOOST_AUTO_TEST_CASE(NextIncarnationTakesALease)
{
    UpstreamFixture fixture;
    fixture.poll(0);
    BOOST_TEST((fixture.awaitOutcome() == OrderOutcome::Ok));
    fixture.poll(5000);
    BOOST_TEST((fixture.awaitOutcome() == OrderOutcome::Ok));
    BOOST_TEST(fixture.leases == 1);
    fixture.restart();
    fixture.poll(5000);
    BOOST_TEST((fixture.awaitOutcome() == OrderOutcome::NotSent));
    BOOST_TEST(fixture.leases == 1);
    // A poll that changes nothing finds the new incarnation.
    fixture.poll(0);
    BOOST_TEST((fixture.awaitOutcome() == OrderOutcome::Ok));
}

// Only a connection's first call needs a greeting, and a poll tells itself who answers.
BOOST_AUTO_TEST_CASE(EachCallIsPrecededByAPoll)
{
    UpstreamFixture fixture;
    for (int n = 0; n < 10; ++n) {
        fixture.start(1);
        BOOST_TEST((fixture.awaitOutcome() == OrderOutcome::Ok));
    }
    BOOST_TEST(fixture.starts == 10);
    BOOST_TEST(fixture.polls == 1);
    fixture.poll(0);
    BOOST_TEST((fixture.awaitOutcome() == OrderOutcome::Ok));
    fixture.poll(5000);
    BOOST_TEST((fixture.awaitOutcome() == OrderOutcome::Ok));
    BOOST_TEST(fixture.polls == 3);
}

// An owner that has been replaced must learn it from its first call, though that isn't sent.
BOOST_AUTO_TEST_CASE(FencedGreetingIsTakenForAnUnreachableUpstream)
{
    UpstreamFixture fixture;
    fixture.isFenced = true;
    fixture.start(1);
    BOOST_TEST((fixture.awaitOutcome() == OrderOutcome::Fenced));
    BOOST_TEST(fixture.starts == 0);
}

BOOST_AUTO_TEST_SUITE_END()
