#include "tools/crocusload/LoadMix.h"

#include "src/config/YamlReader.h"

namespace crocuslever::load {

static constexpr std::int64_t kMaximumAmount = 1000000000;
static constexpr double kMinimumRate = 0.001;
static constexpr double kMaximumRate = 10000;
static constexpr std::int64_t kMaximumTaskMs = 120000;
static constexpr std::int64_t kMaximumTasks = 1000;

static WorkKind readKind(MapReader& map)
{
    std::string text = map.requiredText("kind");
    for (WorkKind kind : { WorkKind::Urgent, WorkKind::Batch, WorkKind::Gang }) {
        if (text == toString(kind))
            return kind;
    }
    map.addFault("kind", "must be urgent, batch or gang");
    return WorkKind::Urgent;
}

static std::optional<Resources> readResources(MapReader& map)
{
    if (!map.has("resources"))
        return std::nullopt;
    MapReader section = map.section("resources");
    Resources resources;
    resources.milliCpu = section.integer("milli_cpu", 0, 0, kMaximumAmount);
    resources.memoryMb = section.integer("memory_mb", 0, 0, kMaximumAmount);
    resources.accelerators = section.integer("accelerators", 0, 0, kMaximumAmount);
    section.finish();
    return resources;
}

static Stream readStream(MapReader map)
{
    Stream stream;
    stream.name = map.requiredText("name");
    stream.team = map.requiredText("team");
    stream.key = map.requiredText("key");
    stream.kind = readKind(map);
    stream.service = map.requiredText("service");
    stream.idempotent = map.boolean("idempotent", false);
    map.require("rate_per_second");
    stream.ratePerSecond = map.number("rate_per_second", 1, kMinimumRate, kMaximumRate);
    stream.taskMs = map.integer("task_ms", 0, 0, kMaximumTaskMs);
    stream.resources = readResources(map);
    stream.taskCount = static_cast<int>(map.integer("task_count", 1, 1, kMaximumTasks));
    if (stream.taskCount > 1 && stream.kind != WorkKind::Gang)
        map.addFault("task_count", "must be 1 except for gangs");
    map.finish();
    return stream;
}

Result<std::vector<Stream>> parseMix(const std::string& text, const std::string& fileName)
{
    constexpr int kFirstLine = 1;
    FaultList faults(fileName);
    YAML::Node document = parseYaml(text, faults);
    MapReader root(document, {}, kFirstLine, faults);
    root.require("streams");
    std::vector<Stream> streams;
    for (const MapReader& map : root.sections("streams"))
        streams.push_back(readStream(map));
    root.finish();
    if (!faults.isEmpty())
        return faults.toError("mix.parse");
    return streams;
}

} // namespace crocuslever::load
