// Smoke test of a cell of real processes, without faults.

#define BOOST_TEST_MODULE integration
#include <boost/test/unit_test.hpp>

#include "tests/support/ProcessCell.h"

using namespace crocuslever;
using namespace crocuslever::testing;

BOOST_AUTO_TEST_SUITE(SmokeTest)

static int countStarts(const ProcessCell& cell, const std::string& job)
{
    int starts = 0;
    for (const HistoryEvent& event : cell.history()) {
        if (event.name == "start" && event.job.value() == job)
            ++starts;
    }
    return starts;
}

BOOST_AUTO_TEST_CASE(AHealthyCellServesWorkAndConfigurationChanges)
{
    ProcessCell cell({ CROCUSLEVER_BIN_DIR });
    BOOST_REQUIRE_MESSAGE(cell.waitUntilReady(), cell.logTails());
    for (int n = 0; n < cell.size(); ++n)
        BOOST_TEST(cell.callUrgent(n).status == 200);

    SubmittedJob plan = cell.submit(0, false, 100);
    BOOST_TEST(plan.outcome == "accepted");
    BOOST_REQUIRE_MESSAGE(cell.waitFor([&] { return cell.fetchResult(1, plan); }), cell.lastResultAnswer() << cell.logTails());
    BOOST_TEST(cell.lastResultAnswer().rfind("200 ", 0) == 0, cell.lastResultAnswer());
    BOOST_TEST(countStarts(cell, plan.job) == 1);

    Configuration configuration = cell.configuration();
    configuration.teams[0].upperLimit = 10;
    BOOST_REQUIRE(cell.apply(configuration));
    BOOST_TEST(cell.waitFor([&] { return cell.isAppliedEverywhere(2); }));
    std::vector<Violation> violations = checkHistory(cell.history());
    BOOST_TEST(violations.empty(), describe(violations));
}

BOOST_AUTO_TEST_SUITE_END()
