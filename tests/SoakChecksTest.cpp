// The checks of the soak, on notes that break one rule each.

#include <boost/test/unit_test.hpp>

#include "tests/soak/SoakChecks.h"

using namespace crocuslever::soak;
using standin::RunNote;

static constexpr int kAttempts = 2;

static JobNote makeJob(const std::string& state, std::int64_t completedAt = 0) { return { "j", kAttempts, true, completedAt, state }; }

static RunNote makeRun(int number, const std::string& worker, std::int64_t from, std::int64_t to, const std::string& how = "done") { return { "j.0.0.0", number, worker, from, to, how }; }

static std::size_t countBroken(const JobNote& job, const std::vector<RunNote>& runs, const CrashTimes& crashes = {})
{
    return findBrokenRules({ job }, runs, crashes).size();
}

BOOST_AUTO_TEST_SUITE(SoakChecksTest)

BOOST_AUTO_TEST_CASE(SoundJobsBreakNothing)
{
    BOOST_TEST(countBroken(makeJob("completed", 1000), { makeRun(1, "w0", 0, 900) }) == 0U);
    BOOST_TEST(countBroken(makeJob("failed"), { makeRun(1, "w0", 0, 100, "failed"), makeRun(2, "w0", 200, 300, "failed") }) == 0U);
    // The first run was over with its worker.
    BOOST_TEST(countBroken(makeJob("completed", 5000), { makeRun(1, "w0", 0, 0), makeRun(2, "w1", 500, 900) }, { { "w0", { 400 } } }) == 0U);
}

BOOST_AUTO_TEST_CASE(StartAfterTheEndWasShownIsSeen)
{
    BOOST_TEST(countBroken(makeJob("completed", 1000), { makeRun(1, "w0", 0, 900), makeRun(2, "w1", 2001, 2500) }) == 1U);
}

BOOST_AUTO_TEST_CASE(RunsAtTheSameTimeAreSeen)
{
    BOOST_TEST(countBroken(makeJob("completed", 5000), { makeRun(1, "w0", 0, 900), makeRun(2, "w1", 800, 1500) }) == 1U);
    BOOST_TEST(countBroken(makeJob("completed", 5000), { makeRun(1, "w0", 0, 0), makeRun(2, "w1", 500, 900) }, { { "w0", { 600 } } }) == 1U);
}

BOOST_AUTO_TEST_CASE(LostJobsAreSeen)
{
    BOOST_TEST(countBroken(makeJob("failed"), { makeRun(1, "w0", 0, 100, "failed") }) == 1U);
    BOOST_TEST(countBroken(makeJob("running"), {}) == 1U);
    BOOST_TEST(countBroken(makeJob(""), {}) == 1U);
}

BOOST_AUTO_TEST_CASE(TooManyAttemptsAreSeen)
{
    std::vector<RunNote> runs;
    for (int n = 1; n <= kAttempts + 1; ++n)
        runs.push_back(makeRun(n, "w0", n, n, "failed"));
    BOOST_TEST(countBroken(makeJob("failed"), runs) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
