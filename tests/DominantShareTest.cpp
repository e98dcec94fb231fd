#include "src/core/DominantShare.h"

#include <boost/test/unit_test.hpp>

#include "tests/support/CoreFixture.h"

using namespace crocuslever;
using namespace crocuslever::testing;

static void beat(CoreFixture& f, const std::string& member, const Resources& capacity, std::vector<TeamUsage> teams)
{
    f.addMember(member, 8);
    f.state.members.at(InstanceId(member)).heartbeat.capacity = capacity;
    f.state.members.at(InstanceId(member)).heartbeat.teams = std::move(teams);
}

BOOST_FIXTURE_TEST_SUITE(DominantShareTest, CoreFixture)

BOOST_AUTO_TEST_CASE(TheDominantResourceOverAllMembersCounts)
{
    addTeam("heavy", 10, 2);
    beat(*this, "entry-2", { 1000, 1000, 0, 10 }, { { TeamId("heavy"), 2, 0, 0, { 100, 400, 0, 2 } }, { TeamId("shop"), 1, 0, 0, { 100, 100, 0, 1 } } });
    beat(*this, "entry-3", { 1000, 1000, 0, 10 }, { { TeamId("shop"), 3, 0, 0, { 300, 100, 0, 3 } } });
    BOOST_TEST(dominantShare(state, TeamId("shop"), now) == 0.2, boost::test_tools::tolerance(1e-9));
    // Memory is the dominant resource; the share weight of 2 halves the share.
    BOOST_TEST(dominantShare(state, TeamId("heavy"), now) == 0.1, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(runningFleetWide(state, TeamId("shop")) == 4);
}

BOOST_AUTO_TEST_CASE(ASilentMemberCountsNoMore)
{
    beat(*this, "entry-2", { 1000, 1000, 0, 10 }, { { TeamId("shop"), 5, 0, 0, { 500, 0, 0, 5 } } });
    beat(*this, "entry-3", { 1000, 1000, 0, 10 }, {});
    now += std::chrono::seconds(10);
    state.members.at(InstanceId("entry-3")).lastHeard = now;
    BOOST_TEST(dominantShare(state, TeamId("shop"), now) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
