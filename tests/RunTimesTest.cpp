#include "src/cell/RunTimes.h"

#include <cmath>
#include <random>

#include <boost/test/unit_test.hpp>

namespace crocuslever::cell {

BOOST_AUTO_TEST_SUITE(RunTimesTest)

static constexpr const char* kRoute = "route";
static constexpr Duration kBetweenSamples = std::chrono::milliseconds(50);

static StepSpec makeStep(double estimateMs)
{
    StepSpec step;
    step.estimate = std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(estimateMs));
    return step;
}

static double expectedMs(const RunTimeTable& table, const StepSpec& step, const std::string& route = kRoute)
{
    return std::chrono::duration<double, std::milli>(expectedRunTime(table, route, step)).count();
}

/// Runs whose true run times and errors of the estimates are log-normal.
struct Learner {
    void learn(int count, double runTimeMs, double runTimeSpread, double errorSpread, double shareOfOutliers = 0.0)
    {
        std::normal_distribution<double> normal;
        std::uniform_real_distribution<double> uniform;
        constexpr double kOutlierFactor = 7.0;
        for (int n = 0; n < count; ++n) {
            double ms = runTimeMs * std::exp(runTimeSpread * normal(random));
            StepSpec step = makeStep(ms * std::exp(errorSpread * normal(random)));
            double taken = ms * (uniform(random) < shareOfOutliers ? kOutlierFactor : 1.0);
            recordRunTime(table, kRoute, step, std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(taken)), now);
            now += kBetweenSamples;
        }
        summarizeRunTimes(table, now);
    }

    std::mt19937_64 random { 7 };
    RunTimeTable table;
    TimePoint now { std::chrono::seconds(1000) };
};

// A new owner has seen no runs.
BOOST_FIXTURE_TEST_CASE(NothingIsLearnedFromTooFewRuns, Learner)
{
    BOOST_TEST(expectedMs(table, makeStep(300)) == 300.0);
    learn(5, 1000, 0.0, 0.9);
    BOOST_TEST(expectedMs(table, makeStep(300)) == 300.0);
}

BOOST_FIXTURE_TEST_CASE(RightEstimatesAreChanged, Learner)
{
    learn(200, 1000, 0.8, 0.1);
    BOOST_TEST(expectedMs(table, makeStep(300)) == 300.0);
    BOOST_TEST(expectedMs(table, makeStep(4000)) == 4000.0);
}

// Run times that hardly vary say more than estimates that are off by a factor of e^0.9.
BOOST_FIXTURE_TEST_CASE(WrongEstimatesOfLikeRunsAreTrusted, Learner)
{
    learn(200, 1000, 0.05, 0.9);
    for (double estimate : { 300.0, 1000.0, 3000.0 })
        BOOST_TEST(expectedMs(table, makeStep(estimate)) == 1000.0, boost::test_tools::tolerance(0.1));
}

// Where run times vary as much as the estimates are off, both count.
BOOST_FIXTURE_TEST_CASE(EstimatesOfUnlikeRunsAreIgnoredOrTrusted, Learner)
{
    learn(200, 1000, 0.7, 0.7);
    double expected = expectedMs(table, makeStep(4000));
    BOOST_TEST(expected > 1300.0);
    BOOST_TEST(expected < 3000.0);
}

// Estimates that are all too low by the same factor.
BOOST_FIXTURE_TEST_CASE(BiasOfEstimatesIsKept, Learner)
{
    for (int n = 0; n < 100; ++n, now += kBetweenSamples) {
        double ms = 500.0 + 20.0 * n;
        recordRunTime(table, kRoute, makeStep(ms / 3), std::chrono::milliseconds(static_cast<int>(ms)), now);
    }
    summarizeRunTimes(table, now);
    BOOST_TEST(expectedMs(table, makeStep(500)) == 1500.0, boost::test_tools::tolerance(0.1));
}

// A sixth of the upstreams is slow, or some runs take seven times as long.
BOOST_FIXTURE_TEST_CASE(OutliersShiftTheExpectedRunTime, Learner)
{
    learn(200, 1000, 0.05, 0.9, 1.0 / 6);
    BOOST_TEST(expectedMs(table, makeStep(1000)) == 1000.0, boost::test_tools::tolerance(0.2));
}

BOOST_FIXTURE_TEST_CASE(OldSamplesAreKept, Learner)
{
    learn(200, 1000, 0.05, 0.9);
    learn(200, 4000, 0.05, 0.9);
    BOOST_TEST(expectedMs(table, makeStep(1000)) == 4000.0, boost::test_tools::tolerance(0.1));
    now += std::chrono::minutes(2);
    summarizeRunTimes(table, now);
    BOOST_TEST(expectedMs(table, makeStep(1000)) == 1000.0);
    BOOST_TEST(table.rows.empty());
}

BOOST_FIXTURE_TEST_CASE(RoutesAndImagesAreMixed, Learner)
{
    learn(200, 1000, 0.05, 0.9);
    StepSpec step = makeStep(300);
    BOOST_TEST(expectedMs(table, step, "other") == 300.0);
    step.image = "image";
    BOOST_TEST(expectedMs(table, step) == 300.0);
}

// Images are named by submitters, as many as they like.
BOOST_FIXTURE_TEST_CASE(MemoryGrowsWithTheNumberOfImages, Learner)
{
    constexpr std::size_t kMostRows = 256;
    for (int n = 0; n < 10000; ++n, now += std::chrono::milliseconds(1)) {
        StepSpec step = makeStep(100);
        step.image = std::to_string(n);
        recordRunTime(table, kRoute, step, std::chrono::milliseconds(100), now);
    }
    BOOST_TEST(table.rows.size() <= kMostRows);
    learn(100000, 1000, 0.5, 0.9);
    BOOST_TEST(table.rows.at({ kRoute, "" }).samples.size() <= 128U);
}

// The tasks of one job end together and share its estimate.
BOOST_FIXTURE_TEST_CASE(OneLargeJobOutweighsOthers, Learner)
{
    for (int n = 0; n < 100; ++n)
        recordRunTime(table, kRoute, makeStep(100), std::chrono::milliseconds(1000), now);
    BOOST_TEST(table.rows.at({ kRoute, "" }).samples.size() == 1U);
}

// Each pass asks for the times of each waiting job.
BOOST_FIXTURE_TEST_CASE(ExpectedTimesAreComputedAgainWithoutNeed, Learner)
{
    JobSpec spec;
    spec.steps = { makeStep(300), makeStep(200) };
    spec.steps[1].after = { 0 };
    ExpectedTimes times;
    updateExpectedTimes(times, table, kRoute, spec);
    BOOST_TEST((times.criticalPath == std::chrono::milliseconds(500)));
    learn(200, 1000, 0.05, 0.9);
    updateExpectedTimes(times, table, kRoute, spec);
    BOOST_TEST(std::chrono::duration<double>(times.criticalPath).count() == 2.0, boost::test_tools::tolerance(0.1));
    std::int64_t version = table.version;
    summarizeRunTimes(table, now + std::chrono::seconds(1));
    BOOST_TEST(table.version == version);
}

// With the expected run time, half of the jobs that start at the last moment miss their objective.
BOOST_FIXTURE_TEST_CASE(RemainingPathIsJudgedByTheExpectedRunTime, Learner)
{
    JobSpec spec;
    spec.steps = { makeStep(1000) };
    ExpectedTimes times;
    updateExpectedTimes(times, table, kRoute, spec);
    BOOST_TEST((times.steps.front() == times.criticalPath));
    learn(200, 1000, 0.2, 0.9);
    updateExpectedTimes(times, table, kRoute, spec);
    BOOST_TEST((times.steps.front() > times.criticalPath * 6 / 5));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace crocuslever::cell
