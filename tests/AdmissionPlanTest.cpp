#include "src/cell/AdmissionPlan.h"

#include <boost/test/unit_test.hpp>

#include "src/cell/WeightedShares.h"

namespace crocuslever::cell {

BOOST_AUTO_TEST_SUITE(AdmissionPlanTest)

static constexpr Duration kTolerance = std::chrono::seconds(1);

static AdmissionLoad makeLoad(double startsPerSecond)
{
    AdmissionLoad load;
    load.startsPerSecond = startsPerSecond;
    load.classes = { { 0, { 0.0, kTolerance } }, { 1, { 0.0, 10 * kTolerance } } };
    return load;
}

static std::int64_t shareOf(const AdmissionPlan& plan, const std::string& team)
{
    auto it = plan.shares.find({ "urgent", team });
    return it == plan.shares.end() ? kWholeShare : it->second;
}

BOOST_AUTO_TEST_CASE(NothingIsLimitedBeforeAnyOverload)
{
    AdmissionLoad load = makeLoad(0.0);
    load.demand = { { "urgent", "a", 0, 1.0, 100000.0 } };
    BOOST_TEST(!isLimiting(planAdmission(load)));
}

// A burst of least urgent work must not cost urgent work anything.
BOOST_AUTO_TEST_CASE(LeastUrgentWorkIsLimitedFirst)
{
    AdmissionLoad load = makeLoad(1000.0);
    load.demand = { { "urgent", "a", 0, 1.0, 900.0 }, { "later", "a", 1, 1.0, 50000.0 } };
    AdmissionPlan plan = planAdmission(load);
    BOOST_TEST(plan.classes.at(0).accepted == kWholeShare);
    BOOST_TEST(plan.classes.at(1).accepted < 200);
}

// A class whose jobs can wait is not refused for a burst that ends before they are late.
BOOST_AUTO_TEST_CASE(PatientWorkIsAcceptedInABriefBurst)
{
    AdmissionLoad load = makeLoad(1000.0);
    load.demand = { { "urgent", "a", 0, 1.0, 3000.0 }, { "later", "a", 1, 1.0, 500.0 } };
    AdmissionPlan plan = planAdmission(load);
    BOOST_TEST(plan.classes.at(0).accepted < 700);
    BOOST_TEST(plan.classes.at(1).accepted == kWholeShare);
    load.classes[1].waitingTasks = 10000.0;
    BOOST_TEST(planAdmission(load).classes.at(1).accepted == 0);
}

// One team's burst turned all teams' jobs away alike.
BOOST_AUTO_TEST_CASE(TeamsWithinTheirShareAreNotTurnedAwayForOthers)
{
    for (double burst : { 2000.0, 8000.0, 100000.0 }) {
        AdmissionLoad load = makeLoad(1000.0);
        load.demand = { { "urgent", "calm", 0, 1.0, 200.0 }, { "urgent", "busy", 0, 1.0, burst }, { "urgent", "also-busy", 0, 2.0, burst } };
        AdmissionPlan plan = planAdmission(load);
        BOOST_TEST(shareOf(plan, "calm") == kWholeShare);
        // By weight: what the third team gets is twice what the second gets.
        BOOST_TEST(static_cast<double>(shareOf(plan, "also-busy")) / static_cast<double>(std::max<std::int64_t>(1, shareOf(plan, "busy"))) > 1.5);
        BOOST_TEST(shareOf(plan, "busy") < kWholeShare);
    }
}

// What no other team wants is not withheld from a busy one.
BOOST_AUTO_TEST_CASE(SharesAreWorkConserving)
{
    AdmissionLoad load = makeLoad(1000.0);
    load.demand = { { "urgent", "calm", 0, 10.0, 10.0 }, { "urgent", "busy", 0, 1.0, 900.0 } };
    BOOST_TEST(!isLimiting(planAdmission(load)));
}

BOOST_AUTO_TEST_CASE(UnknownTeamsAreAccepted)
{
    AdmissionLoad load = makeLoad(1000.0);
    load.demand = { { "urgent", "busy", 0, 1.0, 90000.0 } };
    AdmissionPlan plan = planAdmission(load);
    BOOST_TEST(plan.classes.at(0).acceptedOfOthers == kWholeShare);
    load.isTableFull = true;
    BOOST_TEST(planAdmission(load).classes.at(1).acceptedOfOthers == 0);
}

BOOST_AUTO_TEST_CASE(DividesByWeight)
{
    std::vector<double> amounts = divideByWeight({ { 10.0, 1.0 }, { 100.0, 1.0 }, { 100.0, 3.0 } }, 90.0);
    BOOST_TEST(amounts[0] == 10.0, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(amounts[1] == 20.0, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(amounts[2] == 60.0, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(divideByWeight({ { 5.0, 0.0 }, { 5.0, 1.0 } }, 7.0)[0] == 2.0, boost::test_tools::tolerance(1e-6));
    BOOST_TEST(divideByWeight({}, 1.0).empty());
    BOOST_TEST(divideByWeight({ { 5.0, 1.0 } }, -1.0)[0] == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace crocuslever::cell
