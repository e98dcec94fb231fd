// The upstream owner's side of a deferred attempt: reserves capacity, starts the attempt
// once its assignment is durable, and answers queries about its state with certainty.

#include "src/core/Reservations.h"

#include <algorithm>
#include <cassert>

#include "src/core/Escrow.h"
#include "src/core/Ownership.h"
#include "src/core/Peers.h"
#include "src/core/Placement.h"
#include "src/core/Session.h"
#include "src/core/UpstreamIndex.h"
#include "src/core/UpstreamLifecycle.h"

namespace crocuslever {

/// Upper limit on the requested duration of a reservation.
static constexpr Duration kMaximumHold = std::chrono::seconds(30);
/// A start that isn't answered within this time has an unknown outcome.
static constexpr Duration kStartTimeout = std::chrono::seconds(2);

// Reserving.

static void grantReservation(CoreState& state, const InstanceId& to, const AttemptRow& row, Actions& actions)
{
    const UpstreamRow& upstream = state.upstreams.at(row.upstream);
    ReserveAnswer answer { row.id, row.job, true, RefusalReason::None, row.upstream,
        upstream.description.domain, row.incarnation, row.shard, row.epoch };
    sendToPeer(state, to, std::move(answer), actions);
}

static void refuseReservation(CoreState& state, const InstanceId& to, const ReserveRequest& request, RefusalReason reason, Actions& actions)
{
    state.counters.add(std::string("reservations_refused_total{reason=\"") + toString(reason) + "\"}");
    ReserveAnswer answer;
    answer.attempt = request.attempt;
    answer.job = request.job;
    answer.reason = reason;
    sendToPeer(state, to, std::move(answer), actions);
}

static RefusalReason refusalReason(CoreState& state, const TeamId& team, TimePoint now)
{
    if (state.shuttingDown)
        return RefusalReason::ShuttingDown;
    if (!isSessionValid(state, now))
        return RefusalReason::NotValid;
    if (availableGrant(state, team) > 0)
        return RefusalReason::None;
    recordGrantShortage(state, team, now);
    return RefusalReason::TeamLimit;
}

static PlacementRequest toPlacementRequest(const ReserveRequest& request)
{
    Resources resources = maximum(request.spec.resources, Resources { 0, 0, 0, 1 });
    return { request.spec.kind, resources, request.spec.idempotent, request.avoid, request.avoidDomains };
}

static AttemptRow makeReservation(const ReserveRequest& request, const UpstreamRow& upstream, const Resources& charged)
{
    AttemptRow row;
    row.id = request.attempt;
    row.job = request.job;
    row.team = request.team;
    row.kind = request.spec.kind;
    row.idempotent = request.spec.idempotent;
    row.service = request.spec.service;
    // For gangs and services `avoid` also contains the upstreams of the job's other tasks.
    row.failedElsewhere = request.spec.kind == WorkKind::Batch && !request.avoid.empty();
    row.upstream = upstream.description.id;
    row.incarnation = upstream.incarnation;
    row.shard = upstream.shard;
    row.epoch = upstream.fencedEpoch;
    row.charged = charged;
    return row;
}

static AttemptRow& reserve(CoreState& state, const ReserveRequest& request, const UpstreamRow& upstream, TimePoint now)
{
    Resources charged = toPlacementRequest(request).resources;
    AttemptRow& row = addAttempt(state, makeReservation(request, upstream, charged), now);
    assert(upstream.reserved.fitsIn(upstream.description.capacity));
    Duration hold = request.holdFor > Duration(0) ? std::min(request.holdFor, kMaximumHold) : state.settings.reservationHold;
    row.holdUntil = now + hold;
    scheduleAttempt(state, row, row.holdUntil);
    state.counters.add("reservations_total");
    return row;
}

void handleReserveRequest(CoreState& state, const InstanceId& from, const ReserveRequest& request, TimePoint now, Actions& actions)
{
    auto known = state.attempts.find(request.attempt);
    if (known != state.attempts.end()) {
        if (known->second.phase == AttemptPhase::Reserved)
            grantReservation(state, from, known->second, actions);
        else
            countIgnored(state, "reserve");
        return;
    }
    RefusalReason reason = refusalReason(state, request.team, now);
    if (reason != RefusalReason::None) {
        refuseReservation(state, from, request, reason, actions);
        return;
    }
    PlacementDecision decision = placeTask(state, toPlacementRequest(request), now);
    if (!decision.upstream) {
        refuseReservation(state, from, request, decision.reason, actions);
        return;
    }
    AttemptRow& row = reserve(state, request, state.upstreams.at(*decision.upstream), now);
    grantReservation(state, from, row, actions);
}

void handleReleaseRequest(CoreState& state, const ReleaseRequest& request, TimePoint, Actions&)
{
    auto it = state.attempts.find(request.attempt);
    if (it != state.attempts.end() && it->second.phase == AttemptPhase::Reserved)
        removeAttempt(state, request.attempt);
}

// Attempts that aren't in the table.

/// Adds a row for an unknown attempt, so that its final state can be learnt with a stop.
static AttemptRow& addUnknownAttempt(CoreState& state, const AttemptQuery& query, TimePoint now)
{
    const UpstreamRow& upstream = state.upstreams.at(query.upstream);
    AttemptRow row;
    row.id = query.attempt;
    row.job = query.job;
    row.upstream = query.upstream;
    row.incarnation = query.incarnation;
    row.shard = upstream.shard;
    row.epoch = upstream.fencedEpoch;
    row.phase = AttemptPhase::Stopping;
    row.leaseUntil = now + longestLease(state);
    return addAttempt(state, std::move(row), now);
}

static void reportUnknown(CoreState& state, const InstanceId& to, const AttemptQuery& query, bool isGone, Actions& actions)
{
    AttemptReport report;
    report.attempt = query.attempt;
    report.job = query.job;
    report.upstream = query.upstream;
    report.upstreamGone = isGone;
    sendToPeer(state, to, std::move(report), actions);
}

static bool isOwnShard(const CoreState& state, const UpstreamId& upstream, TimePoint now)
{
    return mayActOn(state, shardOf(upstream), now);
}

/// Answers a query about an attempt that isn't in the table. Only the upstream's owner may
/// answer, and only once the answer to its fence has listed what runs on the upstream. Until
/// then the query is dropped, and the job's owner repeats it.
static void resolveUnknown(CoreState& state, const InstanceId& from, const AttemptQuery& query, TimePoint now, Actions& actions)
{
    if (!isOwnShard(state, query.upstream, now)) {
        countIgnored(state, "query");
        return;
    }
    if (isUpstreamGone(state, query.upstream, now)) {
        reportUnknown(state, from, query, true, actions);
        return;
    }
    auto it = state.upstreams.find(query.upstream);
    if (it == state.upstreams.end() || !mayCall(state, it->second, now))
        return;
    // A mismatch with the incarnation known here proves nothing: while the store is down, this
    // owner may be acting in parallel with its successor and know an outdated incarnation.
    if (query.stop || it->second.incarnation != query.incarnation)
        stopAttempt(state, addUnknownAttempt(state, query, now), StopMode::Stop, now, actions);
    else
        reportUnknown(state, from, query, false, actions);
}

// Starting.

static bool isReservationValid(const CoreState& state, const AttemptRow& row, const StartRequest& request, TimePoint now)
{
    const UpstreamRow& upstream = state.upstreams.at(row.upstream);
    if (row.upstream != request.upstream || row.incarnation != request.incarnation || row.epoch != request.epoch)
        return false;
    return upstream.incarnation == row.incarnation && upstream.fencedEpoch == row.epoch && isInService(state, upstream, now);
}

static void startAttempt(CoreState& state, AttemptRow& row, const StartRequest& request, TimePoint now, Actions& actions)
{
    const UpstreamRow& upstream = state.upstreams.at(row.upstream);
    Duration lease = state.configuration.current->defaults.attemptLease;
    row.phase = AttemptPhase::Starting;
    row.phaseSince = now;
    row.leaseUntil = now + kStartTimeout + lease;
    scheduleAttempt(state, row, row.leaseUntil + kLeaseMargin);
    state.counters.add(std::string("starts_total{kind=\"") + toString(row.kind) + "\"}");
    actions.push_back(UpstreamStart { row.upstream, upstream.description.address, row.shard, row.epoch, row.incarnation,
        row.id, row.job, row.team, request.spec, lease, false, kStartTimeout });
}

static void reportState(CoreState& state, AttemptRow& row, TimePoint now, Actions& actions)
{
    if (row.phase == AttemptPhase::Running)
        reportAttempt(state, row, AttemptState::Running, now, actions);
    else if (row.phase == AttemptPhase::Ended)
        reportAttempt(state, row, row.finalState, now, actions);
}

void handleStartRequest(CoreState& state, const InstanceId& from, const StartRequest& request, TimePoint now, Actions& actions)
{
    auto it = state.attempts.find(request.attempt);
    if (it == state.attempts.end()) {
        // The reservation expired or the shard changed owners. The attempt must not start now,
        // and only the upstream can guarantee that it never will.
        resolveUnknown(state, from, { request.attempt, request.job, request.upstream, request.incarnation, true }, now, actions);
        return;
    }
    AttemptRow& row = it->second;
    if (row.phase != AttemptPhase::Reserved)
        reportState(state, row, now, actions);
    else if (isReservationValid(state, row, request, now))
        startAttempt(state, row, request, now, actions);
    else
        stopAttempt(state, row, StopMode::Stop, now, actions);
}

void handleAttemptQuery(CoreState& state, const InstanceId& from, const AttemptQuery& query, TimePoint now, Actions& actions)
{
    auto it = state.attempts.find(query.attempt);
    if (it == state.attempts.end()) {
        resolveUnknown(state, from, query, now, actions);
        return;
    }
    AttemptRow& row = it->second;
    if (row.upstream != query.upstream) {
        countIgnored(state, "query");
        return;
    }
    if (query.stop && row.phase != AttemptPhase::Ended && row.phase != AttemptPhase::Stopping)
        stopAttempt(state, row, StopMode::Stop, now, actions);
    else
        reportState(state, row, now, actions);
}

void handleAttemptAcknowledge(CoreState& state, const AttemptAcknowledge& acknowledge, TimePoint now, Actions&)
{
    auto it = state.attempts.find(acknowledge.attempt);
    if (it == state.attempts.end() || it->second.phase != AttemptPhase::Ended)
        return;
    AttemptRow& row = it->second;
    auto upstream = state.upstreams.find(row.upstream);
    // The upstream keeps its record of an attempt that never started: if the record were
    // deleted, a start that is still in transit would run.
    bool isKeptByUpstream = row.finalState == AttemptState::Ended || row.finalState == AttemptState::Stopped;
    if (isKeptByUpstream && upstream != state.upstreams.end() && upstream->second.incarnation == row.incarnation) {
        upstream->second.toAcknowledge.push_back(row.id);
        scheduleUpstreamBy(state, upstream->second, now + state.settings.syncInterval);
    }
    removeAttempt(state, acknowledge.attempt);
}

} // namespace crocuslever
