#include "src/cell/TeamShares.h"

#include <boost/test/unit_test.hpp>

namespace crocuslever::cell {

BOOST_AUTO_TEST_SUITE(TeamSharesTest)

static constexpr Resources kCapacity { 100000, 1000000, 0, 0 };

static FleetPolicy makePolicy()
{
    FleetPolicy policy;
    policy.teams["large"] = Team { "large", 3.0, {}, {} };
    policy.teams["small"] = Team { "small", 1.0, {}, {} };
    policy.teams["idle"] = Team { "idle", 100.0, {}, {} };
    return policy;
}

static std::map<std::string, RoomUse> makeUse(std::int64_t large, std::int64_t small)
{
    std::map<std::string, RoomUse> use;
    use["large"].used.milliCpu = large;
    use["small"].used.milliCpu = small;
    use["idle"];
    return use;
}

// A team's weight was read and used in no decision.
BOOST_AUTO_TEST_CASE(SharesFollowTheWeights)
{
    std::map<std::string, TeamShare> shares = computeTeamShares(makePolicy(), makeUse(50000, 50000), {}, kCapacity);
    BOOST_TEST(shares.at("large").fair == 0.75);
    BOOST_TEST(shares.at("small").fair == 0.25);
    BOOST_TEST(excessRank(shares.at("large")) == 0);
    BOOST_TEST(excessRank(shares.at("small")) == 2);
    // What idle teams do not use is left to the others.
    BOOST_TEST(shares.count("idle") == 0U);
}

BOOST_AUTO_TEST_CASE(TeamThatOnlyWaitsCounts)
{
    std::map<std::string, TeamShare> shares = computeTeamShares(makePolicy(), makeUse(30000, 0), { "small" }, kCapacity);
    BOOST_TEST(shares.at("small").dominant == 0.0);
    BOOST_TEST(excessRank(shares.at("small")) == 0);
    BOOST_TEST(shares.at("large").fair == 0.75);
}

// A team that takes all memory is no better than one that takes all processors.
BOOST_AUTO_TEST_CASE(LargestShareOfAnyResourceCounts)
{
    std::map<std::string, RoomUse> use = makeUse(1000, 1000);
    use["small"].used.memoryMb = 600000;
    std::map<std::string, TeamShare> shares = computeTeamShares(makePolicy(), use, {}, kCapacity);
    BOOST_TEST(shares.at("small").dominant == 0.6);
    BOOST_TEST(findLargestExcess(shares).first == "small");
}

// A configuration may name no team, or give all of them no weight.
BOOST_AUTO_TEST_CASE(UnknownTeamsAndNoWeightsAreHandled)
{
    FleetPolicy policy;
    std::map<std::string, TeamShare> shares = computeTeamShares(policy, makeUse(90000, 1000), {}, kCapacity);
    BOOST_TEST(shares.at("large").fair == 0.5);
    policy.teams["large"].weight = 0.0;
    policy.teams["small"].weight = 0.0;
    shares = computeTeamShares(policy, makeUse(90000, 1000), {}, {});
    BOOST_TEST(excessRank(shares.at("large")) == 0);
    BOOST_TEST(computeTeamShares(policy, {}, {}, kCapacity).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace crocuslever::cell
