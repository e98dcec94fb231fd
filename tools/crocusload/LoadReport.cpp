#include "tools/crocusload/LoadReport.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>

namespace crocuslever::load {

using Json = nlohmann::ordered_json;

namespace {

struct Percentile {
    const char* name;
    double share;
};

struct CountName {
    const char* name;
    std::int64_t StreamCounts::*count;
};

} // namespace

static constexpr std::array<Percentile, 3> kPercentiles { { { "p50", 0.5 }, { "p99", 0.99 }, { "p99.9", 0.999 } } };
static constexpr std::array<CountName, 9> kCountNames { { { "sent", &StreamCounts::sent }, { "done", &StreamCounts::done },
    { "not_run", &StreamCounts::notRun }, { "unknown", &StreamCounts::unknown }, { "wrong", &StreamCounts::wrong },
    { "invalid", &StreamCounts::invalid }, { "lost", &StreamCounts::lost }, { "unfinished", &StreamCounts::unfinished },
    { "missed", &StreamCounts::missed } } };
/// Reported as the increase during the run.
static constexpr std::array<const char*, 6> kCounters { "store_calls_total", "upstream_calls_total", "peer_bytes_sent_total",
    "peer_bytes_received_total", "starts_total", "process_cpu_microseconds_total" };
/// Reported as the value at the end of the run.
static constexpr std::array<const char*, 2> kGauges { "process_resident_bytes", "process_maximum_resident_kilobytes" };

/// Percentiles by nearest rank and the maximum, in milliseconds; only the count if there are no values.
static Json describeLatencies(std::vector<Duration> values)
{
    constexpr double kMicrosecondsPerMillisecond = 1000;
    Json json = Json::object();
    json["count"] = values.size();
    if (values.empty())
        return json;
    std::sort(values.begin(), values.end());
    for (const Percentile& percentile : kPercentiles) {
        double rank = std::ceil(percentile.share * static_cast<double>(values.size()));
        json[percentile.name] = static_cast<double>(values[static_cast<std::size_t>(rank) - 1].count()) / kMicrosecondsPerMillisecond;
    }
    json["max"] = static_cast<double>(values.back().count()) / kMicrosecondsPerMillisecond;
    return json;
}

static Json describeStream(const Stream& stream, const StreamResult& result)
{
    Json json;
    json["name"] = stream.name;
    json["team"] = stream.team;
    json["kind"] = toString(stream.kind);
    for (const CountName& entry : kCountNames)
        json[entry.name] = result.counts.*entry.count;
    json["reasons"] = result.reasons;
    if (stream.kind == WorkKind::Urgent) {
        json["answered_ms"] = describeLatencies(result.answered);
        return json;
    }
    json["accepted_ms"] = describeLatencies(result.accepted);
    json["finished_ms"] = describeLatencies(result.finished);
    return json;
}

/// Sum of the metric over all its labels; nullopt if there is none of that name.
static std::optional<std::int64_t> metricOf(const MetricValues& values, const std::string& name)
{
    std::optional<std::int64_t> sum;
    for (const auto& [key, value] : values) {
        if (key == name || key.rfind(name + "{", 0) == 0)
            sum = sum.value_or(0) + value;
    }
    return sum;
}

static Json describeInstance(const InstanceMetrics& instance)
{
    Json json;
    json["entry"] = instance.entry;
    json["answered"] = !instance.before.empty() && !instance.after.empty();
    for (const char* name : kCounters) {
        if (std::optional<std::int64_t> after = metricOf(instance.after, name))
            json[name] = *after - metricOf(instance.before, name).value_or(0);
    }
    for (const char* name : kGauges) {
        if (std::optional<std::int64_t> after = metricOf(instance.after, name))
            json[name] = *after;
    }
    return json;
}

static Json describe(const LoadSettings& settings, const LoadResult& result)
{
    constexpr double kMicrosecondsPerSecond = 1e6;
    Json json;
    json["seed"] = settings.seed;
    json["seconds"] = static_cast<double>(settings.duration.count()) / kMicrosecondsPerSecond;
    json["streams"] = Json::array();
    for (std::size_t n = 0; n < settings.streams.size(); ++n)
        json["streams"].push_back(describeStream(settings.streams[n], result.streams[n]));
    json["instances"] = Json::array();
    for (const InstanceMetrics& instance : result.instances)
        json["instances"].push_back(describeInstance(instance));
    return json;
}

/// Formats an object on one line as "key value, key (key value, ...)"; skips empty objects.
static std::string formatLine(const Json& json)
{
    std::string text;
    for (auto it = json.begin(); it != json.end(); ++it) {
        if (it->is_object() && it->empty())
            continue;
        text += text.empty() ? "" : ", ";
        text += it.key() + " " + (it->is_object() ? "(" + formatLine(*it) + ")" : (it->is_string() ? it->get<std::string>() : it->dump()));
    }
    return text;
}

std::string formatText(const LoadSettings& settings, const LoadResult& result)
{
    Json json = describe(settings, result);
    std::ostringstream text;
    text << "seed " << json["seed"] << ", arrivals for " << json["seconds"] << " s\n";
    for (const char* part : { "streams", "instances" }) {
        text << part << ":\n";
        for (const Json& item : json[part])
            text << "  " << formatLine(item) << '\n';
    }
    return text.str();
}

std::string formatJson(const LoadSettings& settings, const LoadResult& result) { return describe(settings, result).dump(2) + "\n"; }

bool isCorrect(const LoadResult& result)
{
    return std::all_of(result.streams.begin(), result.streams.end(),
        [](const StreamResult& stream) { return stream.counts.wrong == 0 && stream.counts.lost == 0; });
}

} // namespace crocuslever::load
