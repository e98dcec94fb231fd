#include "src/config/SettingsFile.h"

#include <boost/test/unit_test.hpp>

using namespace crocuslever;

BOOST_AUTO_TEST_SUITE(SettingsFileTest)

static const std::string kValidSettings = "instance: a1\n"
                                          "domain: kumasi-1\n"
                                          "callers:\n"
                                          "  listen: 127.0.0.1:8080\n"
                                          "peers:\n"
                                          "  listen: 0.0.0.0:7400\n"
                                          "  advertise: 10.0.0.1:7400\n"
                                          "  insecure: true\n"
                                          "store:\n"
                                          "  endpoints: [127.0.0.1:2379, \"[::1]:2379\"]\n"
                                          "instance_list:\n"
                                          "  url: 127.0.0.1:9100/instances\n";

static std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    std::size_t at = text.find(from);
    BOOST_REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

BOOST_AUTO_TEST_CASE(MinimalSettingsKeepTheDefaults)
{
    Result<Settings> settings = parseSettingsFile(kValidSettings, "a1.yaml");
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings.value().core.self.value() == "a1");
    BOOST_TEST(settings.value().core.peerAddress == "10.0.0.1:7400");
    BOOST_TEST(settings.value().peerBindAddress == "0.0.0.0:7400");
    BOOST_TEST(settings.value().storeEndpoints.size() == 2);
    BOOST_TEST(settings.value().peersInsecure);
    BOOST_TEST(settings.value().core.sessionTtl.count() == CoreSettings().sessionTtl.count());
    BOOST_TEST(settings.value().callers.maximumBodyBytes == CallerServerSettings().maximumBodyBytes);
}

BOOST_AUTO_TEST_CASE(EveryTimingCanBeSet)
{
    std::string timings = "timings: {session_ttl: 10s, session_margin: 1s, keep_alive_interval: 2s, heartbeat_interval: 100ms, "
                          "peer_timeout: 900ms, commit_interval: 50ms, escrow_interval: 70ms, sync_interval: 3s, "
                          "idle_sync_interval: 1m, urgent_lease: 2s, reservation_hold: 4s, retry_interval: 600ms, shutdown_deadline: 1h}\n";
    Result<Settings> settings = parseSettingsFile(kValidSettings + timings, "a1.yaml");
    BOOST_REQUIRE(settings.has_value());
    const CoreSettings& core = settings.value().core;
    BOOST_TEST((core.sessionTtl == std::chrono::seconds(10)));
    BOOST_TEST((core.sessionMargin == std::chrono::seconds(1)));
    BOOST_TEST((core.keepAliveInterval == std::chrono::seconds(2)));
    BOOST_TEST((core.heartbeatInterval == std::chrono::milliseconds(100)));
    BOOST_TEST((core.peerTimeout == std::chrono::milliseconds(900)));
    BOOST_TEST((core.commitInterval == std::chrono::milliseconds(50)));
    BOOST_TEST((core.escrowInterval == std::chrono::milliseconds(70)));
    BOOST_TEST((core.syncInterval == std::chrono::seconds(3)));
    BOOST_TEST((core.idleSyncInterval == std::chrono::minutes(1)));
    BOOST_TEST((core.urgentLease == std::chrono::seconds(2)));
    BOOST_TEST((core.reservationHold == std::chrono::seconds(4)));
    BOOST_TEST((core.retryInterval == std::chrono::milliseconds(600)));
    BOOST_TEST((core.shutdownDeadline == std::chrono::hours(1)));
}

struct BadSettings {
    const char* from;
    const char* to;
    const char* fault; ///< A line of the message must begin with it.
};

static const BadSettings kBadSettings[] = {
    { "instance: a1\n", "", "a1.yaml:1: instance: missing" },
    { "instance: a1", "instance: ''", "a1.yaml:1: instance: must not be empty" },
    { "instance: a1", "instance: 'a 1'", "a1.yaml:1: instance: must consist of letters" },
    { "instance: a1", "instance: [a1]", "a1.yaml:1: instance: must be a single value" },
    { "domain: kumasi-1", "instance: a2", "a1.yaml:2: instance: duplicate key" },
    { "domain: kumasi-1", "domains: kumasi-1", "a1.yaml:2: domains: unknown key" },
    { "domain: kumasi-1", "domains: kumasi-1", "a1.yaml:1: domain: missing" },
    { "127.0.0.1:8080", "localhost:8080", "a1.yaml:4: callers.listen: must be an IP address and a port" },
    { "127.0.0.1:8080", "127.0.0.1", "a1.yaml:4: callers.listen: must be an IP address and a port" },
    { "127.0.0.1:8080", "127.0.0.1:80800", "a1.yaml:4: callers.listen: must be an IP address and a port" },
    { "listen: 127.0.0.1:8080", "listen: 127.0.0.1:8080\n  maximum_calls: -1", "a1.yaml:5: callers.maximum_calls: must be a whole number from 1" },
    { "listen: 127.0.0.1:8080", "listen: 127.0.0.1:8080\n  maximum_body_bytes: 64k", "a1.yaml:5: callers.maximum_body_bytes: must be a whole number" },
    { "listen: 127.0.0.1:8080", "listen: 127.0.0.1:8080\n  idle_timeout: 60", "a1.yaml:5: callers.idle_timeout: must be a positive duration" },
    { "listen: 127.0.0.1:8080", "listen: 127.0.0.1:8080\n  idle_timeout: 0s", "a1.yaml:5: callers.idle_timeout: must be a positive duration" },
    { "listen: 127.0.0.1:8080", "listen: 127.0.0.1:8080\n  idle_timeout: 99999999999h", "a1.yaml:5: callers.idle_timeout: must be a positive duration" },
    { "  insecure: true", "  public_key: short", "a1.yaml:8: peers.public_key: must be a CURVE key" },
    { "  insecure: true", "  public_key: short", "a1.yaml:6: peers.secret_key: missing" },
    { "  insecure: true", "  insecure: yes", "a1.yaml:8: peers.insecure: must be true or false" },
    { "  insecure: true", "  insecure: true\n  secret_key: x", "a1.yaml:9: peers.secret_key: must not be set" },
    { "[127.0.0.1:2379, \"[::1]:2379\"]", "[]", "a1.yaml:10: store.endpoints: must name at least one" },
    { "[127.0.0.1:2379, \"[::1]:2379\"]", "127.0.0.1:2379", "a1.yaml:10: store.endpoints: must be a list" },
    { "[127.0.0.1:2379, \"[::1]:2379\"]", "[store:2379]", "a1.yaml:10: store.endpoints: \"store:2379\" must be" },
    { "url: 127.0.0.1:9100/instances", "url: 127.0.0.1:9100", "a1.yaml:12: instance_list.url: must be" },
    { "store:", "store: 3\nstores:", "a1.yaml:9: store: must be a mapping" },
    { "domain: kumasi-1", "domain: kumasi-1\ntimings: {session_ttl: 1500ms}", "a1.yaml:3: timings.session_ttl: must be whole seconds" },
    { "domain: kumasi-1", "domain: kumasi-1\ntimings: {session_ttl: 1s}", "a1.yaml:3: timings.session_ttl: must be longer than" },
    { "domain: kumasi-1", "domain: kumasi-1\ntimings: {peer_timeout: 200ms}", "a1.yaml:3: timings.peer_timeout: must be longer than" },
    { "domain: kumasi-1", "domain: kumasi-1\ntimings: {session_tll: 4s}", "a1.yaml:3: timings.session_tll: unknown key" },
    { "domain: kumasi-1", "domain: kumasi-1\nlog: {level: loud}", "a1.yaml:3: log.level: must be debug" },
    { "domain: kumasi-1", "domain: [kumasi-1", "a1.yaml:3: invalid YAML" },
};

BOOST_AUTO_TEST_CASE(EachFaultIsReportedWithFileLineAndKey)
{
    for (const BadSettings& bad : kBadSettings) {
        BOOST_TEST_CONTEXT(bad.to << " wants " << bad.fault)
        {
            Result<Settings> settings = parseSettingsFile(replaced(kValidSettings, bad.from, bad.to), "a1.yaml");
            BOOST_REQUIRE(settings.has_error());
            std::string message = "\n" + settings.error().message;
            BOOST_TEST(message.find("\n" + std::string(bad.fault)) != std::string::npos, message);
        }
    }
}

BOOST_AUTO_TEST_CASE(AllFaultsAreReportedInFileOrder)
{
    std::string text = replaced(kValidSettings, "domain: kumasi-1", "domain: ''");
    text = replaced(text, "127.0.0.1:8080", "nowhere");
    text = replaced(text, "url:", "uri:");
    Result<Settings> settings = parseSettingsFile(text, "a1.yaml");
    BOOST_REQUIRE(settings.has_error());
    std::string expected = "a1.yaml:2: domain: must not be empty\n"
                           "a1.yaml:4: callers.listen: must be an IP address and a port, such as 10.0.0.1:7400\n"
                           "a1.yaml:12: instance_list.url: missing\n"
                           "a1.yaml:12: instance_list.uri: unknown key";
    BOOST_TEST(settings.error().message == expected);
}

BOOST_AUTO_TEST_CASE(AnEmptyFileReportsEveryRequiredKey)
{
    Result<Settings> settings = parseSettingsFile("", "a1.yaml");
    BOOST_REQUIRE(settings.has_error());
    for (const char* key : { "instance", "domain", "callers.listen", "peers.listen", "store.endpoints", "instance_list.url" })
        BOOST_TEST(settings.error().message.find(std::string(key) + ": missing") != std::string::npos, key);
}

BOOST_AUTO_TEST_CASE(AMissingFileIsReportedByName)
{
    Result<Settings> settings = loadSettingsFile("/nonexistent/a1.yaml");
    BOOST_REQUIRE(settings.has_error());
    BOOST_TEST(settings.error().message == "/nonexistent/a1.yaml: can't be read");
}

BOOST_AUTO_TEST_SUITE_END()
