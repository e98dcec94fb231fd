#include "src/control/FleetStatus.h"

#include <algorithm>
#include <optional>

#include "src/codec/JsonFields.h"
#include "src/control/RunIoContext.h"
#include "src/http/HttpClient.h"

namespace crocuslever {

using nlohmann::json;

static bool readFlag(const json& object, const char* key)
{
    auto it = object.find(key);
    return it != object.end() && it->is_boolean() && it->get<bool>();
}

static void readMembers(JsonFields& fields, JsonProblem& problem, InstanceStatus& status)
{
    for (const json& item : fields.array("members")) {
        JsonFields member(item, "members", problem);
        InstanceId id(member.nonEmptyText("instance"));
        status.revisions[id] = static_cast<std::uint64_t>(member.integer("configuration_revision"));
    }
    // The instance's own revision overrides the one in its list of members, which may be older.
    status.revisions[status.instance] = status.revision;
}

static void readShards(JsonFields& fields, JsonProblem& problem, InstanceStatus& status)
{
    for (const json& item : fields.array("shards")) {
        JsonFields shard(item, "shards", problem);
        std::string owner = shard.text("owner");
        status.shardsOwned += shard.text("phase") == "owned" ? 1 : 0;
        status.shardsWithoutOwner += owner.empty() ? 1 : 0;
    }
}

static void readUpstreams(JsonFields& fields, JsonProblem& problem, InstanceStatus& status)
{
    JsonFields upstreams(fields.object("upstreams"), "upstreams", problem);
    status.upstreamsListed = upstreams.integer("listed");
    status.upstreamsQuarantined = upstreams.integer("quarantined_here");
}

static void readDomains(JsonFields& fields, JsonProblem& problem, InstanceStatus& status)
{
    for (const json& item : fields.array("domains_out")) {
        JsonFields outage(item, "domains_out", problem);
        status.domainsOut.push_back(outage.text("domain"));
    }
}

Result<InstanceStatus> parseInstanceStatus(const std::string& endpoint, const std::string& text)
{
    JsonProblem problem("status.parse");
    json value = parseJson(text, problem);
    JsonFields fields(value, "", problem);
    InstanceStatus status;
    status.endpoint = endpoint;
    status.json = text;
    status.instance = InstanceId(fields.nonEmptyText("instance"));
    status.domain = FailureDomainId(fields.text("domain"));
    status.revision = static_cast<std::uint64_t>(fields.integer("configuration_revision"));
    status.jobs = fields.integer("jobs_here");
    readMembers(fields, problem, status);
    readShards(fields, problem, status);
    readUpstreams(fields, problem, status);
    readDomains(fields, problem, status);
    if (!problem.isEmpty())
        return Error { ErrorCode::Internal, problem.error().step, endpoint, problem.error().message };
    status.ready = readFlag(value, "ready");
    status.shuttingDown = readFlag(value, "shutting_down");
    return status;
}

std::map<InstanceId, std::uint64_t> newestRevisions(const std::vector<InstanceStatus>& fleet)
{
    // Revisions only increase, so the highest reported one is the newest.
    std::map<InstanceId, std::uint64_t> newest;
    for (const InstanceStatus& status : fleet) {
        for (const auto& [id, revision] : status.revisions)
            newest[id] = std::max(newest[id], revision);
    }
    return newest;
}

std::vector<std::string> findLaggingMembers(const std::vector<InstanceStatus>& fleet, std::uint64_t revision)
{
    std::vector<std::string> lagging;
    for (const auto& [id, reached] : newestRevisions(fleet)) {
        if (reached < revision)
            lagging.push_back(id.value() + " (revision " + std::to_string(reached) + ")");
    }
    return lagging;
}

static Result<InstanceStatus> fetchInstanceStatus(boost::asio::io_context& io, const std::string& endpoint)
{
    constexpr int kStatusOk = 200;
    HttpClientSettings settings;
    settings.endpoints = { endpoint };
    HttpClient client(io, settings);
    std::optional<Result<HttpReply>> reply;
    client.send({ "GET", "/status", "" }, [&reply](Result<HttpReply> result) { reply = std::move(result); });
    runUntilSet(io, reply);
    if (reply->has_error())
        return reply->error();
    if (reply->value().status != kStatusOk)
        return Error { ErrorCode::Unavailable, "status", endpoint, "answered with HTTP status " + std::to_string(reply->value().status) };
    return parseInstanceStatus(endpoint, reply->value().body);
}

std::vector<Result<InstanceStatus>> fetchFleetStatus(boost::asio::io_context& io, const std::vector<std::string>& endpoints)
{
    std::vector<Result<InstanceStatus>> answers;
    answers.reserve(endpoints.size());
    for (const std::string& endpoint : endpoints)
        answers.push_back(fetchInstanceStatus(io, endpoint));
    return answers;
}

} // namespace crocuslever
