// Placement in a cell on the emulator: gangs, preemption, limits and failure domains.

#include <boost/test/unit_test.hpp>

#include "src/cell/Jobs.h"
#include "tests/CellFixture.h"

namespace crocuslever::cell::testing {

BOOST_AUTO_TEST_SUITE(CellPlacementTest)

BOOST_FIXTURE_TEST_CASE(NothingStartsInAnEvacuatedDomain, CellFixture)
{
    emulator.evacuate("domain-0", true);
    emulator.runFor(std::chrono::seconds(1));
    TimePoint since = emulator.now();
    for (int n = 1; n <= 10; ++n)
        emulator.submit(jobId(n), makeJob(makeScript(300), { makeStep(4, 1000) }), other());
    BOOST_CHECK(waitFor(10, JobState::Completed, std::chrono::seconds(5), owner()));
    for (const RunRecord& run : emulator.history())
        BOOST_CHECK(run.from < since || (run.upstream != "u0" && run.upstream != "u3"));
}

BOOST_FIXTURE_TEST_CASE(GangStartsAtomicallyAndWaitsForRoom, CellFixture)
{
    StepSpec gang = makeStep(6, 8000);
    gang.gang = true;
    emulator.submit(jobId(1), makeJob(makeScript(1000), { makeStep(1, 1000) }), other());
    emulator.runFor(std::chrono::milliseconds(200));
    emulator.submit(jobId(2), makeJob(makeScript(500), { gang }), other());
    emulator.runFor(std::chrono::milliseconds(300));
    BOOST_CHECK_EQUAL(startsOf(2), 0);
    BOOST_CHECK(waitFor(2, JobState::Completed, std::chrono::seconds(5), owner()));
    checkRules();
}

// A burst of urgent short jobs arrives while the upstreams are full of long resumable tasks.
BOOST_FIXTURE_TEST_CASE(UrgentJobsPreemptResumableTasks, CellFixture)
{
    emulator.addRoute("/later/", 2);
    emulator.runFor(std::chrono::seconds(1));
    TaskScript resumes = makeScript(5000);
    resumes.saves = true;
    StepSpec wide = makeStep(48, 1000);
    wide.checkpoints = true;
    emulator.submit(jobId(1), makeJob(resumes, { wide }), other(), std::chrono::seconds(3), "/later/");
    emulator.runFor(std::chrono::seconds(1));
    StepSpec gang = makeStep(4, 2000);
    gang.gang = true;
    for (int n = 2; n <= 5; ++n)
        emulator.submit(jobId(n), makeJob(makeScript(400), { n == 5 ? gang : makeStep(3, 1000) }), other());
    for (int n = 2; n <= 5; ++n)
        BOOST_CHECK(waitFor(n, JobState::Completed, std::chrono::milliseconds(1200), owner()));
    BOOST_CHECK(waitFor(1, JobState::Completed, std::chrono::seconds(8), owner()));
    // The stopped tasks have resumed from their checkpoints.
    Duration spent { 0 };
    for (const RunRecord& run : emulator.history()) {
        if (parseTaskKey(run.task)->job == jobId(1))
            spent += run.to - run.from;
    }
    BOOST_CHECK_LT(toMilliseconds(spent), 48 * 5000 + 48 * 10);
    // No more runs were stopped than the urgent jobs need, plus one for each member
    // of the gang, since room for two cores is freed one core at a time.
    BOOST_CHECK_LE(startsOf(1), 48 + 17 + 4);
    checkRules();
}

// Urgent jobs keep the cell full for a long time. A task must not be preempted again and again.
BOOST_FIXTURE_TEST_CASE(TaskIsPreemptedAtMostOnce, CellFixture)
{
    emulator.addRoute("/later/", 2);
    emulator.policy().routes.back().targetDuration = std::chrono::seconds(60);
    emulator.runFor(std::chrono::seconds(1));
    TaskScript resumes = makeScript(1500);
    resumes.saves = true;
    StepSpec wide = makeStep(48, 1000);
    wide.checkpoints = true;
    emulator.submit(jobId(1), makeJob(resumes, { wide }), other(), std::chrono::seconds(3), "/later/");
    emulator.runFor(std::chrono::seconds(1));
    for (int n = 2; n <= 60; ++n) {
        emulator.submit(jobId(n), makeJob(makeScript(700), { makeStep(8, 1000) }), other());
        emulator.runFor(std::chrono::milliseconds(150));
    }
    BOOST_CHECK(waitFor(1, JobState::Completed, std::chrono::seconds(20), owner()));
    BOOST_CHECK_LE(startsOf(1), 2 * 48);
    checkAccounting();
    checkRules();
}

// A gang of wide tasks needs slow advice, while small tasks take each freed room at once.
BOOST_FIXTURE_TEST_CASE(SmallTasksDoNotStarveGang, CellFixture)
{
    emulator.policy().routes.front().advice = AdviceTiming { std::chrono::milliseconds(500), std::chrono::milliseconds(7), std::chrono::milliseconds(1500) };
    emulator.addRoute("/later/", 2).advice.reset();
    emulator.runFor(std::chrono::seconds(1));
    TaskScript resumes = makeScript(700);
    resumes.saves = true;
    StepSpec small = makeStep(10, 1000);
    small.checkpoints = true;
    for (int n = 100; n < 150; ++n)
        emulator.submit(jobId(n), makeJob(resumes, { small }), other(), std::chrono::seconds(3), "/later/");
    emulator.runFor(std::chrono::milliseconds(500));
    StepSpec gang = makeStep(4, 5000);
    gang.gang = true;
    gang.estimate = std::chrono::seconds(2);
    emulator.submit(jobId(1), makeJob(makeScript(500), { gang }), other());
    BOOST_CHECK(waitFor(1, JobState::Completed, std::chrono::milliseconds(2500), owner()));
    for (int n = 100; n < 150; ++n)
        BOOST_CHECK(waitFor(n, JobState::Completed, std::chrono::seconds(15), owner()));
    checkRules();
}

// The team's own small tasks keep it at its limit, so that an urgent gang of the team cannot start.
BOOST_FIXTURE_TEST_CASE(TeamsSmallTasksAreStoppedForGangBelowLimit, CellFixture)
{
    emulator.policy().teams["team"] = Team { "team", 1.0, { 12000, 0, 0, 0 }, { "key" } };
    emulator.policy().teamOfKey["key"] = "team";
    emulator.policy().routes.front().advice = AdviceTiming { std::chrono::milliseconds(500), std::chrono::milliseconds(7), std::chrono::milliseconds(1500) };
    emulator.addRoute("/later/", 2).advice.reset();
    emulator.runFor(std::chrono::seconds(1));
    TaskScript resumes = makeScript(1500);
    resumes.saves = true;
    StepSpec small = makeStep(10, 1000);
    small.checkpoints = true;
    for (int n = 100; n < 110; ++n)
        emulator.submit(jobId(n), makeJob(resumes, { small }), other(), std::chrono::seconds(3), "/later/", "key");
    emulator.runFor(std::chrono::milliseconds(700));
    StepSpec gang = makeStep(2, 3000);
    gang.gang = true;
    gang.estimate = std::chrono::seconds(2);
    emulator.submit(jobId(1), makeJob(makeScript(500), { gang }), other(), std::chrono::seconds(3), "/jobs/", "key");
    BOOST_CHECK(waitFor(1, JobState::Completed, std::chrono::milliseconds(2500), owner()));
    for (int n = 100; n < 110; ++n)
        BOOST_CHECK(waitFor(n, JobState::Completed, std::chrono::seconds(30), owner()));
    for (const RunRecord& run : emulator.history())
        BOOST_CHECK_LE(runningCores(run.from), 12000);
    checkRules();
}

// A wide gang needs most of its team's limit. Narrow gangs that arrive later must not overtake it
// indefinitely.
BOOST_FIXTURE_TEST_CASE(NarrowGangsDoNotStarveWideGangBelowLimit, CellFixture)
{
    emulator.policy().teams["team"] = Team { "team", 1.0, { 12000, 0, 0, 0 }, { "key" } };
    emulator.policy().teamOfKey["key"] = "team";
    emulator.addRoute("/later/", 2);
    emulator.runFor(std::chrono::seconds(1));
    StepSpec narrow = makeStep(2, 2000);
    narrow.gang = true;
    narrow.estimate = std::chrono::seconds(8);
    StepSpec wide = makeStep(4, 2500);
    wide.gang = true;
    wide.estimate = std::chrono::seconds(8);
    for (int n = 100; n < 130; ++n) {
        emulator.submit(jobId(n), makeJob(makeScript(900), { narrow }), other(), std::chrono::seconds(3), "/jobs/", "key");
        if (n == 103)
            emulator.submit(jobId(1), makeJob(makeScript(300), { wide }), other(), std::chrono::seconds(3), "/jobs/", "key");
        emulator.runFor(std::chrono::milliseconds(200));
    }
    BOOST_CHECK(isIn(1, JobState::Completed, owner()));
    for (int n = 100; n < 130; ++n)
        BOOST_CHECK(waitFor(n, JobState::Completed, std::chrono::seconds(30), owner()));
    checkRules();
}

// Neither tasks of the same priority nor tasks that cannot resume may be preempted.
BOOST_FIXTURE_TEST_CASE(EqualPriorityAndNonResumableTasksAreNotPreempted, CellFixture)
{
    emulator.addRoute("/later/", 2);
    emulator.runFor(std::chrono::seconds(1));
    TaskScript resumes = makeScript(2000);
    resumes.saves = true;
    StepSpec wide = makeStep(24, 1000);
    emulator.submit(jobId(1), makeJob(makeScript(2000), { wide }), other(), std::chrono::seconds(3), "/later/");
    wide.checkpoints = true;
    emulator.submit(jobId(2), makeJob(resumes, { wide }), other());
    emulator.runFor(std::chrono::seconds(1));
    emulator.submit(jobId(3), makeJob(makeScript(400), { makeStep(3, 1000) }), other());
    BOOST_CHECK(waitFor(3, JobState::Completed, std::chrono::seconds(4), owner()));
    BOOST_CHECK_EQUAL(startsOf(1) + startsOf(2), 48);
    checkRules();
}

// A long-running task that failed counted as too late to be of use, and got no advice while other jobs came.
BOOST_AUTO_TEST_CASE(LongRunningTaskGetsNoAdviceWhileItIsScarce)
{
    forEachSeed(4, [&](std::uint64_t seed) {
        EmulatorSettings settings;
        settings.upstreams = 8;
        settings.goodAdvice = 45;
        settings.seed = seed;
        CellFixture cell(settings);
        CellEmulator& emulator = cell.emulator;
        // Three instances give advice to 33 steps a second, and 40 come.
        emulator.policy().routes.front().advice = AdviceTiming { std::chrono::milliseconds(82), std::chrono::microseconds(1200), std::chrono::milliseconds(1500) };
        ++emulator.policy().version;
        emulator.runFor(std::chrono::seconds(3));
        StepSpec step = makeStep(1, 1000);
        step.isLongRunning = true;
        emulator.submit(jobId(1), makeJob(makeScript(15000, 1), { step }), cell.other());
        int n = 2;
        auto runBusily = [&](Duration duration) {
            for (TimePoint end = emulator.now() + duration; emulator.now() < end; ++n) {
                emulator.submit(jobId(n), makeJob(makeScript(100), { makeStep(1, 100) }), cell.other());
                emulator.runFor(std::chrono::milliseconds(25));
            }
        };
        emulator.runFor(std::chrono::seconds(8));
        BOOST_REQUIRE_EQUAL(cell.startsOf(1), 1);
        runBusily(std::chrono::seconds(16));
        BOOST_TEST(cell.startsOf(1) == 2);
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace crocuslever::cell::testing
