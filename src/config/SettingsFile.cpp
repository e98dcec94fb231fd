#include "src/config/SettingsFile.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <fstream>
#include <sstream>

#include "src/config/YamlReader.h"

namespace crocuslever {

namespace {

struct TimingKey {
    const char* key;
    Duration CoreSettings::*member;
};

} // namespace

static constexpr TimingKey kTimings[] = {
    { "session_ttl", &CoreSettings::sessionTtl },
    { "session_margin", &CoreSettings::sessionMargin },
    { "keep_alive_interval", &CoreSettings::keepAliveInterval },
    { "heartbeat_interval", &CoreSettings::heartbeatInterval },
    { "peer_timeout", &CoreSettings::peerTimeout },
    { "commit_interval", &CoreSettings::commitInterval },
    { "escrow_interval", &CoreSettings::escrowInterval },
    { "sync_interval", &CoreSettings::syncInterval },
    { "idle_sync_interval", &CoreSettings::idleSyncInterval },
    { "urgent_lease", &CoreSettings::urgentLease },
    { "reservation_hold", &CoreSettings::reservationHold },
    { "retry_interval", &CoreSettings::retryInterval },
    { "shutdown_deadline", &CoreSettings::shutdownDeadline },
};

static constexpr std::size_t kCurveKeyLength = 40; ///< Characters of a Z85-encoded key.
static constexpr std::int64_t kMaximumPort = 65535;

static bool isPort(const std::string& text)
{
    constexpr std::size_t kMaximumDigits = 5;
    if (text.empty() || text.size() > kMaximumDigits || text.find_first_not_of("0123456789") != std::string::npos)
        return false;
    return std::stol(text) <= kMaximumPort;
}

static bool isAddress(const std::string& text)
{
    std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || !isPort(text.substr(colon + 1)))
        return false;
    boost::system::error_code ec;
    std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    boost::asio::ip::make_address(host, ec);
    return !ec;
}

static std::string readAddress(MapReader& map, const std::string& key)
{
    std::string text = map.requiredText(key);
    if (!text.empty() && !isAddress(text))
        map.addFault(key, "must be an IP address and a port, such as 10.0.0.1:7400");
    return text;
}

static bool isName(const std::string& text)
{
    constexpr std::size_t kMaximumLength = 128;
    auto isAllowed = [](char c) { return std::isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.'; };
    return text.size() <= kMaximumLength && std::all_of(text.begin(), text.end(), isAllowed);
}

static std::string readName(MapReader& map, const std::string& key)
{
    std::string text = map.requiredText(key);
    if (!isName(text))
        map.addFault(key, "must consist of letters, digits, '-', '_' and '.', at most 128 characters");
    return text;
}

static void readCallers(MapReader map, Settings& settings)
{
    CallerServerSettings& callers = settings.callers;
    constexpr std::int64_t kMaximum = 1 << 20;
    callers.listenAddress = readAddress(map, "listen");
    callers.maximumBodyBytes = map.integer("maximum_body_bytes", callers.maximumBodyBytes, 1, kMaximum);
    callers.maximumHeaderBytes = map.integer("maximum_header_bytes", callers.maximumHeaderBytes, 256, kMaximum);
    callers.maximumConnections = static_cast<int>(map.integer("maximum_connections", callers.maximumConnections, 1, kMaximum));
    callers.maximumCalls = static_cast<int>(map.integer("maximum_calls", callers.maximumCalls, 1, kMaximum));
    callers.idleTimeout = map.duration("idle_timeout", callers.idleTimeout);
    callers.readTimeout = map.duration("read_timeout", callers.readTimeout);
    callers.writeTimeout = map.duration("write_timeout", callers.writeTimeout);
    settings.drainTime = map.duration("drain_time", settings.drainTime);
    map.finish();
}

static std::string readCurveKey(MapReader& map, const std::string& key)
{
    std::string text = map.text(key);
    if (map.has(key) && text.size() != kCurveKeyLength)
        map.addFault(key, "must be a CURVE key of 40 Z85 characters");
    return text;
}

static void checkPeerKeys(MapReader& map, bool insecure)
{
    // Unencrypted traffic must be enabled explicitly: a missing key is an error, not a fallback.
    for (const char* key : { "public_key", "secret_key" }) {
        if (insecure && map.has(key))
            map.addFault(key, "must not be set with insecure: true");
        if (!insecure && !map.has(key))
            map.addFault(key, "missing (required unless insecure: true)");
    }
}

static void readPeers(MapReader map, Settings& settings)
{
    settings.peerBindAddress = readAddress(map, "listen");
    settings.core.peerAddress = map.has("advertise") ? readAddress(map, "advertise") : settings.peerBindAddress;
    settings.peersInsecure = map.boolean("insecure", false);
    settings.core.peerPublicKey = readCurveKey(map, "public_key");
    settings.peerSecretKey = readCurveKey(map, "secret_key");
    checkPeerKeys(map, settings.peersInsecure);
    map.finish();
}

static void readStore(MapReader map, Settings& settings)
{
    map.require("endpoints");
    settings.storeEndpoints = map.texts("endpoints");
    if (map.has("endpoints") && settings.storeEndpoints.empty())
        map.addFault("endpoints", "must name at least one endpoint");
    for (const std::string& endpoint : settings.storeEndpoints) {
        if (!isAddress(endpoint))
            map.addFault("endpoints", "\"" + endpoint + "\" must be an IP address and a port");
    }
    settings.storeTimeout = map.duration("timeout", settings.storeTimeout);
    map.finish();
}

static void readInstanceList(MapReader map, Settings& settings)
{
    settings.instanceListUrl = map.requiredText("url");
    std::size_t slash = settings.instanceListUrl.find('/');
    if (!settings.instanceListUrl.empty() && (slash == std::string::npos || !isAddress(settings.instanceListUrl.substr(0, slash))))
        map.addFault("url", "must be an IP address, a port and a path, such as 10.0.0.1:9100/instances");
    settings.instanceListInterval = map.duration("interval", settings.instanceListInterval);
    map.finish();
}

static void readUpstreams(MapReader map, Settings& settings)
{
    constexpr std::int64_t kMaximumConnections = 4096;
    constexpr std::int64_t kMaximumBytes = 1 << 20;
    settings.upstreamTimeout = map.duration("timeout", settings.upstreamTimeout);
    settings.connectionsPerUpstream = static_cast<int>(map.integer("connections", settings.connectionsPerUpstream, 1, kMaximumConnections));
    settings.maximumResultBytes = map.integer("maximum_result_bytes", settings.maximumResultBytes, 1, kMaximumBytes);
    map.finish();
}

static void checkTimings(MapReader& map, const CoreSettings& core)
{
    if (core.sessionTtl % std::chrono::seconds(1) != Duration::zero())
        map.addFault("session_ttl", "must be whole seconds");
    if (core.sessionMargin + core.keepAliveInterval >= core.sessionTtl)
        map.addFault("session_ttl", "must be longer than session_margin and keep_alive_interval together");
    if (core.heartbeatInterval >= core.peerTimeout)
        map.addFault("peer_timeout", "must be longer than heartbeat_interval");
}

static void readTimings(MapReader map, CoreSettings& core)
{
    for (const TimingKey& timing : kTimings)
        core.*timing.member = map.duration(timing.key, core.*timing.member);
    checkTimings(map, core);
    map.finish();
}

static LogLevel readLogLevel(MapReader& map)
{
    std::string text = map.text("level", "info");
    if (text == "debug")
        return LogLevel::Debug;
    if (text == "warning")
        return LogLevel::Warning;
    if (text == "error")
        return LogLevel::Error;
    if (text != "info")
        map.addFault("level", "must be debug, info, warning or error");
    return LogLevel::Info;
}

static void readLog(MapReader map, Settings& settings)
{
    settings.logLevel = readLogLevel(map);
    settings.logFile = map.text("file");
    map.finish();
}

Result<Settings> parseSettingsFile(const std::string& text, const std::string& fileName)
{
    FaultList faults(fileName);
    YAML::Node document = parseYaml(text, faults);
    // After a syntax error every key would be reported as missing as well.
    if (!faults.isEmpty())
        return faults.toError("settings.load");
    Settings settings;
    MapReader map(document, {}, 1, faults);
    settings.core.self = InstanceId(readName(map, "instance"));
    settings.core.domain = FailureDomainId(readName(map, "domain"));
    readCallers(map.section("callers"), settings);
    readPeers(map.section("peers"), settings);
    readStore(map.section("store"), settings);
    readInstanceList(map.section("instance_list"), settings);
    readUpstreams(map.section("upstreams"), settings);
    readTimings(map.section("timings"), settings.core);
    readLog(map.section("log"), settings);
    map.finish();
    if (!faults.isEmpty())
        return faults.toError("settings.load");
    return settings;
}

Result<Settings> loadSettingsFile(const std::string& fileName)
{
    std::ifstream file(fileName);
    if (!file)
        return Error { ErrorCode::NotFound, "settings.load", {}, fileName + ": can't be read" };
    std::ostringstream text;
    text << file.rdbuf();
    return parseSettingsFile(text.str(), fileName);
}

} // namespace crocuslever
