// Handles the results of calls to upstreams. Every result is matched by upstream, epoch,
// incarnation, attempt and phase. A late or duplicate result, or one of another incarnation,
// is counted and otherwise ignored.

#include <algorithm>

#include "src/core/Ownership.h"
#include "src/core/Peers.h"
#include "src/core/Reservations.h"
#include "src/core/UpstreamHealth.h"
#include "src/core/UpstreamIndex.h"
#include "src/core/UpstreamLifecycle.h"
#include "src/core/UrgentCalls.h"

namespace crocuslever {

static void markReachable(UpstreamRow& row, TimePoint now)
{
    row.reachable = true;
    row.lastAnswer = now;
    row.failedCalls = 0;
}

static void markUnreachable(CoreState& state, UpstreamRow& row, TimePoint now)
{
    row.reachable = false;
    scheduleUpstream(state, row, now + retryBackoff(state, row.failedCalls++));
}

/// The shard has a newer owner, which the store's watch will report.
static void handleStaleEpoch(CoreState& state, UpstreamRow& row, Actions& actions)
{
    row.rejectedEpoch = state.shards[row.shard].record.epoch;
    state.session.superseded = true;
    row.fenced = false;
    indexUpstream(state, row);
    state.counters.add("stale_epochs_total");
    logTo(actions, LogLevel::Warning, "upstreams", "fenced by a newer owner of its shard; not called any more", row.description.id.value());
}

/// The upstream has restarted; the answer to a new fence lists what runs there now.
static void handleRestart(CoreState& state, UpstreamRow& row, TimePoint now, Actions& actions)
{
    row.fenced = false;
    indexUpstream(state, row);
    scheduleUpstream(state, row, now);
    logTo(actions, LogLevel::Warning, "upstreams", "restarted; fencing it again", row.description.id.value());
}

// Attempt states.

static AttemptRow makeAdoptedAttempt(const UpstreamRow& row, const AttemptStatus& status)
{
    AttemptRow attempt;
    attempt.id = status.attempt;
    attempt.job = status.job;
    attempt.team = status.team;
    attempt.kind = status.job.isEmpty() ? WorkKind::Urgent : WorkKind::Batch;
    attempt.upstream = row.description.id;
    attempt.incarnation = row.incarnation;
    attempt.shard = row.shard;
    attempt.epoch = row.fencedEpoch;
    return attempt;
}

static void adoptRunning(CoreState& state, const UpstreamRow& row, const AttemptStatus& status, TimePoint now)
{
    AttemptRow attempt = makeAdoptedAttempt(row, status);
    attempt.phase = AttemptPhase::Running;
    attempt.charged = maximum(status.resources, Resources { 0, 0, 0, 1 });
    attempt.leaseUntil = now + status.leaseLeft;
    AttemptRow& added = addAttempt(state, std::move(attempt), now);
    scheduleAttempt(state, added, added.leaseUntil + kLeaseMargin);
    state.attempts.drainPending = true;
    state.counters.add("attempts_adopted_total");
}

static bool isBeingAcknowledged(const UpstreamRow& row, const AttemptId& id)
{
    return std::find(row.toAcknowledge.begin(), row.toAcknowledge.end(), id) != row.toAcknowledge.end();
}

static void adoptEnded(CoreState& state, UpstreamRow& row, const AttemptStatus& status, TimePoint now, Actions& actions)
{
    if (isBeingAcknowledged(row, status.attempt))
        return;
    if (status.job.isEmpty()) {
        // An urgent request of an earlier owner: no caller is waiting for it any more.
        row.toAcknowledge.push_back(status.attempt);
        return;
    }
    AttemptRow attempt = makeAdoptedAttempt(row, status);
    attempt.phase = AttemptPhase::Stopping;
    AttemptRow& added = addAttempt(state, std::move(attempt), now);
    endAttempt(state, added, status.state, status.result, now, actions);
}

static void adoptStatus(CoreState& state, UpstreamRow& row, const AttemptStatus& status, TimePoint now, Actions& actions)
{
    if (status.state == AttemptState::Running)
        adoptRunning(state, row, status, now);
    else if (status.state == AttemptState::Ended || status.state == AttemptState::Stopped)
        adoptEnded(state, row, status, now, actions);
}

static void handleRunning(CoreState& state, AttemptRow& attempt, Duration lease, TimePoint now, Actions& actions)
{
    if (attempt.phase != AttemptPhase::Running && !attempt.startOutcomeUnknown)
        return;
    bool wasUnknown = attempt.startOutcomeUnknown;
    attempt.phase = AttemptPhase::Running;
    attempt.startOutcomeUnknown = false;
    attempt.leaseUntil = now + lease;
    scheduleAttempt(state, attempt, attempt.leaseUntil + kLeaseMargin);
    if (wasUnknown && !attempt.job.isEmpty())
        reportAttempt(state, attempt, AttemptState::Running, now, actions);
}

/// Handles an attempt of which its own incarnation of the upstream has no record.
static void handleUnknown(CoreState& state, AttemptRow& attempt, TimePoint now, Actions& actions)
{
    // The start may still be in transit; only a stop prevents it for good.
    if (attempt.startOutcomeUnknown)
        stopAttempt(state, attempt, StopMode::Stop, now, actions);
    else if (attempt.phase == AttemptPhase::Running)
        endLostAttempt(state, attempt, now, actions);
}

static bool isActive(const AttemptRow& attempt)
{
    return attempt.phase == AttemptPhase::Starting || attempt.phase == AttemptPhase::Running || attempt.phase == AttemptPhase::Stopping;
}

static void applyStatus(CoreState& state, UpstreamRow& row, const AttemptStatus& status, Duration lease, TimePoint now, Actions& actions)
{
    auto it = state.attempts.find(status.attempt);
    if (it == state.attempts.end()) {
        adoptStatus(state, row, status, now, actions);
        return;
    }
    AttemptRow& attempt = it->second;
    if (attempt.upstream != row.description.id || attempt.incarnation != row.incarnation) {
        countIgnored(state, "status");
        return;
    }
    if (status.state == AttemptState::Running)
        handleRunning(state, attempt, lease, now, actions);
    else if (status.state == AttemptState::Unknown)
        handleUnknown(state, attempt, now, actions);
    else if (isActive(attempt))
        endAttempt(state, attempt, status.state, status.result, now, actions);
}

// Fences.

static void endEarlierIncarnations(CoreState& state, const UpstreamRow& row, TimePoint now, Actions& actions)
{
    for (const AttemptId& id : attemptsOn(state, row.description.id)) {
        AttemptRow& attempt = state.attempts.at(id);
        if (attempt.incarnation != row.incarnation)
            endLostAttempt(state, attempt, now, actions);
    }
}

static void acceptFence(CoreState& state, UpstreamRow& row, const UpstreamFenceResult& result, TimePoint now, Actions& actions)
{
    markReachable(row, now);
    if (row.incarnation != result.incarnation)
        row.toAcknowledge.clear();
    row.incarnation = result.incarnation;
    row.fenced = true;
    row.fencedEpoch = result.epoch;
    indexUpstream(state, row);
    endEarlierIncarnations(state, row, now, actions);
    for (const AttemptStatus& status : result.attempts)
        applyStatus(state, row, status, status.leaseLeft, now, actions);
    scheduleUpstream(state, row, nextSyncTime(state, row, now));
}

static bool isFenceAwaited(const CoreState& state, const UpstreamRow& row, const UpstreamFenceResult& result)
{
    const ShardRow& shard = state.shards[row.shard];
    bool isHeld = shard.phase != ShardPhase::NotOwned && shard.phase != ShardPhase::Claiming;
    return row.fenceInFlight && isHeld && row.shard == result.shard && shard.record.epoch == result.epoch;
}

void handleFenceResult(CoreState& state, const UpstreamFenceResult& result, TimePoint now, Actions& actions)
{
    auto it = state.upstreams.find(result.upstream);
    if (it == state.upstreams.end() || !isFenceAwaited(state, it->second, result)) {
        countIgnored(state, "fence");
        // This may be the result of an earlier epoch's fence; the current epoch's is still to be sent.
        if (it != state.upstreams.end() && it->second.fenceInFlight) {
            it->second.fenceInFlight = false;
            scheduleUpstream(state, it->second, now);
        }
        return;
    }
    UpstreamRow& row = it->second;
    row.fenceInFlight = false;
    if (result.outcome == UpstreamOutcome::Ok)
        acceptFence(state, row, result, now, actions);
    else if (result.outcome == UpstreamOutcome::StaleEpoch)
        handleStaleEpoch(state, row, actions);
    else
        markUnreachable(state, row, now);
}

// Syncs.

static void dropAcknowledged(UpstreamRow& row)
{
    std::size_t n = std::min(row.acknowledgesSent, row.toAcknowledge.size());
    row.toAcknowledge.erase(row.toAcknowledge.begin(), row.toAcknowledge.begin() + static_cast<std::ptrdiff_t>(n));
    row.acknowledgesSent = 0;
}

static void acceptSync(CoreState& state, UpstreamRow& row, const UpstreamSyncResult& result, TimePoint now, Actions& actions)
{
    markReachable(row, now);
    Duration lease = state.configuration.current->defaults.attemptLease;
    for (const AttemptStatus& status : result.attempts)
        applyStatus(state, row, status, lease, now, actions);
    dropAcknowledged(row);
    scheduleUpstream(state, row, nextSyncTime(state, row, now));
}

static bool isSyncAwaited(const CoreState& state, const UpstreamRow& row, const UpstreamSyncResult& result)
{
    if (!row.syncInFlight || !row.fenced || row.shard != result.shard)
        return false;
    return row.fencedEpoch == result.epoch && state.shards[row.shard].record.epoch == result.epoch;
}

static void handleSyncOutcome(CoreState& state, UpstreamRow& row, const UpstreamSyncResult& result, TimePoint now, Actions& actions)
{
    bool isOtherIncarnation = result.outcome == UpstreamOutcome::Ok && result.incarnation != row.incarnation;
    if (isOtherIncarnation || result.outcome == UpstreamOutcome::WrongIncarnation)
        handleRestart(state, row, now, actions);
    else if (result.outcome == UpstreamOutcome::Ok)
        acceptSync(state, row, result, now, actions);
    else if (result.outcome == UpstreamOutcome::StaleEpoch)
        handleStaleEpoch(state, row, actions);
    else
        markUnreachable(state, row, now);
}

void handleSyncResult(CoreState& state, const UpstreamSyncResult& result, TimePoint now, Actions& actions)
{
    auto it = state.upstreams.find(result.upstream);
    if (it == state.upstreams.end() || !isSyncAwaited(state, it->second, result)) {
        countIgnored(state, "sync");
        if (it != state.upstreams.end() && it->second.syncInFlight) {
            it->second.syncInFlight = false;
            scheduleUpstream(state, it->second, now);
        }
        return;
    }
    it->second.syncInFlight = false;
    handleSyncOutcome(state, it->second, result, now, actions);
}

// Starts.

static void handleStarted(CoreState& state, AttemptRow& attempt, const UpstreamStartResult& result, TimePoint now, Actions& actions)
{
    if (result.ended) {
        endAttempt(state, attempt, AttemptState::Ended, result.result, now, actions);
        return;
    }
    attempt.phase = AttemptPhase::Running;
    attempt.phaseSince = now;
    attempt.leaseUntil = now + state.configuration.current->defaults.attemptLease;
    scheduleAttempt(state, attempt, attempt.leaseUntil + kLeaseMargin);
    scheduleUpstreamBy(state, state.upstreams.at(attempt.upstream), now + kFirstSyncAfter);
    reportAttempt(state, attempt, AttemptState::Running, now, actions);
}

/// A sync queries the attempt first, so that a task which did start isn't stopped needlessly.
/// If the upstream doesn't know the attempt, a stop then settles its state.
static void handleUnknownStart(CoreState& state, UpstreamRow& row, AttemptRow& attempt, TimePoint now)
{
    attempt.startOutcomeUnknown = true;
    attempt.leaseUntil = std::max(attempt.leaseUntil, now + state.configuration.current->defaults.attemptLease);
    scheduleUpstreamBy(state, row, now);
}

static void handleStartOutcome(CoreState& state, UpstreamRow& row, AttemptRow& attempt, const UpstreamStartResult& result, TimePoint now, Actions& actions)
{
    switch (result.outcome) {
    case UpstreamOutcome::Ok:
        handleStarted(state, attempt, result, now, actions);
        return;
    case UpstreamOutcome::Unknown:
        handleUnknownStart(state, row, attempt, now);
        return;
    case UpstreamOutcome::StaleEpoch:
        // The shard's new owner reports the attempt's state.
        handleStaleEpoch(state, row, actions);
        return;
    case UpstreamOutcome::Refused:
    case UpstreamOutcome::Unreachable:
    case UpstreamOutcome::WrongIncarnation:
        // In each case nothing was done, and a start is sent only once. The state is therefore
        // certain without a stop, which a dead upstream would never answer.
        endAttempt(state, attempt, AttemptState::NeverStarted, {}, now, actions);
        return;
    }
}

/// Updates the upstream's reachability and health by the outcome of a start.
static void updateUpstreamAfterStart(CoreState& state, UpstreamRow& row, const AttemptRow& attempt, const UpstreamStartResult& result, TimePoint now, Actions& actions)
{
    if (result.outcome == UpstreamOutcome::Unreachable)
        markUnreachable(state, row, now);
    else if (result.outcome == UpstreamOutcome::Refused) {
        // Counts as unreachable until its next answer, or the same work would be placed there again at once.
        markUnreachable(state, row, now);
        recordOutcome(state, row, attempt, false, now, actions);
    } else if (result.outcome == UpstreamOutcome::WrongIncarnation)
        handleRestart(state, row, now, actions);
}

void handleStartResult(CoreState& state, const UpstreamStartResult& result, TimePoint now, Actions& actions)
{
    auto it = state.attempts.find(result.attempt);
    bool isAwaited = it != state.attempts.end() && it->second.upstream == result.upstream
        && it->second.phase == AttemptPhase::Starting && !it->second.startOutcomeUnknown;
    if (!isAwaited) {
        countIgnored(state, "start");
        return;
    }
    AttemptRow& attempt = it->second;
    UpstreamRow& row = state.upstreams.at(attempt.upstream);
    if (result.outcome == UpstreamOutcome::Ok && result.incarnation != attempt.incarnation) {
        // Another incarnation can't have started it, so this isn't the result of this start.
        countIgnored(state, "start");
        return;
    }
    updateUpstreamAfterStart(state, row, attempt, result, now, actions);
    if (!attempt.urgent)
        handleStartOutcome(state, row, attempt, result, now, actions);
    else if (result.outcome == UpstreamOutcome::StaleEpoch) {
        handleStaleEpoch(state, row, actions);
        endAttempt(state, attempt, AttemptState::NeverStarted, {}, now, actions);
    } else
        handleUrgentStartResult(state, attempt, result, now, actions);
}

// Stops.

static void sendStop(CoreState& state, AttemptRow& attempt, TimePoint now, Actions& actions)
{
    const UpstreamRow& row = state.upstreams.at(attempt.upstream);
    scheduleAttempt(state, attempt, now + state.settings.retryInterval + retryBackoff(state, attempt.stopTries++));
    if (!mayCall(state, row, now))
        return;
    attempt.stopInFlight = true;
    actions.push_back(UpstreamStop { row.description.id, row.description.address, row.shard, row.fencedEpoch,
        attempt.incarnation, attempt.id, attempt.stopMode });
}

void stopAttempt(CoreState& state, AttemptRow& attempt, StopMode mode, TimePoint now, Actions& actions)
{
    if (attempt.phase == AttemptPhase::Ended)
        return;
    if (attempt.phase == AttemptPhase::Reserved) {
        // No start was sent, and without the reservation none will be.
        endAttempt(state, attempt, AttemptState::NeverStarted, {}, now, actions);
        return;
    }
    attempt.stopMode = mode;
    if (mode != StopMode::Throttle && attempt.phase != AttemptPhase::Stopping) {
        attempt.phase = AttemptPhase::Stopping;
        attempt.phaseSince = now;
        attempt.startOutcomeUnknown = false;
    }
    sendStop(state, attempt, now, actions);
}

static void handleStopStatus(CoreState& state, AttemptRow& attempt, const AttemptStatus& status, TimePoint now, Actions& actions)
{
    bool isFinal = status.state == AttemptState::Stopped || status.state == AttemptState::Ended || status.state == AttemptState::NeverStarted;
    if (isFinal && attempt.phase == AttemptPhase::Stopping)
        endAttempt(state, attempt, status.state, status.result, now, actions);
}

static void handleStopOutcome(CoreState& state, UpstreamRow& row, AttemptRow& attempt, const UpstreamStopResult& result, TimePoint now, Actions& actions)
{
    switch (result.outcome) {
    case UpstreamOutcome::Ok:
        markReachable(row, now);
        handleStopStatus(state, attempt, result.status, now, actions);
        return;
    case UpstreamOutcome::StaleEpoch:
        handleStaleEpoch(state, row, actions);
        break;
    case UpstreamOutcome::WrongIncarnation:
        // The upstream reports that the attempt's incarnation has ended. If it is the incarnation
        // known here, a new fence learns the current one and ends all attempts of earlier ones.
        if (attempt.incarnation == row.incarnation)
            handleRestart(state, row, now, actions);
        else
            endLostAttempt(state, attempt, now, actions);
        return;
    case UpstreamOutcome::Refused:
        // The task can't checkpoint, so it is stopped without when the stop is next repeated.
        attempt.stopMode = StopMode::Stop;
        return;
    case UpstreamOutcome::Unreachable:
    case UpstreamOutcome::Unknown:
        markUnreachable(state, row, now);
        break;
    }
    abandonUrgentCall(state, attempt, RefusalReason::UpstreamLost, actions);
}

void handleStopResult(CoreState& state, const UpstreamStopResult& result, TimePoint now, Actions& actions)
{
    auto it = state.attempts.find(result.attempt);
    bool isAwaited = it != state.attempts.end() && it->second.upstream == result.upstream && it->second.stopInFlight;
    if (!isAwaited) {
        countIgnored(state, "stop");
        return;
    }
    AttemptRow& attempt = it->second;
    attempt.stopInFlight = false;
    handleStopOutcome(state, state.upstreams.at(attempt.upstream), attempt, result, now, actions);
}

} // namespace crocuslever
