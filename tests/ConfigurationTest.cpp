#include "crocuslever/Configuration.h"

#include <boost/test/unit_test.hpp>

using namespace crocuslever;

BOOST_AUTO_TEST_SUITE(ConfigurationTest)

static Configuration makeConfiguration()
{
    Configuration configuration;
    Team team;
    team.id = TeamId("shopfloor");
    team.keys.push_back({ "k1", "ab", hashKeySecret("ab", "secret") });
    configuration.teams.push_back(team);
    return configuration;
}

BOOST_AUTO_TEST_CASE(AKeyAuthenticatesOnlyItsOwnTeam)
{
    Configuration configuration = makeConfiguration();
    BOOST_TEST(authenticate(configuration, "k1.secret")->value() == "shopfloor");
    BOOST_TEST(!authenticate(configuration, "k1.other").has_value());
    BOOST_TEST(!authenticate(configuration, "k2.secret").has_value());
    BOOST_TEST(!authenticate(configuration, "secret").has_value());
}

BOOST_AUTO_TEST_CASE(AnExceptionOverridesOnlyTheDefaultsItNames)
{
    Configuration configuration = makeConfiguration();
    PolicyException exception;
    exception.team = TeamId("shopfloor");
    exception.kind = WorkKind::Batch;
    exception.maximumAttempts = 7;
    configuration.exceptions.push_back(exception);
    BOOST_TEST(effectivePolicy(configuration, TeamId("shopfloor"), WorkKind::Batch).maximumAttempts == 7);
    BOOST_TEST(effectivePolicy(configuration, TeamId("shopfloor"), WorkKind::Gang).maximumAttempts == 3);
    BOOST_TEST(effectivePolicy(configuration, TeamId("other"), WorkKind::Batch).maximumAttempts == 3);
    BOOST_TEST(effectivePolicy(configuration, TeamId("shopfloor"), WorkKind::Batch).maximumBodyBytes == 65536);
}

BOOST_AUTO_TEST_CASE(JobIdsAreStableAndDistinctBetweenTeams)
{
    BOOST_TEST(makeJobId(TeamId("a"), "b/c").value() == makeJobId(TeamId("a"), "b/c").value());
    BOOST_TEST(makeJobId(TeamId("a"), "b/c").value() != makeJobId(TeamId("a/b"), "c").value());
}

BOOST_AUTO_TEST_SUITE_END()
