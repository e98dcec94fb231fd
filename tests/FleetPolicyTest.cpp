#include "src/cell/FleetPolicy.h"

#include <boost/test/unit_test.hpp>
#include <ctime>

using namespace crocuslever::cell;

BOOST_AUTO_TEST_SUITE(FleetPolicyTest)

static Route makeRoute(const std::string& name, const std::string& host, const std::string& prefix)
{
    Route route;
    route.name = name;
    route.host = host;
    route.prefix = prefix;
    return route;
}

static std::string nameOf(const Route* route) { return route ? route->name : ""; }

BOOST_AUTO_TEST_CASE(LongestPrefixOfTheHostIsFound)
{
    FleetPolicy policy;
    policy.routes = { makeRoute("short", "h", "/a/"), makeRoute("long", "h", "/a/b/"), makeRoute("other", "g", "/a/b/c/"), makeRoute("any", "g", "") };
    indexRoutes(policy);
    BOOST_TEST(nameOf(findRoute(policy, "h", "/a/x")) == "short");
    BOOST_TEST(nameOf(findRoute(policy, "h", "/a/b/c/x")) == "long");
    BOOST_TEST(nameOf(findRoute(policy, "h", "/a/b/")) == "long");
    BOOST_TEST(nameOf(findRoute(policy, "g", "/a/b/")) == "any");
    BOOST_TEST(nameOf(findRoute(policy, "h", "/")) == "");
    BOOST_TEST(nameOf(findRouteByName(policy, "other")) == "other");
    BOOST_TEST(nameOf(findRouteByName(policy, "none")) == "");
}

BOOST_AUTO_TEST_CASE(FirstOfTwoEqualRoutesIsFound)
{
    FleetPolicy policy;
    policy.routes = { makeRoute("first", "h", "/a/"), makeRoute("second", "h", "/a/"), makeRoute("first", "h", "/b/") };
    indexRoutes(policy);
    BOOST_TEST(nameOf(findRoute(policy, "h", "/a/x")) == "first");
    BOOST_TEST(findRouteByName(policy, "first")->prefix == "/a/");
}

// Each lookup went through all routes, 4,200 after the routes of an incident were added.
BOOST_AUTO_TEST_CASE(LookupsGoThroughAllRoutes)
{
    constexpr int kRoutes = 20000;
    constexpr int kLookups = 20000;
    FleetPolicy policy;
    for (int n = 0; n < kRoutes; ++n)
        policy.routes.push_back(makeRoute("route-" + std::to_string(n), "host", "/" + std::to_string(n) + "/"));
    indexRoutes(policy);
    std::clock_t begin = std::clock();
    for (int n = 0; n < kLookups; ++n) {
        std::string suffix = std::to_string(n % kRoutes);
        BOOST_REQUIRE(nameOf(findRoute(policy, "host", "/" + suffix + "/job")) == "route-" + suffix);
        BOOST_REQUIRE(findRouteByName(policy, "route-" + suffix));
    }
    // Going through all routes takes 400 million comparisons.
    double processorSeconds = static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
    BOOST_TEST(processorSeconds < 0.5);
}

BOOST_AUTO_TEST_SUITE_END()
