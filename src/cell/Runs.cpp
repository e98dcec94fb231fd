#include "src/cell/Runs.h"

#include <algorithm>
#include <limits>

#include "src/cell/Interference.h"
#include "src/cell/Jobs.h"
#include "src/cell/Latency.h"
#include "src/cell/Ownership.h"
#include "src/cell/StoreCalls.h"
#include "src/cell/Upstreams.h"

namespace crocuslever::cell {

static constexpr Duration kRetryInterval = std::chrono::milliseconds(60);
/// After this many unanswered start orders, a stop order keeps the run from starting later.
static constexpr int kMaxStartOrders = 3;
/// Starts of one task by one owner. A task of which more are needed runs on in the next owner's range.
static constexpr int kRunNumbersPerOwner = 10000;
/// An upstream that refused an order or did not answer gets no new runs for this long.
static constexpr Duration kUpstreamBackoff = std::chrono::milliseconds(500);

const char* toString(RunEnd how)
{
    switch (how) {
    case RunEnd::Done:
        return "done";
    case RunEnd::Failed:
        return "failed";
    case RunEnd::Stopped:
        return "stopped";
    case RunEnd::LeaseExpired:
        return "lapsed";
    case RunEnd::GangBroken:
        return "broken";
    case RunEnd::GangTimeout:
        return "alone";
    }
    return "failed";
}

const char* toString(OrderOutcome outcome)
{
    switch (outcome) {
    case OrderOutcome::Ok:
        return "ok";
    case OrderOutcome::Fenced:
        return "the upstream has a higher fencing token";
    case OrderOutcome::Stale:
        return "this run or a later one has already ended";
    case OrderOutcome::TooLate:
        return "the lease has expired";
    case OrderOutcome::NoRoom:
        return "not enough free capacity";
    case OrderOutcome::NoTicket:
        return "no valid advice ticket";
    case OrderOutcome::TemporarilyUnavailable:
        return "temporarily unavailable";
    case OrderOutcome::WrongIncarnation:
        return "the upstream has restarted";
    case OrderOutcome::Malformed:
        return "the upstream could not parse the call";
    case OrderOutcome::NotSent:
        return "not sent";
    case OrderOutcome::NoAnswer:
        return "no answer";
    }
    return "no answer";
}

/// An owner does not learn of runs that ended on an upstream which is gone. So each owner has its own range of numbers.
int nextRunNumber(const CellState& state, int latest)
{
    constexpr std::int64_t kRanges = std::numeric_limits<int>::max() / kRunNumbersPerOwner;
    std::int64_t first = (state.ownership.token - 1) % kRanges * kRunNumbersPerOwner;
    return std::max(latest, static_cast<int>(first)) + 1;
}

static void addToPreemptible(RoomUse& use, const RunRow& run, const Resources& amount)
{
    if (run.isPreemptible)
        use.preemptible[run.priority] = use.preemptible[run.priority] + amount;
}

static void addRun(RoomUse& use, const RunRow& run)
{
    use.used = use.used + run.amount;
    addToPreemptible(use, run, run.amount);
}

static void addStop(RoomUse& use, const RunRow& run)
{
    use.stopping = use.stopping + run.amount;
    addToPreemptible(use, run, Resources {} - run.amount);
}

static void subtractRun(RoomUse& use, const RunRow& run)
{
    use.used = use.used - run.amount;
    if (run.stopping)
        use.stopping = use.stopping - run.amount;
    else
        addToPreemptible(use, run, Resources {} - run.amount);
}

static void reserveRoom(CellState& state, UpstreamRow& upstream, const RunRow& run)
{
    addRun(upstream.use, run);
    addRun(state.teamUse[run.team], run);
    ++state.runsOfJob[run.task.job];
}

static void markStopping(CellState& state, UpstreamRow& upstream, RunRow& run)
{
    run.stopping = true;
    addStop(upstream.use, run);
    addStop(state.teamUse[run.team], run);
}

static void releaseRoom(CellState& state, UpstreamRow& upstream, const RunRow& run)
{
    subtractRun(upstream.use, run);
    subtractRun(state.teamUse[run.team], run);
    auto it = state.runsOfJob.find(run.task.job);
    if (--it->second == 0)
        state.runsOfJob.erase(it);
}

static void sendStart(CellState& state, UpstreamRow& upstream, const std::string& name, RunRow& run, const Instant& now, CellActions& actions)
{
    RunStart order;
    order.ticket = state.nextTicket++;
    order.target = targetOf(upstream);
    order.task = name;
    order.run = run.run;
    order.payload = run.payload;
    order.leaseUntilMs = leaseUntil(state, upstream, now.steady);
    order.token = state.ownership.token;
    order.checkpoint = run.checkpoint;
    order.advice = run.advice;
    extendLease(upstream, order.leaseUntilMs);
    run.order = order.ticket;
    run.isStopOrder = false;
    ++run.orders;
    state.orders[order.ticket] = { upstream.entry.id, name };
    state.counters.add("task_starts_total");
    actions.push_back(std::move(order));
}

static void sendStop(CellState& state, UpstreamRow& upstream, const std::string& name, RunRow& run, CellActions& actions)
{
    RunStop order { state.nextTicket++, targetOf(upstream), name, run.run, state.ownership.token };
    run.order = order.ticket;
    run.isStopOrder = true;
    state.orders[order.ticket] = { upstream.entry.id, name };
    state.counters.add("task_stops_total");
    actions.push_back(std::move(order));
}

void startRun(CellState& state, UpstreamRow& upstream, RunRow run, const Instant& now, CellActions& actions)
{
    std::string name = formatTaskKey(run.task);
    TaskRow& task = *findTask(state, run.task);
    task.upstream = upstream.entry.id;
    noteRun(task, run.run);
    task.percent = 0;
    setPhase(state, run.task, TaskPhase::Starting, now.steady);
    run.startedAt = now.steady;
    run.startedMs = now.wallMs;
    reserveRoom(state, upstream, run);
    RunRow& row = upstream.runs[name] = std::move(run);
    sendStart(state, upstream, name, row, now, actions);
}

void adoptRun(CellState& state, UpstreamRow& upstream, RunRow run, const Instant& now)
{
    run.confirmed = true;
    run.confirmedAt = now.steady;
    run.startedAt = now.steady;
    reserveRoom(state, upstream, run);
    upstream.runs[formatTaskKey(run.task)] = std::move(run);
}

void stopRun(CellState& state, UpstreamRow& upstream, const std::string& name, const Instant& now, CellActions& actions)
{
    auto it = upstream.runs.find(name);
    if (it == upstream.runs.end() || it->second.stopping)
        return;
    RunRow& run = it->second;
    markStopping(state, upstream, run);
    TaskRow* task = findTask(state, run.task);
    if (task && task->run == run.run && task->phase != TaskPhase::Done && task->phase != TaskPhase::Waiting)
        setPhase(state, run.task, TaskPhase::Stopping, now.steady);
    // If an order is in flight, the stop is sent after its answer.
    if (run.order == 0)
        sendStop(state, upstream, name, run, actions);
}

template <typename Predicate>
static void stopRunsWhere(CellState& state, Predicate matches, const Instant& now, CellActions& actions)
{
    for (auto& [id, upstream] : state.upstreams) {
        std::vector<std::string> names;
        for (const auto& [name, run] : upstream.runs) {
            if (matches(run))
                names.push_back(name);
        }
        for (const std::string& name : names)
            stopRun(state, upstream, name, now, actions);
    }
}

void stopRunsOf(CellState& state, const std::string& job, const Instant& now, CellActions& actions)
{
    if (state.runsOfJob.count(job) == 0)
        return;
    stopRunsWhere(
        state, [&job](const RunRow& run) { return run.task.job == job; }, now, actions);
}

void stopGang(CellState& state, const TaskKey& key, const Instant& now, CellActions& actions)
{
    auto isMember = [&key](const RunRow& run) {
        return run.task.job == key.job && run.task.occurrence == key.occurrence && run.task.step == key.step;
    };
    stopRunsWhere(state, isMember, now, actions);
}

void removeRun(CellState& state, UpstreamRow& upstream, const std::string& name)
{
    auto it = upstream.runs.find(name);
    if (it == upstream.runs.end())
        return;
    const RunRow& run = it->second;
    releaseRoom(state, upstream, run);
    state.orders.erase(run.order);
    state.interference.orders.erase(run.paceOrder.ticket);
    upstream.runs.erase(it);
    state.placementDue = true;
}

void finishRun(CellState& state, UpstreamRow& upstream, const std::string& name, RunEnd how, const std::string& checkpoint, const Instant& now, CellActions& actions)
{
    auto it = upstream.runs.find(name);
    if (it == upstream.runs.end())
        return;
    TaskKey key = it->second.task;
    int run = it->second.run;
    removeRun(state, upstream, name);
    handleRunEnd(state, { key, run, upstream.entry.id, how, checkpoint }, now, actions);
}

static bool isGangRun(CellState& state, const TaskKey& key)
{
    JobRow* job = findJob(state, key.job);
    return job && specOf(*job, key).gang;
}

/// Handles a start order that was certainly not executed and never will be.
static void handleRejectedStart(CellState& state, UpstreamRow& upstream, const std::string& name, OrderOutcome outcome, const Instant& now, CellActions& actions)
{
    RunRow run = upstream.runs.at(name);
    logMessage(actions, LogLevel::Info, "task.start", upstream.entry.id, run.task.job, name + " run " + std::to_string(run.run) + " not started: " + toString(outcome));
    state.counters.add("task_start_rejections_total");
    removeRun(state, upstream, name);
    TaskRow* task = findTask(state, run.task);
    if (task && task->run == run.run && task->phase != TaskPhase::Done)
        setPhase(state, run.task, TaskPhase::Waiting, now.steady);
    if (isGangRun(state, run.task))
        stopGang(state, run.task, now, actions);
}

static void backOffIfUnhealthy(UpstreamRow& upstream, OrderOutcome outcome, TimePoint now)
{
    bool isUnhealthy = outcome == OrderOutcome::TemporarilyUnavailable || outcome == OrderOutcome::NotSent || outcome == OrderOutcome::NoAnswer
        || outcome == OrderOutcome::WrongIncarnation || outcome == OrderOutcome::NoRoom;
    if (!isUnhealthy)
        return;
    upstream.backoffUntil = now + kUpstreamBackoff;
    upstream.nextPoll = std::min(upstream.nextPoll, now);
}

static void retryOrder(CellState& state, const UpstreamRow& upstream, const std::string& name, TimePoint now)
{
    state.orderRetries.emplace(now + kRetryInterval, RunName(upstream.entry.id, name));
}

static void handleStartResult(CellState& state, UpstreamRow& upstream, const std::string& name, RunRow& run, OrderOutcome outcome, const Instant& now, CellActions& actions)
{
    backOffIfUnhealthy(upstream, outcome, now.steady);
    if (outcome == OrderOutcome::Ok) {
        run.confirmed = true;
        run.confirmedAt = now.steady;
        run.payload.clear();
        JobRow* job = findJob(state, run.task.job);
        if (job && !job->hasStarted)
            observeLatency(state.counters, "job_first_start_seconds", fromMilliseconds(std::max<std::int64_t>(0, now.wallMs - job->record.acceptedMs)));
        if (job)
            job->hasStarted = true;
        if (run.stopping)
            sendStop(state, upstream, name, run, actions);
        else if (findTask(state, run.task))
            setPhase(state, run.task, TaskPhase::Running, now.steady);
        return;
    }
    bool mayTakeEffectLater = outcome == OrderOutcome::NoAnswer || run.orders > 1;
    if (!mayTakeEffectLater) {
        handleRejectedStart(state, upstream, name, outcome, now, actions);
        return;
    }
    if (outcome != OrderOutcome::NoAnswer || run.orders >= kMaxStartOrders) {
        if (isGangRun(state, run.task))
            stopGang(state, run.task, now, actions);
        stopRun(state, upstream, name, now, actions);
    }
    retryOrder(state, upstream, name, now.steady);
}

static void handleStopResult(CellState& state, UpstreamRow& upstream, const std::string& name, RunRow& run, OrderOutcome outcome, const Instant& now)
{
    if (outcome == OrderOutcome::Ok || outcome == OrderOutcome::Stale) {
        run.stopConfirmed = true;
        run.stopConfirmedAt = now.steady;
        upstream.nextPoll = std::min(upstream.nextPoll, now.steady);
        return;
    }
    retryOrder(state, upstream, name, now.steady);
}

void handleOrderResult(CellState& state, const OrderResult& result, const Instant& now, CellActions& actions)
{
    auto order = state.orders.find(result.ticket);
    if (order == state.orders.end()) {
        handlePaceResult(state, result, now, actions);
        return;
    }
    auto [id, name] = order->second;
    state.orders.erase(order);
    auto upstream = state.upstreams.find(id);
    if (upstream == state.upstreams.end())
        return;
    auto it = upstream->second.runs.find(name);
    if (it == upstream->second.runs.end() || it->second.order != result.ticket)
        return;
    if (result.outcome == OrderOutcome::Fenced) {
        loseOwnership(state, "upstream " + id + " has a higher fencing token", actions);
        return;
    }
    RunRow& run = it->second;
    run.order = 0;
    if (run.isStopOrder)
        handleStopResult(state, upstream->second, name, run, result.outcome, now);
    else
        handleStartResult(state, upstream->second, name, run, result.outcome, now, actions);
}

/// The start may have become forbidden since it was first ordered. It goes to the same incarnation: a restart ends the run. While
/// polls fail, the upstream may have restarted.
static void resendStart(CellState& state, UpstreamRow& upstream, const std::string& name, RunRow& run, const Instant& now, CellActions& actions)
{
    if (!isOpen(state, upstream)) {
        if (isGangRun(state, run.task))
            stopGang(state, run.task, now, actions);
        stopRun(state, upstream, name, now, actions);
    } else if (upstream.isStored && upstream.fenced && upstream.failedPolls == 0 && mayStartTasks(state, now.steady)) {
        sendStart(state, upstream, name, run, now, actions);
    } else {
        retryOrder(state, upstream, name, now.steady);
    }
}

static void resendOrder(CellState& state, const RunName& runName, const Instant& now, CellActions& actions)
{
    const auto& [id, name] = runName;
    auto upstream = state.upstreams.find(id);
    if (upstream == state.upstreams.end())
        return;
    auto it = upstream->second.runs.find(name);
    if (it == upstream->second.runs.end() || it->second.order != 0)
        return;
    RunRow& run = it->second;
    if (run.stopping && !run.stopConfirmed)
        sendStop(state, upstream->second, name, run, actions);
    else if (!run.stopping && !run.confirmed)
        resendStart(state, upstream->second, name, run, now, actions);
}

void tickOrders(CellState& state, const Instant& now, CellActions& actions)
{
    if (!mayIssueOrders(state, now.steady))
        return;
    while (!state.orderRetries.empty() && state.orderRetries.begin()->first <= now.steady) {
        RunName name = state.orderRetries.begin()->second;
        state.orderRetries.erase(state.orderRetries.begin());
        resendOrder(state, name, now, actions);
    }
}

} // namespace crocuslever::cell
