#include "src/cell/Admission.h"

#include <algorithm>
#include <cmath>
#include <functional>

#include "src/cell/Ownership.h"
#include "src/cell/StoreCalls.h"

namespace crocuslever::cell {

/// Between two adjustments. The effect of one shows once its record is listed and earlier jobs have been worked off.
static constexpr Duration kAdjustInterval = std::chrono::milliseconds(1000);
/// Additive increase, multiplicative decrease of what is accepted, in priority classes.
static constexpr double kDecreaseFactor = 0.6;
static constexpr double kIncrease = 0.15;
static constexpr double kLeastAccepted = 0.1; ///< Of the most urgent class, so that the cell never stands idle.
static constexpr int kRateSamples = 3; ///< Weight of the past in the smoothed rate of starts.
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

static std::int64_t countWaitingTasks(const CellState& state)
{
    std::int64_t count = 0;
    for (const std::string& id : state.waitingJobs)
        count += state.jobs.at(id).waiting;
    return count;
}

/// Time that the waiting tasks take at the recent rate of starts.
static Duration estimateBacklog(CellState& state, Duration elapsed)
{
    AdmissionControl& control = state.ownership.admission;
    std::int64_t starts = state.counters.get("task_starts_total");
    double rate = static_cast<double>(starts - control.startsBefore) / std::chrono::duration<double>(elapsed).count();
    control.startsBefore = starts;
    control.startRate = control.startRate > 0.0 ? control.startRate + (rate - control.startRate) / kRateSamples : rate;
    std::chrono::duration<double> seconds(static_cast<double>(countWaitingTasks(state)) / std::max(1.0, control.startRate));
    return std::min(kMostRetryAfter, std::chrono::duration_cast<Duration>(seconds));
}

static double adjustTurnedAway(const LoopDelay& loop, double turnedAway, double classes)
{
    double accepted = classes - turnedAway;
    if (isOverloaded(loop))
        accepted *= kDecreaseFactor;
    else if (hasSlack(loop))
        accepted += kIncrease;
    return classes - std::clamp(accepted, kLeastAccepted, classes);
}

static void logAdjustment(const CellState& state, const AdmissionLimit& admission, std::size_t classes, CellActions& actions)
{
    std::string text = "turns away " + std::to_string(admission.turnedAwayThousandths) + " thousandths of a class of " + std::to_string(classes) + ", the least urgent first; turns begin ";
    text += std::to_string(toMilliseconds(state.loop.smoothed)) + " ms late, " + std::to_string(state.waitingJobs.size()) + " jobs wait, for about ";
    text += std::to_string(toMilliseconds(admission.backlog)) + " ms";
    logMessage(actions, LogLevel::Info, "admission", "", "", text);
}

void tickAdmission(CellState& state, const Instant& now, CellActions& actions)
{
    if (!isOwner(state) || !state.configuration.value)
        return;
    AdmissionControl& control = state.ownership.admission;
    if (control.adjustedAt == TimePoint()) {
        // A new owner has measured nothing yet but its own recovery.
        control.adjustedAt = now.steady;
        control.startsBefore = state.counters.get("task_starts_total");
        return;
    }
    Duration elapsed = now.steady - control.adjustedAt;
    if (elapsed < kAdjustInterval)
        return;
    control.adjustedAt = now.steady;
    std::size_t classes = prioritiesOf(*state.configuration.value).size();
    constexpr double kThousandths = 1000.0;
    AdmissionLimit& admission = state.membership.admission;
    double turnedAway = adjustTurnedAway(state.loop, static_cast<double>(admission.turnedAwayThousandths) / kThousandths, static_cast<double>(classes));
    Duration backlog = estimateBacklog(state, elapsed);
    bool wasOpen = admission == AdmissionLimit {};
    admission.turnedAwayThousandths = std::llround(turnedAway * kThousandths);
    admission.backlog = admission.turnedAwayThousandths > 0 ? backlog : Duration(0);
    if (!wasOpen || admission != AdmissionLimit {})
        logAdjustment(state, admission, classes, actions);
}

/// A number from 0 to 1 that depends on the job alone.
static double rankInClass(const std::string& jobId)
{
    constexpr std::size_t kRanks = 1000;
    return static_cast<double>(std::hash<std::string> {}(jobId) % kRanks) / kRanks;
}

bool isTurnedAway(const CellState& state, const Route& route, const std::string& jobId)
{
    const AdmissionLimit& admission = state.membership.admission;
    if (admission.turnedAwayThousandths <= 0)
        return false;
    std::set<int> priorities = prioritiesOf(*state.configuration.value);
    constexpr double kThousandths = 1000.0;
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
