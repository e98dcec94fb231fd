#include "src/codec/RecordCodec.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace crocuslever;
using nlohmann::json;

BOOST_AUTO_TEST_SUITE(ControlCodecTest)

static Configuration makeConfiguration()
{
    Configuration configuration;
    configuration.revision = 17;
    configuration.defaults.maximumAttempts = 5;
    configuration.defaults.urgentDeadline = std::chrono::milliseconds(1234);
    Team team;
    team.id = TeamId("reseller-1");
    team.shareWeight = 2.5;
    team.upperLimit = 40;
    team.keys.push_back({ "k1", "ab", "cd" });
    configuration.teams.push_back(team);
    PolicyException exception;
    exception.name = "long checks";
    exception.reason = "regrind checks take minutes";
    exception.team = team.id;
    exception.kind = WorkKind::Gang;
    exception.taskResources = Resources { 1, 2, 3, 4 };
    exception.maximumBodyBytes = 99;
    configuration.exceptions.push_back(exception);
    configuration.domainsOut.push_back({ FailureDomainId("porto-2"), "power work" });
    configuration.objectives.push_back({ team.id, WorkKind::Urgent, std::chrono::milliseconds(50), 0.995 });
    return configuration;
}

BOOST_AUTO_TEST_CASE(RecordsRoundTrip)
{
    MemberRecord member { InstanceId("i1"), SessionId("i1-7"), "127.0.0.1:4000", "key", FailureDomainId("d1") };
    BOOST_TEST((decodeMember(encodeMember(member)).value() == member));
    OwnershipRecord ownership { InstanceId("i1"), SessionId("s"), 12, { SessionId("a"), SessionId("b") } };
    BOOST_TEST((decodeOwnership(encodeOwnership(ownership)).value() == ownership));
    BOOST_TEST((decodeOwnership(encodeOwnership({})).value() == OwnershipRecord {}));
    GrantRecord grants { { TeamId("t"), { { SessionId("a"), 3 }, { SessionId("b"), 0 } } }, { TeamId("u"), {} } };
    BOOST_TEST((decodeGrants(encodeGrants(grants)).value() == grants));
    BOOST_TEST(decodeGrants(encodeGrants({})).value().empty());
    Configuration configuration = makeConfiguration();
    BOOST_TEST((decodeConfiguration(encodeConfiguration(configuration)).value() == configuration));
}

BOOST_AUTO_TEST_CASE(InvalidUtf8IsEncoded)
{
    MemberRecord member { InstanceId("i\xff"), SessionId("s"), "a", "", FailureDomainId("d") };
    BOOST_TEST(decodeMember(encodeMember(member)).has_value());
}

struct Malformed {
    const char* pointer;
    json value;
    const char* message; ///< Substring expected in the error's message.
};

static void checkRefused(const json& document, const std::string& message)
{
    Result<Configuration> result = decodeConfiguration(document.dump());
    BOOST_TEST_REQUIRE(!result.has_value());
    BOOST_TEST(result.error().step == "codec.configuration");
    BOOST_TEST((result.error().code == ErrorCode::InvalidInput));
    BOOST_TEST(result.error().message.find(message) != std::string::npos, result.error().message << " lacks " << message);
}

BOOST_AUTO_TEST_CASE(InvalidConfigurationIsRefusedWithThePath)
{
    const json good = json::parse(encodeConfiguration(makeConfiguration()));
    const std::vector<Malformed> cases {
        { "/revision", -1, "revision: must be from 0" },
        { "/revision", 1.5, "revision: must be an integer" },
        { "/revision", 18446744073709551615ULL, "revision: must be an integer" },
        { "/surprise", 1, "surprise: is not a known setting" },
        { "/defaults", json::array(), "defaults: must be an object" },
        { "/defaults/urgent_headroom_percent", 101, "defaults.urgent_headroom_percent: must be from 0 to 100" },
        { "/defaults/maximum_attempts", 0, "defaults.maximum_attempts: must be from 1" },
        { "/defaults/urgent_deadline_ms", 9000000000000000LL, "defaults.urgent_deadline_ms: must be from 0" },
        { "/defaults/typo", 1, "defaults.typo: is not a known setting" },
        { "/defaults/task_resources/milli_cpu", "1", "defaults.task_resources.milli_cpu: must be an integer" },
        { "/exceptions/0/reason", "", "exceptions[0].reason: must not be empty" },
        { "/exceptions/0/kind", "slow", "exceptions[0].kind: must be urgent" },
        { "/exceptions/0/team", 4, "exceptions[0].team: must be a string" },
        { "/teams", json::object(), "teams: must be an array" },
        { "/teams/0", nullptr, "teams[0]: must be an object" },
        { "/teams/0/share_weight", 0, "teams[0].share_weight: must be above zero" },
        { "/teams/0/upper_limit", 3000000000LL, "teams[0].upper_limit: must be from 0" },
        { "/teams/0/keys/0/hash", "", "teams[0].keys[0].hash: must not be empty" },
        { "/teams/1", good["teams"][0], "teams[1].id: is used twice" },
        { "/domains_out/0/reason", "", "domains_out[0].reason: must not be empty" },
        { "/objectives/0/target", 1, "objectives[0].target: must be between 0 and 1" },
    };
    for (const Malformed& malformed : cases) {
        json document = good;
        document[json::json_pointer(malformed.pointer)] = malformed.value;
        checkRefused(document, malformed.message);
    }
}

BOOST_AUTO_TEST_CASE(MissingMemberIsReported)
{
    const json good = json::parse(encodeConfiguration(makeConfiguration()));
    for (const auto& [key, value] : good.items()) {
        json document = good;
        document.erase(key);
        checkRefused(document, key + ": is missing");
    }
}

BOOST_AUTO_TEST_CASE(MalformedTextIsRefusedByEveryDecoder)
{
    for (const char* text : { "", "{", "[]", "null", "7", "\"x\"", "{\"id\":1}", "{\"t\":3}", "{\"t\":{\"s\":-1}}",
             "{\"t\":{\"s\":1e300}}", "{\"epoch\":1e999}", "\xff\xfe" }) {
        BOOST_TEST(!decodeMember(text).has_value(), text);
        BOOST_TEST(!decodeOwnership(text).has_value(), text);
        BOOST_TEST(!decodeGrants(text).has_value(), text);
        BOOST_TEST(!decodeConfiguration(text).has_value(), text);
    }
}

BOOST_AUTO_TEST_CASE(AnyTruncationIsRefusedWithoutThrowing)
{
    std::string text = encodeConfiguration(makeConfiguration());
    for (std::size_t n = 0; n < text.size(); ++n)
        BOOST_TEST(!decodeConfiguration(text.substr(0, n)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
