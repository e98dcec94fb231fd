// A cell in overload on the emulator: work whose cost must not grow with the backlog.

#include <boost/test/unit_test.hpp>

#include "src/cell/Commits.h"
#include "src/cell/Jobs.h"
#include "src/cell/Keys.h"
#include "src/cell/StoreCalls.h"
#include "tests/CellFixture.h"

namespace crocuslever::cell::testing {

BOOST_AUTO_TEST_SUITE(CellLoadTest)

/// A cell in which upstreams are no bottleneck.
static EmulatorSettings makeLargeCell()
{
    EmulatorSettings settings;
    settings.upstreams = 40;
    settings.capacity = { 64000, 256000, 0, 0 };
    return settings;
}

static std::int64_t countUnstoredJobs(const CellState& core)
{
    return std::count_if(core.jobs.begin(), core.jobs.end(), [](const auto& item) { return item.second.ended.has_value(); });
}

// Callers did not learn for seconds that their jobs were done, as their ends waited to be stored.
BOOST_AUTO_TEST_CASE(DoneJobsWaitToBeStored)
{
    constexpr int kJobsPerSecond = 100;
    constexpr int kSeconds = 5;
    EmulatorSettings settings = makeLargeCell();
    settings.storeDelay = std::chrono::milliseconds(150);
    CellFixture fixture(settings);
    CellEmulator& emulator = fixture.emulator;
    StepSpec second = makeStep(2, 1000);
    second.after = { 0 };
    std::size_t owner = fixture.owner();
    for (int n = 1; n <= kJobsPerSecond * kSeconds; ++n) {
        emulator.submit(jobId(n), makeJob(makeScript(200 + n % 300), { makeStep(2, 1000), second }), fixture.other());
        emulator.runFor(std::chrono::milliseconds(1000 / kJobsPerSecond));
        BOOST_REQUIRE_LE(countUnstoredJobs(emulator.core(owner)), kJobsPerSecond);
    }
    emulator.runFor(std::chrono::milliseconds(2000));
    for (int n = 1; n <= kJobsPerSecond * kSeconds; ++n)
        BOOST_CHECK(fixture.isIn(n, JobState::Completed, owner));
    fixture.checkRules();
}

// An owner whose event loop was busy read the store's answers late, stored fewer jobs than ended, and was kept even
// busier by the unstored ends that upstreams repeat.
BOOST_AUTO_TEST_CASE(FewerJobsAreStoredThanEndWhileAnswersAreReadLate)
{
    constexpr int kJobsPerSecond = 200;
    constexpr int kSeconds = 5;
    EmulatorSettings settings = makeLargeCell();
    settings.storeDelay = std::chrono::milliseconds(300);
    CellFixture fixture(settings);
    CellEmulator& emulator = fixture.emulator;
    std::size_t owner = fixture.owner();
    for (int n = 1; n <= kJobsPerSecond * kSeconds; ++n) {
        emulator.submit(jobId(n), makeJob(makeScript(200 + n % 300), { makeStep(2, 500) }), fixture.other());
        emulator.runFor(std::chrono::milliseconds(1000 / kJobsPerSecond));
        BOOST_REQUIRE_LE(countUnstoredJobs(emulator.core(owner)), kJobsPerSecond);
    }
    fixture.checkRules();
}

// A store that answers at once must not get a commit for each job.
BOOST_AUTO_TEST_CASE(EachEndedJobIsStoredByACommitOfItsOwn)
{
    constexpr int kJobsPerSecond = 200;
    constexpr int kMostCommitsPerSecond = 60;
    CellFixture fixture(makeLargeCell());
    CellEmulator& emulator = fixture.emulator;
    std::size_t owner = fixture.owner();
    std::int64_t before = emulator.core(owner).counters.get("commits_total");
    constexpr int kSeconds = 5;
    for (int n = 1; n <= kJobsPerSecond * kSeconds; ++n) {
        emulator.submit(jobId(n), makeJob(makeScript(200 + n % 300), { makeStep(1, 500) }), fixture.other());
        emulator.runFor(std::chrono::milliseconds(1000 / kJobsPerSecond));
    }
    std::int64_t commits = emulator.core(owner).counters.get("commits_total") - before;
    BOOST_CHECK_GT(commits, 0);
    BOOST_CHECK_LE(commits, kMostCommitsPerSecond * kSeconds);
}

// While some changes waited to be stored, no end of any job was acknowledged.
BOOST_AUTO_TEST_CASE(EndsStayUnacknowledgedWhileOthersAreStored)
{
    EmulatorSettings settings = makeLargeCell();
    settings.storeDelay = std::chrono::milliseconds(150);
    CellFixture fixture(settings);
    CellEmulator& emulator = fixture.emulator;
    constexpr std::int64_t kMaxPending = 600; ///< Ends of two seconds.
    std::size_t owner = fixture.owner();
    for (int n = 1; n <= 500; ++n) {
        emulator.submit(jobId(n), makeJob(makeScript(200 + n % 300), { makeStep(3, 1000) }), fixture.other());
        emulator.runFor(std::chrono::milliseconds(10));
        std::int64_t pending = 0;
        for (const auto& [id, upstream] : emulator.core(owner).upstreams)
            pending += upstream.lastEnd - upstream.acknowledged;
        BOOST_REQUIRE_LE(pending, kMaxPending);
    }
    fixture.checkRules();
}

// Placement took most of the owner's time while many steps waited, which kept it from all other work.
BOOST_AUTO_TEST_CASE(PlacementTakesTheOwnersTimeInOverload)
{
    EmulatorSettings settings;
    settings.upstreams = 350;
    settings.capacity = { 64000, 256000, 0, 0 };
    settings.largeInstances = 3;
    settings.goodAdvice = 0;
    CellFixture fixture(settings);
    CellEmulator& emulator = fixture.emulator;
    emulator.policy().routes.front().advice = AdviceTiming { std::chrono::milliseconds(9), std::chrono::microseconds(130), std::chrono::milliseconds(2000) };
    emulator.policy().routes.front().targetDuration = std::chrono::seconds(30);
    ++emulator.policy().version;
    emulator.runFor(std::chrono::seconds(1));
    for (int n = 100; n < 400; ++n)
        emulator.submit(jobId(n), makeJob(makeScript(500), { makeStep(3, 20000) }), fixture.other());
    std::int64_t before = emulator.core(fixture.owner()).examinedPairs;
    constexpr int kSeconds = 5;
    emulator.runFor(std::chrono::seconds(kSeconds));
    // A fifth of the processor share of 0.5 cores, at about 40 ns a pair.
    constexpr std::int64_t kMaxPairsPerSecond = 2500000;
    BOOST_CHECK_LE(emulator.core(fixture.owner()).examinedPairs - before, kSeconds * kMaxPairsPerSecond);
    fixture.checkRules();
}

// Upstreams repeat unacknowledged ends in each answer. While the store is down and many ends wait,
// polls have to slow down, or processing the answers would take all of the owner's time.
BOOST_FIXTURE_TEST_CASE(UnstoredEndsAreListedRarely, CellFixture)
{
    constexpr int kTasks = 240;
    constexpr int kSeconds = 3;
    constexpr int kMaxListingsPerSecond = 5; ///< How often one end may be listed.
    for (int n = 1; n <= kTasks / 24; ++n)
        emulator.submit(jobId(n), makeJob(makeScript(50), { makeStep(24, 100) }), other());
    emulator.runFor(std::chrono::milliseconds(20));
    emulator.setStoreDown(true);
    emulator.runFor(std::chrono::seconds(1));
    std::int64_t before = emulator.endsListed();
    emulator.runFor(std::chrono::seconds(kSeconds));
    BOOST_CHECK_LE(emulator.endsListed() - before, kTasks * kSeconds * kMaxListingsPerSecond);
    BOOST_CHECK_GT(emulator.endsListed() - before, kTasks);
    emulator.setStoreDown(false);
    emulator.runFor(std::chrono::seconds(3));
    for (int n = 1; n <= kTasks / 24; ++n)
        BOOST_CHECK(isIn(n, JobState::Completed, other()));
    checkRules();
}

// While commits took long, each end was listed again in several answers before it was stored.
BOOST_AUTO_TEST_CASE(EndsAreListedAgainBeforeTheyCanBeStored)
{
    constexpr int kJobsPerSecond = 100;
    constexpr int kSeconds = 5;
    constexpr int kMostListings = 3; ///< Of one end.
    EmulatorSettings settings;
    settings.upstreams = 200;
    settings.capacity = { 64000, 256000, 0, 0 };
    settings.storeDelay = std::chrono::milliseconds(300);
    CellFixture fixture(settings);
    CellEmulator& emulator = fixture.emulator;
    for (int n = 1; n <= kJobsPerSecond * kSeconds; ++n) {
        emulator.submit(jobId(n), makeJob(makeScript(200 + n % 300), { makeStep(2, 30000) }), fixture.other());
        emulator.runFor(std::chrono::milliseconds(1000 / kJobsPerSecond));
    }
    emulator.runFor(std::chrono::seconds(2));
    std::int64_t ends = static_cast<std::int64_t>(emulator.history().size());
    BOOST_CHECK_GE(ends, 2 * kJobsPerSecond * kSeconds);
    BOOST_CHECK_LE(emulator.endsListed(), kMostListings * ends);
    fixture.checkRules();
}

/// An owner whose commits are answered by the test.
struct CommittingOwner {
    CommittingOwner()
        : state({}, {})
    {
        state.ownership.phase = OwnerPhase::Deciding;
    }

    void change(const std::string& id)
    {
        JobRow& job = state.jobs[id];
        job.record.id = id;
        markDirty(state, job);
    }

    /// Returns the ticket of the commit that is due; 0: none.
    Ticket commit()
    {
        now.steady += std::chrono::milliseconds(20);
        CellActions actions;
        tickCommits(state, now, actions);
        return actions.empty() ? 0 : std::get<StoreChange>(actions.front()).ticket;
    }

    void answer(Ticket ticket, StoreStatus status)
    {
        CellActions actions;
        StoreReply reply;
        reply.ticket = ticket;
        reply.status = status;
        completeStoreCall(state, reply, now, actions);
    }

    Instant now { TimePoint(std::chrono::seconds(1000)), 0 };
    CellState state;
};

// A job whose commit had failed waited for its lane, while a lane before it took all turns.
BOOST_AUTO_TEST_CASE(JobOfAFailedCommitWaitsWhileOthersAreStored)
{
    CommittingOwner owner;
    owner.change("a");
    Ticket first = owner.commit();
    owner.change("b");
    Ticket second = owner.commit();
    owner.answer(second, StoreStatus::Refused);
    owner.answer(first, StoreStatus::Ok);
    constexpr int kTurns = 20;
    for (int n = 0; n < kTurns; ++n) {
        owner.change("c" + std::to_string(n));
        Ticket ticket = owner.commit();
        BOOST_REQUIRE(ticket != 0);
        owner.answer(ticket, StoreStatus::Ok);
    }
    BOOST_TEST(owner.state.jobs.at("b").stored >= owner.state.jobs.at("b").changed);
}

// A late commit would undo a newer one that had used another lane.
BOOST_AUTO_TEST_CASE(JobChangesItsLaneWhileItsCommitMayStillBeApplied)
{
    CommittingOwner owner;
    owner.change("a");
    Ticket lost = owner.commit();
    owner.change("a");
    BOOST_TEST(owner.commit() == 0U);
    owner.answer(lost, StoreStatus::NoAnswer);
    owner.now.steady += std::chrono::seconds(1);
    owner.change("b");
    CellActions actions;
    tickCommits(owner.state, owner.now, actions);
    const StoreChange& retry = std::get<StoreChange>(actions.front());
    auto writes = [&retry](const std::string& key) {
        return std::any_of(retry.puts.begin(), retry.puts.end(), [&key](const StorePut& it) { return it.key == key; });
    };
    BOOST_TEST(writes(commitKey(0)));
    BOOST_TEST(writes(progressKey("a")));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace crocuslever::cell::testing
