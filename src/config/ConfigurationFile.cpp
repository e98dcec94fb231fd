#include "src/config/ConfigurationFile.h"

#include <limits>
#include <set>

#include "src/config/YamlReader.h"

namespace crocuslever {

static constexpr std::int64_t kMaximumResourceAmount = 1000000000;
static constexpr std::int64_t kMaximumAttempts = 100;
static constexpr std::int64_t kMaximumQueuedJobs = 1000000;
static constexpr std::int64_t kMaximumBodyBytes = 1 << 20; ///< The store accepts no larger value.
static constexpr std::int64_t kMaximumTeamLimit = 1000000;
static constexpr double kMinimumWeight = 0.001;
static constexpr double kMaximumWeight = 1000000;

static Resources readResources(MapReader map, Resources resources)
{
    resources.milliCpu = map.integer("milli_cpu", resources.milliCpu, 0, kMaximumResourceAmount);
    resources.memoryMb = map.integer("memory_mb", resources.memoryMb, 0, kMaximumResourceAmount);
    resources.accelerators = map.integer("accelerators", resources.accelerators, 0, kMaximumResourceAmount);
    if (resources.milliCpu == 0 && resources.memoryMb == 0 && resources.accelerators == 0)
        map.addFault({}, "must not all be 0");
    map.finish();
    return resources;
}

static int readCount(MapReader& map, const std::string& key, int fallback, std::int64_t maximum)
{
    return static_cast<int>(map.integer(key, fallback, 1, maximum));
}

static PolicyDefaults readDefaults(MapReader map)
{
    PolicyDefaults defaults;
    constexpr int kMaximumHeadroomPercent = 90;
    defaults.taskResources = map.has("task_resources") ? readResources(map.section("task_resources"), defaults.taskResources) : defaults.taskResources;
    defaults.maximumAttempts = readCount(map, "maximum_attempts", defaults.maximumAttempts, kMaximumAttempts);
    defaults.urgentDeadline = map.duration("urgent_deadline", defaults.urgentDeadline);
    defaults.attemptLease = map.duration("attempt_lease", defaults.attemptLease);
    defaults.resultRetention = map.duration("result_retention", defaults.resultRetention);
    defaults.urgentHeadroomPercent = static_cast<int>(map.integer("urgent_headroom_percent", defaults.urgentHeadroomPercent, 0, kMaximumHeadroomPercent));
    defaults.maximumQueuedJobs = readCount(map, "maximum_queued_jobs", defaults.maximumQueuedJobs, kMaximumQueuedJobs);
    defaults.maximumBodyBytes = map.integer("maximum_body_bytes", defaults.maximumBodyBytes, 1, kMaximumBodyBytes);
    map.finish();
    return defaults;
}

static std::optional<WorkKind> readKind(MapReader& map)
{
    std::string text = map.text("kind");
    for (WorkKind kind : { WorkKind::Urgent, WorkKind::Batch, WorkKind::Gang, WorkKind::Service }) {
        if (text == toString(kind))
            return kind;
    }
    if (map.has("kind"))
        map.addFault("kind", "must be urgent, batch, gang or service");
    return std::nullopt;
}

static void readOverrides(MapReader& map, PolicyException& exception)
{
    const PolicyDefaults defaults;
    if (map.has("task_resources"))
        exception.taskResources = readResources(map.section("task_resources"), defaults.taskResources);
    if (map.has("maximum_attempts"))
        exception.maximumAttempts = readCount(map, "maximum_attempts", 1, kMaximumAttempts);
    if (map.has("urgent_deadline"))
        exception.urgentDeadline = map.duration("urgent_deadline", defaults.urgentDeadline);
    if (map.has("maximum_queued_jobs"))
        exception.maximumQueuedJobs = readCount(map, "maximum_queued_jobs", 1, kMaximumQueuedJobs);
    if (map.has("maximum_body_bytes"))
        exception.maximumBodyBytes = map.integer("maximum_body_bytes", 1, 1, kMaximumBodyBytes);
}

static bool overridesNothing(const PolicyException& exception)
{
    return !exception.taskResources && !exception.maximumAttempts && !exception.urgentDeadline
        && !exception.maximumQueuedJobs && !exception.maximumBodyBytes;
}

namespace {

/// A set of names that must be unique within the file, such as team ids.
class UniqueNames {
public:
    void add(MapReader& map, const std::string& key, const std::string& name)
    {
        if (!name.empty() && !m_names.insert(name).second)
            map.addFault(key, "\"" + name + "\" is used twice");
    }

    bool has(const std::string& name) const { return m_names.count(name) > 0; }

private:
    std::set<std::string> m_names;
};

} // namespace

static void checkTeam(MapReader& map, const std::string& team, const UniqueNames& teams)
{
    if (!team.empty() && !teams.has(team))
        map.addFault("team", "no team \"" + team + "\" in this file");
}

static PolicyException readException(MapReader& map, const UniqueNames& teams)
{
    PolicyException exception;
    exception.name = map.requiredText("name");
    exception.reason = map.requiredText("reason");
    if (map.has("team"))
        exception.team = TeamId(map.requiredText("team"));
    exception.kind = readKind(map);
    readOverrides(map, exception);
    if (exception.team)
        checkTeam(map, exception.team->value(), teams);
    if (overridesNothing(exception))
        map.addFault({}, "overrides no default");
    if (!map.has("team") && !map.has("kind"))
        map.addFault({}, "must name a team, a kind or both; change the defaults instead");
    map.finish();
    return exception;
}

static bool isHex(const std::string& text)
{
    return !text.empty() && text.size() % 2 == 0 && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

static std::string readHex(MapReader& map, const std::string& key, std::size_t length)
{
    std::string text = map.requiredText(key);
    bool fits = length == 0 || text.size() == length;
    if (map.has(key) && !text.empty() && !(isHex(text) && fits))
        map.addFault(key, length == 0 ? "must be hexadecimal, in lower case" : "must be " + std::to_string(length) + " hexadecimal digits, in lower case");
    return text;
}

static KeyHash readKey(MapReader& map, UniqueNames& keys)
{
    constexpr std::size_t kHashLength = 64; ///< Hexadecimal digits of a SHA-256 hash.
    KeyHash key;
    key.id = map.requiredText("id");
    key.salt = readHex(map, "salt", 0);
    key.hash = readHex(map, "hash", kHashLength);
    if (key.id.find('.') != std::string::npos)
        map.addFault("id", "must not contain a dot: an API key is its id, a dot and its secret");
    keys.add(map, "id", key.id);
    map.finish();
    return key;
}

static Team readTeam(MapReader& map, UniqueNames& teams, UniqueNames& keys)
{
    Team team;
    team.id = TeamId(map.requiredText("id"));
    team.shareWeight = map.number("share", team.shareWeight, kMinimumWeight, kMaximumWeight);
    map.require("upper_limit");
    team.upperLimit = readCount(map, "upper_limit", 1, kMaximumTeamLimit);
    teams.add(map, "id", team.id.value());
    for (MapReader& key : map.sections("keys"))
        team.keys.push_back(readKey(key, keys));
    map.finish();
    return team;
}

static DomainOutage readOutage(MapReader& map, UniqueNames& domains)
{
    DomainOutage outage;
    outage.domain = FailureDomainId(map.requiredText("domain"));
    outage.reason = map.requiredText("reason");
    domains.add(map, "domain", outage.domain.value());
    map.finish();
    return outage;
}

static Objective readObjective(MapReader& map, const UniqueNames& teams)
{
    constexpr double kMinimumTarget = 0.5;
    constexpr double kMaximumTarget = 0.99999;
    Objective objective;
    objective.team = TeamId(map.requiredText("team"));
    map.require("kind");
    objective.kind = readKind(map).value_or(WorkKind::Urgent);
    map.require("waiting_time");
    objective.waitingTime = map.duration("waiting_time", objective.waitingTime);
    objective.target = map.number("target", objective.target, kMinimumTarget, kMaximumTarget);
    checkTeam(map, objective.team.value(), teams);
    map.finish();
    return objective;
}

static void readDocument(MapReader& map, Configuration& configuration)
{
    UniqueNames teams;
    UniqueNames keys;
    UniqueNames exceptions;
    UniqueNames domains;
    UniqueNames objectives;
    configuration.revision = static_cast<std::uint64_t>(map.integer("revision", 0, 0, std::numeric_limits<std::int64_t>::max()));
    configuration.defaults = readDefaults(map.section("defaults"));
    // Teams first, independent of their position in the file: exceptions and objectives refer to them.
    for (MapReader& item : map.sections("teams"))
        configuration.teams.push_back(readTeam(item, teams, keys));
    for (MapReader& item : map.sections("exceptions")) {
        configuration.exceptions.push_back(readException(item, teams));
        exceptions.add(item, "name", configuration.exceptions.back().name);
    }
    for (MapReader& item : map.sections("domains_out"))
        configuration.domainsOut.push_back(readOutage(item, domains));
    for (MapReader& item : map.sections("objectives")) {
        configuration.objectives.push_back(readObjective(item, teams));
        const Objective& objective = configuration.objectives.back();
        objectives.add(item, "kind", objective.team.value() + "/" + toString(objective.kind));
    }
    map.finish();
}

Result<Configuration> parseConfigurationFile(const std::string& text, const std::string& fileName)
{
    FaultList faults(fileName);
    YAML::Node document = parseYaml(text, faults);
    // An empty file is an error; otherwise it would remove every team.
    if (faults.isEmpty() && !document.IsMap())
        faults.add(1, {}, "must be a mapping of keys to values");
    if (!faults.isEmpty())
        return faults.toError("configuration.parse");
    Configuration configuration;
    MapReader map(document, {}, 1, faults);
    readDocument(map, configuration);
    if (!faults.isEmpty())
        return faults.toError("configuration.parse");
    return configuration;
}

static void emitText(YAML::Emitter& out, const char* key, const std::string& value)
{
    // Quoted, so that no text is parsed as a number, null or a list.
    out << YAML::Key << key << YAML::Value << YAML::DoubleQuoted << value;
}

template <typename T>
static void emitNumber(YAML::Emitter& out, const char* key, const T& value)
{
    out << YAML::Key << key << YAML::Value << value;
}

static void emitDuration(YAML::Emitter& out, const char* key, Duration value)
{
    out << YAML::Key << key << YAML::Value << formatDuration(value);
}

static void emitResources(YAML::Emitter& out, const Resources& resources)
{
    out << YAML::Key << "task_resources" << YAML::Value << YAML::BeginMap;
    emitNumber(out, "milli_cpu", resources.milliCpu);
    emitNumber(out, "memory_mb", resources.memoryMb);
    emitNumber(out, "accelerators", resources.accelerators);
    out << YAML::EndMap;
}

static void emitDefaults(YAML::Emitter& out, const PolicyDefaults& defaults)
{
    out << YAML::Key << "defaults" << YAML::Value << YAML::BeginMap;
    emitResources(out, defaults.taskResources);
    emitNumber(out, "maximum_attempts", defaults.maximumAttempts);
    emitDuration(out, "urgent_deadline", defaults.urgentDeadline);
    emitDuration(out, "attempt_lease", defaults.attemptLease);
    emitDuration(out, "result_retention", defaults.resultRetention);
    emitNumber(out, "urgent_headroom_percent", defaults.urgentHeadroomPercent);
    emitNumber(out, "maximum_queued_jobs", defaults.maximumQueuedJobs);
    emitNumber(out, "maximum_body_bytes", defaults.maximumBodyBytes);
    out << YAML::EndMap;
}

static void emitException(YAML::Emitter& out, const PolicyException& exception)
{
    out << YAML::BeginMap;
    emitText(out, "name", exception.name);
    emitText(out, "reason", exception.reason);
    if (exception.team)
        emitText(out, "team", exception.team->value());
    if (exception.kind)
        emitNumber(out, "kind", toString(*exception.kind));
    if (exception.taskResources)
        emitResources(out, *exception.taskResources);
    if (exception.maximumAttempts)
        emitNumber(out, "maximum_attempts", *exception.maximumAttempts);
    if (exception.urgentDeadline)
        emitDuration(out, "urgent_deadline", *exception.urgentDeadline);
    if (exception.maximumQueuedJobs)
        emitNumber(out, "maximum_queued_jobs", *exception.maximumQueuedJobs);
    if (exception.maximumBodyBytes)
        emitNumber(out, "maximum_body_bytes", *exception.maximumBodyBytes);
    out << YAML::EndMap;
}

static void emitKey(YAML::Emitter& out, const KeyHash& key)
{
    out << YAML::BeginMap;
    emitText(out, "id", key.id);
    emitText(out, "salt", key.salt);
    emitText(out, "hash", key.hash);
    out << YAML::EndMap;
}

template <typename T, typename Emit>
static void emitList(YAML::Emitter& out, const char* key, const std::vector<T>& items, Emit emit)
{
    if (items.empty())
        return;
    out << YAML::Key << key << YAML::Value << YAML::BeginSeq;
    for (const T& item : items)
        emit(out, item);
    out << YAML::EndSeq;
}

static void emitTeam(YAML::Emitter& out, const Team& team)
{
    out << YAML::BeginMap;
    emitText(out, "id", team.id.value());
    emitNumber(out, "share", team.shareWeight);
    emitNumber(out, "upper_limit", team.upperLimit);
    emitList(out, "keys", team.keys, emitKey);
    out << YAML::EndMap;
}

static void emitOutage(YAML::Emitter& out, const DomainOutage& outage)
{
    out << YAML::BeginMap;
    emitText(out, "domain", outage.domain.value());
    emitText(out, "reason", outage.reason);
    out << YAML::EndMap;
}

static void emitObjective(YAML::Emitter& out, const Objective& objective)
{
    out << YAML::BeginMap;
    emitText(out, "team", objective.team.value());
    emitNumber(out, "kind", toString(objective.kind));
    emitDuration(out, "waiting_time", objective.waitingTime);
    emitNumber(out, "target", objective.target);
    out << YAML::EndMap;
}

std::string formatConfigurationFile(const Configuration& configuration)
{
    YAML::Emitter out;
    out << YAML::BeginMap;
    emitNumber(out, "revision", configuration.revision);
    emitDefaults(out, configuration.defaults);
    emitList(out, "exceptions", configuration.exceptions, emitException);
    emitList(out, "teams", configuration.teams, emitTeam);
    emitList(out, "domains_out", configuration.domainsOut, emitOutage);
    emitList(out, "objectives", configuration.objectives, emitObjective);
    out << YAML::EndMap;
    return std::string(out.c_str()) + "\n";
}

} // namespace crocuslever
