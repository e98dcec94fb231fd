// Best-effort tasks that slow serving tasks down: what is learned, the pace that follows, and a cell on the emulator.

#include <boost/test/unit_test.hpp>

#include "src/cell/Interference.h"
#include "tests/CellFixture.h"

namespace crocuslever::cell::testing {

BOOST_AUTO_TEST_SUITE(InterferenceTest)

static constexpr Duration kInterval = std::chrono::milliseconds(500); ///< Between two readings.
static const ImagePair kPair { "serve", "batch" };

static TimePoint at(int readings) { return TimePoint() + std::chrono::seconds(1000) + readings * kInterval; }

static InterferenceReading makeReading(double tail, const std::vector<int>& paces, const std::string& image = "batch")
{
    InterferenceReading reading;
    reading.serving.push_back({ "serve", tail });
    for (int pace : paces)
        reading.paced.push_back({ image, pace });
    return reading;
}

/// Pairs after `n` readings alone and as many beside one best-effort run.
static LearnedPairs learnFrom(int n, double alone, double beside)
{
    LearnedPairs pairs;
    for (int i = 0; i < n; ++i) {
        learnPairs(pairs, makeReading(alone * (i % 2 == 0 ? 0.95 : 1.05), {}), at(i));
        learnPairs(pairs, makeReading(beside * (i % 2 == 0 ? 0.95 : 1.05), { 100 }), at(i));
    }
    return pairs;
}

// Guards against action on a chance of few samples.
BOOST_AUTO_TEST_CASE(FewSamplesAreNoEvidence)
{
    BOOST_CHECK(!estimateGrowth(learnFrom(4, 0.6, 1.2), kPair, at(4)));
}

// Guards against a wrong size of the effect, on which the pace depends.
BOOST_AUTO_TEST_CASE(GrowthOfABadPairIsLearned)
{
    std::optional<double> growth = estimateGrowth(learnFrom(20, 0.6, 1.2), kPair, at(20));
    BOOST_REQUIRE(growth);
    BOOST_CHECK_CLOSE(*growth, 1.0, 5.0);
}

// Guards against paced or displaced tasks that do no harm.
BOOST_AUTO_TEST_CASE(HarmlessPairIsNotBad)
{
    BOOST_CHECK(!isBadPair(learnFrom(20, 0.6, 0.62), kPair, at(20)));
}

// Guards against the announcement of a pair at each poll.
BOOST_AUTO_TEST_CASE(BadPairIsAnnouncedOnce)
{
    LearnedPairs pairs;
    std::size_t announced = 0;
    for (int i = 0; i < 40; ++i) {
        learnPairs(pairs, makeReading(0.6, {}), at(i));
        announced += learnPairs(pairs, makeReading(1.2, { 100 }), at(i)).size();
    }
    BOOST_CHECK_EQUAL(announced, 1);
}

// Guards against knowledge that outlives the interference.
BOOST_AUTO_TEST_CASE(SamplesDecay)
{
    LearnedPairs pairs = learnFrom(20, 0.6, 1.2);
    BOOST_CHECK(isBadPair(pairs, kPair, at(20)));
    BOOST_CHECK(!isBadPair(pairs, kPair, at(20) + std::chrono::minutes(5)));
}

// Guards against memory that grows with the number of images that callers name.
BOOST_AUTO_TEST_CASE(NumberOfPairsIsBounded)
{
    LearnedPairs pairs;
    for (int i = 0; i < 5000; ++i)
        learnPairs(pairs, makeReading(1.0, { 100 }, "batch" + std::to_string(i)), at(0));
    BOOST_CHECK_LE(pairs.size(), 4096U);
}

// Guards against blame of an image for the effect of another.
BOOST_AUTO_TEST_CASE(MixedImagesAreNotAttributed)
{
    LearnedPairs pairs;
    InterferenceReading reading = makeReading(2.0, { 100 });
    reading.paced.push_back({ "other", 100 });
    for (int i = 0; i < 20; ++i)
        learnPairs(pairs, reading, at(i));
    BOOST_CHECK(pairs.empty());
}

// Guards against a task that is over its target for 4 s: without knowledge the second step is 0.
BOOST_AUTO_TEST_CASE(UnknownPairIsPacedInTwoSteps)
{
    PaceControl control = decidePace({}, {}, makeReading(1.5, { 100 }), at(0));
    BOOST_CHECK_GT(control.pace, 0);
    BOOST_CHECK_LT(control.pace, 100);
    // Not settled yet.
    BOOST_CHECK_EQUAL(decidePace(control, {}, makeReading(1.5, { 100 }), at(1)).pace, control.pace);
    BOOST_CHECK_EQUAL(decidePace(control, {}, makeReading(1.2, { control.pace }), at(2)).pace, 0);
}

// Guards against work that is lost by more pace than needed.
BOOST_AUTO_TEST_CASE(KnownPairIsPacedNoMoreThanNeeded)
{
    LearnedPairs pairs = learnFrom(20, 0.6, 1.2);
    PaceControl control = decidePace({}, pairs, makeReading(1.2, { 100 }), at(20));
    BOOST_CHECK_GE(control.pace, 30);
    BOOST_CHECK_LE(control.pace, 50);
}

// Guards against best-effort runs that stay slow after the load has gone.
BOOST_AUTO_TEST_CASE(FullSpeedReturnsInSteps)
{
    PaceControl control = decidePace({}, {}, makeReading(1.5, { 100 }), at(0));
    int changes = 0;
    for (int i = 1; i < 40; ++i) {
        int before = control.pace;
        control = decidePace(control, {}, makeReading(0.3, { before }), at(i));
        BOOST_CHECK_LE(control.pace, before + 20);
        changes += control.pace != before ? 1 : 0;
    }
    BOOST_CHECK_EQUAL(control.pace, 100);
    BOOST_CHECK_GE(changes, 3);
}

// Guards against work that is lost for a serving task which is overloaded by its own users.
BOOST_AUTO_TEST_CASE(PaceThatDoesNotHelpIsReleased)
{
    PaceControl control;
    int slowed = 0;
    for (int i = 0; i < 60; ++i) {
        control = decidePace(control, {}, makeReading(1.5, { control.pace }), at(i));
        slowed += control.pace < 100 ? 1 : 0;
    }
    BOOST_CHECK_LT(slowed, 40);
}

// Guards against pacing without a serving run.
BOOST_AUTO_TEST_CASE(NoServingRunMeansFullSpeed)
{
    PaceControl control = decidePace({}, {}, makeReading(1.5, { 100 }), at(0));
    InterferenceReading reading;
    reading.paced.push_back({ "batch", control.pace });
    BOOST_CHECK_EQUAL(decidePace(control, {}, reading, at(1)).pace, 100);
}

static constexpr std::int64_t kLongMs = 600000;

static JobSpec makeServing(int count, bool hasTarget)
{
    TaskScript script = makeScript(kLongMs);
    script.image = 1;
    script.tail = 100;
    script.target = 150;
    StepSpec step = makeStep(count, 2000);
    step.isLongRunning = true;
    step.image = "serve";
    step.tailTarget = fromMilliseconds(hasTarget ? script.target : 0);
    step.maximumPerUpstream = 1;
    return makeJob(script, { step });
}

static JobSpec makeBestEffort(int count, int image, int perUpstream)
{
    TaskScript script = makeScript(kLongMs);
    script.image = image;
    script.isBestEffort = true;
    StepSpec step = makeStep(count, 2000);
    step.isBestEffort = true;
    step.isLongRunning = true;
    step.image = "batch" + std::to_string(image);
    step.maximumPerUpstream = perUpstream;
    return makeJob(script, { step });
}

static EmulatorSettings makeSettings(int upstreams)
{
    EmulatorSettings settings;
    settings.upstreams = upstreams;
    return settings;
}

static constexpr int kServing = 1; ///< Number of the job of serving tasks.
static constexpr int kBatch = 2; ///< Number of the job of best-effort tasks.

struct MixedCell : CellFixture {
    explicit MixedCell(int upstreams, bool hasTarget = true)
        : CellFixture(makeSettings(upstreams))
    {
        emulator.interference().coefficients = { { { 1, 2 }, 0.6 }, { { 1, 3 }, 0.02 } };
        emulator.submit(jobId(kServing), makeServing(upstreams, hasTarget), other());
        emulator.runFor(std::chrono::seconds(2));
    }

    Duration sum(int job, Duration RunRecord::*member) const
    {
        Duration total { 0 };
        for (const RunRecord& run : emulator.history()) {
            if (parseTaskKey(run.task)->job == jobId(job))
                total += run.*member;
        }
        return total;
    }

    Duration longestHelpless() const
    {
        Duration longest { 0 };
        for (const RunRecord& run : emulator.history())
            longest = std::max(longest, run.longestHelpless);
        return longest;
    }

    std::vector<int> paces() const
    {
        std::vector<int> all;
        for (const RunRecord& run : emulator.history()) {
            std::optional<int> pace = run.to == TimePoint::max() ? emulator.paceOf(run.upstream, run.task) : std::nullopt;
            if (pace && parseTaskKey(run.task)->job != jobId(kServing))
                all.push_back(*pace);
        }
        return all;
    }
};

/// Some of the time the serving tasks are over their target beside two best-effort tasks, and some of it not.
static void playLoad(MixedCell& cell)
{
    for (double load : { 0.6, 1.0, 1.2, 0.9, 0.5, 1.3, 0.7, 1.0 }) {
        cell.emulator.interference().load = load;
        cell.emulator.runFor(std::chrono::seconds(8));
    }
}

// Under load, against the same cell whose serving steps have no target, which switches the feature off. Guards against
// serving tasks that stay over their target, and against best-effort tasks that are paced for nothing.
BOOST_AUTO_TEST_CASE(ServingTasksKeepTheirTargetUnderLoad)
{
    MixedCell paced(4);
    MixedCell plain(4, false);
    for (MixedCell* cell : { &paced, &plain }) {
        cell->emulator.submit(jobId(kBatch), makeBestEffort(8, 2, 2), cell->other());
        playLoad(*cell);
        cell->checkRules();
        cell->checkAccounting();
    }
    Duration over = paced.sum(kServing, &RunRecord::overTarget);
    Duration overWithout = plain.sum(kServing, &RunRecord::overTarget);
    Duration work = paced.sum(kBatch, &RunRecord::worked);
    Duration workWithout = plain.sum(kBatch, &RunRecord::worked);
    BOOST_TEST_MESSAGE("over target " << toMilliseconds(over) << " ms, without pacing " << toMilliseconds(overWithout) << " ms; work " << toMilliseconds(work) << " ms, without pacing " << toMilliseconds(workWithout) << " ms; longest " << toMilliseconds(paced.longestHelpless()) << " ms");
    BOOST_CHECK_GT(overWithout.count(), 0);
    BOOST_CHECK_LT(over.count(), overWithout.count() / 3);
    BOOST_CHECK_GT(work.count(), workWithout.count() / 3);
    BOOST_CHECK_LT(toMilliseconds(paced.longestHelpless()), 4000);
    BOOST_CHECK_EQUAL(plain.emulator.paceOrders(), 0);
}

// Guards against pace orders in a cell whose best-effort tasks do no harm.
BOOST_AUTO_TEST_CASE(HarmlessTasksRunAtFullSpeed)
{
    MixedCell cell(4);
    cell.emulator.submit(jobId(kBatch), makeBestEffort(8, 3, 2), cell.other());
    cell.emulator.runFor(std::chrono::seconds(10));
    BOOST_CHECK_EQUAL(cell.emulator.paceOrders(), 0);
    BOOST_CHECK_EQUAL(cell.paces().size(), 8U);
}

// Guards against a run that keeps its full speed because its order was lost.
BOOST_AUTO_TEST_CASE(PaceOrderWithoutAnswerIsSentAgain)
{
    MixedCell cell(4);
    cell.emulator.setPaceOrdersLost(0.4);
    cell.emulator.submit(jobId(kBatch), makeBestEffort(8, 2, 2), cell.other());
    cell.emulator.runFor(std::chrono::seconds(10));
    for (int pace : cell.paces())
        BOOST_CHECK_LT(pace, 100);
    BOOST_CHECK_GT(cell.emulator.core(cell.owner()).counters.get("pace_order_failures_total"), 0);
    cell.emulator.setPaceOrdersLost(0.0);
    cell.emulator.cancel(jobId(kServing), cell.other());
    cell.emulator.runFor(std::chrono::seconds(5));
    BOOST_CHECK_EQUAL(cell.paces().size(), 8U);
    for (int pace : cell.paces())
        BOOST_CHECK_EQUAL(pace, 100);
    cell.checkRules();
    cell.checkAccounting();
}

// Guards against runs whose pace outlives the owner that set it, and against a serving task that loses its protection.
BOOST_AUTO_TEST_CASE(SuccessorTakesOverPacedRuns)
{
    MixedCell cell(4);
    cell.emulator.submit(jobId(kBatch), makeBestEffort(8, 2, 2), cell.other());
    cell.emulator.runFor(std::chrono::seconds(6));
    std::size_t former = cell.owner();
    cell.emulator.kill(former);
    cell.emulator.runFor(std::chrono::seconds(8));
    BOOST_REQUIRE(cell.emulator.ownerOtherThan(former));
    for (int pace : cell.paces())
        BOOST_CHECK_LT(pace, 100);
    BOOST_CHECK_LT(toMilliseconds(cell.longestHelpless()), 4000);
    // The load goes, and with it the need to pace.
    cell.emulator.interference().load = 0.3;
    cell.emulator.runFor(std::chrono::seconds(20));
    BOOST_CHECK_EQUAL(cell.paces().size(), 8U);
    for (int pace : cell.paces())
        BOOST_CHECK_EQUAL(pace, 100);
    cell.checkRules();
    cell.checkAccounting();
}

static std::vector<std::string> upstreamsOf(const CellEmulator& emulator, int job)
{
    std::vector<std::string> upstreams;
    for (const RunRecord& run : emulator.history()) {
        if (parseTaskKey(run.task)->job == jobId(job))
            upstreams.push_back(run.upstream);
    }
    return upstreams;
}

// Guards against a known bad pair on one upstream while others have room, and against a task that waits for this reason.
BOOST_AUTO_TEST_CASE(BadPairIsKeptApartWhileThereIsRoom)
{
    CellFixture cell(makeSettings(6));
    cell.emulator.interference().coefficients = { { { 1, 2 }, 0.6 } };
    cell.emulator.submit(jobId(kServing), makeServing(3, true), cell.other());
    cell.emulator.runFor(std::chrono::seconds(8));
    // Fills all upstreams, and so meets the serving tasks.
    cell.emulator.submit(jobId(kBatch), makeBestEffort(6, 2, 1), cell.other());
    cell.emulator.runFor(std::chrono::seconds(10));
    std::vector<std::string> serving = upstreamsOf(cell.emulator, kServing);
    BOOST_REQUIRE_EQUAL(serving.size(), 3U);
    BOOST_REQUIRE_GT(cell.emulator.core(cell.owner()).counters.get("interference_bad_pairs_total"), 0);
    constexpr int kSecond = 3;
    cell.emulator.submit(jobId(kSecond), makeBestEffort(3, 2, 1), cell.other());
    cell.emulator.runFor(std::chrono::seconds(1));
    std::vector<std::string> apart = upstreamsOf(cell.emulator, kSecond);
    BOOST_CHECK_EQUAL(apart.size(), 3U);
    for (const std::string& id : apart)
        BOOST_CHECK(std::find(serving.begin(), serving.end(), id) == serving.end());
    // No room is left elsewhere.
    constexpr int kThird = 4;
    cell.emulator.submit(jobId(kThird), makeBestEffort(6, 2, 1), cell.other());
    cell.emulator.runFor(std::chrono::seconds(1));
    BOOST_CHECK_EQUAL(upstreamsOf(cell.emulator, kThird).size(), 6U);
    cell.checkRules();
    cell.checkAccounting();
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace crocuslever::cell::testing
