#include "src/store/StoreClient.h"

#include <boost/test/unit_test.hpp>
#include <map>

#include "tests/support/FakeStore.h"
#include "tests/support/RunUntil.h"

using namespace crocuslever;
using namespace crocuslever::testing;

BOOST_AUTO_TEST_SUITE(StoreClientTest)

// An endpoint at which nothing listens: port 1 is reserved and never assigned automatically.
static const std::string kClosedEndpoint = "127.0.0.1:1";

/// Collects the events that the client reports, by type.
struct Reports {
    std::map<Ticket, StoreTransactionResult> transactions;
    std::map<Ticket, StoreRangeResult> ranges;
    std::map<Ticket, StoreLeaseResult> leases;
    std::vector<StoreWatchEvents> watchEvents;
    int watchesLost { 0 };

    void add(const Event& event)
    {
        if (auto it = std::get_if<StoreTransactionResult>(&event))
            transactions[it->ticket] = *it;
        else if (auto it = std::get_if<StoreRangeResult>(&event))
            ranges[it->ticket] = *it;
        else if (auto it = std::get_if<StoreLeaseResult>(&event))
            leases[it->ticket] = *it;
        else if (auto it = std::get_if<StoreWatchEvents>(&event))
            watchEvents.push_back(*it);
        else if (std::holds_alternative<StoreWatchLost>(event))
            ++watchesLost;
    }
};

struct Fixture {
    Fixture()
        : store(io, "127.0.0.1", 0)
    {
        settings.endpoints = { store.endpoint() };
    }

    StoreClient& client()
    {
        if (!opened)
            opened = std::make_unique<StoreClient>(io, settings, [this](const Event& event) { reports.add(event); });
        return *opened;
    }

    StoreTransactionResult transact(StoreTransaction transaction)
    {
        transaction.ticket = nextTicket++;
        client().execute(transaction);
        BOOST_TEST_REQUIRE(runUntil(io, [&] { return reports.transactions.count(transaction.ticket) == 1; }));
        return reports.transactions[transaction.ticket];
    }

    StoreTransactionResult put(const std::string& key, const std::string& value)
    {
        StoreTransaction transaction;
        transaction.puts.push_back({ key, value, 0 });
        return transact(transaction);
    }

    /// Retries unknown outcomes as the core does: on a busy machine a call with a short timeout can
    /// fail although the store is healthy.
    void putUntilCommitted(const std::string& key, const std::string& value)
    {
        StoreOutcome outcome = StoreOutcome::Unknown;
        for (int i = 0; i < 100 && outcome == StoreOutcome::Unknown; ++i)
            outcome = put(key, value).outcome;
        BOOST_TEST((outcome == StoreOutcome::Committed));
    }

    StoreRangeResult range(const std::string& prefix)
    {
        Ticket ticket = nextTicket++;
        client().execute(StoreRange { ticket, prefix });
        BOOST_TEST_REQUIRE(runUntil(io, [&] { return reports.ranges.count(ticket) == 1; }));
        return reports.ranges[ticket];
    }

    template <typename Command>
    StoreLeaseResult lease(Command command)
    {
        command.ticket = nextTicket++;
        client().execute(command);
        BOOST_TEST_REQUIRE(runUntil(io, [&] { return reports.leases.count(command.ticket) == 1; }));
        return reports.leases[command.ticket];
    }

    void openWatch(StoreRevision from)
    {
        client().execute(StoreWatch { "/w/", from });
        BOOST_TEST_REQUIRE(runUntil(io, [&] { return store.watchCount() == 1; }));
    }

    std::vector<std::string> watchedValues() const
    {
        std::vector<std::string> values;
        for (const StoreWatchEvents& events : reports.watchEvents) {
            for (const StoreEntry& entry : events.puts)
                values.push_back(entry.value);
            for (const std::string& key : events.deletes)
                values.push_back("-" + key);
        }
        return values;
    }

    boost::asio::io_context io;
    FakeStore store;
    StoreClientSettings settings;
    Reports reports;
    std::unique_ptr<StoreClient> opened;
    Ticket nextTicket { 1 };
};

static StoreTransaction createOnly(const std::string& key, const std::string& value)
{
    StoreTransaction transaction;
    transaction.compares.push_back({ key, 0 });
    transaction.puts.push_back({ key, value, 0 });
    transaction.readOnConflict.push_back(key);
    return transaction;
}

static void directPut(FakeStore& store, const std::string& key, const std::string& value)
{
    ModelOperation operation { ModelOperationKind::Put, key, "", value };
    BOOST_TEST_REQUIRE(store.model().transact({ {}, { operation }, {} }).has_value());
    store.notifyWatches();
}

BOOST_FIXTURE_TEST_CASE(CommitReturnsItsRevision, Fixture)
{
    StoreTransactionResult result = transact(createOnly("/a", std::string("\0\xff bytes", 8)));
    BOOST_TEST((result.outcome == StoreOutcome::Committed));
    StoreRangeResult read = range("/a");
    BOOST_TEST_REQUIRE(read.entries.size() == 1U);
    BOOST_TEST(read.ok);
    BOOST_TEST(read.entries[0].value == std::string("\0\xff bytes", 8));
    BOOST_TEST(read.entries[0].modRevision == result.revision);
}

BOOST_FIXTURE_TEST_CASE(ConflictReturnsTheStoredEntries, Fixture)
{
    StoreTransactionResult first = transact(createOnly("/a", "1"));
    StoreTransaction transaction = createOnly("/a", "2");
    transaction.readOnConflict.push_back("/missing");
    StoreTransactionResult second = transact(transaction);
    BOOST_TEST((second.outcome == StoreOutcome::Conflict));
    BOOST_TEST_REQUIRE(second.read.size() == 1U);
    BOOST_TEST((second.read[0] == StoreEntry { "/a", "1", first.revision }));
}

BOOST_FIXTURE_TEST_CASE(ValuesAreComparedAndKeysDeleted, Fixture)
{
    put("/a", "1");
    StoreTransaction transaction;
    transaction.valueCompares.push_back({ "/a", "other" });
    transaction.deletes.push_back("/a");
    BOOST_TEST((transact(transaction).outcome == StoreOutcome::Conflict));
    BOOST_TEST(range("/a").entries.size() == 1U);
    transaction.valueCompares[0].value = "1";
    BOOST_TEST((transact(transaction).outcome == StoreOutcome::Committed));
    BOOST_TEST(range("/a").entries.empty());
}

BOOST_FIXTURE_TEST_CASE(LostAnswerIsUnknownAlthoughTheWriteTookEffect, Fixture)
{
    store.dropAnswers(1);
    BOOST_TEST((transact(createOnly("/a", "1")).outcome == StoreOutcome::Unknown));
    StoreTransactionResult again = transact(createOnly("/a", "1"));
    BOOST_TEST((again.outcome == StoreOutcome::Conflict));
    BOOST_TEST(again.read.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(AnErrorAnswerIsUnknown, Fixture)
{
    StoreTransaction transaction;
    transaction.puts = { { "/a", "1", 0 }, { "/a", "2", 0 } };
    BOOST_TEST((transact(transaction).outcome == StoreOutcome::Unknown));
}

BOOST_FIXTURE_TEST_CASE(FrozenStoreTimesOutAsUnknown, Fixture)
{
    settings.timeout = std::chrono::milliseconds(100);
    putUntilCommitted("/a", "1");
    store.setFrozen(true);
    BOOST_TEST((put("/a", "2").outcome == StoreOutcome::Unknown));
    BOOST_TEST(!range("/a").ok);
    BOOST_TEST(!lease(StoreLeaseGrant { 0, 4 }).ok);
}

BOOST_FIXTURE_TEST_CASE(TheClientRecoversAfterATimeout, Fixture)
{
    settings.timeout = std::chrono::milliseconds(200);
    store.setFrozen(true);
    BOOST_TEST((put("/a", "1").outcome == StoreOutcome::Unknown));
    store.setFrozen(false);
    putUntilCommitted("/a", "2");
}

BOOST_FIXTURE_TEST_CASE(AnotherEndpointIsTriedWhenOneIsDown, Fixture)
{
    settings.endpoints = { kClosedEndpoint, store.endpoint() };
    BOOST_TEST((put("/a", "1").outcome == StoreOutcome::Committed));
    BOOST_TEST(lease(StoreLeaseGrant { 0, 4 }).ok);
    openWatch(0);
}

BOOST_FIXTURE_TEST_CASE(UnreachableStoreIsUnknown, Fixture)
{
    settings.endpoints = { kClosedEndpoint };
    BOOST_TEST((put("/a", "1").outcome == StoreOutcome::Unknown));
    BOOST_TEST(!range("/").ok);
    BOOST_TEST(!lease(StoreLeaseKeepAlive { 0, 1000 }).ok);
}

BOOST_FIXTURE_TEST_CASE(InvalidEndpointIsUnknown, Fixture)
{
    settings.endpoints = { "no address" };
    BOOST_TEST((put("/a", "1").outcome == StoreOutcome::Unknown));
}

BOOST_FIXTURE_TEST_CASE(RangeOfManyPagesIsReadAtOneRevision, Fixture)
{
    constexpr int kKeys = 1234;
    for (int i = 0; i < kKeys; ++i)
        directPut(store, "/r/" + std::to_string(i), std::to_string(i));
    directPut(store, "/s", "outside");
    StoreRevision revision = store.model().revision();
    client().execute(StoreRange { 900, "/r/" });
    std::uint64_t callsBefore = store.calls();
    BOOST_TEST_REQUIRE(runUntil(io, [&] { return store.calls() > callsBefore; }));
    // The write happens after the first page was read.
    directPut(store, "/r/zzz", "late");
    BOOST_TEST_REQUIRE(runUntil(io, [&] { return reports.ranges.count(900) == 1; }));
    BOOST_TEST(reports.ranges[900].ok);
    BOOST_TEST(reports.ranges[900].entries.size() == static_cast<std::size_t>(kKeys));
    BOOST_TEST(reports.ranges[900].revision == revision);
}

BOOST_FIXTURE_TEST_CASE(AnEmptyRangeIsRead, Fixture)
{
    StoreRangeResult read = range("/none/");
    BOOST_TEST(read.ok);
    BOOST_TEST(read.entries.empty());
    BOOST_TEST(read.revision == store.model().revision());
}

BOOST_FIXTURE_TEST_CASE(LeasesAreGrantedRenewedAndReportedExpired, Fixture)
{
    StoreLeaseResult granted = lease(StoreLeaseGrant { 0, 60 });
    BOOST_TEST(granted.ok);
    BOOST_TEST(granted.lease != 0);
    StoreLeaseResult renewed = lease(StoreLeaseKeepAlive { 0, granted.lease });
    BOOST_TEST(renewed.ok);
    BOOST_TEST(!renewed.expired);
    BOOST_TEST((renewed.sentAt >= granted.sentAt));
    client().execute(StoreLeaseRevoke { granted.lease });
    BOOST_TEST_REQUIRE(runUntil(io, [&] { return lease(StoreLeaseKeepAlive { 0, granted.lease }).expired; }));
    BOOST_TEST(lease(StoreLeaseKeepAlive { 0, granted.lease }).lease == granted.lease);
}

BOOST_FIXTURE_TEST_CASE(AWatchReportsEachRevisionInOrder, Fixture)
{
    put("/w/a", "0");
    openWatch(store.model().revision() + 1);
    put("/w/a", "1");
    put("/elsewhere", "x");
    StoreTransaction removal;
    removal.deletes.push_back("/w/a");
    transact(removal);
    put("/w/a", "2");
    BOOST_TEST_REQUIRE(runUntil(io, [&] { return reports.watchEvents.size() == 3; }));
    std::vector<std::string> expected { "1", "-/w/a", "2" };
    BOOST_TEST(watchedValues() == expected, boost::test_tools::per_element());
    for (std::size_t i = 1; i < reports.watchEvents.size(); ++i)
        BOOST_TEST(reports.watchEvents[i - 1].revision < reports.watchEvents[i].revision);
}

BOOST_FIXTURE_TEST_CASE(WatchResumesAfterDisconnectsWithoutLossOrDuplicates, Fixture)
{
    openWatch(1);
    std::vector<std::string> expected;
    for (int i = 0; i < 40; ++i) {
        directPut(store, "/w/k", std::to_string(i));
        expected.push_back(std::to_string(i));
        if (i % 10 == 5)
            store.breakWatches();
        if (i % 10 == 9)
            BOOST_TEST_REQUIRE(runUntil(io, [&] { return watchedValues().size() == expected.size(); }));
    }
    BOOST_TEST(watchedValues() == expected, boost::test_tools::per_element());
    BOOST_TEST(reports.watchesLost == 0);
}

BOOST_FIXTURE_TEST_CASE(SilentWatchIsReopened, Fixture)
{
    settings.watchSilenceTimeout = std::chrono::milliseconds(50);
    settings.timeout = std::chrono::milliseconds(200);
    openWatch(0);
    store.setFrozen(true);
    std::uint64_t callsBefore = client().calls();
    BOOST_TEST_REQUIRE(runUntil(io, [&] { return client().calls() > callsBefore; }));
    directPut(store, "/w/k", "1");
    store.setFrozen(false);
    BOOST_TEST_REQUIRE(runUntil(io, [&] { return !reports.watchEvents.empty(); }));
    BOOST_TEST(watchedValues().front() == "1");
}

BOOST_FIXTURE_TEST_CASE(WatchBehindCompactionIsLost, Fixture)
{
    openWatch(store.model().revision() + 1);
    store.breakWatches();
    for (int i = 0; i < 10; ++i)
        directPut(store, "/w/k", std::to_string(i));
    store.model().compact(store.model().revision());
    BOOST_TEST_REQUIRE(runUntil(io, [&] { return reports.watchesLost == 1; }));
    BOOST_TEST(reports.watchEvents.empty());
}

BOOST_FIXTURE_TEST_CASE(WatchOnAStoreRestoredToAnOlderRevisionIsLost, Fixture)
{
    client().execute(StoreWatch { "/w/", store.model().revision() + 100 });
    BOOST_TEST_REQUIRE(runUntil(io, [&] { return reports.watchesLost == 1; }));
}

BOOST_FIXTURE_TEST_CASE(ASecondWatchReplacesTheFirst, Fixture)
{
    openWatch(0);
    client().execute(StoreWatch { "/v/", 0 });
    BOOST_TEST_REQUIRE(runUntil(io, [&] { return store.calls() == 2; }));
    directPut(store, "/w/k", "old");
    directPut(store, "/v/k", "new");
    BOOST_TEST_REQUIRE(runUntil(io, [&] { return !reports.watchEvents.empty(); }));
    BOOST_TEST(watchedValues().front() == "new");
}

BOOST_FIXTURE_TEST_CASE(NothingIsReportedAfterAStop, Fixture)
{
    StoreTransaction transaction = createOnly("/a", "1");
    client().execute(transaction);
    openWatch(0);
    client().execute(StoreRange { 5, "/" });
    client().stop();
    std::size_t transactions = reports.transactions.size();
    directPut(store, "/w/k", "1");
    for (int i = 0; i < 100; ++i) {
        io.restart();
        io.poll();
    }
    BOOST_TEST(reports.ranges.empty());
    BOOST_TEST(reports.watchEvents.empty());
    BOOST_TEST(reports.transactions.size() == transactions);
}

BOOST_FIXTURE_TEST_CASE(CallCountMatchesTheStore, Fixture)
{
    put("/a", "1");
    range("/");
    lease(StoreLeaseGrant { 0, 60 });
    openWatch(0);
    BOOST_TEST(client().calls() == 4U);
    BOOST_TEST(store.calls() == 4U);
}

BOOST_AUTO_TEST_SUITE_END()
