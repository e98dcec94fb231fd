#include "src/config/ConfigurationFile.h"

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "src/config/SettingsFile.h"
#include "src/config/YamlReader.h"

using namespace crocuslever;

BOOST_AUTO_TEST_SUITE(ConfigurationFileTest)

static const std::string kHash = "5e884898da28047151d0e56f8dc6292773603d0d6aabbdd62a11ef721d1542d8";

static const std::string kValidConfiguration = "defaults:\n" // 1
                                               "  urgent_deadline: 1500ms\n"
                                               "  result_retention: 48h\n"
                                               "teams:\n"
                                               "  - id: shopfloor\n" // 5
                                               "    share: 2.5\n"
                                               "    upper_limit: 40\n"
                                               "    keys:\n"
                                               "      - id: k1\n"
                                               "        salt: ab01\n" // 10
                                               "        hash: "
    + kHash + "\n"
              "  - id: office\n"
              "    upper_limit: 10\n"
              "exceptions:\n"
              "  - name: long plans\n" // 15
              "    reason: refit plans of old collars fail at first\n"
              "    team: shopfloor\n"
              "    kind: batch\n"
              "    maximum_attempts: 5\n"
              "domains_out:\n" // 20
              "  - domain: kumasi-2\n"
              "    reason: mains work\n"
              "objectives:\n"
              "  - team: office\n"
              "    kind: urgent\n" // 25
              "    waiting_time: 300ms\n"
              "    target: 0.995\n";

static std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    std::size_t at = text.find(from);
    BOOST_REQUIRE_MESSAGE(at != std::string::npos, from);
    return text.replace(at, from.size(), to);
}

/// Calling error() on a successful result is undefined behaviour, even for a message that is not
/// printed.
template <typename T>
static std::string messageOf(const Result<T>& result)
{
    return result.has_error() ? result.error().message : std::string();
}

BOOST_AUTO_TEST_CASE(ACompleteFileIsParsed)
{
    Result<Configuration> parsed = parseConfigurationFile(kValidConfiguration, "fleet.yaml");
    BOOST_REQUIRE_MESSAGE(parsed.has_value(), messageOf(parsed));
    const Configuration& configuration = parsed.value();
    BOOST_TEST(toMilliseconds(configuration.defaults.urgentDeadline) == 1500);
    BOOST_TEST((configuration.defaults.resultRetention == std::chrono::hours(48)));
    BOOST_TEST(configuration.defaults.maximumAttempts == PolicyDefaults().maximumAttempts);
    BOOST_REQUIRE(configuration.teams.size() == 2);
    BOOST_TEST(configuration.teams[0].shareWeight == 2.5);
    BOOST_TEST(configuration.teams[0].upperLimit == 40);
    BOOST_TEST((configuration.teams[0].keys[0] == KeyHash { "k1", "ab01", kHash }));
    BOOST_REQUIRE(configuration.exceptions.size() == 1);
    BOOST_TEST(configuration.exceptions[0].maximumAttempts.value() == 5);
    BOOST_TEST(!configuration.exceptions[0].urgentDeadline.has_value());
    BOOST_TEST(configuration.isDomainOut(FailureDomainId("kumasi-2")));
    BOOST_TEST(toMilliseconds(configuration.objectives[0].waitingTime) == 300);
}

BOOST_AUTO_TEST_CASE(AFormattedConfigurationParsesToAnEqualOne)
{
    Configuration configuration = parseConfigurationFile(kValidConfiguration, "fleet.yaml").value();
    configuration.revision = 17;
    configuration.defaults.taskResources = { 500, 128, 1, 1 };
    configuration.defaults.attemptLease = std::chrono::microseconds(1500001);
    configuration.exceptions[0].taskResources = Resources { 10, 20, 0, 1 };
    configuration.exceptions[0].urgentDeadline = std::chrono::minutes(2);
    configuration.exceptions[0].reason = "quotes \" and: colons # and\nlines, caf\xc3\xa9";
    configuration.teams[1].id = TeamId("0123");
    configuration.teams[1].shareWeight = 1.0 / 3;
    configuration.objectives[0].team = TeamId("0123");
    configuration.objectives[0].target = 0.9995;
    Result<Configuration> parsed = parseConfigurationFile(formatConfigurationFile(configuration), "again.yaml");
    BOOST_REQUIRE_MESSAGE(parsed.has_value(), messageOf(parsed));
    BOOST_TEST((parsed.value() == configuration));
}

struct BadConfiguration {
    const char* from;
    const char* to;
    const char* fault; ///< A line of the message must begin with it.
};

static const BadConfiguration kBadConfigurations[] = {
    { "urgent_deadline: 1500ms", "urgent_deadline: 1500", "fleet.yaml:2: defaults.urgent_deadline: must be a positive duration" },
    { "urgent_deadline: 1500ms", "urgent_deadline: -5s", "fleet.yaml:2: defaults.urgent_deadline: must be a positive duration" },
    { "urgent_deadline: 1500ms", "urgent_dedline: 15s", "fleet.yaml:2: defaults.urgent_dedline: unknown key" },
    { "urgent_deadline: 1500ms", "urgent_headroom_percent: 101", "fleet.yaml:2: defaults.urgent_headroom_percent: must be a whole number from 0 to 90" },
    { "urgent_deadline: 1500ms", "maximum_queued_jobs: 0", "fleet.yaml:2: defaults.maximum_queued_jobs: must be a whole number from 1" },
    { "urgent_deadline: 1500ms", "task_resources: {milli_cpu: -1}", "fleet.yaml:2: defaults.task_resources.milli_cpu: must be" },
    { "urgent_deadline: 1500ms", "task_resources: {milli_cpu: 0, memory_mb: 0}", "fleet.yaml:2: defaults.task_resources: must not all be 0" },
    { "share: 2.5", "share: 0", "fleet.yaml:6: teams[0].share: must be a number from 0.001" },
    { "share: 2.5", "share: nan", "fleet.yaml:6: teams[0].share: must be a number" },
    { "upper_limit: 40", "upper_limit: 0", "fleet.yaml:7: teams[0].upper_limit: must be a whole number from 1" },
    { "    upper_limit: 40\n", "", "fleet.yaml:5: teams[0].upper_limit: missing" },
    { "- id: office", "- id: shopfloor", "fleet.yaml:12: teams[1].id: \"shopfloor\" is used twice" },
    { "- id: office", "- name: office", "fleet.yaml:12: teams[1].id: missing" },
    { "- id: k1", "- id: k.1", "fleet.yaml:9: teams[0].keys[0].id: must not contain a dot" },
    { "salt: ab01", "salt: xy", "fleet.yaml:10: teams[0].keys[0].salt: must be hexadecimal" },
    { "hash: 5e88", "hash: 5e8", "fleet.yaml:11: teams[0].keys[0].hash: must be 64 hexadecimal digits" },
    { "hash: 5e88", "hash: 5E88", "fleet.yaml:11: teams[0].keys[0].hash: must be 64 hexadecimal digits" },
    { "hash: 5e88", "secret: 5e88", "fleet.yaml:11: teams[0].keys[0].secret: unknown key" },
    { "    upper_limit: 10\n", "    upper_limit: 10\n    keys: [{id: k1, salt: ab, hash: ab}]\n", "fleet.yaml:14: teams[1].keys[0].id: \"k1\" is used twice" },
    { "    reason: refit plans of old collars fail at first\n", "", "fleet.yaml:15: exceptions[0].reason: missing" },
    { "reason: refit plans of old collars fail at first", "reason: ''", "fleet.yaml:16: exceptions[0].reason: must not be empty" },
    { "name: long plans", "title: long plans", "fleet.yaml:15: exceptions[0].name: missing" },
    { "team: shopfloor", "team: shopflor", "fleet.yaml:17: exceptions[0].team: no team \"shopflor\"" },
    { "kind: batch", "kind: bulk", "fleet.yaml:18: exceptions[0].kind: must be urgent, batch, gang or service" },
    { "    maximum_attempts: 5\n", "", "fleet.yaml:15: exceptions[0]: overrides no default" },
    { "    team: shopfloor\n    kind: batch\n", "", "fleet.yaml:15: exceptions[0]: must name a team, a kind or both" },
    { "maximum_attempts: 5", "attempt_lease: 5s", "fleet.yaml:19: exceptions[0].attempt_lease: unknown key" },
    { "    reason: mains work\n", "", "fleet.yaml:21: domains_out[0].reason: missing" },
    { "    reason: mains work\n", "    reason: a\n  - {domain: kumasi-2, reason: b}\n", "fleet.yaml:23: domains_out[1].domain: \"kumasi-2\" is used twice" },
    { "team: office", "team: offices", "fleet.yaml:24: objectives[0].team: no team \"offices\"" },
    { "waiting_time: 300ms", "waiting_time: 0ms", "fleet.yaml:26: objectives[0].waiting_time: must be a positive duration" },
    { "target: 0.995", "target: 99.5", "fleet.yaml:27: objectives[0].target: must be a number from 0.5 to 0.99999" },
    { "domains_out:", "domains: 3\ndomains_out:", "fleet.yaml:20: domains: unknown key" },
    { "objectives:", "objectives: {}\nother:", "fleet.yaml:23: objectives: must be a list" },
    { "teams:", "teams: all\nother:", "fleet.yaml:4: teams: must be a list" },
    { "defaults:", "defaults: [", "fleet.yaml:" },
    { "defaults:", "defaults: &a\n  <<: *a", "fleet.yaml:" },
};

BOOST_AUTO_TEST_CASE(EachFaultIsReportedWithFileLineAndKey)
{
    for (const BadConfiguration& bad : kBadConfigurations) {
        BOOST_TEST_CONTEXT(bad.to << " wants " << bad.fault)
        {
            Result<Configuration> parsed = parseConfigurationFile(replaced(kValidConfiguration, bad.from, bad.to), "fleet.yaml");
            BOOST_REQUIRE(parsed.has_error());
            std::string message = "\n" + parsed.error().message;
            BOOST_TEST(message.find("\n" + std::string(bad.fault)) != std::string::npos, message);
        }
    }
}

BOOST_AUTO_TEST_CASE(AllFaultsAreReportedInFileOrder)
{
    std::string text = replaced(kValidConfiguration, "share: 2.5", "share: -1");
    text = replaced(text, "target: 0.995", "target: 2");
    text = replaced(text, "reason: mains work", "reasons: mains work");
    Result<Configuration> parsed = parseConfigurationFile(text, "f");
    BOOST_REQUIRE(parsed.has_error());
    std::string expected = "f:6: teams[0].share: must be a number from 0.001 to 1e+06\n"
                           "f:21: domains_out[0].reason: missing\n"
                           "f:22: domains_out[0].reasons: unknown key\n"
                           "f:27: objectives[0].target: must be a number from 0.5 to 0.99999";
    BOOST_TEST(parsed.error().message == expected);
}

BOOST_AUTO_TEST_CASE(AnEmptyFileIsRejected)
{
    for (const char* text : { "", "# nothing\n", "[]", "teams" })
        BOOST_TEST(parseConfigurationFile(text, "f").has_error(), text);
}

/// The examples folder of the checkout that contains the working directory.
static std::filesystem::path findExamples()
{
    std::filesystem::path folder = std::filesystem::current_path();
    while (!std::filesystem::exists(folder / "examples" / "asante") && folder.has_relative_path())
        folder = folder.parent_path();
    return folder / "examples";
}

static std::string readExample(const std::string& name)
{
    std::ifstream file(findExamples() / name);
    BOOST_REQUIRE_MESSAGE(file, name << " not found in the working directory or above");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

BOOST_AUTO_TEST_CASE(TheExamplesAreValid)
{
    for (const char* name : { "asante/configuration.yaml", "cofre-livre/configuration.yaml" }) {
        Result<Configuration> parsed = parseConfigurationFile(readExample(name), name);
        BOOST_REQUIRE_MESSAGE(parsed.has_value(), messageOf(parsed));
        BOOST_TEST(parsed.value().teams.size() == 6);
        for (const Team& team : parsed.value().teams)
            BOOST_TEST((authenticate(parsed.value(), team.id.value() + "-1.example-" + team.id.value()) == team.id));
    }
    for (const char* name : { "asante/kumasi-1a.yaml", "cofre-livre/porto-1a.yaml" }) {
        Result<Settings> parsed = parseSettingsFile(readExample(name), name);
        BOOST_TEST(parsed.has_value(), messageOf(parsed));
    }
}

struct DurationText {
    const char* text;
    std::int64_t microseconds; ///< -1 if the text is rejected.
};

BOOST_AUTO_TEST_CASE(DurationsAreParsedWithTheirUnit)
{
    static const DurationText kTexts[] = {
        { "2300ms", 2300000 }, { "24h", 86400000000 }, { "5s", 5000000 }, { "10m", 600000000 }, { "7us", 7 }, { "0s", 0 },
        { "", -1 }, { "5", -1 }, { "s", -1 }, { "-5s", -1 }, { "5 s", -1 }, { "1.5s", -1 }, { "5sec", -1 }, { "99999999999999999999s", -1 }, { "9000000h", -1 }
    };
    for (const DurationText& entry : kTexts) {
        std::optional<Duration> duration = parseDuration(entry.text);
        BOOST_TEST(duration.value_or(Duration(-1)).count() == entry.microseconds, entry.text);
        if (duration && duration->count() > 0)
            BOOST_TEST(formatDuration(*duration) == entry.text);
    }
}

BOOST_AUTO_TEST_SUITE_END()
