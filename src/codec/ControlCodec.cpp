// Encodes control records as JSON. Unknown members are ignored in records that instances write, so
// that newer versions can add members. In the configuration they are refused, because they are most
// likely typing errors.

#include "src/codec/RecordCodec.h"

#include <nlohmann/json.hpp>

#include "src/codec/JsonFields.h"

namespace crocuslever {

using nlohmann::json;

static std::string dump(const json& value)
{
    // Replaces invalid UTF-8, which would otherwise make dump() throw.
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

static constexpr std::int64_t kMaximumInt = std::numeric_limits<int>::max();
// 10 years: more than any setting needs, and far from overflow when converted to microseconds.
static constexpr std::int64_t kMaximumDurationMs = std::int64_t { 10 } * 365 * 24 * 3600 * 1000;

static int readInt(JsonFields& fields, const char* key, int minimum)
{
    return static_cast<int>(fields.integer(key, { minimum, kMaximumInt }));
}

static Duration readDuration(JsonFields& fields, const char* key)
{
    return fromMilliseconds(fields.integer(key, { 0, kMaximumDurationMs }));
}

static std::string indexPath(const std::string& path, std::size_t i)
{
    return path + "[" + std::to_string(i) + "]";
}

// Members

std::string encodeMember(const MemberRecord& record)
{
    return dump({ { "id", record.id.value() },
        { "session", record.session.value() },
        { "address", record.address },
        { "public_key", record.publicKey },
        { "domain", record.domain.value() } });
}

Result<MemberRecord> decodeMember(const std::string& text)
{
    JsonProblem problem("codec.member");
    json value = parseJson(text, problem);
    JsonFields fields(value, "", problem);
    MemberRecord record;
    record.id = InstanceId(fields.nonEmptyText("id"));
    record.session = SessionId(fields.nonEmptyText("session"));
    record.address = fields.nonEmptyText("address");
    record.publicKey = fields.text("public_key");
    record.domain = FailureDomainId(fields.text("domain"));
    if (!problem.isEmpty())
        return problem.error();
    return record;
}

// Ownership

std::string encodeOwnership(const OwnershipRecord& record)
{
    json unsettled = json::array();
    for (const SessionId& session : record.unsettledSessions)
        unsettled.push_back(session.value());
    return dump({ { "owner", record.owner.value() },
        { "session", record.session.value() },
        { "epoch", record.epoch },
        { "unsettled_from", unsettled } });
}

static std::vector<SessionId> readSessions(JsonFields& fields, const char* key, JsonProblem& problem)
{
    std::vector<SessionId> sessions;
    for (const json& entry : fields.array(key)) {
        if (entry.is_string())
            sessions.emplace_back(entry.get<std::string>());
        else
            problem.report(indexPath(fields.pathOf(key), sessions.size()), "must be a string");
    }
    return sessions;
}

Result<OwnershipRecord> decodeOwnership(const std::string& text)
{
    JsonProblem problem("codec.ownership");
    json value = parseJson(text, problem);
    JsonFields fields(value, "", problem);
    OwnershipRecord record;
    record.owner = InstanceId(fields.text("owner"));
    record.session = SessionId(fields.text("session"));
    record.epoch = static_cast<Epoch>(fields.integer("epoch"));
    record.unsettledSessions = readSessions(fields, "unsettled_from", problem);
    if (!problem.isEmpty())
        return problem.error();
    return record;
}

// Grants

std::string encodeGrants(const GrantRecord& record)
{
    json value = json::object();
    for (const auto& [team, grants] : record) {
        json& entry = value[team.value()] = json::object();
        for (const auto& [session, n] : grants)
            entry[session.value()] = n;
    }
    return dump(value);
}

static std::map<SessionId, int> readTeamGrants(const json& value, const std::string& path, JsonProblem& problem)
{
    std::map<SessionId, int> grants;
    JsonFields fields(value, path, problem);
    if (!value.is_object())
        return grants;
    for (const auto& [session, n] : value.items())
        grants[SessionId(session)] = readInt(fields, session.c_str(), 0);
    return grants;
}

Result<GrantRecord> decodeGrants(const std::string& text)
{
    JsonProblem problem("codec.grants");
    json value = parseJson(text, problem);
    JsonFields fields(value, "", problem);
    GrantRecord record;
    if (!problem.isEmpty())
        return problem.error();
    for (const auto& [team, grants] : value.items())
        record[TeamId(team)] = readTeamGrants(grants, team, problem);
    if (!problem.isEmpty())
        return problem.error();
    return record;
}

// Configuration

static json toJson(const Resources& resources)
{
    return { { "milli_cpu", resources.milliCpu },
        { "memory_mb", resources.memoryMb },
        { "accelerators", resources.accelerators },
        { "slots", resources.slots } };
}

static json toJson(const PolicyDefaults& defaults)
{
    return { { "task_resources", toJson(defaults.taskResources) },
        { "maximum_attempts", defaults.maximumAttempts },
        { "urgent_deadline_ms", toMilliseconds(defaults.urgentDeadline) },
        { "attempt_lease_ms", toMilliseconds(defaults.attemptLease) },
        { "result_retention_ms", toMilliseconds(defaults.resultRetention) },
        { "urgent_headroom_percent", defaults.urgentHeadroomPercent },
        { "maximum_queued_jobs", defaults.maximumQueuedJobs },
        { "maximum_body_bytes", defaults.maximumBodyBytes } };
}

static json toJson(const PolicyException& exception)
{
    json value = { { "name", exception.name }, { "reason", exception.reason } };
    if (exception.team)
        value["team"] = exception.team->value();
    if (exception.kind)
        value["kind"] = toString(*exception.kind);
    if (exception.taskResources)
        value["task_resources"] = toJson(*exception.taskResources);
    if (exception.maximumAttempts)
        value["maximum_attempts"] = *exception.maximumAttempts;
    if (exception.urgentDeadline)
        value["urgent_deadline_ms"] = toMilliseconds(*exception.urgentDeadline);
    if (exception.maximumQueuedJobs)
        value["maximum_queued_jobs"] = *exception.maximumQueuedJobs;
    if (exception.maximumBodyBytes)
        value["maximum_body_bytes"] = *exception.maximumBodyBytes;
    return value;
}

static json toJson(const KeyHash& key)
{
    return { { "id", key.id }, { "salt", key.salt }, { "hash", key.hash } };
}

template <typename T>
static json toJsonArray(const std::vector<T>& values)
{
    json array = json::array();
    for (const T& value : values)
        array.push_back(toJson(value));
    return array;
}

static json toJson(const Team& team)
{
    return { { "id", team.id.value() },
        { "share_weight", team.shareWeight },
        { "upper_limit", team.upperLimit },
        { "keys", toJsonArray(team.keys) } };
}

static json toJson(const DomainOutage& outage)
{
    return { { "domain", outage.domain.value() }, { "reason", outage.reason } };
}

static json toJson(const Objective& objective)
{
    return { { "team", objective.team.value() },
        { "kind", toString(objective.kind) },
        { "waiting_time_ms", toMilliseconds(objective.waitingTime) },
        { "target", objective.target } };
}

std::string encodeConfiguration(const Configuration& configuration)
{
    return dump({ { "revision", configuration.revision },
        { "defaults", toJson(configuration.defaults) },
        { "exceptions", toJsonArray(configuration.exceptions) },
        { "teams", toJsonArray(configuration.teams) },
        { "domains_out", toJsonArray(configuration.domainsOut) },
        { "objectives", toJsonArray(configuration.objectives) } });
}

static WorkKind readKind(JsonFields& fields, const char* key, JsonProblem& problem)
{
    std::string name = fields.text(key);
    for (WorkKind kind : { WorkKind::Urgent, WorkKind::Batch, WorkKind::Gang, WorkKind::Service }) {
        if (name == toString(kind))
            return kind;
    }
    problem.report(fields.pathOf(key), "must be urgent, batch, gang or service");
    return WorkKind::Batch;
}

static Resources readResources(JsonFields& parent, const char* key, JsonProblem& problem)
{
    JsonFields fields(parent.object(key), parent.pathOf(key), problem);
    Resources resources;
    resources.milliCpu = fields.integer("milli_cpu");
    resources.memoryMb = fields.integer("memory_mb");
    resources.accelerators = fields.integer("accelerators");
    resources.slots = fields.integer("slots");
    fields.refuseUnknown();
    return resources;
}

static PolicyDefaults readDefaults(const json& value, const std::string& path, JsonProblem& problem)
{
    JsonFields fields(value, path, problem);
    PolicyDefaults defaults;
    defaults.taskResources = readResources(fields, "task_resources", problem);
    defaults.maximumAttempts = readInt(fields, "maximum_attempts", 1);
    defaults.urgentDeadline = readDuration(fields, "urgent_deadline_ms");
    defaults.attemptLease = readDuration(fields, "attempt_lease_ms");
    defaults.resultRetention = readDuration(fields, "result_retention_ms");
    defaults.urgentHeadroomPercent = static_cast<int>(fields.integer("urgent_headroom_percent", { 0, 100 }));
    defaults.maximumQueuedJobs = readInt(fields, "maximum_queued_jobs", 0);
    defaults.maximumBodyBytes = fields.integer("maximum_body_bytes");
    fields.refuseUnknown();
    return defaults;
}

static PolicyException readException(const json& value, const std::string& path, JsonProblem& problem)
{
    JsonFields fields(value, path, problem);
    PolicyException exception;
    exception.name = fields.nonEmptyText("name");
    exception.reason = fields.nonEmptyText("reason");
    if (fields.has("team"))
        exception.team = TeamId(fields.nonEmptyText("team"));
    if (fields.has("kind"))
        exception.kind = readKind(fields, "kind", problem);
    if (fields.has("task_resources"))
        exception.taskResources = readResources(fields, "task_resources", problem);
    if (fields.has("maximum_attempts"))
        exception.maximumAttempts = readInt(fields, "maximum_attempts", 1);
    if (fields.has("urgent_deadline_ms"))
        exception.urgentDeadline = readDuration(fields, "urgent_deadline_ms");
    if (fields.has("maximum_queued_jobs"))
        exception.maximumQueuedJobs = readInt(fields, "maximum_queued_jobs", 0);
    if (fields.has("maximum_body_bytes"))
        exception.maximumBodyBytes = fields.integer("maximum_body_bytes");
    fields.refuseUnknown();
    return exception;
}

static KeyHash readKey(const json& value, const std::string& path, JsonProblem& problem)
{
    JsonFields fields(value, path, problem);
    KeyHash key { fields.nonEmptyText("id"), fields.text("salt"), fields.nonEmptyText("hash") };
    fields.refuseUnknown();
    return key;
}

template <typename T>
static std::vector<T> readArray(JsonFields& fields, const char* key, JsonProblem& problem,
    T (*readOne)(const json&, const std::string&, JsonProblem&))
{
    std::vector<T> values;
    for (const json& value : fields.array(key))
        values.push_back(readOne(value, indexPath(fields.pathOf(key), values.size()), problem));
    return values;
}

static Team readTeam(const json& value, const std::string& path, JsonProblem& problem)
{
    JsonFields fields(value, path, problem);
    Team team;
    team.id = TeamId(fields.nonEmptyText("id"));
    team.shareWeight = fields.number("share_weight");
    if (team.shareWeight <= 0)
        problem.report(fields.pathOf("share_weight"), "must be above zero");
    team.upperLimit = readInt(fields, "upper_limit", 0);
    team.keys = readArray(fields, "keys", problem, readKey);
    fields.refuseUnknown();
    return team;
}

static DomainOutage readOutage(const json& value, const std::string& path, JsonProblem& problem)
{
    JsonFields fields(value, path, problem);
    DomainOutage outage { FailureDomainId(fields.nonEmptyText("domain")), fields.nonEmptyText("reason") };
    fields.refuseUnknown();
    return outage;
}

static Objective readObjective(const json& value, const std::string& path, JsonProblem& problem)
{
    JsonFields fields(value, path, problem);
    Objective objective;
    objective.team = TeamId(fields.nonEmptyText("team"));
    objective.kind = readKind(fields, "kind", problem);
    objective.waitingTime = readDuration(fields, "waiting_time_ms");
    objective.target = fields.number("target");
    if (objective.target <= 0 || objective.target >= 1)
        problem.report(fields.pathOf("target"), "must be between 0 and 1");
    fields.refuseUnknown();
    return objective;
}

static void checkTeamIdsUnique(const std::vector<Team>& teams, JsonProblem& problem)
{
    std::set<TeamId> seen;
    for (std::size_t i = 0; i < teams.size(); ++i) {
        if (!seen.insert(teams[i].id).second)
            problem.report(indexPath("teams", i) + ".id", "is used twice");
    }
}

Result<Configuration> decodeConfiguration(const std::string& text)
{
    JsonProblem problem("codec.configuration");
    json value = parseJson(text, problem);
    JsonFields fields(value, "", problem);
    Configuration configuration;
    configuration.revision = static_cast<std::uint64_t>(fields.integer("revision"));
    configuration.defaults = readDefaults(fields.object("defaults"), "defaults", problem);
    configuration.exceptions = readArray(fields, "exceptions", problem, readException);
    configuration.teams = readArray(fields, "teams", problem, readTeam);
    configuration.domainsOut = readArray(fields, "domains_out", problem, readOutage);
    configuration.objectives = readArray(fields, "objectives", problem, readObjective);
    fields.refuseUnknown();
    checkTeamIdsUnique(configuration.teams, problem);
    if (!problem.isEmpty())
        return problem.error();
    return configuration;
}

} // namespace crocuslever
