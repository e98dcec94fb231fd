#include "platform/PlatformSettings.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

namespace crocuslever::platform {

BOOST_AUTO_TEST_SUITE(PlatformSettingsTest)

using Fields = std::map<std::string, std::string>;

static const Fields kFields {
    { "node", "edge-a-1" }, { "zone", "s" }, { "listen.front", "10.1.0.1:81" }, { "listen.ready", "10.1.0.1:82" }, { "ip", "10.1.0.1" },
    { "port-range.1", "99" }, { "listen.control", "10.1.0.1:83" }, { "platform.address", "10.2.0.1:1" }, { "advice", "10.2.0.2:1" },
    { "cloud.address", "10.2.0.3:1" }, { "contracts", "base,drain,tenants,quota,places,recover,advice,upkeep,sharing" }, { "limits.cpu-share", "0.25" },
    { "limits.max-fds", "4100" }, { "limits.memory-mb", "512" }, { "bounds.hold-max-ms", "4000" }, { "bounds.stop-ms", "900" }, { "bounds.drain-ms", "3000" },
    { "bounds.gang-timeout-ms", "5000" }, { "bounds.remote-factor", "3" }, { "bounds.config-deadline-ms", "2500" }, { "bounds.evacuate-ms", "4500" },
    { "bounds.status_s", "100" }, { "bounds.grace-s", "7" }
};

static std::string readTemplate()
{
    std::ifstream file(CROCUSLEVER_SOURCE_DIR "/deploy/settings.yaml");
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

static void replaceAll(std::string& text, const std::string& from, const std::string& to)
{
    for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size()))
        text.replace(at, from.size(), to);
}

/// The template as the platform renders it: a value that it does not have becomes nothing.
static std::string render(const Fields& fields, const std::string& missing)
{
    std::string text = readTemplate();
    replaceAll(text, "{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", missing == "seeds" ? "" : "\"10.1.0.2:83\"");
    for (const auto& [name, value] : fields)
        replaceAll(text, "{{" + name + "}}", name == missing ? "" : value);
    return text;
}

/// The names of all plain placeholders of the template.
static std::set<std::string> placeholders()
{
    std::string text = readTemplate();
    std::set<std::string> names;
    for (std::size_t at = text.find("{{"); at != std::string::npos; at = text.find("{{", at + 1)) {
        std::string name = text.substr(at + 2, text.find("}}", at) - at - 2);
        if (name.find_first_of("#/,.^") != 0)
            names.insert(name);
    }
    return names;
}

static const std::set<std::string> kRequired { "node", "zone", "listen.front", "listen.ready", "listen.control", "platform.address" };

// The rendered settings of a complete deployment must hold what the platform said.
BOOST_AUTO_TEST_CASE(ReadsEveryFieldOfTheTemplate)
{
    Result<PlatformSettings> parsed = parsePlatformSettings(render(kFields, ""), "settings.yaml");
    BOOST_REQUIRE_MESSAGE(parsed.has_value(), (parsed.has_error() ? parsed.error().message : ""));
    const PlatformSettings& settings = parsed.value();
    BOOST_TEST(settings.cell.domain == "s");
    BOOST_TEST(settings.cell.milliCpu == 250);
    BOOST_TEST(settings.maximumDescriptors == 4100);
    BOOST_TEST(settings.memoryMb == 512);
    BOOST_TEST((settings.cell.runLease == std::chrono::seconds(4)));
    BOOST_TEST((settings.cell.evacuationDeadline == std::chrono::milliseconds(4500)));
    BOOST_TEST((settings.cell.finishedRetention == std::chrono::seconds(125)));
    BOOST_TEST(settings.cell.remoteFactor == 3.0);
    BOOST_TEST(settings.cell.requiresKeys);
    BOOST_TEST(settings.featuresOff.empty());
}

// On a deployment without evacuations no instance started, as the template rendered "ms" for the missing bound.
BOOST_AUTO_TEST_CASE(StartsWithoutAnyOptionalField)
{
    for (const std::string& name : placeholders()) {
        BOOST_REQUIRE_MESSAGE(kFields.count(name) > 0, "the test has no value for {{" << name << "}}");
        Result<PlatformSettings> settings = parsePlatformSettings(render(kFields, name), "settings.yaml");
        bool isRequired = kRequired.count(name) > 0;
        BOOST_TEST(settings.has_value() == !isRequired, "without {{" << name << "}}: " << (settings.has_error() ? settings.error().message : "settings are valid"));
    }
    BOOST_TEST(parsePlatformSettings(render(kFields, "seeds"), "settings.yaml").has_value());
}

// A missing bound must leave the default of its setting.
BOOST_AUTO_TEST_CASE(MissingBoundsLeaveTheDefaults)
{
    const cell::CellSettings defaults;
    auto without = [](const std::string& name) { return parsePlatformSettings(render(kFields, name), "settings.yaml").value().cell; };
    BOOST_TEST((without("bounds.evacuate-ms").evacuationDeadline == defaults.evacuationDeadline));
    BOOST_TEST((without("bounds.drain-ms").drainDeadline == defaults.drainDeadline));
    BOOST_TEST((without("bounds.grace-s").stopGrace == defaults.stopGrace));
    BOOST_TEST((without("bounds.gang-timeout-ms").gangTimeout == defaults.gangTimeout));
    BOOST_TEST((without("bounds.stop-ms").stopTime == defaults.stopTime));
    BOOST_TEST(without("bounds.remote-factor").remoteFactor == defaults.remoteFactor);
    BOOST_TEST(parsePlatformSettings(render(kFields, "limits.memory-mb"), "settings.yaml").value().memoryMb == PlatformSettings().memoryMb);
    BOOST_TEST(without("limits.cpu-share").milliCpu == defaults.milliCpu);
}

// A reader of the template that does not know a newer placeholder leaves it in the text.
BOOST_AUTO_TEST_CASE(PlaceholdersThatWereNotSubstitutedAreUnset)
{
    Fields fields = kFields;
    fields["contracts"] = "{{contracts}}";
    Result<PlatformSettings> settings = parsePlatformSettings(render(fields, ""), "settings.yaml");
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings.value().cell.requiresKeys);
    BOOST_TEST(settings.value().featuresOff.empty());
}

// A deployment without teams answered 401 to all calls.
BOOST_AUTO_TEST_CASE(NamesTheFeaturesThatAreOff)
{
    Fields fields = kFields;
    fields["contracts"] = "base,drain,advice,recover,sharing,upkeep";
    Result<PlatformSettings> settings = parsePlatformSettings(render(fields, ""), "settings.yaml");
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(!settings.value().cell.requiresKeys);
    std::vector<std::string> expected { "keys and teams", "limits of teams", "evacuation of failure domains" };
    BOOST_TEST(settings.value().featuresOff == expected, boost::test_tools::per_element());
}

// A value that is there and wrong must still be a fault.
BOOST_AUTO_TEST_CASE(WrongValuesAreFaults)
{
    Fields fields = kFields;
    fields["bounds.evacuate-ms"] = "soon";
    Result<PlatformSettings> settings = parsePlatformSettings(render(fields, ""), "settings.yaml");
    BOOST_REQUIRE(settings.has_error());
    BOOST_TEST(settings.error().message.find("declarations.evacuate_within") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace crocuslever::platform
