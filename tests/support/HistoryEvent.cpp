#include "tests/support/HistoryEvent.h"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>

namespace crocuslever::testing {

using Json = nlohmann::json;

static HistorySource parseSource(const std::string& text)
{
    if (text == "scenario")
        return HistorySource::Scenario;
    if (text == "upstream")
        return HistorySource::Upstream;
    if (text == "instance")
        return HistorySource::Instance;
    if (text == "caller")
        return HistorySource::Caller;
    if (text == "operator")
        return HistorySource::Operator;
    return HistorySource::Other;
}

static std::string stringField(const Json& json, const char* key)
{
    return json.value(key, std::string());
}

static Resources parseResources(const Json& json)
{
    Resources resources;
    resources.milliCpu = json.value("milli_cpu", std::int64_t { 0 });
    resources.memoryMb = json.value("memory_mb", std::int64_t { 0 });
    resources.accelerators = json.value("accelerators", std::int64_t { 0 });
    resources.slots = json.value("slots", std::int64_t { 0 });
    return resources;
}

static void parseAttempt(const Json& json, HistoryEvent& event)
{
    event.upstream = UpstreamId(stringField(json, "upstream"));
    event.incarnation = IncarnationId(stringField(json, "incarnation"));
    event.attempt = AttemptId(stringField(json, "attempt"));
    event.job = JobId(stringField(json, "job"));
    event.team = TeamId(stringField(json, "team"));
    event.kind = stringField(json, "kind");
    event.idempotent = json.value("idempotent", false);
    event.bodySha256 = stringField(json, "body_sha256");
    if (json.contains("resources"))
        event.resources = parseResources(json["resources"]);
}

static void parseCall(const Json& json, HistoryEvent& event)
{
    event.call = stringField(json, "call");
    event.key = stringField(json, "key");
    event.outcome = stringField(json, "outcome");
    event.tasks = json.value("tasks", 1);
    if (json.contains("body_ok"))
        event.bodyOk = json["body_ok"].get<bool>();
}

static void parseChange(const Json& json, HistoryEvent& event)
{
    // A local variable, because items() keeps a reference to it while the loop runs.
    Json limits = json.value("limits", Json::object());
    for (const auto& [team, limit] : limits.items())
        event.limits[TeamId(team)] = limit.get<int>();
    for (const Json& domain : json.value("domains_out", Json::array()))
        event.domainsOut.emplace_back(domain.get<std::string>());
    for (const Json& key : json.value("withdrawn_keys", Json::array()))
        event.withdrawnKeys.push_back(key.get<std::string>());
}

static void parseUpstreams(const Json& json, HistoryEvent& event)
{
    for (const Json& item : json.value("upstreams", Json::array())) {
        HistoryEvent::Upstream upstream;
        upstream.id = UpstreamId(stringField(item, "upstream"));
        upstream.domain = FailureDomainId(stringField(item, "failure_domain"));
        upstream.capacity = parseResources(item);
        upstream.leaving = item.value("leaving", false);
        event.upstreams.push_back(std::move(upstream));
    }
}

static HistoryEvent parseObject(const Json& json)
{
    HistoryEvent event;
    event.t = json.at("t").get<HistoryTime>();
    event.source = parseSource(stringField(json, "source"));
    event.name = stringField(json, "event");
    event.instance = InstanceId(stringField(json, "instance"));
    event.revision = json.value("revision", std::uint64_t { 0 });
    event.exitStatus = json.value("exit_status", 0);
    parseAttempt(json, event);
    parseCall(json, event);
    parseChange(json, event);
    parseUpstreams(json, event);
    return event;
}

std::optional<HistoryEvent> parseHistoryEvent(const std::string& line)
{
    Json json = Json::parse(line, nullptr, false);
    if (!json.is_object() || !json.contains("t"))
        return std::nullopt;
    try {
        return parseObject(json);
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

static void readLog(const std::string& path, History& history)
{
    std::ifstream file(path);
    std::string line;
    while (std::getline(file, line)) {
        std::optional<HistoryEvent> event = parseHistoryEvent(line);
        if (event)
            history.push_back(std::move(*event));
    }
}

History readHistory(const std::vector<std::string>& paths)
{
    History history;
    for (const std::string& path : paths)
        readLog(path, history);
    std::stable_sort(history.begin(), history.end(), [](const HistoryEvent& a, const HistoryEvent& b) { return a.t < b.t; });
    return history;
}

} // namespace crocuslever::testing
