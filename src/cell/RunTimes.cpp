#include "src/cell/RunTimes.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace crocuslever::cell {

static constexpr std::size_t kMaxRows = 256;
static constexpr std::size_t kMaxSamples = 128; ///< By row.
/// Of one row. Tasks of one job share its estimate, so that a burst of their ends says little more than one of them.
static constexpr Duration kSampleInterval = std::chrono::milliseconds(25);
static constexpr Duration kMaxSampleAge = std::chrono::seconds(60);
static constexpr Duration kSummaryInterval = std::chrono::milliseconds(500);
static constexpr std::size_t kMinSamples = 12; ///< Before that the estimates count.
/// Estimates that are off by no more than this (logarithm, bias and spread together) are taken as they are. Run times
/// include the time that orders and polls take.
static constexpr double kNegligibleError = 0.25;
/// Changes of a median or spread below this are no reason to compute the expected times of all jobs anew.
static constexpr double kNegligibleChange = 0.02;
static constexpr double kMinSpread = 0.05;
/// Standard deviations by which a run may take longer than expected when a job is judged to be still in time. A full cell
/// starts jobs in the order of their age, at the last moment that this leaves them.
static constexpr double kCaution = 1.5;
/// Standard deviation of a normal distribution, as a multiple of its median absolute deviation.
static constexpr double kSpreadPerDeviation = 1.4826;

static double toLog(Duration duration) { return std::log(std::max(1.0, std::chrono::duration<double, std::milli>(duration).count())); }

static double medianOf(std::vector<double>& values)
{
    auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

/// Medians, since some runs take many times as long as others of their kind.
static LogSpread summarize(std::vector<double> values)
{
    LogSpread result;
    result.count = values.size();
    if (values.empty())
        return result;
    result.median = medianOf(values);
    for (double& value : values)
        value = std::abs(value - result.median);
    result.spread = kSpreadPerDeviation * medianOf(values);
    return result;
}

static bool differ(const LogSpread& a, const LogSpread& b)
{
    bool isKnownAnew = (a.count < kMinSamples) != (b.count < kMinSamples);
    return isKnownAnew || std::abs(a.median - b.median) > kNegligibleChange || std::abs(a.spread - b.spread) > kNegligibleChange;
}

static void dropOldest(RunTimeTable& table)
{
    auto oldest = std::min_element(table.rows.begin(), table.rows.end(), [](const auto& a, const auto& b) { return a.second.samples.back().at < b.second.samples.back().at; });
    table.rows.erase(oldest);
    ++table.version;
}

void recordRunTime(RunTimeTable& table, const std::string& route, const StepSpec& step, Duration runTime, TimePoint now)
{
    std::pair<std::string, std::string> key { route, step.image };
    if (table.rows.count(key) == 0 && table.rows.size() >= kMaxRows)
        dropOldest(table);
    RunTimeRow& row = table.rows[key];
    if (!row.samples.empty() && now - row.samples.back().at < kSampleInterval)
        return;
    bool hasEstimate = step.estimate > Duration(0);
    double logRunTime = toLog(runTime);
    row.samples.push_back({ now, logRunTime, hasEstimate ? logRunTime - toLog(step.estimate) : 0.0, hasEstimate });
    if (row.samples.size() > kMaxSamples)
        row.samples.pop_front();
    row.isStale = true;
}

/// Returns true if expected run times change.
static bool summarizeRow(RunTimeRow& row)
{
    std::vector<double> runTimes;
    std::vector<double> errors;
    for (const RunTimeSample& sample : row.samples) {
        runTimes.push_back(sample.logRunTime);
        if (sample.hasEstimate)
            errors.push_back(sample.logError);
    }
    LogSpread runTime = summarize(std::move(runTimes));
    LogSpread error = summarize(std::move(errors));
    row.isStale = false;
    if (!differ(runTime, row.runTime) && !differ(error, row.error))
        return false;
    row.runTime = runTime;
    row.error = error;
    return true;
}

void summarizeRunTimes(RunTimeTable& table, TimePoint now)
{
    if (now < table.nextSummary)
        return;
    table.nextSummary = now + kSummaryInterval;
    bool hasChanged = false;
    for (auto it = table.rows.begin(); it != table.rows.end();) {
        RunTimeRow& row = it->second;
        while (!row.samples.empty() && now - row.samples.front().at > kMaxSampleAge) {
            row.samples.pop_front();
            row.isStale = true;
        }
        if (row.isStale && summarizeRow(row))
            hasChanged = true;
        it = row.samples.empty() ? table.rows.erase(it) : std::next(it);
    }
    if (hasChanged)
        ++table.version;
}

static Duration fromLog(double logMs) { return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(std::exp(logMs))); }

namespace {

/// What is known of the logarithm of a run time.
struct Expectation {
    double mean { 0.0 };
    double spread { 0.0 };
};

} // namespace

/// The corrected estimate and the typical run time are two independent measurements of the logarithm of the run time. Each
/// counts by the inverse of its variance.
static Expectation combine(const LogSpread& error, const LogSpread& runTime, double logEstimate)
{
    double errorSpread = std::max(kMinSpread, error.spread);
    double runTimeSpread = std::max(kMinSpread, runTime.spread);
    double byEstimate = 1.0 / (errorSpread * errorSpread);
    double byRunTime = 1.0 / (runTimeSpread * runTimeSpread);
    double both = byEstimate + byRunTime;
    return { (byEstimate * (logEstimate + error.median) + byRunTime * runTime.median) / both, 1.0 / std::sqrt(both) };
}

/// Unset: the estimate counts.
static std::optional<Expectation> expect(const RunTimeTable& table, const std::string& route, const StepSpec& step)
{
    auto it = table.rows.find({ route, step.image });
    if (step.isLongRunning || it == table.rows.end() || it->second.runTime.count < kMinSamples)
        return std::nullopt;
    const RunTimeRow& row = it->second;
    if (step.estimate <= Duration(0))
        return Expectation { row.runTime.median, row.runTime.spread };
    if (row.error.count < kMinSamples || std::hypot(row.error.median, row.error.spread) <= kNegligibleError)
        return std::nullopt;
    return combine(row.error, row.runTime, toLog(step.estimate));
}

Duration expectedRunTime(const RunTimeTable& table, const std::string& route, const StepSpec& step)
{
    std::optional<Expectation> known = expect(table, route, step);
    return known ? fromLog(known->mean) : step.estimate;
}

static Duration cautiousRunTime(const RunTimeTable& table, const std::string& route, const StepSpec& step)
{
    std::optional<Expectation> known = expect(table, route, step);
    return known ? fromLog(known->mean + kCaution * known->spread) : step.estimate;
}

Duration criticalPath(const JobSpec& spec, const std::vector<Duration>& runTimes)
{
    std::vector<Duration> ends;
    Duration longest { 0 };
    for (std::size_t n = 0; n < spec.steps.size(); ++n) {
        Duration start { 0 };
        for (int earlier : spec.steps[n].after) {
            if (earlier >= 0 && static_cast<std::size_t>(earlier) < ends.size())
                start = std::max(start, ends[earlier]);
        }
        ends.push_back(start + runTimes[n]);
        longest = std::max(longest, ends.back());
    }
    return longest;
}

void updateExpectedTimes(ExpectedTimes& times, const RunTimeTable& table, const std::string& route, const JobSpec& spec)
{
    if (times.steps.size() == spec.steps.size() && times.version == table.version)
        return;
    times.steps.clear();
    std::vector<Duration> expected;
    for (const StepSpec& step : spec.steps) {
        expected.push_back(expectedRunTime(table, route, step));
        times.steps.push_back(cautiousRunTime(table, route, step));
    }
    times.criticalPath = criticalPath(spec, expected);
    times.version = table.version;
}

} // namespace crocuslever::cell
