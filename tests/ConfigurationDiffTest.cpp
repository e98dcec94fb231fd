#include "src/control/ConfigurationDiff.h"

#include <boost/test/unit_test.hpp>

using namespace crocuslever;

using Lines = std::vector<std::string>;

BOOST_AUTO_TEST_SUITE(ConfigurationDiffTest)

static PolicyException makeException(const std::string& name)
{
    PolicyException exception;
    exception.name = name;
    exception.reason = "trial";
    exception.kind = WorkKind::Batch;
    exception.maximumAttempts = 7;
    return exception;
}

static Configuration makeConfiguration()
{
    Configuration configuration;
    configuration.revision = 4;
    configuration.teams.push_back({ TeamId("lathe-hall"), 4, 160, { { "lathe-hall-1", "ab", "0123456789abcdef" } } });
    configuration.teams.push_back({ TeamId("archive"), 0.5, 16, {} });
    return configuration;
}

static void checkDiff(const Configuration& before, const Configuration& after, const Lines& expected)
{
    Lines lines = diffConfigurations(before, after);
    BOOST_TEST(lines == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(RevisionAndTeamOrderAreIgnored)
{
    Configuration after = makeConfiguration();
    after.revision = 9;
    std::swap(after.teams[0], after.teams[1]);
    checkDiff(makeConfiguration(), after, {});
}

BOOST_AUTO_TEST_CASE(ChangedFieldShowsBothValues)
{
    Configuration after = makeConfiguration();
    after.defaults.urgentDeadline = std::chrono::milliseconds(1500);
    after.defaults.taskResources.accelerators = 1;
    after.teams[0].upperLimit = 200;
    after.teams[1].shareWeight = 0.75;
    checkDiff(makeConfiguration(), after,
        { "~ defaults task_resources: milli_cpu 1000, memory_mb 256, accelerators 0, slots 1 -> milli_cpu 1000, memory_mb 256, accelerators 1, slots 1",
            "~ defaults urgent_deadline: 2300ms -> 1500ms",
            "~ team archive share: 0.5 -> 0.75",
            "~ team lathe-hall upper_limit: 160 -> 200" });
}

BOOST_AUTO_TEST_CASE(EveryDefaultIsCompared)
{
    Configuration after = makeConfiguration();
    after.defaults = { { 1, 1, 1, 2 }, 4, std::chrono::seconds(1), std::chrono::seconds(1), std::chrono::hours(1), 1, 1, 1 };
    BOOST_TEST(diffConfigurations(makeConfiguration(), after).size() == 8);
}

BOOST_AUTO_TEST_CASE(KeysAreShownByIdAndShortenedHash)
{
    Configuration after = makeConfiguration();
    after.teams[0].keys = { { "lathe-hall-2", "cd", "fedcba9876543210" } };
    checkDiff(makeConfiguration(), after,
        { "- team lathe-hall key lathe-hall-1: hash 01234567...", "+ team lathe-hall key lathe-hall-2: hash fedcba98..." });
}

BOOST_AUTO_TEST_CASE(ChangedHashOrSaltIsAChange)
{
    Configuration after = makeConfiguration();
    after.teams[0].keys[0].salt = "cd";
    BOOST_TEST(diffConfigurations(makeConfiguration(), after).size() == 1);
    after = makeConfiguration();
    after.teams[0].keys[0].hash = "0123456789abcdee";
    BOOST_TEST(diffConfigurations(makeConfiguration(), after).size() == 1);
}

BOOST_AUTO_TEST_CASE(RemovedTeamShowsItsKeysAsRemoved)
{
    Configuration after = makeConfiguration();
    after.teams.erase(after.teams.begin());
    checkDiff(makeConfiguration(), after,
        { "- team lathe-hall key lathe-hall-1: hash 01234567...", "- team lathe-hall share: 4.0", "- team lathe-hall upper_limit: 160" });
}

BOOST_AUTO_TEST_CASE(ExceptionFieldsAreComparedOneByOne)
{
    Configuration before = makeConfiguration();
    before.exceptions = { makeException("a") };
    Configuration after = before;
    after.exceptions[0].maximumAttempts.reset();
    after.exceptions[0].team = TeamId("archive");
    after.exceptions[0].reason = "settled";
    checkDiff(before, after,
        { "- exception \"a\" maximum_attempts: 7", "~ exception \"a\" reason: trial -> settled", "+ exception \"a\" team: archive" });
}

BOOST_AUTO_TEST_CASE(ExceptionOrderIsCompared)
{
    Configuration before = makeConfiguration();
    before.exceptions = { makeException("a"), makeException("b") };
    Configuration after = before;
    std::swap(after.exceptions[0], after.exceptions[1]);
    checkDiff(before, after, { "~ order of exceptions: \"a\", \"b\" -> \"b\", \"a\"" });
}

BOOST_AUTO_TEST_CASE(DuplicateExceptionNamesAreAllCompared)
{
    Configuration before = makeConfiguration();
    before.exceptions = { makeException("a"), makeException("a") };
    Configuration after = before;
    after.exceptions[1].maximumAttempts = 8;
    checkDiff(before, after, { "~ exception \"a\" maximum_attempts #2: 7 -> 8" });
}

BOOST_AUTO_TEST_CASE(DomainsAndObjectivesAreCompared)
{
    Configuration before = makeConfiguration();
    before.domainsOut = { { FailureDomainId("kumasi-1"), "mains work" } };
    Configuration after = makeConfiguration();
    after.domainsOut = { { FailureDomainId("kumasi-2"), "flood" } };
    after.objectives = { { TeamId("archive"), WorkKind::Batch, std::chrono::hours(4), 0.99 } };
    checkDiff(before, after,
        { "- domain out kumasi-1: mains work",
            "+ domain out kumasi-2: flood",
            "+ objective archive/batch target: 0.99",
            "+ objective archive/batch waiting_time: 4h" });
}

BOOST_AUTO_TEST_SUITE_END()
