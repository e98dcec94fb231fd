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
    }

    cell::UpstreamTarget target() const { return { "u-1", server.endpoint(), kBorn }; }

    void start(int count)
    {
        for (int n = 0; n < count; ++n) {
            cell::RunStart order;
            order.ticket = static_cast<Ticket>(n + 1);
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
    std::vector<OrderOutcome> outcomes;
    int starts { 0 };
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

BOOST_AUTO_TEST_SUITE_END()
