// The lifecycle of attempts in the tables. The upstream and the team are charged from the
// reservation to the end, and the end is kept until the job's owner acknowledges it.

#include <algorithm>

#include "src/core/Escrow.h"
#include "src/core/Peers.h"
#include "src/core/Reservations.h"
#include "src/core/UpstreamHealth.h"
#include "src/core/UpstreamIndex.h"
#include "src/core/UpstreamLifecycle.h"
#include "src/core/UrgentCalls.h"

namespace crocuslever {

/// A task that hasn't saved its state within this time is stopped without a checkpoint.
static constexpr Duration kCheckpointTimeout = std::chrono::seconds(10);
/// Time between two checks of whether an attempt's lease has certainly lapsed.
static constexpr Duration kLeaseCheckInterval = std::chrono::milliseconds(250);

void scheduleAttempt(CoreState& state, AttemptRow& row, TimePoint at)
{
    state.attempts.due.erase({ row.dueAt, row.id });
    row.dueAt = at;
    state.attempts.due.emplace(at, row.id);
}

static void chargeAttempt(CoreState& state, AttemptRow& row)
{
    UpstreamRow& upstream = state.upstreams.at(row.upstream);
    row.isCharged = true;
    upstream.reserved = upstream.reserved + row.charged;
    chargeTeam(state, row.team, 1);
    indexUpstream(state, upstream);
}

static void refundAttempt(CoreState& state, AttemptRow& row)
{
    if (!row.isCharged)
        return;
    row.isCharged = false;
    chargeTeam(state, row.team, -1);
    auto it = state.upstreams.find(row.upstream);
    if (it != state.upstreams.end()) {
        it->second.reserved = it->second.reserved - row.charged;
        indexUpstream(state, it->second);
    }
    row.charged = Resources { 0, 0, 0, 0 };
}

AttemptRow& addAttempt(CoreState& state, AttemptRow attempt, TimePoint now)
{
    AttemptId id = attempt.id;
    AttemptRow& row = state.attempts[id];
    row = std::move(attempt);
    row.phaseSince = now;
    state.attempts.byUpstream[row.upstream].insert(id);
    if (row.charged.slots > 0)
        chargeAttempt(state, row);
    // The sync interval of an idle upstream is too long to renew a lease in time.
    auto it = state.upstreams.find(row.upstream);
    if (it != state.upstreams.end())
        scheduleUpstreamBy(state, it->second, now + state.settings.syncInterval);
    return row;
}

void removeAttempt(CoreState& state, const AttemptId& id)
{
    auto it = state.attempts.find(id);
    if (it == state.attempts.end())
        return;
    refundAttempt(state, it->second);
    state.attempts.due.erase({ it->second.dueAt, id });
    auto there = state.attempts.byUpstream.find(it->second.upstream);
    if (there != state.attempts.byUpstream.end()) {
        there->second.erase(id);
        if (there->second.empty())
            state.attempts.byUpstream.erase(there);
    }
    state.attempts.erase(it);
}

void reportAttempt(CoreState& state, AttemptRow& row, AttemptState attemptState, TimePoint now, Actions& actions)
{
    AttemptReport report { row.id, row.job, row.team, row.upstream, attemptState, row.upstreamGone, row.result };
    sendToJobOwner(state, row.job, std::move(report), actions);
    if (row.phase != AttemptPhase::Ended)
        return;
    row.nextReport = now + state.settings.retryInterval;
    scheduleAttempt(state, row, row.nextReport);
}

/// A client error (4xx) is the request's fault and says nothing about the upstream's health.
static bool isRequestFault(const TaskResult& result)
{
    constexpr int kFirstClientError = 400;
    constexpr int kFirstServerError = 500;
    return !result.succeeded && result.status >= kFirstClientError && result.status < kFirstServerError;
}

static void recordEnd(CoreState& state, AttemptRow& row, AttemptState finalState, const TaskResult& result, TimePoint now, Actions& actions)
{
    state.counters.add(std::string("attempts_ended_total{state=\"") + toString(finalState) + "\"}");
    auto it = state.upstreams.find(row.upstream);
    if (finalState == AttemptState::Ended && it != state.upstreams.end() && !isRequestFault(result))
        recordOutcome(state, it->second, row, result.succeeded, now, actions);
}

void endAttempt(CoreState& state, AttemptRow& row, AttemptState finalState, TaskResult result, TimePoint now, Actions& actions)
{
    if (row.phase == AttemptPhase::Ended)
        return;
    recordEnd(state, row, finalState, result, now, actions);
    refundAttempt(state, row);
    if (row.job.isEmpty()) {
        endUrgentAttempt(state, row, finalState, result, now, actions);
        return;
    }
    row.phase = AttemptPhase::Ended;
    row.phaseSince = now;
    row.finalState = finalState;
    row.result = std::move(result);
    row.stopInFlight = false;
    row.startOutcomeUnknown = false;
    reportAttempt(state, row, finalState, now, actions);
}

void endLostAttempt(CoreState& state, AttemptRow& row, TimePoint now, Actions& actions)
{
    if (row.phase == AttemptPhase::Reserved) {
        endAttempt(state, row, AttemptState::NeverStarted, {}, now, actions);
        return;
    }
    if (row.phase == AttemptPhase::Ended)
        return;
    row.upstreamGone = true;
    endAttempt(state, row, AttemptState::Unknown, {}, now, actions);
}

// Lapsed leases.

static bool hasSurelyLapsed(const CoreState& state, const AttemptRow& row, TimePoint now)
{
    const UpstreamRow& upstream = state.upstreams.at(row.upstream);
    // A renewal that hasn't been answered yet may still take effect.
    return now >= row.leaseUntil + kLeaseMargin && !upstream.syncInFlight;
}

/// True if the attempt certainly no longer runs and its result can't be learnt. Non-idempotent
/// work waits for the upstream to return and report the result, until the upstream has left
/// the list.
static bool isLost(const CoreState& state, const AttemptRow& row, TimePoint now)
{
    const UpstreamRow& upstream = state.upstreams.at(row.upstream);
    if (upstream.reachable || !hasSurelyLapsed(state, row, now))
        return false;
    return !upstream.listed || row.idempotent || row.job.isEmpty();
}

static void checkLease(CoreState& state, AttemptRow& row, TimePoint now, Actions& actions)
{
    if (isLost(state, row, now)) {
        endLostAttempt(state, row, now, actions);
        return;
    }
    bool isReachable = state.upstreams.at(row.upstream).reachable;
    if (isReachable && hasSurelyLapsed(state, row, now)) {
        stopAttempt(state, row, StopMode::Stop, now, actions);
        return;
    }
    scheduleAttempt(state, row, std::max(row.leaseUntil + kLeaseMargin, now + kLeaseCheckInterval));
}

static void repeatStop(CoreState& state, AttemptRow& row, TimePoint now, Actions& actions)
{
    if (isLost(state, row, now)) {
        endLostAttempt(state, row, now, actions);
        return;
    }
    bool isTooSlow = row.stopMode == StopMode::Checkpoint && now - row.phaseSince > kCheckpointTimeout;
    stopAttempt(state, row, isTooSlow ? StopMode::Stop : row.stopMode, now, actions);
}

static void expireReservation(CoreState& state, AttemptRow& row, TimePoint now)
{
    if (now < row.holdUntil) {
        scheduleAttempt(state, row, row.holdUntil);
        return;
    }
    // If a start arrives later, the attempt is unknown here and is stopped at the upstream.
    state.counters.add("holds_expired_total");
    removeAttempt(state, AttemptId(row.id));
}

static void runAttempt(CoreState& state, AttemptRow& row, TimePoint now, Actions& actions)
{
    switch (row.phase) {
    case AttemptPhase::Reserved:
        expireReservation(state, row, now);
        return;
    case AttemptPhase::Starting:
    case AttemptPhase::Running:
        checkLease(state, row, now, actions);
        return;
    case AttemptPhase::Stopping:
        repeatStop(state, row, now, actions);
        return;
    case AttemptPhase::Ended:
        reportAttempt(state, row, row.finalState, now, actions);
        return;
    }
}

// Draining upstreams that are leaving or whose failure domain is out of service.

static constexpr int kMaximumDrainsPerPass = 4;
static constexpr Duration kDrainInterval = std::chrono::milliseconds(50);

static bool isMovable(const AttemptRow& row)
{
    return row.kind == WorkKind::Service || (row.kind == WorkKind::Batch && row.idempotent);
}

static bool isDrained(const CoreState& state, const UpstreamRow& row)
{
    return row.description.leaving || state.configuration.current->isDomainOut(row.description.domain);
}

/// Stops one attempt that has to move, within the budget. True if it is still to be moved.
static bool drainAttempt(CoreState& state, AttemptRow& row, int& budget, TimePoint now, Actions& actions)
{
    if (row.phase == AttemptPhase::Reserved) {
        stopAttempt(state, row, StopMode::Stop, now, actions);
        return false;
    }
    if (!isMovable(row) || (row.phase != AttemptPhase::Starting && row.phase != AttemptPhase::Running))
        return false;
    if (row.phase == AttemptPhase::Starting || budget == 0)
        return true;
    --budget;
    state.counters.add("attempts_drained_total");
    stopAttempt(state, row, StopMode::Checkpoint, now, actions);
    return false;
}

static void drainAttempts(CoreState& state, TimePoint now, Actions& actions)
{
    if (!state.attempts.drainPending || now < state.attempts.nextDrain)
        return;
    state.attempts.nextDrain = now + kDrainInterval;
    std::vector<AttemptId> ids;
    for (const auto& [upstream, there] : state.attempts.byUpstream) {
        auto it = state.upstreams.find(upstream);
        if (it != state.upstreams.end() && isDrained(state, it->second))
            ids.insert(ids.end(), there.begin(), there.end());
    }
    int budget = kMaximumDrainsPerPass;
    bool isPending = false;
    for (const AttemptId& id : ids)
        isPending |= drainAttempt(state, state.attempts.at(id), budget, now, actions);
    state.attempts.drainPending = isPending;
}

void runAttempts(CoreState& state, TimePoint now, Actions& actions)
{
    auto& due = state.attempts.due;
    while (!due.empty() && due.begin()->first <= now) {
        AttemptId id = due.begin()->second;
        due.erase(due.begin());
        runAttempt(state, state.attempts.at(id), now, actions);
    }
    drainAttempts(state, now, actions);
}

} // namespace crocuslever
