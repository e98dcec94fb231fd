#include "platform/PlatformStore.h"

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "src/codec/Base64.h"
#include "tests/support/FakeHttpServer.h"
#include "tests/support/RunUntil.h"

using namespace crocuslever;
using namespace crocuslever::testing;
using cell::StoreReply;
using cell::StoreStatus;

BOOST_AUTO_TEST_SUITE(PlatformStoreTest)

/// Sends an answer in pieces, as over a link that is slower than the answer is long.
class SlowAnswer : public std::enable_shared_from_this<SlowAnswer> {
public:
    SlowAnswer(boost::asio::io_context& io, ExchangePtr exchange, const std::string& json, std::size_t pieces, Duration interval)
        : m_timer(io)
        , m_exchange(std::move(exchange))
        , m_json(json)
        , m_pieceBytes(json.size() / pieces + 1)
        , m_interval(interval)
    {
    }

    void send()
    {
        m_exchange->startStream();
        sendPiece();
    }

private:
    void sendPiece()
    {
        if (m_sent >= m_json.size()) {
            m_exchange->endStream();
            return;
        }
        m_exchange->sendPiece(m_json.substr(m_sent, m_pieceBytes));
        m_sent += m_pieceBytes;
        m_timer.expires_after(m_interval);
        m_timer.async_wait([self = shared_from_this()](boost::system::error_code) { self->sendPiece(); });
    }

    boost::asio::steady_timer m_timer;
    ExchangePtr m_exchange;
    std::string m_json;
    std::size_t m_pieceBytes;
    Duration m_interval;
    std::size_t m_sent { 0 };
};

struct StoreFixture {
    StoreFixture()
        : server(io, "127.0.0.1", 0)
        , store(io, server.endpoint(), [this](const cell::CellEvent& event) { reply = std::get<StoreReply>(event); })
    {
    }

    void answerSlowly(const std::string& json, std::size_t pieces, Duration interval)
    {
        server.route("GET", "/-/kv-range", [this, json, pieces, interval](const ExchangePtr& exchange) { std::make_shared<SlowAnswer>(io, exchange, json, pieces, interval)->send(); });
    }

    StoreStatus readDirectory()
    {
        store.execute(cell::StoreList { 1, cell::Listing::Directory, "" });
        BOOST_REQUIRE(runUntil(io, [this] { return reply.has_value(); }));
        return reply->status;
    }

    boost::asio::io_context io;
    FakeHttpServer server;
    std::optional<StoreReply> reply;
    platform::PlatformStore store;
};

static std::string listingOf(const std::string& value)
{
    return R"({"current-rev":7,"has-more":false,"items":[{"key":"op/config","value":")" + encodeBase64(value) + R"(","revision":7}]})";
}

// A listing whose transfer took longer than a store call may take was never read.
BOOST_FIXTURE_TEST_CASE(LargeListingOverASlowLinkIsNeverRead, StoreFixture)
{
    answerSlowly(listingOf(std::string(900000, 'x')), 20, std::chrono::milliseconds(60));
    BOOST_REQUIRE(readDirectory() == StoreStatus::Ok);
    BOOST_TEST(reply->entries.at(0).value.size() == 900000U);
}

// Only a configuration that has changed is transferred.
BOOST_FIXTURE_TEST_CASE(CheckReturnsAChangedConfiguration, StoreFixture)
{
    std::string sent;
    std::string changed = R"({"items":[{"key":"op/config","value":")" + encodeBase64(std::string(900000, 'x')) + R"(","revision":7}]})";
    server.route("POST", "/-/kv-txn", [&sent, changed](const ExchangePtr& exchange) {
        sent = exchange->request().body;
        exchange->reply(412, changed);
    });
    store.execute(cell::ConfigurationCheck { 1, 6 });
    BOOST_REQUIRE(runUntil(io, [this] { return reply.has_value(); }));
    BOOST_TEST((reply->status == StoreStatus::Conflict));
    BOOST_TEST(reply->entries.at(0).modRevision == 7);
    BOOST_TEST(reply->entries.at(0).value.size() == 900000U);
    BOOST_TEST(sent == R"({"deletes":[],"expected":[{"key":"op/config","revision":6}],"writes":[]})");
}

// An answer that stops arriving must not be waited for as long as one that goes on.
BOOST_FIXTURE_TEST_CASE(AnswerThatStallsIsGivenUp, StoreFixture)
{
    answerSlowly(listingOf(std::string(900000, 'x')), 2, std::chrono::seconds(20));
    std::chrono::steady_clock::time_point begin = std::chrono::steady_clock::now();
    BOOST_TEST((readDirectory() == StoreStatus::NoAnswer));
    BOOST_TEST((std::chrono::steady_clock::now() - begin < std::chrono::seconds(5)));
}

// An owner under load has few turns of its event loop, and read 512 bytes of the directory in each.
BOOST_FIXTURE_TEST_CASE(LargeListingTakesManyTurnsOfTheEventLoop, StoreFixture)
{
    constexpr int kMostTurns = 64;
    answerSlowly(listingOf(std::string(200000, 'x')), 1, Duration(0));
    store.execute(cell::StoreList { 1, cell::Listing::Directory, "" });
    int turns = 0;
    while (!reply && turns < 100 * kMostTurns) {
        io.restart();
        turns += static_cast<int>(io.run_one_for(std::chrono::seconds(1)));
    }
    BOOST_REQUIRE(reply.has_value());
    BOOST_TEST(turns <= kMostTurns);
}

// A domain that was taken back and evacuated again within one answer counted as taken back.
BOOST_FIXTURE_TEST_CASE(KeyWrittenAgainAfterItsDeletionIsDeleted, StoreFixture)
{
    const std::string events = R"({"current-rev":9,"events":[
        {"key":"op/evacuate/a","revision":7,"deleted":true},
        {"key":"op/evacuate/a","value":"","revision":8},
        {"key":"op/evacuate/b","value":"","revision":8},
        {"key":"op/evacuate/b","revision":9,"deleted":true}]})";
    server.route("GET", "/-/kv-watch?prefix=q/&after=6", [events](const ExchangePtr& exchange) { exchange->reply(200, events); });
    store.execute(cell::StoreAwait { 1, "q/", 6, std::chrono::milliseconds(100) });
    BOOST_REQUIRE(runUntil(io, [this] { return reply.has_value(); }));
    BOOST_TEST(reply->revision == 9);
    BOOST_TEST(reply->deleted == std::vector<std::string> { "op/evacuate/b" });
}

/// A store that answers lease calls on a thread of its own, also while the client's event loop is in a long turn.
struct LeaseFixture {
    LeaseFixture()
        : server(serverIo, "127.0.0.1", 0)
        , store(io, server.endpoint(), [this](const cell::CellEvent& event) { statuses.push_back(std::get<StoreReply>(event).status); })
    {
        server.route("POST", "/-/kv-keep/", [this](const ExchangePtr& exchange) {
            ++renewals;
            exchange->reply(200, R"({"lease":7})");
        });
        serverThread = std::thread([this] { serverIo.run(); });
    }

    ~LeaseFixture()
    {
        serverIo.stop();
        serverThread.join();
    }

    void renew() { store.execute(cell::LeaseRenew { nextTicket++, 7 }); }

    /// Lets renewals pass as in a loop that has little to do, which is how an instance begins.
    void renewWithoutHurry()
    {
        constexpr std::size_t kCount = 5;
        for (std::size_t n = 1; n <= kCount; ++n) {
            renew();
            BOOST_REQUIRE(runUntil(io, [this, n] { return statuses.size() == n; }));
        }
        io.restart();
        io.run_for(std::chrono::milliseconds(100));
        BOOST_REQUIRE(renewals == static_cast<int>(kCount));
    }

    /// True if the store receives that many renewals within 5 s in which the event loop doesn't run.
    bool arriveWithinTheTurn(int count) const
    {
        std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (renewals < count && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        return renewals == count;
    }

    boost::asio::io_context io;
    boost::asio::io_context serverIo;
    FakeHttpServer server;
    std::atomic<int> renewals { 0 };
    std::vector<StoreStatus> statuses;
    Ticket nextTicket { 1 };
    platform::PlatformStore store;
    std::thread serverThread;
};

// The renewals that an owner sends within a long turn left only after it, when the lease had expired.
BOOST_FIXTURE_TEST_CASE(RenewalWaitsForTheEndOfTheTurn, LeaseFixture)
{
    renewWithoutHurry();
    for (int n = 6; n <= 8; ++n) {
        renew();
        BOOST_TEST(arriveWithinTheTurn(n));
    }
    // The answers are read once the turn ends.
    BOOST_REQUIRE(runUntil(io, [this] { return statuses.size() == 8; }));
    for (StoreStatus status : statuses)
        BOOST_TEST((status == StoreStatus::Ok));
}

// The time limit of a renewal passed within a long turn, though its answer had arrived.
BOOST_FIXTURE_TEST_CASE(RenewalAnsweredWithinALongTurnIsTakenForFailed, LeaseFixture)
{
    renewWithoutHurry();
    renew();
    std::this_thread::sleep_for(std::chrono::milliseconds(1200));
    BOOST_REQUIRE(runUntil(io, [this] { return statuses.size() == 6; }));
    BOOST_TEST((statuses.back() == StoreStatus::Ok));
}

// Closed connections that wait for calls are replaced.
BOOST_FIXTURE_TEST_CASE(RenewalWaitsForTheEndOfTheTurnAfterTheStoreClosedItsConnections, LeaseFixture)
{
    renewWithoutHurry();
    boost::asio::post(serverIo, [this] { server.closeConnections(); });
    for (std::size_t n = 6; n <= 7; ++n) {
        renew();
        BOOST_REQUIRE(runUntil(io, [this, n] { return statuses.size() == n; }));
        io.restart();
        io.run_for(std::chrono::milliseconds(100));
    }
    int before = renewals;
    for (int n = 1; n <= 3; ++n) {
        renew();
        BOOST_TEST(arriveWithinTheTurn(before + n));
    }
}

BOOST_AUTO_TEST_SUITE_END()
