// Changes of the cell's owner on the emulator, and outages of the store.

#include <boost/test/unit_test.hpp>

#include "src/cell/Entry.h"
#include "src/cell/Jobs.h"
#include "src/cell/Keys.h"
#include "src/cell/Ownership.h"
#include "src/cell/RecordCodec.h"
#include "tests/CellFixture.h"
#include "tests/StoreCallsFixture.h"

namespace crocuslever::cell::testing {

BOOST_AUTO_TEST_SUITE(CellOwnershipTest)

// After a change of owner, run ends are reported in any order and some repeatedly. Each failed run must
// still count as exactly one attempt.
BOOST_AUTO_TEST_CASE(AttemptsAreCountedOnceAcrossOwnerChange)
{
    forEachSeed(12, [&](std::uint64_t seed) {
        EmulatorSettings settings;
        settings.seed = seed;
        CellFixture fixture(settings);
        // The owner receives run ends that it cannot store.
        for (int n = 1; n <= 10; ++n)
            fixture.emulator.submit(jobId(n), makeJob(makeScript(150, n % 2 == 0 ? 2 : 99), { makeStep(1, 1000) }), fixture.owner());
        fixture.emulator.runFor(std::chrono::milliseconds(100 + 40 * static_cast<std::int64_t>(seed)));
        std::size_t former = fixture.owner();
        fixture.emulator.setStoreDown(true);
        fixture.emulator.runFor(std::chrono::milliseconds(400));
        fixture.emulator.kill(former);
        fixture.emulator.setStoreDown(false);
        BOOST_REQUIRE(fixture.emulator.runUntil(std::chrono::seconds(6), [&] { return fixture.emulator.owner().has_value(); }));
        for (int n = 1; n <= 10; ++n)
            BOOST_CHECK(fixture.waitFor(n, n % 2 == 0 ? JobState::Completed : JobState::Failed, std::chrono::seconds(20), fixture.owner()));
        for (int n = 1; n <= 10; ++n)
            BOOST_CHECK_EQUAL(fixture.startsOf(n), 3);
        fixture.checkRules();
    });
}

BOOST_FIXTURE_TEST_CASE(RunsContinueAcrossOwnerChange, CellFixture)
{
    for (int n = 1; n <= 4; ++n)
        emulator.submit(jobId(n), makeJob(makeScript(6000), { makeStep(4, 1000) }), other());
    emulator.runFor(std::chrono::seconds(1));
    emulator.restart(owner());
    BOOST_REQUIRE(emulator.runUntil(std::chrono::seconds(5), [&] { return emulator.owner().has_value(); }));
    for (int n = 1; n <= 4; ++n) {
        BOOST_CHECK(waitFor(n, JobState::Completed, std::chrono::seconds(12), owner()));
        BOOST_CHECK_EQUAL(startsOf(n), 4);
    }
    checkRules();
}

// Small instances must let larger ones acquire the cell, and acquire it if the larger ones are gone.
BOOST_AUTO_TEST_CASE(LargerInstanceBecomesOwner)
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        EmulatorSettings settings;
        settings.instances = 9;
        settings.largeInstances = 2;
        settings.seed = seed;
        CellFixture fixture(settings);
        CellEmulator& emulator = fixture.emulator;
        std::size_t first = *emulator.owner();
        emulator.restart(first);
        emulator.runFor(std::chrono::milliseconds(1000));
        BOOST_CHECK_LT(fixture.owner(), 2u);
        emulator.kill(0);
        emulator.kill(1);
        BOOST_CHECK(emulator.runUntil(std::chrono::milliseconds(3500), [&] { return emulator.owner().has_value(); }));
    }
}

// After all leases had lapsed, or all processes were killed, a small instance acquired the cell and was overloaded.
BOOST_AUTO_TEST_CASE(SmallInstanceOwnsCellAfterOutage)
{
    forEachSeed(12, [&](std::uint64_t seed) {
        EmulatorSettings settings;
        settings.instances = 9;
        settings.largeInstances = 1;
        settings.seed = seed;
        CellFixture fixture(settings);
        CellEmulator& emulator = fixture.emulator;
        BOOST_REQUIRE_EQUAL(fixture.owner(), 0u);
        emulator.setStoreDown(true);
        emulator.runFor(std::chrono::seconds(5));
        emulator.setStoreDown(false);
        emulator.runFor(std::chrono::seconds(3));
        BOOST_CHECK_EQUAL(fixture.owner(), 0u);
        for (std::size_t n = 0; n < 9; ++n)
            emulator.kill(n);
        emulator.runFor(std::chrono::seconds(2));
        for (std::size_t n = 9; n-- > 0;)
            emulator.restart(n);
        emulator.runFor(std::chrono::seconds(3));
        BOOST_CHECK_EQUAL(fixture.owner(), 0u);
    });
}

// A small instance that had acquired the cell while the larger ones were away kept it, and was overloaded.
BOOST_AUTO_TEST_CASE(SmallInstanceKeepsCellAfterLargerOnesReturn)
{
    forEachSeed(6, [&](std::uint64_t seed) {
        EmulatorSettings settings;
        settings.instances = 9;
        settings.largeInstances = 2;
        settings.seed = seed;
        CellFixture fixture(settings);
        CellEmulator& emulator = fixture.emulator;
        emulator.kill(0);
        emulator.kill(1);
        BOOST_REQUIRE(emulator.runUntil(std::chrono::seconds(6), [&] { return emulator.owner().has_value(); }));
        BOOST_REQUIRE_GE(fixture.owner(), 2u);
        constexpr int kJobs = 10;
        for (int n = 1; n <= kJobs; ++n)
            emulator.submit(jobId(n), makeJob(makeScript(3000), { makeStep(2, 1000) }), 8);
        emulator.runFor(std::chrono::seconds(1));
        emulator.restart(0);
        emulator.runFor(std::chrono::seconds(6));
        BOOST_CHECK_EQUAL(fixture.owner(), 0u);
        for (int n = 1; n <= kJobs; ++n) {
            BOOST_CHECK(fixture.waitFor(n, JobState::Completed, std::chrono::seconds(3), 8));
            BOOST_CHECK_EQUAL(fixture.startsOf(n), 2);
        }
        fixture.checkRules();
    });
}

// All processes are restarted at once. The cell must get an owner before the lease of the previous
// incarnation expires.
BOOST_FIXTURE_TEST_CASE(RestartedOwnerIsReplacedBeforeLeaseExpiry, CellFixture)
{
    for (std::size_t n = 0; n < 3; ++n)
        emulator.restart(n);
    emulator.submit(jobId(1), makeJob(makeScript(100), { makeStep(1, 1000) }), 0);
    BOOST_CHECK(emulator.runUntil(std::chrono::milliseconds(700), [&] { return emulator.owner().has_value(); }));
    emulator.submit(jobId(2), makeJob(makeScript(100), { makeStep(1, 1000) }), 0);
    BOOST_CHECK(waitFor(2, JobState::Completed, std::chrono::seconds(1), owner()));
    checkRules();
}

// The store refuses the calls of one instance, the owner, and serves the others.
BOOST_FIXTURE_TEST_CASE(InstanceRejectedByStoreRelaysThroughPeer, CellFixture)
{
    std::size_t former = owner();
    emulator.cutFromStore(former, true);
    emulator.runFor(std::chrono::milliseconds(700));
    for (int n = 1; n <= 10; ++n) {
        emulator.submit(jobId(n), makeJob(makeScript(300), { makeStep(2, 1000) }), n % 2 == 0 ? former : other());
        emulator.runFor(std::chrono::milliseconds(500));
    }
    for (int n = 1; n <= 10; ++n) {
        BOOST_CHECK(emulator.jobs().at(jobId(n)).submitted == EntryOutcome::Accepted);
        BOOST_CHECK(waitFor(n, JobState::Completed, std::chrono::seconds(2), former));
    }
    BOOST_CHECK_EQUAL(owner(), former);
    emulator.cutFromStore(former, false);
    emulator.runFor(std::chrono::seconds(2));
    BOOST_CHECK(!emulator.core(former).relay.isOn);
    checkRules();
}

// The store does not answer the owner, so its watch delivers no new jobs. Notices from peers must.
BOOST_FIXTURE_TEST_CASE(OwnerWithoutStoreGetsJobsFromPeers, CellFixture)
{
    std::size_t former = owner();
    emulator.blackholeStore(former, true);
    for (int n = 1; n <= 4; ++n) {
        emulator.submit(jobId(n), makeJob(makeScript(100), { makeStep(2, 1000) }), other());
        emulator.runFor(std::chrono::milliseconds(50));
        BOOST_CHECK_EQUAL(startsOf(n), 2);
    }
    emulator.submit(jobId(5), makeJob(makeScript(60000), { makeStep(2, 1000) }), other());
    emulator.runFor(std::chrono::milliseconds(50));
    emulator.cancel(jobId(5), other());
    emulator.runFor(std::chrono::milliseconds(400));
    for (const RunRecord& run : emulator.history())
        BOOST_CHECK(run.to < emulator.now());
    emulator.blackholeStore(former, false);
    emulator.runFor(std::chrono::seconds(2));
    for (int n = 1; n <= 4; ++n)
        BOOST_CHECK(isIn(n, JobState::Completed, other()));
    checkRules();
}

// A queue notice is delivered again after its job has ended, and after the owner was restarted. It must
// not start the job again.
BOOST_FIXTURE_TEST_CASE(DelayedQueueNoticeStartsNothing, CellFixture)
{
    emulator.keepLastFrame(true);
    emulator.submit(jobId(1), makeJob(makeScript(100), { makeStep(1, 1000) }), other());
    emulator.runFor(std::chrono::milliseconds(40));
    emulator.keepLastFrame(false);
    BOOST_CHECK(waitFor(1, JobState::Completed, std::chrono::seconds(2), owner()));
    std::size_t former = owner();
    for (int incarnation = 0; incarnation < 2; ++incarnation) {
        emulator.repeatLastFrame(former);
        emulator.runFor(std::chrono::seconds(1));
        BOOST_CHECK_EQUAL(startsOf(1), 1);
        emulator.restart(former);
        BOOST_REQUIRE(emulator.runUntil(std::chrono::seconds(5), [&] { return emulator.owner() == former; }));
    }
    emulator.repeatLastFrame(former);
    emulator.runFor(std::chrono::seconds(2));
    BOOST_CHECK_EQUAL(startsOf(1), 1);
}

// The owner's watch passed a stored job that the store had not delivered, and the notice of it was lost.
BOOST_FIXTURE_TEST_CASE(JobIsSkippedByAnAnswerWithoutIt, CellFixture)
{
    emulator.setWatchesDeaf(true);
    emulator.setFramesLost(true);
    emulator.submit(jobId(1), makeJob(makeScript(200), { makeStep(1, 1000) }), other());
    emulator.runFor(std::chrono::milliseconds(2400));
    BOOST_REQUIRE_EQUAL(startsOf(1), 0);
    emulator.setFramesLost(false);
    emulator.forgetHistory();
    emulator.setWatchesDeaf(false);
    BOOST_CHECK(emulator.runUntil(std::chrono::seconds(3), [this] { return startsOf(1) == 1; }));
}

/// The core of instance "i0", which owns the cell with token 4, and its first store calls.
struct OwnerFixture : StoreCallsFixture {
    OwnerFixture()
        : StoreCallsFixture("i0", 120)
    {
        state.ownership.phase = OwnerPhase::Deciding;
        state.ownership.token = 4;
        state.membership.ownerInstance = "i0";
        runTick();
    }
};

// A former owner started jobs that its watch had told it of, and their owner started them as well.
BOOST_FIXTURE_TEST_CASE(FormerOwnerStartsJobsOfItsSuccessor, OwnerFixture)
{
    JobRecord job { jobId(1), "route", "team", now.wallMs, makeJob(makeScript(500), { makeStep(1, 1000) }) };
    answer(watch, { { kQueueEpochKey, "5", 30 }, { jobKey(job.id), encodeJob(job), 31 } });
    BOOST_CHECK(state.jobs.empty());
    BOOST_CHECK(state.ownership.phase == OwnerPhase::None);
}

// A former owner that knew of its successor took the cell back, as a late listing named it as the owner.
BOOST_FIXTURE_TEST_CASE(FormerOwnerTakesTheCellBackByALateListing, OwnerFixture)
{
    answer(watch, { { kQueueEpochKey, "5", 30 } });
    BOOST_CHECK(state.ownership.phase == OwnerPhase::None);
    OwnerRecord former { "i0", "", "i0-1", 4, 0 };
    answer(listing, { { kEpochKey, "4", 20 }, { kOwnerKey, encodeOwner(former), 20 } });
    BOOST_CHECK(state.ownership.phase == OwnerPhase::None);
}

// A former owner that renewed its lease, and saw nothing else of the store, gave orders after a takeover.
BOOST_FIXTURE_TEST_CASE(FormerOwnerGivesOrdersAfterATakeover, OwnerFixture)
{
    OwnerRecord owner { "i0", "", "i0-1", 4, 0 };
    answer(listing, { { kEpochKey, "4", 20 }, { kOwnerKey, encodeOwner(owner), 20 } });
    state.membership.renewal.at = now.steady;
    BOOST_CHECK(mayIssueOrders(state, now.steady));
    now.steady += state.settings.ownerLeaseTimeout;
    state.membership.renewal.at = now.steady;
    BOOST_CHECK(!mayIssueOrders(state, now.steady));
}

// A small owner was too overloaded to notice that larger instances were back, and none of them acted.
BOOST_AUTO_TEST_CASE(LargerInstanceLeavesCellToOverloadedOwner)
{
    StoreCallsFixture larger("i1", 500);
    larger.state.membership.registered = true;
    larger.state.configuration.value = std::make_shared<const FleetPolicy>();
    OwnerRecord owner { "i0", "i0", "i0-1", 4, 0 };
    std::vector<StoreEntry> listing { { kEpochKey, "4", 20 }, { kOwnerKey, encodeOwner(owner), 20 } };
    listing.push_back({ kInstancePrefix + std::string("i0"), encodeInstance({ "i0", "i0-1", 120, "" }), 10 });
    listing.push_back({ kInstancePrefix + std::string("i1"), encodeInstance({ "i1", "i1-1", 500, "" }), 30 });
    larger.runTick();
    larger.answer(larger.listing, listing);
    larger.runTick();
    BOOST_CHECK(larger.state.ownership.phase == OwnerPhase::None);
    larger.now.steady += std::chrono::seconds(1);
    larger.runTick();
    larger.answer(larger.listing, listing);
    larger.runTick();
    BOOST_CHECK(larger.state.ownership.phase == OwnerPhase::Acquiring);
}

// A successor started a gang under the run number of a run that had ended on an upstream that was gone.
BOOST_FIXTURE_TEST_CASE(SuccessorUsesARunNumberAgain, CellFixture)
{
    StepSpec gang = makeStep(2, 1000);
    gang.gang = true;
    emulator.submit(jobId(1), makeJob(makeScript(3000), { gang }), other());
    emulator.runFor(std::chrono::seconds(1));
    emulator.kill(owner());
    for (const std::string& id : emulator.upstreamIds())
        emulator.crashUpstream(id);
    BOOST_CHECK(waitFor(1, JobState::Completed, std::chrono::seconds(20), owner()));
    std::set<std::pair<std::string, int>> numbers;
    for (const RunRecord& run : emulator.history())
        BOOST_CHECK_MESSAGE(numbers.emplace(run.task, run.run).second, run.task << " was started again as run " << run.run);
    BOOST_CHECK_EQUAL(startsOf(1), 4);
    checkRules();
}

// Jobs waited for the lease of a former owner that was known to have restarted.
BOOST_FIXTURE_TEST_CASE(JobsWaitForARestartedOwner, CellFixture)
{
    emulator.runFor(CellSettings {}.ownerLeaseTimeout);
    StepSpec second = makeStep(1, 1000);
    second.after = { 0 };
    emulator.submit(jobId(1), makeJob(makeScript(2500), { makeStep(1, 1000), second }), other());
    emulator.runFor(std::chrono::seconds(1));
    std::size_t former = owner();
    auto isFirst = [](const RunRecord& run) { return parseTaskKey(run.task)->job == jobId(1); };
    std::string running = std::find_if(emulator.history().begin(), emulator.history().end(), isFirst)->upstream;
    std::vector<std::string> ids = emulator.upstreamIds();
    std::string unreachable = *std::find_if(ids.begin(), ids.end(), [&running](const std::string& id) { return id != running; });
    emulator.cutUpstream(unreachable, true);
    emulator.kill(former);
    BOOST_REQUIRE(emulator.runUntil(std::chrono::seconds(6), [&] { return emulator.owner().has_value(); }));
    emulator.restart(former);
    TimePoint restartedAt = emulator.now();
    BOOST_CHECK(emulator.runUntil(std::chrono::seconds(20), [&] { return startsOf(1) == 2; }));
    constexpr Duration kMaxWait = std::chrono::milliseconds(6000); ///< Lease of a run, and the time to learn of the restart.
    BOOST_CHECK(emulator.now() - restartedAt <= kMaxWait);
    checkRules();
}

BOOST_FIXTURE_TEST_CASE(RunsGoOnWhileTheStoreIsDown, CellFixture)
{
    emulator.submit(jobId(1), makeJob(makeScript(2000), { makeStep(4, 1000) }), other());
    emulator.runFor(std::chrono::seconds(1));
    emulator.setStoreDown(true);
    emulator.runFor(std::chrono::milliseconds(4500));
    // The runs have ended, but callers are told so only when that is stored.
    auto isDone = [](const RunRecord& run) { return run.how == RunEnd::Done; };
    BOOST_CHECK_EQUAL(std::count_if(emulator.history().begin(), emulator.history().end(), isDone), 4);
    BOOST_CHECK(isIn(1, JobState::Running, owner()));
    emulator.submit(jobId(2), makeJob(makeScript(100), { makeStep(1, 1000) }), other());
    emulator.runFor(std::chrono::seconds(1));
    BOOST_CHECK(emulator.jobs().at(jobId(2)).submitted == EntryOutcome::Refused);
    emulator.setStoreDown(false);
    emulator.runFor(std::chrono::seconds(3));
    BOOST_CHECK(isIn(1, JobState::Completed, other()));
    BOOST_CHECK_EQUAL(startsOf(1), 4);
    BOOST_CHECK_EQUAL(startsOf(2), 0);
    checkRules();
}

// A failure domain with the owner and the upstreams fails right after a job's last run has ended. A job
// once shown as completed must not start again.
BOOST_AUTO_TEST_CASE(CompletedStateSurvivesLossOfOwnerAndUpstream)
{
    for (int ms = 0; ms < 40; ms += 2) {
        CellFixture fixture;
        CellEmulator& emulator = fixture.emulator;
        emulator.submit(jobId(1), makeJob(makeScript(300), { makeStep(1, 1000) }), fixture.other());
        // Runs that end just before keep the group commit busy.
        for (int n = 2; n <= 8; ++n)
            emulator.submit(jobId(n), makeJob(makeScript(300 - 4 * n), { makeStep(1, 100) }), fixture.other());
        auto isOver = [](const RunRecord& run) { return parseTaskKey(run.task)->job == jobId(1) && run.how.has_value(); };
        BOOST_REQUIRE(emulator.runUntil(std::chrono::seconds(2), [&] { return std::any_of(emulator.history().begin(), emulator.history().end(), isOver); }));
        emulator.runFor(fromMilliseconds(ms));
        std::size_t former = fixture.owner();
        std::optional<JobState> shown = lookUpJob(emulator.core(former), jobId(1));
        emulator.kill(former);
        for (const std::string& id : emulator.upstreamIds())
            emulator.crashUpstream(id);
        emulator.runFor(std::chrono::seconds(12));
        BOOST_CHECK_MESSAGE(shown != JobState::Completed || fixture.startsOf(1) == 1, "started again after " << ms << " ms");
        BOOST_CHECK(fixture.isIn(1, JobState::Completed, fixture.owner()));
    }
}

/// Runs a job to its end while the store is away.
static void endWithoutStore(CellFixture& fixture, bool isDraining, bool isCut)
{
    CellEmulator& emulator = fixture.emulator;
    emulator.submit(jobId(1), makeJob(makeScript(1500), { makeStep(1, 1000) }), fixture.other());
    emulator.runFor(std::chrono::milliseconds(500));
    std::string upstream = emulator.history().at(0).upstream;
    emulator.drainUpstream(upstream, isDraining);
    emulator.runFor(std::chrono::milliseconds(600));
    emulator.setStoreDown(true);
    emulator.runFor(std::chrono::milliseconds(1500));
    emulator.cutUpstream(upstream, isCut);
    emulator.runFor(std::chrono::milliseconds(1500));
}

// An end that only the owner and its upstream knew was shown, and the job ran again after both had gone.
BOOST_AUTO_TEST_CASE(JobIsShownAsCompletedBeforeItsEndIsStored)
{
    for (bool isDraining : { false, true }) {
        for (bool isCut : { false, true }) {
            CellFixture fixture;
            std::size_t owner = fixture.owner();
            endWithoutStore(fixture, isDraining, isCut);
            BOOST_CHECK(fixture.isIn(1, JobState::Running, owner));
            BOOST_CHECK(!fixture.isIn(1, JobState::Completed, (owner + 1) % 3));
            fixture.emulator.setStoreDown(false);
            BOOST_CHECK(fixture.waitFor(1, JobState::Completed, std::chrono::seconds(3), owner));
            BOOST_CHECK_EQUAL(fixture.startsOf(1), 1);
        }
    }
}

// The same, with what follows: callers were shown the end, and the next owner started the job again.
BOOST_AUTO_TEST_CASE(CompletedJobRunsAgainAfterAnOutageInWhichItsUpstreamCrashes)
{
    CellFixture fixture;
    CellEmulator& emulator = fixture.emulator;
    std::size_t former = fixture.owner();
    endWithoutStore(fixture, false, false);
    bool wasShown = fixture.isIn(1, JobState::Completed, former) || fixture.isIn(1, JobState::Completed, (former + 1) % 3);
    emulator.crashUpstream(emulator.history().at(0).upstream);
    emulator.kill(former);
    emulator.setStoreDown(false);
    BOOST_CHECK(fixture.waitFor(1, JobState::Completed, std::chrono::seconds(25), fixture.owner()));
    BOOST_CHECK_EQUAL(fixture.startsOf(1), 2);
    BOOST_CHECK_MESSAGE(!wasShown, "the job was shown as completed and ran again");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace crocuslever::cell::testing
