#include "src/control/ConfigurationDiff.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

#include "src/config/YamlReader.h"

namespace crocuslever {

namespace {

struct Field {
    std::string value; ///< Compared, but not printed.
    std::string display; ///< Printed for the value.
};

/// The fields of a configuration by unique name.
class FieldMap {
public:
    void add(const std::string& name, const std::string& value) { addWithDisplay(name, value, value); }

    void addWithDisplay(const std::string& name, const std::string& value, const std::string& display)
    {
        // Documents written by other programs may repeat a name. Number the repetitions, so that each
        // is compared.
        std::string unique = name;
        for (int n = 2; m_fields.count(unique) > 0; ++n)
            unique = name + " #" + std::to_string(n);
        m_fields[unique] = { value, display };
    }

    const std::map<std::string, Field>& fields() const { return m_fields; }

private:
    std::map<std::string, Field> m_fields;
};

} // namespace

static std::string formatNumber(double value) { return nlohmann::json(value).dump(); }

static std::string formatResources(const Resources& resources)
{
    return "milli_cpu " + std::to_string(resources.milliCpu) + ", memory_mb " + std::to_string(resources.memoryMb)
        + ", accelerators " + std::to_string(resources.accelerators) + ", slots " + std::to_string(resources.slots);
}

static void addDefaults(FieldMap& map, const PolicyDefaults& defaults)
{
    map.add("defaults task_resources", formatResources(defaults.taskResources));
    map.add("defaults maximum_attempts", std::to_string(defaults.maximumAttempts));
    map.add("defaults urgent_deadline", formatDuration(defaults.urgentDeadline));
    map.add("defaults attempt_lease", formatDuration(defaults.attemptLease));
    map.add("defaults result_retention", formatDuration(defaults.resultRetention));
    map.add("defaults urgent_headroom_percent", std::to_string(defaults.urgentHeadroomPercent));
    map.add("defaults maximum_queued_jobs", std::to_string(defaults.maximumQueuedJobs));
    map.add("defaults maximum_body_bytes", std::to_string(defaults.maximumBodyBytes));
}

static void addException(FieldMap& map, const PolicyException& exception)
{
    std::string name = "exception \"" + exception.name + "\" ";
    map.add(name + "reason", exception.reason);
    if (exception.team)
        map.add(name + "team", exception.team->value());
    if (exception.kind)
        map.add(name + "kind", toString(*exception.kind));
    if (exception.taskResources)
        map.add(name + "task_resources", formatResources(*exception.taskResources));
    if (exception.maximumAttempts)
        map.add(name + "maximum_attempts", std::to_string(*exception.maximumAttempts));
    if (exception.urgentDeadline)
        map.add(name + "urgent_deadline", formatDuration(*exception.urgentDeadline));
    if (exception.maximumQueuedJobs)
        map.add(name + "maximum_queued_jobs", std::to_string(*exception.maximumQueuedJobs));
    if (exception.maximumBodyBytes)
        map.add(name + "maximum_body_bytes", std::to_string(*exception.maximumBodyBytes));
}

static void addTeam(FieldMap& map, const Team& team)
{
    constexpr std::size_t kDisplayedHashDigits = 8;
    std::string name = "team " + team.id.value() + " ";
    map.add(name + "share", formatNumber(team.shareWeight));
    map.add(name + "upper_limit", std::to_string(team.upperLimit));
    for (const KeyHash& key : team.keys)
        map.addWithDisplay(name + "key " + key.id, key.salt + ":" + key.hash, "hash " + key.hash.substr(0, kDisplayedHashDigits) + "...");
}

static void addObjective(FieldMap& map, const Objective& objective)
{
    std::string name = "objective " + objective.team.value() + "/" + toString(objective.kind) + " ";
    map.add(name + "waiting_time", formatDuration(objective.waitingTime));
    map.add(name + "target", formatNumber(objective.target));
}

static FieldMap collectFields(const Configuration& configuration)
{
    FieldMap map;
    addDefaults(map, configuration.defaults);
    for (const PolicyException& exception : configuration.exceptions)
        addException(map, exception);
    for (const Team& team : configuration.teams)
        addTeam(map, team);
    for (const DomainOutage& outage : configuration.domainsOut)
        map.add("domain out " + outage.domain.value(), outage.reason);
    for (const Objective& objective : configuration.objectives)
        addObjective(map, objective);
    return map;
}

static std::vector<std::string> exceptionNames(const Configuration& configuration)
{
    std::vector<std::string> names;
    for (const PolicyException& exception : configuration.exceptions)
        names.push_back(exception.name);
    return names;
}

static std::string joinNames(const std::vector<std::string>& names)
{
    std::string text;
    for (const std::string& name : names)
        text += (text.empty() ? "\"" : ", \"") + name + "\"";
    return text;
}

// Later exceptions override earlier ones, so their order matters.
static void diffExceptionOrder(const Configuration& before, const Configuration& after, std::vector<std::string>& lines)
{
    std::vector<std::string> old = exceptionNames(before);
    std::vector<std::string> now = exceptionNames(after);
    if (old != now && std::is_permutation(old.begin(), old.end(), now.begin(), now.end()))
        lines.push_back("~ order of exceptions: " + joinNames(old) + " -> " + joinNames(now));
    else if (old != now && !old.empty() && !now.empty())
        lines.push_back("~ exceptions in their new order: " + joinNames(now));
}

std::vector<std::string> diffConfigurations(const Configuration& before, const Configuration& after)
{
    FieldMap old = collectFields(before);
    FieldMap now = collectFields(after);
    std::vector<std::string> lines;
    for (const auto& [name, field] : old.fields()) {
        auto it = now.fields().find(name);
        if (it == now.fields().end())
            lines.push_back("- " + name + ": " + field.display);
        else if (it->second.value != field.value)
            lines.push_back("~ " + name + ": " + field.display + " -> " + it->second.display);
    }
    for (const auto& [name, field] : now.fields()) {
        if (old.fields().count(name) == 0)
            lines.push_back("+ " + name + ": " + field.display);
    }
    diffExceptionOrder(before, after, lines);
    return lines;
}

} // namespace crocuslever
