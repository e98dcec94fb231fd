// Tasks that crash the upstreams on which they start, in a cell on the emulator.

#include "tests/CellFixture.h"

using namespace crocuslever;
using namespace crocuslever::cell;
using namespace crocuslever::cell::testing;

BOOST_AUTO_TEST_SUITE(CellCrashTest)

/// Starts of a task that crashes each upstream: three, and two more.
static constexpr int kMostStarts = 5;

static TaskScript deadlyScript()
{
    TaskScript script = makeScript(5000);
    script.isDeadly = true;
    return script;
}

static EmulatorSettings makeSettings(std::uint64_t seed, Duration crashTime)
{
    EmulatorSettings settings;
    settings.upstreams = 12;
    settings.seed = seed;
    settings.crashTime = crashTime;
    return settings;
}

/// Crashed upstreams come back before and after the leases of their runs have expired.
static const std::vector<Duration> kCrashTimes { std::chrono::seconds(1), std::chrono::milliseconds(3500), std::chrono::seconds(8) };

// A task was started on one upstream after the other and crashed them all.
BOOST_AUTO_TEST_CASE(DeadlyTaskCrashesOneUpstreamAfterTheOther)
{
    for (Duration crashTime : kCrashTimes) {
        for (std::uint64_t seed = 1; seed <= 4; ++seed) {
            BOOST_TEST_CONTEXT("seed " << seed << ", back after " << toMilliseconds(crashTime) << " ms")
            {
                CellFixture cell(makeSettings(seed, crashTime));
                cell.emulator.submit(jobId(1), makeJob(deadlyScript(), { makeStep(1, 1000) }), cell.other());
                cell.emulator.runFor(std::chrono::seconds(60));
                BOOST_TEST(cell.startsOf(1) <= kMostStarts);
                BOOST_TEST(cell.isIn(1, cell::JobState::Failed, cell.owner()));
                cell.checkRules();
                cell.checkAccounting();
            }
        }
    }
}

// What was known of the crashes was lost with the owner.
BOOST_AUTO_TEST_CASE(CrashesAreForgottenByTheNextOwner)
{
    forEachSeed(4, [&](std::uint64_t seed) {
        CellFixture cell(makeSettings(seed, std::chrono::milliseconds(3500)));
        cell.emulator.submit(jobId(1), makeJob(deadlyScript(), { makeStep(1, 1000) }), cell.other());
        BOOST_REQUIRE(cell.emulator.runUntil(std::chrono::seconds(20), [&] { return cell.startsOf(1) == 2; }));
        cell.emulator.restart(cell.owner());
        cell.emulator.runFor(std::chrono::seconds(60));
        BOOST_TEST(cell.startsOf(1) <= kMostStarts);
        BOOST_TEST(cell.isIn(1, cell::JobState::Failed, cell.owner()));
    });
}

// A job whose upstream was crashed by others was given up.
BOOST_AUTO_TEST_CASE(NeighbourOfADeadlyTaskFails)
{
    forEachSeed(4, [&](std::uint64_t seed) {
        CellFixture cell(makeSettings(seed, std::chrono::milliseconds(3500)));
        for (int n = 100; n < 112; ++n)
            cell.emulator.submit(jobId(n), makeJob(makeScript(6000), { makeStep(4, 1000) }), cell.other());
        cell.emulator.runFor(std::chrono::milliseconds(1500));
        cell.emulator.submit(jobId(1), makeJob(deadlyScript(), { makeStep(1, 1000) }), cell.other());
        cell.emulator.runFor(std::chrono::seconds(60));
        for (int n = 100; n < 112; ++n)
            BOOST_TEST(cell.isIn(n, cell::JobState::Completed, cell.owner()));
        BOOST_TEST(cell.isIn(1, cell::JobState::Failed, cell.owner()));
    });
}

// Each start was ordered on an upstream that was dead already, which counted as a crash under the task, and the job was
// given up.
BOOST_AUTO_TEST_CASE(OrdersToDeadUpstreamsCountAsCrashes)
{
    forEachSeed(8, [&](std::uint64_t seed) {
        EmulatorSettings settings = makeSettings(seed, std::chrono::milliseconds(3500));
        settings.upstreams = 2;
        CellFixture cell(settings);
        CellEmulator& emulator = cell.emulator;
        emulator.submit(jobId(2), makeJob(makeScript(60000), { makeStep(1, 8000) }), cell.other());
        emulator.runFor(std::chrono::seconds(1));
        std::string dead = emulator.history().front().upstream == "u0" ? "u1" : "u0";
        emulator.cutUpstream(dead, true);
        emulator.submit(jobId(1), makeJob(makeScript(500), { makeStep(1, 8000) }), cell.other());
        for (int round = 0; round < 3; ++round) {
            emulator.runFor(std::chrono::milliseconds(2500));
            // It comes back and drains, so that the task waits until it is dead again.
            emulator.drainUpstream(dead, true);
            emulator.crashUpstream(dead);
            emulator.cutUpstream(dead, false);
            emulator.runFor(std::chrono::milliseconds(1500));
            emulator.cutUpstream(dead, true);
            emulator.drainUpstream(dead, false);
        }
        emulator.runFor(std::chrono::milliseconds(2500));
        emulator.crashUpstream(dead);
        emulator.cutUpstream(dead, false);
        BOOST_TEST(cell.waitFor(1, cell::JobState::Completed, std::chrono::seconds(15), cell.owner()));
        cell.checkRules();
        cell.checkAccounting();
    });
}

// A long-running job failed after its upstreams had restarted a few times.
BOOST_AUTO_TEST_CASE(LongRunningTaskFailsWhenItsUpstreamsRestart)
{
    CellFixture cell;
    StepSpec step = makeStep(1, 1000);
    step.isLongRunning = true;
    cell.emulator.submit(jobId(1), makeJob(makeScript(600000), { step }), cell.other());
    for (int n = 1; n <= 6; ++n) {
        BOOST_REQUIRE(cell.emulator.runUntil(std::chrono::seconds(20), [&] { return cell.startsOf(1) >= n; }));
        cell.emulator.runFor(std::chrono::seconds(8));
        cell.emulator.crashUpstream(cell.emulator.history().back().upstream);
        cell.emulator.runFor(std::chrono::seconds(1));
    }
    BOOST_TEST(cell.isIn(1, cell::JobState::Running, cell.owner()));
}

// A start without an answer was repeated to an upstream whose restart no later owner could have learnt of.
BOOST_AUTO_TEST_CASE(RepeatedStartReachesAnUpstreamThatNoRecordNames)
{
    forEachSeed(8, [&](std::uint64_t seed) {
        EmulatorSettings settings;
        settings.seed = seed;
        settings.upstreams = 1;
        CellFixture cell(settings);
        cell.emulator.cutUpstream("u0", true);
        cell.emulator.submit(jobId(1), makeJob(makeScript(300), { makeStep(1, 1000) }), cell.other());
        cell.emulator.runFor(std::chrono::milliseconds(300));
        cell.emulator.setStoreDown(true);
        cell.emulator.crashUpstream("u0");
        cell.emulator.cutUpstream("u0", false);
        cell.emulator.runFor(std::chrono::milliseconds(1500));
        BOOST_TEST(cell.emulator.history().empty());
        cell.emulator.setStoreDown(false);
        BOOST_TEST(cell.waitFor(1, cell::JobState::Completed, std::chrono::seconds(15), cell.owner()));
        cell.checkRules();
    });
}

/// From the first order until the upstream is back, in steps around the time after which the order is repeated.
static constexpr std::int64_t kShortestDelayMs = 200;
static constexpr std::int64_t kDelayStepMs = 17;
static constexpr std::uint64_t kDelays = 30;

// A start without an answer was repeated to a restarted upstream before a poll could tell of the restart.
BOOST_AUTO_TEST_CASE(RepeatedStartOvertakesThePollThatTellsOfTheRestart)
{
    forEachSeed(kDelays, [&](std::uint64_t seed) {
        EmulatorSettings settings;
        settings.seed = seed;
        settings.upstreams = 1;
        CellFixture cell(settings);
        cell.emulator.cutUpstream("u0", true);
        cell.emulator.submit(jobId(1), makeJob(makeScript(300), { makeStep(1, 1000) }), cell.other());
        cell.emulator.runFor(std::chrono::milliseconds(kShortestDelayMs + kDelayStepMs * static_cast<std::int64_t>(seed)));
        cell.emulator.setStoreDown(true);
        cell.emulator.crashUpstream("u0");
        cell.emulator.cutUpstream("u0", false);
        cell.emulator.runFor(std::chrono::milliseconds(1200));
        BOOST_TEST(cell.emulator.history().empty());
    });
}

// A working upstream was taken for one that has ended, and its tasks were started again elsewhere.
BOOST_AUTO_TEST_CASE(UpstreamIsReplacedByAnOddEntryAtItsAddress)
{
    CellFixture cell;
    cell.emulator.submit(jobId(1), makeJob(makeScript(5000), { makeStep(6, 1000) }), cell.other());
    cell.emulator.runFor(std::chrono::seconds(1));
    for (const std::string& id : cell.emulator.upstreamIds())
        cell.emulator.addOddEntry(id);
    BOOST_TEST(cell.waitFor(1, cell::JobState::Completed, std::chrono::seconds(10), cell.owner()));
    BOOST_TEST(cell.startsOf(1) == 6);
    cell.checkRules();
}

// Upstreams that are cut off and come back have not crashed.
BOOST_AUTO_TEST_CASE(CutUpstreamCountsAsCrashed)
{
    CellFixture cell;
    cell.emulator.submit(jobId(1), makeJob(makeScript(8000), { makeStep(1, 1000) }), cell.other());
    for (int n = 1; n <= 5; ++n) {
        BOOST_REQUIRE(cell.emulator.runUntil(std::chrono::seconds(20), [&] { return cell.startsOf(1) == n; }));
        std::string upstream = cell.emulator.history().back().upstream;
        cell.emulator.cutUpstream(upstream, true);
        cell.emulator.runFor(std::chrono::seconds(6));
        cell.emulator.cutUpstream(upstream, false);
    }
    BOOST_TEST(cell.waitFor(1, cell::JobState::Completed, std::chrono::seconds(20), cell.owner()));
}

BOOST_AUTO_TEST_SUITE_END()
