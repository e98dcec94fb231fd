#include "src/cell/Admission.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "src/cell/Occurrences.h"
#include "src/cell/Ownership.h"
#include "src/cell/StoreCalls.h"

namespace crocuslever::cell {

/// Between two adjustments. The effect of one shows once its record is listed and earlier jobs have been worked off.
static constexpr Duration kAdjustInterval = std::chrono::milliseconds(400);
/// An owner whose turns are this late is overloaded if its backlog is longer than kMostBacklog, too.
static constexpr Duration kBusyDelay = std::chrono::milliseconds(70);
static constexpr Duration kMostBacklog = std::chrono::milliseconds(800);
/// Each adjustment leaves at least and at most this share of what was accepted, unless the backlog shrinks.
static constexpr double kLeastShareKept = 0.15;
static constexpr double kMostShareKept = 0.6;
/// How fast more is accepted again: by the greater of a part of a priority class and a share of what is accepted.
static constexpr double kIncrease = 0.1;
static constexpr double kIncreaseShare = 0.25;
/// A new owner is late by its recovery, whatever the load. Until then the limit of its predecessor holds.
static constexpr Duration kSettlingTime = std::chrono::seconds(4);
static constexpr double kLeastAccepted = 0.1; ///< Of the most urgent class, so that the cell never stands idle.
static constexpr int kRateSamples = 3; ///< Weight of the past in the smoothed rate of starts.
static constexpr double kThousandths = 1000.0;
static constexpr Duration kLeastRetryAfter = std::chrono::seconds(1);
static constexpr Duration kMostRetryAfter = std::chrono::seconds(10);

/// The priorities of all routes, the most urgent first.
static std::set<int> prioritiesOf(const FleetPolicy& policy)
{
    std::set<int> priorities;
    for (const Route& route : policy.routes)
        priorities.insert(route.priority);
    return priorities;
}

/// Without scheduled jobs, which mostly wait for their time.
static std::int64_t countWaitingTasks(const CellState& state)
{
    std::int64_t count = 0;
    for (const std::string& id : state.waitingJobs) {
        const JobRow& job = state.jobs.at(id);
        count += job.record.spec.occurrences == 0 ? job.waiting : 0;
    }
    return count;
}

/// Time that the waiting tasks take at the recent rate of starts.
static Duration estimateBacklog(const CellState& state)
{
    std::chrono::duration<double> seconds(static_cast<double>(countWaitingTasks(state)) / std::max(1.0, state.ownership.admission.startRate));
    return std::chrono::duration_cast<Duration>(seconds);
}

static bool mustAcceptLess(const CellState& state, Duration backlog)
{
    bool isFallingBehind = state.loop.smoothed > kBusyDelay && backlog > kMostBacklog;
    // Each open task takes memory of the owner.
    bool isTableFull = state.ownership.openTasks > kMaxOpenTasks;
    return isOverloaded(state.loop) || isFallingBehind || isTableFull;
}

static double adjustAccepted(const CellState& state, double accepted, Duration backlog)
{
    if (mustAcceptLess(state, backlog)) {
        bool isShrinking = backlog < state.ownership.admission.backlogBefore;
        double share = std::chrono::duration<double>(kMostBacklog) / std::chrono::duration<double>(std::max(backlog, kMostBacklog));
        return isShrinking ? accepted : accepted * std::clamp(share, kLeastShareKept, kMostShareKept);
    }
    return hasSlack(state.loop) ? accepted + std::max(kIncrease, accepted * kIncreaseShare) : accepted;
}

/// Updates the rate of starts.
static void measureStartRate(CellState& state, Duration elapsed)
{
    AdmissionControl& control = state.ownership.admission;
    std::int64_t starts = state.counters.get("task_starts_total") - control.startsBefore;
    double rate = static_cast<double>(starts) / std::chrono::duration<double>(elapsed).count();
    control.startRate = control.startRate > 0.0 ? control.startRate + (rate - control.startRate) / kRateSamples : rate;
}

static void beginInterval(CellState& state, TimePoint now)
{
    AdmissionControl& control = state.ownership.admission;
    control.startsBefore = state.counters.get("task_starts_total");
    control.adjustedAt = now;
}

static void logAdjustment(const CellState& state, const AdmissionLimit& limit, CellActions& actions)
{
    std::string text = "turns away " + std::to_string(limit.turnedAwayThousandths) + " thousandths of a priority class, the least urgent first; turns begin ";
    text += std::to_string(toMilliseconds(state.loop.smoothed)) + " ms late, " + std::to_string(state.waitingJobs.size()) + " jobs wait, for about ";
    text += std::to_string(toMilliseconds(estimateBacklog(state))) + " ms";
    logMessage(actions, LogLevel::Info, "admission", "", "", text);
}

void tickAdmission(CellState& state, const Instant& now, CellActions& actions)
{
    AdmissionControl& control = state.ownership.admission;
    Duration elapsed = now.steady - control.adjustedAt;
    if (!isOwner(state) || !state.configuration.value || elapsed < kAdjustInterval)
        return;
    bool isFirst = control.adjustedAt == TimePoint();
    if (isFirst || now.steady < state.ownership.since + kSettlingTime) {
        beginInterval(state, now.steady);
        return;
    }
    AdmissionLimit& limit = state.membership.admission;
    AdmissionLimit before = limit;
    double classes = static_cast<double>(prioritiesOf(*state.configuration.value).size());
    double accepted = classes - static_cast<double>(limit.turnedAwayThousandths) / kThousandths;
    measureStartRate(state, elapsed);
    Duration backlog = estimateBacklog(state);
    accepted = std::clamp(adjustAccepted(state, accepted, backlog), kLeastAccepted, classes);
    control.backlogBefore = backlog;
    beginInterval(state, now.steady);
    limit.turnedAwayThousandths = std::llround((classes - accepted) * kThousandths);
    // Rounded, since each change is written to the store.
    using HalfSeconds = std::chrono::duration<std::int64_t, std::ratio<1, 2>>;
    limit.backlog = limit.turnedAwayThousandths > 0 ? std::chrono::round<HalfSeconds>(backlog) : Duration(0);
    if (limit != before)
        logAdjustment(state, limit, actions);
}

/// A number from 0 to 1 that depends on the job alone, and is the same on all instances: by the FNV-1a hash.
static double rankInClass(const std::string& jobId)
{
    constexpr std::uint64_t kOffset = 14695981039346656037ULL;
    constexpr std::uint64_t kPrime = 1099511628211ULL;
    constexpr std::uint64_t kRanks = 1000;
    std::uint64_t hash = kOffset;
    for (char c : jobId)
        hash = (hash ^ static_cast<unsigned char>(c)) * kPrime;
    return static_cast<double>(hash % kRanks) / static_cast<double>(kRanks);
}

bool isTurnedAway(const CellState& state, const Route& route, const std::string& jobId)
{
    const AdmissionLimit& admission = state.membership.admission;
    if (admission.turnedAwayThousandths <= 0)
        return false;
    std::set<int> priorities = prioritiesOf(*state.configuration.value);
    double turnedAway = static_cast<double>(admission.turnedAwayThousandths) / kThousandths;
    // The owner may have counted the classes of another version of the configuration.
    double accepted = std::max(kLeastAccepted, static_cast<double>(priorities.size()) - turnedAway);
    double moreUrgent = static_cast<double>(std::distance(priorities.begin(), priorities.find(route.priority)));
    return rankInClass(jobId) >= accepted - moreUrgent;
}

Duration retryAfterOverload(CellState& state)
{
    Duration wait = std::clamp(state.membership.admission.backlog, kLeastRetryAfter, kMostRetryAfter);
    return wait + Duration(static_cast<std::int64_t>(randomBelow(state, static_cast<std::uint64_t>(wait.count()))));
}

} // namespace crocuslever::cell
