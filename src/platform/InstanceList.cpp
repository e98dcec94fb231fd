#include "src/platform/InstanceList.h"

#include <cerrno>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <set>

#include "src/codec/JsonFields.h"

namespace crocuslever {

using nlohmann::json;

static std::int64_t readAmount(JsonFields& labels, const char* key, JsonProblem& problem)
{
    constexpr std::int64_t kMaximumAmount = 1000000000;
    std::string text = labels.text(key);
    char* end = nullptr;
    errno = 0;
    std::int64_t n = std::strtoll(text.c_str(), &end, 10);
    if (!text.empty() && *end == '\0' && errno == 0 && n >= 0 && n <= kMaximumAmount)
        return n;
    problem.report(labels.pathOf(key), "must be a whole number from 0 to " + std::to_string(kMaximumAmount));
    return 0;
}

static Resources readCapacity(JsonFields& labels, JsonProblem& problem)
{
    Resources capacity;
    capacity.milliCpu = readAmount(labels, "milli_cpu", problem);
    capacity.memoryMb = readAmount(labels, "memory_mb", problem);
    if (labels.has("accelerators"))
        capacity.accelerators = readAmount(labels, "accelerators", problem);
    capacity.slots = readAmount(labels, "slots", problem);
    return capacity;
}

static bool readIsLeaving(JsonFields& labels, JsonProblem& problem)
{
    std::string state = labels.text("state");
    if (state != "live" && state != "leaving")
        problem.report(labels.pathOf("state"), "must be live or leaving");
    return state == "leaving";
}

static std::string readTarget(JsonFields& group, JsonProblem& problem)
{
    const json& targets = group.array("targets");
    if (targets.size() == 1 && targets[0].is_string() && !targets[0].get_ref<const std::string&>().empty())
        return targets[0].get<std::string>();
    // The labels of a group describe exactly one upstream.
    problem.report(group.pathOf("targets"), "must hold one address");
    return "";
}

static UpstreamDescription readGroup(const json& value, const std::string& path, JsonProblem& problem)
{
    JsonFields group(value, path, problem);
    JsonFields labels(group.object("labels"), group.pathOf("labels"), problem);
    UpstreamDescription upstream;
    upstream.address = readTarget(group, problem);
    upstream.id = UpstreamId(labels.nonEmptyText("upstream"));
    upstream.domain = FailureDomainId(labels.nonEmptyText("failure_domain"));
    upstream.rack = RackId(labels.nonEmptyText("rack"));
    upstream.capacity = readCapacity(labels, problem);
    upstream.connections = static_cast<int>(readAmount(labels, "connections", problem));
    upstream.leaving = readIsLeaving(labels, problem);
    return upstream;
}

Result<UpstreamListUpdate> decodeInstanceList(const std::string& body)
{
    JsonProblem problem("platform.list");
    json value = parseJson(body, problem);
    if (!value.is_array())
        problem.report("", "must be an array");
    if (!problem.isEmpty())
        return problem.error();
    UpstreamListUpdate update;
    std::set<UpstreamId> seen;
    for (const json& group : value) {
        std::string path = "[" + std::to_string(update.upstreams.size()) + "]";
        update.upstreams.push_back(readGroup(group, path, problem));
        if (!seen.insert(update.upstreams.back().id).second)
            problem.report(path + ".labels.upstream", "is listed twice");
    }
    if (!problem.isEmpty())
        return problem.error();
    return update;
}

} // namespace crocuslever
