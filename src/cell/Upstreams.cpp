#include "src/cell/Upstreams.h"

#include <algorithm>

#include "src/cell/Commits.h"
#include "src/cell/Declarations.h"
#include "src/cell/Delegation.h"
#include "src/cell/Fit.h"
#include "src/cell/Interference.h"
#include "src/cell/Jobs.h"
#include "src/cell/Occurrences.h"
#include "src/cell/Ownership.h"
#include "src/cell/Runs.h"
#include "src/cell/StoreCalls.h"
#include "src/cell/UpstreamDirectory.h"

namespace crocuslever::cell {

/// From the decision to start a task until the upstream has executed the order.
static constexpr Duration kOrderMargin = std::chrono::milliseconds(300);
/// Between passes over all upstreams: this, and more for each upstream, so that passes take a bounded share of the time.
static constexpr Duration kScanInterval = std::chrono::milliseconds(3);
static constexpr Duration kScanIntervalPerUpstream = std::chrono::microseconds(10);
static constexpr Duration kPollWait = std::chrono::milliseconds(1000); ///< Long poll; an upstream answers earlier if a run ends.
static constexpr Duration kRetryInterval = std::chrono::milliseconds(200);
static constexpr Duration kUnstoredEndsInterval = std::chrono::milliseconds(50); ///< Between polls while run ends are not stored yet.
/// Each answer repeats all unacknowledged ends, which takes time to process.
static constexpr Duration kIntervalPerUnstoredEnd = std::chrono::milliseconds(8);
static constexpr Duration kMaxPollInterval = std::chrono::milliseconds(800);
/// Covers the round trip and the coarse resolution of the upstream's clock.
static constexpr Duration kLeaseMargin = std::chrono::milliseconds(50);
/// Seconds of our clock that a second of an upstream's clock may last.
static constexpr double kMaxClockSlowdown = 1.03;
static constexpr int kFailedPollsUntilWarning = 1;
/// A crashed upstream is back within this time, if it comes back.
static constexpr Duration kRestartTime = std::chrono::seconds(30);
/// An answer with at least this many ends may be truncated.
static constexpr std::size_t kMaxEndsPerAnswer = 500;

UpstreamTarget targetOf(const UpstreamRow& upstream)
{
    return { upstream.entry.id, upstream.entry.address, upstream.bornMs };
}

Resources amountOf(const StepSpec& step)
{
    Resources amount = step.each;
    amount.slots = 0;
    if (step.isBestEffort)
        amount.milliCpu = 0;
    return amount;
}

bool isDescribed(const UpstreamRow& upstream) { return upstream.entry.bornMs == upstream.bornMs; }

bool isOpen(const CellState& state, const UpstreamRow& upstream)
{
    return upstream.listed && isDescribed(upstream) && !upstream.entry.draining && state.evacuated.value.count(upstream.entry.domain) == 0;
}

bool acceptsWork(const CellState& state, const UpstreamRow& upstream, TimePoint now)
{
    bool isHealthy = upstream.fenced && upstream.failedPolls == 0 && upstream.unknownRuns == 0 && now >= upstream.backoffUntil;
    return upstream.isStored && isHealthy && isOpen(state, upstream) && upstream.clockKnown && !upstream.isReplaced;
}

/// While the store is away from the whole fleet nobody can drain an upstream or evacuate a domain, so that starts go on.
bool mayStartTasks(const CellState& state, TimePoint now)
{
    const Ownership& ownership = state.ownership;
    if (!mayIssueOrders(state, now) || !state.configuration.value || !wasConfirmed(state.evacuated.confirmation) || !wasConfirmed(ownership.directory))
        return false;
    bool areInputsCurrent = isConfigurationCurrent(state, now)
        && isCurrent(state.evacuated.confirmation, state.settings.evacuationDeadline - kOrderMargin, now)
        && isCurrent(ownership.directory, state.settings.drainDeadline - kOrderMargin, now);
    return areInputsCurrent || isStoreAwayFromFleet(state, now);
}

std::int64_t leaseUntil(const CellState& state, const UpstreamRow& upstream, TimePoint now)
{
    if (!upstream.clockKnown)
        return 0;
    return upstream.clockMs + toMilliseconds(now - upstream.clockAt + state.settings.runLease);
}

TimePoint leaseEndAfter(TimePoint from, Duration lease)
{
    return from + std::chrono::duration_cast<Duration>(lease * kMaxClockSlowdown) + kLeaseMargin;
}

void extendLease(UpstreamRow& upstream, std::int64_t untilMs)
{
    if (untilMs <= 0)
        return;
    Duration left = fromMilliseconds(untilMs - upstream.clockMs);
    upstream.leasesEnd = std::max(upstream.leasesEnd, leaseEndAfter(upstream.clockAt, left));
}

static void sendPoll(CellState& state, UpstreamRow& upstream, const Instant& now, CellActions& actions)
{
    bool hasUnstoredEnds = upstream.acknowledged < upstream.lastEnd;
    UpstreamPoll poll;
    poll.ticket = state.nextTicket++;
    poll.target = targetOf(upstream);
    poll.token = state.ownership.token;
    // After a failed poll another incarnation may answer, whose ends are numbered from 1 again.
    poll.acknowledged = upstream.failedPolls > 0 ? 0 : upstream.acknowledged;
    // Polls of an unresponsive upstream renew no leases: they may arrive without an answer, and its runs
    // could then never be declared expired.
    poll.leaseUntilMs = upstream.failedPolls > 0 ? 0 : leaseUntil(state, upstream, now.steady);
    bool isImmediate = !upstream.fenced || upstream.failedPolls > 0 || hasUnstoredEnds;
    poll.wait = isImmediate ? Duration(0) : std::min(kPollWait, maxPollWait(upstream));
    extendLease(upstream, poll.leaseUntilMs);
    upstream.poll = poll.ticket;
    upstream.pollSentAt = now.steady;
    state.polls[poll.ticket] = upstream.entry.id;
    state.counters.add("upstream_looks_total");
    actions.push_back(std::move(poll));
}

/// Ends the runs of an unreachable upstream once all leases given to it have expired. A successor would have adopted the
/// runs and renewed the leases, so that time alone proves nothing. Neither does a poll in flight, whose answer a busy owner may
/// have and not have read, nor the failures of delegates, which may be late.
static void endExpiredRuns(CellState& state, UpstreamRow& upstream, const Instant& now, CellActions& actions)
{
    int failuresOfDelegates = state.delegation.isOn ? kFailedPollsUntilOwnPoll : 0;
    bool hasOwnPollFailed = upstream.poll == 0 && upstream.failedPolls > failuresOfDelegates;
    bool isOutOfReach = hasOwnPollFailed || upstream.isReplaced;
    if (upstream.runs.empty() || !isOutOfReach || !wasOwnerAt(state, upstream.leasesEnd))
        return;
    logMessage(actions, LogLevel::Warning, "upstream.lapse", upstream.entry.id, "", "the leases of " + std::to_string(upstream.runs.size()) + " runs expired; the runs count as ended; ownership last confirmed " + describeAge(state.membership.listing, now.steady));
    std::vector<std::string> names;
    for (const auto& [name, run] : upstream.runs) {
        names.push_back(name);
        if (run.confirmed)
            upstream.lapsedRuns.push_back({ run.task, run.run, run.startedAt });
    }
    for (const std::string& name : names)
        finishRun(state, upstream, name, RunEnd::LeaseExpired, "", now, actions);
}

/// Checks whether all runs of earlier owners are known: all their upstreams were polled, or their leases
/// have expired and no successor has renewed them. Until then a task that seems to wait may run on an unreachable upstream.
static void updateEarlierRunsKnown(CellState& state, CellActions& actions)
{
    Ownership& ownership = state.ownership;
    if (ownership.areEarlierRunsKnown)
        return;
    bool areAllFenced = std::all_of(ownership.earlierUpstreams.begin(), ownership.earlierUpstreams.end(), [&state](const UpstreamTarget& target) {
        auto it = state.upstreams.find(target.id);
        return it == state.upstreams.end() || it->second.fenced || it->second.isReplaced;
    });
    if (!areAllFenced && !wasOwnerAt(state, ownership.earlierRunsEnd))
        return;
    ownership.areEarlierRunsKnown = true;
    state.placementDue = true;
    logMessage(actions, LogLevel::Info, "ownership", "", "", std::string("all runs of earlier owners are accounted for: ") + (areAllFenced ? "all their upstreams were polled" : "their leases have expired"));
}

void tickUpstreams(CellState& state, const Instant& now, CellActions& actions)
{
    if (!isOwner(state))
        return;
    Ownership& ownership = state.ownership;
    tickUpstreamDirectory(state, now, actions);
    if (now.steady < ownership.nextUpstreamScan)
        return;
    ownership.nextUpstreamScan = now.steady + kScanInterval + static_cast<std::int64_t>(state.upstreams.size()) * kScanIntervalPerUpstream;
    for (auto it = state.upstreams.begin(); it != state.upstreams.end();) {
        UpstreamRow& upstream = it->second;
        endExpiredRuns(state, upstream, now, actions);
        Duration keptFor = upstream.lapsedRuns.empty() ? Duration(0) : kRestartTime;
        bool areLeasesOver = wasOwnerAt(state, std::max(upstream.leasesEnd + keptFor, ownership.earlierRunsEnd));
        bool isGone = !upstream.listed && upstream.runs.empty() && areLeasesOver;
        if (isGone) {
            state.polls.erase(upstream.poll);
            it = state.upstreams.erase(it);
            ownership.isKnownUpstreamsStale = true;
            continue;
        }
        bool isLost = !upstream.listed && upstream.runs.empty() && !upstream.lapsedRuns.empty();
        bool isPolled = !upstream.isReplaced && !isLost;
        bool isDue = isPolled && upstream.poll == 0 && now.steady >= upstream.nextPoll;
        if (isDue && mayIssueOrders(state, now.steady))
            sendPoll(state, upstream, now, actions);
        ++it;
    }
    updateEarlierRunsKnown(state, actions);
}

/// True for a run that was ordered once, ran at full speed from its beginning, and ended under the eyes of this owner.
static bool isWholeRun(const RunRow& run, const EndListing& end)
{
    bool isOwnStart = run.startedMs != 0 && run.orders == 1 && run.checkpoint.empty();
    return end.how == RunEnd::Done && run.run == end.run && isOwnStart && run.pace == 100 && !run.stopping;
}

/// Runs that were adopted, resumed or slowed down, or away from their data, took another time than their tasks usually take.
static void learnRunTime(CellState& state, const UpstreamRow& upstream, const RunRow& run, const EndListing& end, TimePoint now)
{
    JobRow* job = findJob(state, run.task.job);
    if (!state.settings.learnsRunTimes || !isWholeRun(run, end) || !job || !findTask(state, run.task))
        return;
    const StepSpec& spec = specOf(*job, run.task);
    if (spec.isLongRunning || (!spec.dataRack.empty() && spec.dataRack != upstream.entry.rack))
        return;
    recordRunTime(state.runTimes, job->record.route, spec, now - run.startedAt, now);
    state.counters.add("run_times_learned_total");
}

static void applyEnds(CellState& state, UpstreamRow& upstream, const PollResult& result, bool areLate, const Instant& now, CellActions& actions)
{
    for (const EndListing& end : result.ended) {
        if (end.number <= upstream.lastEnd)
            continue;
        upstream.lastEnd = end.number;
        std::optional<TaskKey> key = parseTaskKey(end.task);
        if (!key) {
            upstream.pendingEnds.push_back({ end.number, {}, 0 });
            continue;
        }
        auto run = upstream.runs.find(end.task);
        if (run != upstream.runs.end() && !areLate)
            learnRunTime(state, upstream, run->second, end, now.steady);
        if (run != upstream.runs.end() && run->second.run <= end.run)
            removeRun(state, upstream, end.task);
        handleRunEnd(state, { *key, end.run, upstream.entry.id, end.how, end.checkpoint }, now, actions);
        JobRow* job = findJob(state, key->job);
        upstream.pendingEnds.push_back({ end.number, key->job, job ? job->changed : 0 });
        if (job)
            job->endsHeldBy.insert(upstream.entry.id);
    }
    acknowledgeStoredEnds(state, upstream, now);
}

/// True if a listed run must be stopped: its task has ended, or another run of the task may continue. A waiting task has no
/// such run, whatever numbers its earlier ones had; the members of a gang have to be of one run.
static bool isSuperseded(CellState& state, const TaskKey& key, const UpstreamRow& upstream, int run)
{
    TaskRow* task = findTask(state, key);
    JobRow* job = findJob(state, key.job);
    if (!task || job->ended || task->phase == TaskPhase::Done)
        return true;
    if (task->phase == TaskPhase::Waiting)
        return specOf(*job, key).gang && run < task->highestRun;
    return task->upstream != upstream.entry.id || run < task->run;
}

static void adoptListing(CellState& state, UpstreamRow& upstream, const RunListing& listing, const TaskKey& key, const Instant& now, CellActions& actions)
{
    openOccurrence(state, key, now.steady);
    JobRow* job = findJob(state, key.job);
    if (!job || !findTask(state, key)) {
        ++upstream.unknownRuns;
        actions.push_back(RunStop { state.nextTicket++, targetOf(upstream), listing.task, listing.run, state.ownership.token });
        logMessage(actions, LogLevel::Info, "task.stop", upstream.entry.id, key.job, listing.task + " stopped: it belongs to no known job");
        return;
    }
    RunRow run;
    run.task = key;
    run.run = listing.run;
    run.gauge = listing.gauge;
    run.amount = amountOf(specOf(*job, key));
    run.team = job->record.team;
    const Route* route = state.configuration.value ? findRouteByName(*state.configuration.value, job->record.route) : nullptr;
    run.priority = route ? route->priority : 0;
    run.isPreemptible = isResumable(specOf(*job, key));
    describeInterference(run, specOf(*job, key));
    run.paceOrder.isPaceKnown = !run.isBestEffort;
    adoptRun(state, upstream, run, now);
    upstream.leasesEnd = std::max(upstream.leasesEnd, leaseEndAfter(now.steady, state.settings.runLease));
    logMessage(actions, LogLevel::Info, "task.adopt", upstream.entry.id, key.job, listing.task + " run " + std::to_string(listing.run) + " adopted: already running");
    if (isSuperseded(state, key, upstream, listing.run)) {
        stopRun(state, upstream, listing.task, now, actions);
        return;
    }
    TaskRow& task = *findTask(state, key);
    task.upstream = upstream.entry.id;
    noteRun(task, listing.run);
    job->hasStarted = true;
    setPhase(state, key, TaskPhase::Running, now.steady);
}

static void applyRunListing(CellState& state, UpstreamRow& upstream, const RunListing& listing, Ticket poll, const Instant& now, CellActions& actions)
{
    auto it = upstream.runs.find(listing.task);
    if (it == upstream.runs.end()) {
        std::optional<TaskKey> key = parseTaskKey(listing.task);
        if (key)
            adoptListing(state, upstream, listing, *key, now, actions);
        it = upstream.runs.find(listing.task);
        if (it != upstream.runs.end())
            it->second.listedBy = poll;
        return;
    }
    RunRow& run = it->second;
    run.listedBy = poll;
    run.percent = listing.percent;
    run.gauge = listing.gauge;
    if (run.run != listing.run)
        return;
    TaskRow* task = findTask(state, run.task);
    if (task && task->run == run.run) {
        task->percent = listing.percent;
        if (!listing.checkpoint.empty())
            task->checkpoint = listing.checkpoint;
    }
    if (run.confirmed || run.isStopOrder)
        return;
    // The start order was executed, though its answer has not arrived.
    run.confirmed = true;
    run.confirmedAt = now.steady;
    if (task && task->phase == TaskPhase::Starting)
        setPhase(state, run.task, TaskPhase::Running, now.steady);
}

/// Ends the runs that the upstream confirmed before the poll was sent and no longer lists. How they
/// ended is not known.
static void endUnlistedRuns(CellState& state, UpstreamRow& upstream, const PollResult& result, const Instant& now, CellActions& actions)
{
    if (result.ended.size() >= kMaxEndsPerAnswer)
        return;
    std::vector<std::pair<std::string, RunEnd>> gone;
    for (const auto& [name, run] : upstream.runs) {
        if (run.listedBy == result.ticket)
            continue;
        bool wasShutOut = run.stopConfirmed && run.stopConfirmedAt < upstream.pollSentAt;
        bool wasRunning = run.confirmed && run.confirmedAt < upstream.pollSentAt;
        if (wasShutOut || wasRunning)
            gone.emplace_back(name, wasShutOut ? RunEnd::Stopped : RunEnd::LeaseExpired);
    }
    for (const auto& [name, how] : gone)
        finishRun(state, upstream, name, how, "", now, actions);
}

/// An upstream with unstored ends answers at once and lists them again, so it is not polled before they can have been
/// stored. acknowledgeStoredEnds() ends the wait.
static Duration pollDelay(const CellState& state, const UpstreamRow& upstream)
{
    Duration pause = pauseInOverload(state.loop);
    std::int64_t unstored = upstream.lastEnd - upstream.acknowledged;
    if (unstored == 0 && upstream.unknownRuns == 0)
        return pause;
    Duration interval = std::max(kUnstoredEndsInterval, state.commits.latency);
    return std::max(pause, std::min(kMaxPollInterval, interval + kIntervalPerUnstoredEnd * unstored));
}

static void applyPollResult(CellState& state, UpstreamRow& upstream, const PollResult& result, const Instant& now, CellActions& actions)
{
    bool areEndsLate = upstream.failedPolls > 0;
    upstream.failedPolls = 0;
    upstream.lapsedRuns.clear();
    upstream.clockMs = result.clockMs;
    upstream.clockAt = now.steady;
    upstream.clockKnown = true;
    applyEnds(state, upstream, result, areEndsLate, now, actions);
    upstream.unknownRuns = 0;
    for (const RunListing& listing : result.running)
        applyRunListing(state, upstream, listing, result.ticket, now, actions);
    endUnlistedRuns(state, upstream, result, now, actions);
    updateInterference(state, upstream, now, actions);
    if (!upstream.fenced) {
        upstream.fenced = true;
        state.placementDue = true;
        logMessage(actions, LogLevel::Info, "upstream.fence", upstream.entry.id, "", "accepted fencing token " + std::to_string(state.ownership.token) + "; " + std::to_string(result.running.size()) + " running, " + std::to_string(result.ended.size()) + " ended");
    }
    upstream.nextPoll = now.steady + pollDelay(state, upstream);
}

static void countFailedPoll(CellState& state, UpstreamRow& upstream, OrderOutcome outcome, const Instant& now, CellActions& actions)
{
    if (++upstream.failedPolls == 1)
        upstream.contactLostAt = now.steady;
    // The connection was closed; retry at once on a new one.
    bool isFirst = upstream.failedPolls == 1 && outcome == OrderOutcome::NotSent;
    upstream.nextPoll = now.steady + (isFirst ? Duration(0) : kRetryInterval);
    state.counters.add("upstream_look_failures_total");
    if (upstream.failedPolls == kFailedPollsUntilWarning)
        logMessage(actions, LogLevel::Warning, "upstream.look", upstream.entry.id, "", std::string("poll failed: ") + toString(outcome) + "; " + std::to_string(upstream.runs.size()) + " runs on the upstream");
}

void handlePoll(CellState& state, const PollResult& result, const Instant& now, CellActions& actions)
{
    auto poll = state.polls.find(result.ticket);
    if (poll == state.polls.end())
        return;
    auto it = state.upstreams.find(poll->second);
    state.polls.erase(poll);
    if (it == state.upstreams.end() || it->second.poll != result.ticket)
        return;
    UpstreamRow& upstream = it->second;
    upstream.poll = 0;
    if (result.outcome == OrderOutcome::Fenced) {
        loseOwnership(state, "upstream " + upstream.entry.id + " has a higher fencing token", actions);
        return;
    }
    if (result.outcome != OrderOutcome::Ok) {
        countFailedPoll(state, upstream, result.outcome, now, actions);
        return;
    }
    if (result.bornMs != 0 && result.bornMs != upstream.bornMs)
        handleUpstreamRestart(state, upstream, result.bornMs, now, actions);
    applyPollResult(state, upstream, result, now, actions);
}

} // namespace crocuslever::cell
