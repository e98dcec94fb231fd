// The command line of crocusctl.

#include "src/control/Arguments.h"

#include <boost/test/unit_test.hpp>

#include "src/control/Commands.h"

using namespace crocuslever;

BOOST_AUTO_TEST_SUITE(ArgumentsTest)

static ExitCode usageOf(const std::vector<std::string>& words) { return parseArguments(words, "0").exitCode; }

BOOST_AUTO_TEST_CASE(InvalidUsageIsRejected)
{
    BOOST_TEST(usageOf({}) == ExitUsage);
    BOOST_TEST(usageOf({ "bogus" }) == ExitUsage);
    BOOST_TEST(usageOf({ "key" }) == ExitUsage);
    BOOST_TEST(usageOf({ "apply", "f.yaml" }) == ExitUsage);
    BOOST_TEST(usageOf({ "apply", "f.yaml", "--store", "127.0.0.1:1", "--wait" }) == ExitUsage);
    BOOST_TEST(usageOf({ "domain", "out", "kumasi-1", "--store", "127.0.0.1:1" }) == ExitUsage);
    BOOST_TEST(usageOf({ "get", "abc", "--entry", "127.0.0.1:1", "--key", "a.b\r\nX: y" }) == ExitUsage);
    BOOST_TEST(usageOf({ "submit", "--id", "a", "--service", "s", "--kind", "urgent", "--key", "a.b", "--entry", "127.0.0.1:1" }) == ExitUsage);
}

BOOST_AUTO_TEST_CASE(ExplainPlacementTakesOneIdentity)
{
    std::vector<std::string> words { "explain-placement", "--instance", "127.0.0.1:1", "--spec", "f", "--host", "h", "--path", "/p/", "--team", "t" };
    ParsedArguments parsed = parseArguments(words, "0");
    BOOST_TEST_REQUIRE(parsed.arguments.has_value());
    BOOST_TEST(parsed.arguments->instance == "127.0.0.1:1");
    BOOST_TEST(parsed.arguments->specFile == "f");
    BOOST_TEST(parsed.arguments->team == "t");
    words.insert(words.end(), { "--key", "k" });
    BOOST_TEST(usageOf(words) == ExitUsage);
    BOOST_TEST(usageOf({ "explain-placement", "--spec", "f" }) == ExitUsage);
}

BOOST_AUTO_TEST_CASE(WaitTakesAnOptionalNumber)
{
    std::vector<std::string> words { "apply", "f.yaml", "--store", "127.0.0.1:1", "--entry", "127.0.0.1:2", "--wait" };
    ParsedArguments parsed = parseArguments(words, "0");
    BOOST_TEST_REQUIRE(parsed.arguments.has_value());
    BOOST_TEST(parsed.arguments->wait->count() == 30);
    words.emplace_back("7");
    parsed = parseArguments(words, "0");
    BOOST_TEST_REQUIRE(parsed.arguments.has_value());
    BOOST_TEST(parsed.arguments->wait->count() == 7);
    BOOST_TEST(parsed.arguments->operands[0] == "f.yaml");
    BOOST_TEST(parsed.arguments->stores[0] == "127.0.0.1:1");
}

BOOST_AUTO_TEST_SUITE_END()
