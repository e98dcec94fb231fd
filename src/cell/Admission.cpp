#include "src/cell/Admission.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <optional>

#include "cell.pb.h"
#include "src/cell/AdmissionCodec.h"
#include "src/cell/Candidate.h"
#include "src/cell/Occurrences.h"
#include "src/cell/Ownership.h"
#include "src/cell/PeerCalls.h"
#include "src/cell/StoreCalls.h"

namespace crocuslever::cell {

namespace wire = crocuslever::cellwire;
using Seconds = std::chrono::duration<double>;

/// Between two plans, and between two reports of an instance.
static constexpr Duration kPlanInterval = std::chrono::milliseconds(250);
/// An instance follows a plan for this long. Plans are sent once more than that often, so that a few may get lost.
static constexpr Duration kPlanValidity = std::chrono::milliseconds(1500);
/// Less than this many seconds of waiting starts are no backlog: the delay has another cause, which turning work away
/// would not relieve.
static constexpr double kLeastBacklogSeconds = 0.2;
static constexpr double kOfferedExcess = 1.05; ///< Offered work above this multiple of the starts makes a backlog, too.
static constexpr double kCapacitySmoothing = 0.4; ///< Weight of the latest interval in what a saturated owner can start.
/// Of what an owner starts whose turns are late: answers and orders wait for each other, which makes all of its jobs slow.
static constexpr double kShareWhileLate = 0.9;
/// While it has slack, one interval raises the estimate by these factors.
static constexpr double kRaiseWhileLimiting = 1.15;
static constexpr double kRaiseWhileOpen = 1.02;
static constexpr double kHeadroom = 1.2; ///< Over the present starts, while nothing is turned away.
static constexpr double kLeastStarts = 10.0; ///< Per second; the estimate never falls below.
/// A new owner is late by its recovery, whatever the load. Until then the limit of its predecessor holds.
static constexpr Duration kSettlingTime = std::chrono::seconds(4);
static constexpr double kLeastAccepted = 0.1; ///< Of the most urgent class, so that the cell never stands idle.
static constexpr double kSmoothing = 0.5; ///< Weight of the latest interval in smoothed rates.
/// The same of starts, which come in waves: their answers and ends cost the owner more, and later.
static constexpr double kRateSmoothing = 0.25;
static constexpr double kSlowSmoothing = 0.12; ///< The same for a demand that falls while the owner is saturated.
static constexpr double kPathSmoothing = 1.0 / 16; ///< Weight of a job in the typical critical path of its route.
static constexpr double kForgottenRate = 0.05; ///< Rows of demand below this many tasks a second are dropped.
static constexpr double kThousandths = 1000.0;
static constexpr std::int64_t kLimitStep = 100; ///< Thousandths; the stored limit is rounded, since each change is written.
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

static double countTasks(const JobSpec& spec)
{
    std::int64_t count = 0;
    for (const StepSpec& step : spec.steps)
        count += std::max(0, step.count);
    return static_cast<double>(count);
}

// Demand.

void recordAccepted(CellState& state, const JobRow& job)
{
    AdmissionControl& control = state.ownership.admission;
    control.demand[{ job.record.route, job.record.team }].newTasks += countTasks(job.record.spec);
    double path = Seconds(job.estimatedCriticalPath).count();
    auto [it, isNew] = control.pathSeconds.try_emplace(job.record.route, path);
    if (!isNew)
        it->second += (path - it->second) * kPathSmoothing;
}

void recordRefused(CellState& state, const std::string& route, const std::string& team, const JobSpec& spec)
{
    state.counters.add("jobs_turned_away_total{route=\"" + route + "\"}");
    if (isOwner(state))
        state.ownership.admission.demand[{ route, team }].newTasks += countTasks(spec);
    else
        state.refusals.tasks[{ route, team }] += std::llround(countTasks(spec));
}

void handleRefusalReport(CellState& state, const wire::RefusalReport& report)
{
    if (!isOwner(state) || !state.configuration.value)
        return;
    for (const wire::RefusedJobs& row : report.refused()) {
        if (findRouteByName(*state.configuration.value, row.route()))
            state.ownership.admission.demand[{ row.route(), row.team() }].newTasks += static_cast<double>(std::max<std::int64_t>(0, row.tasks()));
    }
}

static void reportRefusals(CellState& state, TimePoint now, CellActions& actions)
{
    Refusals& refusals = state.refusals;
    if (refusals.tasks.empty() || now < refusals.nextReport)
        return;
    refusals.nextReport = now + kPlanInterval;
    const std::string& owner = state.membership.ownerAddress;
    if (!owner.empty() && owner != state.settings.address) {
        wire::PeerMessage message;
        for (const auto& [of, tasks] : refusals.tasks) {
            wire::RefusedJobs& row = *message.mutable_refusal_report()->add_refused();
            row.set_route(of.first);
            row.set_team(of.second);
            row.set_tasks(tasks);
        }
        notifyPeer(state, owner, std::move(message), actions);
    }
    refusals.tasks.clear();
}

/// While the owner is saturated, what it sees of the demand lags and comes in waves, so that it falls slowly.
static void smoothDemand(AdmissionControl& control, double seconds, bool isFull)
{
    for (auto it = control.demand.begin(); it != control.demand.end();) {
        DemandRow& row = it->second;
        double change = row.newTasks / seconds - row.tasksPerSecond;
        row.tasksPerSecond += change * (isFull && change < 0.0 ? kSlowSmoothing : kSmoothing);
        row.newTasks = 0.0;
        it = row.tasksPerSecond < kForgottenRate ? control.demand.erase(it) : std::next(it);
    }
}

// Load.

static void measureStartRate(CellState& state, double seconds)
{
    AdmissionControl& control = state.ownership.admission;
    std::int64_t starts = state.counters.get("task_starts_total") - control.startsBefore;
    double rate = static_cast<double>(starts) / seconds;
    control.startRate = control.startRate > 0.0 ? control.startRate + (rate - control.startRate) * kRateSmoothing : rate;
}

static void beginInterval(CellState& state, TimePoint now)
{
    AdmissionControl& control = state.ownership.admission;
    control.startsBefore = state.counters.get("task_starts_total");
    control.adjustedAt = now;
}

/// The longest wait after which a job of the route still ends in time, by the critical path of its recent jobs.
static Duration toleranceOf(const AdmissionControl& control, const Route& route)
{
    auto it = control.pathSeconds.find(route.name);
    double path = it == control.pathSeconds.end() ? 0.0 : it->second;
    return route.targetDuration + std::chrono::duration_cast<Duration>(Seconds(std::max(0.0, route.stretch - 1.0) * path));
}

static AdmissionLoad collectLoad(const CellState& state, std::int64_t wallMs)
{
    const FleetPolicy& policy = *state.configuration.value;
    const AdmissionControl& control = state.ownership.admission;
    AdmissionLoad load;
    for (const Route& route : policy.routes) {
        auto [it, isNew] = load.classes.try_emplace(route.priority);
        Duration tolerance = toleranceOf(control, route);
        it->second.tolerance = isNew ? tolerance : std::min(it->second.tolerance, tolerance);
    }
    for (const std::string& id : state.waitingJobs) {
        const JobRow& job = state.jobs.at(id);
        const Route* route = findRouteByName(policy, job.record.route);
        // Scheduled jobs mostly wait for their time.
        if (route && job.record.spec.occurrences == 0 && classifyTimeliness(job, *route, wallMs) == Timeliness::InTime)
            load.classes[route->priority].waitingTasks += job.waiting;
    }
    for (const auto& [of, row] : control.demand) {
        const Route* route = findRouteByName(policy, of.first);
        auto team = policy.teams.find(of.second);
        if (route)
            load.demand.push_back({ of.first, of.second, route->priority, team == policy.teams.end() ? 1.0 : team->second.weight, row.tasksPerSecond });
    }
    // Each open task takes memory of the owner.
    load.isTableFull = state.ownership.openTasks > kMaxOpenTasks;
    return load;
}

/// True if there is more to start than the owner starts.
static bool hasBacklog(const AdmissionLoad& load, double startRate)
{
    double waiting = 0.0;
    for (const auto& [priority, own] : load.classes)
        waiting += own.waitingTasks;
    double offered = 0.0;
    for (const TeamDemand& it : load.demand)
        offered += it.tasksPerSecond;
    return waiting > startRate * kLeastBacklogSeconds || offered > startRate * kOfferedExcess;
}

/// Follows what the owner can start: it is what the owner does while it is saturated with work waiting, and rises while it has slack.
/// Without waiting work the load has another cause, and a limit would only refuse what could be done.
static void updateCapacity(CellState& state, const AdmissionLoad& load)
{
    AdmissionControl& control = state.ownership.admission;
    double& capacity = control.capacity;
    bool isFull = isSaturated(state.loop);
    bool isLimited = isLimiting(state.admissionPlan.plan);
    if (isFull && hasBacklog(load, control.startRate)) {
        double measured = control.startRate * (hasLateTurns(state.loop) ? kShareWhileLate : 1.0);
        capacity = capacity <= 0.0 ? measured : capacity + (measured - capacity) * kCapacitySmoothing;
        capacity = std::max(capacity, kLeastStarts);
    } else if (capacity > 0.0 && isLimited) {
        capacity *= hasSlack(state.loop) || isFull ? kRaiseWhileLimiting : 1.0;
    } else if (capacity > 0.0) {
        capacity = std::max(capacity * kRaiseWhileOpen, control.startRate * kHeadroom);
    }
}

/// Time that all waiting tasks take at the recent rate of starts.
static Duration estimateBacklog(const CellState& state)
{
    std::int64_t waiting = 0;
    for (const std::string& id : state.waitingJobs) {
        const JobRow& job = state.jobs.at(id);
        waiting += job.record.spec.occurrences == 0 ? job.waiting : 0;
    }
    return std::chrono::duration_cast<Duration>(Seconds(static_cast<double>(waiting) / std::max(1.0, state.ownership.admission.startRate)));
}

// Plan.

/// What the owner's record says of the plan: how many classes are turned away in all.
static AdmissionLimit summarize(const AdmissionPlan& plan, Duration backlog)
{
    AdmissionLimit limit;
    for (const auto& [priority, it] : plan.classes)
        limit.turnedAwayThousandths += kWholeShare - it.accepted;
    limit.turnedAwayThousandths = limit.turnedAwayThousandths / kLimitStep * kLimitStep;
    using HalfSeconds = std::chrono::duration<std::int64_t, std::ratio<1, 2>>;
    limit.backlog = limit.turnedAwayThousandths > 0 ? std::chrono::round<HalfSeconds>(backlog) : Duration(0);
    return limit;
}

static void logPlan(const CellState& state, const AdmissionPlan& plan, CellActions& actions)
{
    std::string text = "accepts";
    for (const auto& [priority, it] : plan.classes)
        text += " " + std::to_string(it.accepted) + " of priority " + std::to_string(priority) + " (wait " + std::to_string(toMilliseconds(it.wait)) + " ms),";
    text += " in thousandths; " + std::to_string(plan.shares.size()) + " teams exceed their share; the owner can start ";
    text += std::to_string(std::llround(state.ownership.admission.capacity)) + " tasks a second and starts " + std::to_string(std::llround(state.ownership.admission.startRate));
    text += "; turns begin " + std::to_string(toMilliseconds(state.loop.smoothed)) + " ms late and take " + std::to_string(std::llround(state.loop.busyShare * kThousandths)) + " thousandths of the time, " + std::to_string(state.waitingJobs.size()) + " jobs wait";
    logMessage(actions, LogLevel::Info, "admission", "", "", text);
}

static void notifyInstances(CellState& state, CellActions& actions)
{
    const Membership& membership = state.membership;
    for (const auto& [name, instance] : membership.instances) {
        if (name == state.settings.instance || instance.lastSeen != membership.listedAt)
            continue;
        wire::PeerMessage message;
        encode(state.admissionPlan.plan, state.ownership.token, *message.mutable_admission_notice());
        notifyPeer(state, instance.address, std::move(message), actions);
    }
}

void handleAdmissionNotice(CellState& state, const wire::AdmissionNotice& notice, const Instant& now)
{
    if (!isOwner(state) && notice.token() >= state.admissionPlan.token)
        state.admissionPlan = { decodePlan(notice), notice.token(), now.steady };
}

static void applyPlan(CellState& state, const AdmissionPlan& plan, TimePoint now, CellActions& actions)
{
    AdmissionControl& control = state.ownership.admission;
    state.admissionPlan = { plan, state.ownership.token, now };
    AdmissionLimit before = state.membership.admission;
    state.membership.admission = summarize(plan, estimateBacklog(state));
    if (state.membership.admission.turnedAwayThousandths != before.turnedAwayThousandths)
        logPlan(state, plan, actions);
    // The end of a limit is announced, too.
    if (isLimiting(plan))
        control.announcedUntil = now + kPlanValidity;
    if (now < control.announcedUntil)
        notifyInstances(state, actions);
}

void tickAdmission(CellState& state, const Instant& now, CellActions& actions)
{
    reportRefusals(state, now.steady, actions);
    AdmissionControl& control = state.ownership.admission;
    Duration elapsed = now.steady - control.adjustedAt;
    if (!isOwner(state) || !state.configuration.value || elapsed < kPlanInterval)
        return;
    bool isFirst = control.adjustedAt == TimePoint();
    if (!isFirst) {
        measureStartRate(state, Seconds(elapsed).count());
        smoothDemand(control, Seconds(elapsed).count(), isSaturated(state.loop));
    }
    beginInterval(state, now.steady);
    if (isFirst || now.steady < state.ownership.since + kSettlingTime)
        return;
    AdmissionLoad load = collectLoad(state, now.wallMs);
    updateCapacity(state, load);
    load.startsPerSecond = load.isTableFull ? std::max(control.capacity, kLeastStarts) : control.capacity;
    applyPlan(state, planAdmission(load), now.steady, actions);
}

// Decisions.

static bool isPlanCurrent(const CellState& state, TimePoint now)
{
    const KnownPlan& known = state.admissionPlan;
    return known.token != 0 && known.token >= state.membership.ownerToken && now < known.at + kPlanValidity;
}

/// By the limit in the owner's record: the least urgent classes are turned away first.
static std::int64_t acceptedByLimit(const CellState& state, int priority)
{
    const AdmissionLimit& admission = state.membership.admission;
    if (admission.turnedAwayThousandths <= 0)
        return kWholeShare;
    std::set<int> priorities = prioritiesOf(*state.configuration.value);
    double turnedAway = static_cast<double>(admission.turnedAwayThousandths) / kThousandths;
    // The owner may have counted the classes of another version of the configuration.
    double accepted = std::max(kLeastAccepted, static_cast<double>(priorities.size()) - turnedAway);
    double moreUrgent = static_cast<double>(std::distance(priorities.begin(), priorities.find(priority)));
    return std::clamp<std::int64_t>(std::llround((accepted - moreUrgent) * kThousandths), 0, kWholeShare);
}

static const ClassPlan* findClass(const CellState& state, int priority, TimePoint now)
{
    const std::map<int, ClassPlan>& classes = state.admissionPlan.plan.classes;
    auto it = classes.find(priority);
    return isPlanCurrent(state, now) && it != classes.end() ? &it->second : nullptr;
}

std::int64_t acceptedOfClass(const CellState& state, int priority, TimePoint now)
{
    const ClassPlan* plan = findClass(state, priority, now);
    return plan ? plan->accepted : acceptedByLimit(state, priority);
}

std::int64_t acceptedOfTeam(const CellState& state, const Route& route, const std::string& team, TimePoint now)
{
    const ClassPlan* plan = findClass(state, route.priority, now);
    if (!plan)
        return acceptedByLimit(state, route.priority);
    auto it = state.admissionPlan.plan.shares.find({ route.name, team });
    return it == state.admissionPlan.plan.shares.end() ? plan->acceptedOfOthers : it->second;
}

std::optional<Duration> expectedWait(const CellState& state, int priority, TimePoint now)
{
    const ClassPlan* plan = findClass(state, priority, now);
    return plan ? std::optional<Duration>(plan->wait) : std::nullopt;
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

bool isTurnedAway(const CellState& state, const Route& route, const std::string& team, const std::string& jobId, TimePoint now)
{
    return rankInClass(jobId) * kThousandths >= static_cast<double>(acceptedOfTeam(state, route, team, now));
}

Duration retryAfterOverload(CellState& state, const Route& route, TimePoint now)
{
    const ClassPlan* plan = findClass(state, route.priority, now);
    Duration wait = std::clamp(plan ? plan->wait : state.membership.admission.backlog, kLeastRetryAfter, kMostRetryAfter);
    return wait + Duration(static_cast<std::int64_t>(randomBelow(state, static_cast<std::uint64_t>(wait.count()))));
}

} // namespace crocuslever::cell
