#include "src/core/UrgentCalls.h"

#include <algorithm>
#include <iterator>
#include <map>

#include "src/core/Calls.h"
#include "src/core/DominantShare.h"
#include "src/core/Escrow.h"
#include "src/core/Guards.h"
#include "src/core/Peers.h"
#include "src/core/Placement.h"
#include "src/core/Reservations.h"
#include "src/core/Session.h"
#include "src/core/UpstreamIndex.h"
#include "src/core/UpstreamLifecycle.h"

namespace crocuslever {

// The entry instance's side: routes calls to the owners of upstreams.

/// Limit on the sends of one call, over all owners.
static constexpr int kMaximumSends = 8;
static constexpr int kMaximumQueuedCalls = 256;
static constexpr int kMaximumQueuedCallsPerTeam = 64;
static constexpr Duration kRoomRetryInterval = std::chrono::milliseconds(25);
/// An owner that refused a call for lack of quota has a new grant by then, if any is free.
static constexpr Duration kGrantRetryInterval = std::chrono::milliseconds(100);
static constexpr Duration kRetryAfter = std::chrono::seconds(1);
/// A call with less time left than this is refused: it could not be run and answered in time.
static constexpr Duration kMinimumTimeLeft = std::chrono::milliseconds(10);

static CallerReply makeReply(CallId id, CallOutcome outcome, RefusalReason reason)
{
    CallerReply reply;
    reply.id = id;
    reply.outcome = outcome;
    reply.reason = reason;
    if (outcome == CallOutcome::NotRun)
        reply.retryAfter = kRetryAfter;
    return reply;
}

static void refuseCall(CoreState& state, CallRow& row, RefusalReason reason, Actions& actions)
{
    finishCall(state, row.id, makeReply(row.id, CallOutcome::NotRun, reason), actions);
}

/// Answers a call without a result: outcome Unknown if any owner may have run it, else NotRun.
static void finishWithoutResult(CoreState& state, CallRow& row, RefusalReason reason, Actions& actions)
{
    if (row.unresolvedSends > 0)
        finishCall(state, row.id, makeReply(row.id, CallOutcome::Unknown, reason), actions);
    else
        refuseCall(state, row, row.lastReason == RefusalReason::None ? reason : row.lastReason, actions);
}

static Resources requiredResources(const TaskSpec& spec)
{
    return maximum(spec.resources, Resources { 0, 0, 0, 1 });
}

static bool wasRefusedBy(const CallRow& row, const InstanceId& id)
{
    return std::find(row.refusedBy.begin(), row.refusedBy.end(), id) != row.refusedBy.end();
}

static std::vector<InstanceId> ownersWithRoom(const CoreState& state, const CallRow& row, TimePoint now)
{
    std::vector<InstanceId> owners;
    std::vector<InstanceId> granted; ///< Owners with some of the team's quota left.
    for (const auto& [id, member] : state.members) {
        if (!member.heard || member.heartbeat.shuttingDown || !isPeerUp(state, id, now) || wasRefusedBy(row, id))
            continue;
        if (!requiredResources(row.spec).fitsIn(member.heartbeat.urgentRoom))
            continue;
        owners.push_back(id);
        if (availableGrantAt(state, member, row.team) > 0)
            granted.push_back(id);
    }
    return granted.empty() ? owners : granted;
}

/// True if the owner has some of the team's quota left, by the stored grants and its last heartbeat.
static bool hasQuotaLeft(const CoreState& state, const InstanceId& owner, const TeamId& team)
{
    auto grants = state.escrow.grants.find(team);
    if (grants == state.escrow.grants.end())
        return false;
    const MemberRow& member = state.members.at(owner);
    auto grant = grants->second.find(member.record.session);
    if (grant == grants->second.end())
        return false;
    const TeamUsage* usage = findUsage(member.heartbeat, team);
    return grant->second > (usage ? usage->running : 0);
}

/// The owners with quota left, or all of them if none has: a refused call makes the owner request more.
static std::vector<InstanceId> preferOwnersWithQuota(const CoreState& state, const std::vector<InstanceId>& owners, const TeamId& team)
{
    std::vector<InstanceId> granted;
    std::copy_if(owners.begin(), owners.end(), std::back_inserter(granted),
        [&](const InstanceId& id) { return hasQuotaLeft(state, id, team); });
    return granted.empty() ? owners : granted;
}

static std::int64_t freeSlots(const CoreState& state, const InstanceId& id)
{
    return state.members.at(id).heartbeat.urgentRoom.slots;
}

/// Picks the emptier of two random owners. This is nearly as good as picking the emptiest of
/// all, and entry instances with the same stale heartbeats don't all pick the same owner.
static InstanceId pickOwner(CoreState& state, const std::vector<InstanceId>& owners)
{
    std::size_t first = nextRandom(state) % owners.size();
    if (owners.size() == 1)
        return owners[first];
    std::size_t second = (first + 1 + nextRandom(state) % (owners.size() - 1)) % owners.size();
    std::int64_t a = freeSlots(state, owners[first]);
    std::int64_t b = freeSlots(state, owners[second]);
    if (a == b)
        return owners[second] == state.settings.self ? owners[second] : owners[first];
    return a > b ? owners[first] : owners[second];
}

/// The time from which an idempotent call's earlier attempt can no longer be running.
static TimePoint retrySafeAt(const CoreState& state, TimePoint now)
{
    return now + state.settings.urgentLease + kLeaseMargin;
}

static void forwardCall(CoreState& state, CallRow& row, const InstanceId& owner, TimePoint now, Actions& actions)
{
    row.sentTo = owner;
    row.sent = true;
    ++row.unresolvedSends;
    row.nextTry = retrySafeAt(state, now);
    // Deducted now, since the owner's next heartbeat may be a while off.
    Resources& room = state.members.at(owner).heartbeat.urgentRoom;
    room = room - requiredResources(row.spec);
    countSentTask(state.members.at(owner), row.team);
    sendToPeer(state, owner, UrgentCall { row.id, row.team, row.spec, row.deadline - now, row.tries, estimatePeerTime(state, owner, now) }, actions);
    ++row.tries;
}

static bool isQueued(const CallRow& row)
{
    return row.urgent && !row.sent && row.nextTry != TimePoint();
}

/// The limit for each team keeps one team from filling the whole queue.
static bool isQueueFull(const CoreState& state, const TeamId& team)
{
    int n = 0;
    int ofTeam = 0;
    for (const auto& [id, row] : state.calls) {
        if (!isQueued(row))
            continue;
        ++n;
        ofTeam += row.team == team ? 1 : 0;
        if (n >= kMaximumQueuedCalls || ofTeam >= kMaximumQueuedCallsPerTeam)
            return true;
    }
    return false;
}

static void queueCall(CoreState& state, CallRow& row, Duration pause, TimePoint now, Actions& actions)
{
    if (!isQueued(row) && isQueueFull(state, row.team)) {
        finishWithoutResult(state, row, RefusalReason::QueueFull, actions);
        return;
    }
    // Owners that refused the call may have room again by then.
    row.refusedBy.clear();
    row.nextTry = now + pause;
}

void routeUrgentCall(CoreState& state, CallRow& row, TimePoint now, Actions& actions)
{
    if (now + kMinimumTimeLeft >= row.deadline || row.tries >= kMaximumSends) {
        finishWithoutResult(state, row, RefusalReason::Overloaded, actions);
        return;
    }
    if (neverFits(state, requiredResources(row.spec))) {
        finishWithoutResult(state, row, RefusalReason::NeverFits, actions);
        return;
    }
    std::vector<InstanceId> owners = ownersWithRoom(state, row, now);
    if (owners.empty())
        queueCall(state, row, kRoomRetryInterval, now, actions);
    else
        forwardCall(state, row, pickOwner(state, preferOwnersWithQuota(state, owners, row.team)), now, actions);
}

/// True if an owner that hasn't refused the call has some of the team's quota left.
static bool isQuotaLeftElsewhere(const CoreState& state, const CallRow& row, TimePoint now)
{
    std::vector<InstanceId> owners = ownersWithRoom(state, row, now);
    return std::any_of(owners.begin(), owners.end(),
        [&](const InstanceId& id) { return availableGrantAt(state, state.members.at(id), row.team) > 0; });
}

static void handleRefusal(CoreState& state, CallRow& row, const InstanceId& from, RefusalReason reason, TimePoint now, Actions& actions)
{
    row.sent = false;
    --row.unresolvedSends;
    row.nextTry = TimePoint();
    row.lastReason = reason;
    row.refusedBy.push_back(from);
    if (reason == RefusalReason::NeverFits)
        finishWithoutResult(state, row, reason, actions);
    else if (reason == RefusalReason::TeamLimit && !isQuotaLeftElsewhere(state, row, now))
        queueCall(state, row, kGrantRetryInterval, now, actions);
    else
        routeUrgentCall(state, row, now, actions);
}

static void handleUnknownOutcome(CoreState& state, CallRow& row, const CallerReply& reply, TimePoint now, Actions& actions)
{
    // The attempt was started before this answer was sent, so its lease ends before `safeAt`.
    TimePoint safeAt = retrySafeAt(state, now);
    if (!row.spec.idempotent || safeAt + kMinimumTimeLeft >= row.deadline) {
        finishCall(state, row.id, reply, actions);
        return;
    }
    row.refusedBy.push_back(row.sentTo);
    row.sentTo = InstanceId();
    row.nextTry = safeAt;
}

void handleUrgentAnswer(CoreState& state, const InstanceId& from, const UrgentAnswer& answer, TimePoint now, Actions& actions)
{
    auto it = state.calls.find(answer.call);
    bool isAwaited = it != state.calls.end() && it->second.urgent && it->second.sent && it->second.sentTo == from;
    if (!isAwaited) {
        countIgnored(state, "urgent");
        return;
    }
    CallRow& row = it->second;
    CallerReply reply = answer.reply;
    reply.id = row.id;
    if (reply.outcome == CallOutcome::NotRun)
        handleRefusal(state, row, from, reply.reason, now, actions);
    else if (reply.outcome == CallOutcome::Unknown)
        handleUnknownOutcome(state, row, reply, now, actions);
    else
        finishCall(state, row.id, reply, actions);
}

/// Idempotent work may be retried once its last attempt can't be running any more, if its
/// owner is down or answered that the outcome is unknown. An owner that is up is waited for.
static bool mayRetryElsewhere(const CoreState& state, const CallRow& row, TimePoint now)
{
    if (!row.spec.idempotent || now < row.nextTry)
        return false;
    return row.sentTo.isEmpty() || !isPeerUp(state, row.sentTo, now);
}

static void runUrgentCall(CoreState& state, CallRow& row, TimePoint now, Actions& actions)
{
    if (now >= row.deadline) {
        finishWithoutResult(state, row, row.sent ? RefusalReason::DeadlinePassed : RefusalReason::Overloaded, actions);
        return;
    }
    if (row.callerGone && row.unresolvedSends == 0) {
        refuseCall(state, row, RefusalReason::Cancelled, actions);
        return;
    }
    bool isDue = !row.sent && now >= row.nextTry;
    if (isDue || (row.sent && mayRetryElsewhere(state, row, now)))
        routeUrgentCall(state, row, now, actions);
}

namespace {

/// A call's position in the queue: teams with the lowest dominant share first, then older calls.
struct QueuePosition {
    double share { 0 };
    CallId id { 0 };

    auto tie() const { return std::tie(share, id); }
};

} // namespace

static bool needsProcessing(const CallRow& row, TimePoint now)
{
    if (!row.urgent)
        return false;
    return now >= row.deadline || now >= row.nextTry || (row.callerGone && row.unresolvedSends == 0);
}

static std::vector<QueuePosition> orderByShare(const CoreState& state, TimePoint now)
{
    std::map<TeamId, double> shares;
    std::vector<QueuePosition> positions;
    for (const auto& [id, row] : state.calls) {
        if (!needsProcessing(row, now))
            continue;
        auto it = shares.find(row.team);
        if (it == shares.end())
            it = shares.emplace(row.team, dominantShare(state, row.team, now)).first;
        positions.push_back({ it->second, id });
    }
    std::sort(positions.begin(), positions.end(), [](const QueuePosition& a, const QueuePosition& b) { return a < b; });
    return positions;
}

void runUrgentCalls(CoreState& state, TimePoint now, Actions& actions)
{
    for (const QueuePosition& position : orderByShare(state, now)) {
        auto it = state.calls.find(position.id);
        if (it != state.calls.end())
            runUrgentCall(state, it->second, now, actions);
    }
}

// The owner's side: starts calls on its upstreams.

/// Number of upstreams on which an owner tries to start a call, one after the other.
static constexpr int kMaximumStarts = 2;
/// Older calls are refused. Well below the time after which the entry instance retries
/// idempotent work elsewhere (the urgent lease and its margin).
static constexpr Duration kMaximumTransitTime = std::chrono::seconds(1);
/// Reserved out of the time left for sending the reply.
static constexpr Duration kReplyReserve = std::chrono::milliseconds(50);

static void reply(CoreState& state, const UrgentOrigin& origin, CallerReply answer, Actions& actions)
{
    answer.id = origin.call;
    sendToPeer(state, origin.entry, UrgentAnswer { origin.call, std::move(answer) }, actions);
}

static void replyWithoutResult(CoreState& state, const UrgentOrigin& origin, CallOutcome outcome, RefusalReason reason, Actions& actions)
{
    reply(state, origin, makeReply(origin.call, outcome, reason), actions);
}

static RefusalReason urgentRefusalReason(CoreState& state, const TeamId& team, TimePoint timeEnd, TimePoint now)
{
    if (state.shuttingDown)
        return RefusalReason::ShuttingDown;
    if (!isSessionValid(state, now))
        return RefusalReason::NotValid;
    if (isStalled(state, now))
        return RefusalReason::Overloaded;
    if (now + kMinimumTimeLeft >= timeEnd)
        return RefusalReason::DeadlinePassed;
    if (availableGrant(state, team) > 0)
        return RefusalReason::None;
    recordGrantShortage(state, team, now);
    return RefusalReason::TeamLimit;
}

static AttemptRow makeUrgentAttempt(CoreState& state, const TeamId& team, const UrgentOrigin& origin, const UpstreamRow& upstream)
{
    AttemptRow row;
    row.id = makeAttemptId(state);
    row.team = team;
    row.kind = WorkKind::Urgent;
    row.idempotent = origin.spec.idempotent;
    row.service = origin.spec.service;
    row.upstream = upstream.description.id;
    row.incarnation = upstream.incarnation;
    row.shard = upstream.shard;
    row.epoch = upstream.fencedEpoch;
    row.phase = AttemptPhase::Starting;
    row.charged = requiredResources(origin.spec);
    row.urgent = origin;
    return row;
}

static void startUrgentOn(CoreState& state, const TeamId& team, const UrgentOrigin& origin, const UpstreamRow& upstream, TimePoint now, Actions& actions)
{
    Duration timeLeft = origin.deadline - now;
    Duration timeout = std::max(timeLeft - kReplyReserve, timeLeft / 2);
    // Non-idempotent work isn't retried after its lease, so the lease can cover the whole run.
    Duration lease = origin.spec.idempotent ? state.settings.urgentLease : std::max(state.settings.urgentLease, timeLeft);
    AttemptRow& row = addAttempt(state, makeUrgentAttempt(state, team, origin, upstream), now);
    row.leaseUntil = now + timeout + lease;
    scheduleAttempt(state, row, row.leaseUntil + kLeaseMargin);
    state.counters.add("starts_total{kind=\"urgent\"}");
    actions.push_back(UpstreamStart { row.upstream, upstream.description.address, row.shard, row.epoch, row.incarnation,
        row.id, row.job, team, origin.spec, lease, true, timeout });
}

static RefusalReason startUrgent(CoreState& state, const TeamId& team, UrgentOrigin origin, const std::vector<UpstreamId>& avoid, TimePoint now, Actions& actions)
{
    RefusalReason reason = urgentRefusalReason(state, team, origin.deadline, now);
    if (reason != RefusalReason::None)
        return reason;
    PlacementRequest request { WorkKind::Urgent, requiredResources(origin.spec), false, avoid, {} };
    PlacementDecision decision = placeTask(state, request, now);
    if (!decision.upstream)
        return decision.reason;
    ++origin.tries;
    startUrgentOn(state, team, origin, state.upstreams.at(*decision.upstream), now, actions);
    return RefusalReason::None;
}

/// A call that was delayed in transit may have been abandoned or retried elsewhere by now.
/// `sentAt` is the sender's estimate on this instance's clock.
static bool isTooOld(const UrgentCall& call, TimePoint now)
{
    return now - call.sentAt > kMaximumTransitTime && isEnabled(Guard::CallAge);
}

void handleUrgentCall(CoreState& state, const InstanceId& from, const UrgentCall& call, TimePoint now, Actions& actions)
{
    UrgentOrigin origin { from, call.call, call.sentAt + call.timeLeft, call.spec, 0 };
    if (isTooOld(call, now)) {
        state.counters.add("urgent_calls_too_old_total");
        replyWithoutResult(state, origin, CallOutcome::NotRun, RefusalReason::DeadlinePassed, actions);
        return;
    }
    RefusalReason reason = startUrgent(state, call.team, origin, {}, now, actions);
    if (reason != RefusalReason::None)
        replyWithoutResult(state, origin, CallOutcome::NotRun, reason, actions);
}

void handleUrgentStartResult(CoreState& state, AttemptRow& row, const UpstreamStartResult& result, TimePoint now, Actions& actions)
{
    switch (result.outcome) {
    case UpstreamOutcome::Ok:
        if (result.ended)
            endAttempt(state, row, AttemptState::Ended, result.result, now, actions);
        else
            stopAttempt(state, row, StopMode::Stop, now, actions);
        return;
    case UpstreamOutcome::Unknown:
        stopAttempt(state, row, StopMode::Stop, now, actions);
        return;
    case UpstreamOutcome::Refused:
    case UpstreamOutcome::Unreachable:
    case UpstreamOutcome::WrongIncarnation:
    case UpstreamOutcome::StaleEpoch:
        // Nothing was done, and the start is never repeated.
        endAttempt(state, row, AttemptState::NeverStarted, {}, now, actions);
        return;
    }
}

static CallerReply makeDoneReply(const TaskResult& result)
{
    CallerReply answer;
    answer.outcome = CallOutcome::Done;
    answer.reason = result.succeeded ? RefusalReason::None : RefusalReason::TaskFailed;
    answer.status = result.status;
    answer.body = result.body;
    return answer;
}

/// Handles an attempt that is over without a result: starts the call on another upstream
/// if it can't run twice that way, or else answers it.
static void retryOrReply(CoreState& state, const AttemptRow& row, const UrgentOrigin& origin, AttemptState finalState, TimePoint now, Actions& actions)
{
    bool isNotRun = finalState == AttemptState::NeverStarted;
    bool isSafe = isNotRun || row.idempotent;
    RefusalReason reason = RefusalReason::Overloaded;
    if (isSafe && origin.tries < kMaximumStarts) {
        reason = startUrgent(state, row.team, origin, { row.upstream }, now, actions);
        if (reason == RefusalReason::None)
            return;
    }
    if (isNotRun)
        replyWithoutResult(state, origin, CallOutcome::NotRun, reason, actions);
    else
        replyWithoutResult(state, origin, CallOutcome::Unknown, RefusalReason::UpstreamLost, actions);
}

static void acknowledgeResult(CoreState& state, const AttemptRow& row, TimePoint now)
{
    auto it = state.upstreams.find(row.upstream);
    if (it == state.upstreams.end() || it->second.incarnation != row.incarnation)
        return;
    it->second.toAcknowledge.push_back(row.id);
    scheduleUpstreamBy(state, it->second, now + state.settings.syncInterval);
}

void endUrgentAttempt(CoreState& state, AttemptRow& row, AttemptState finalState, const TaskResult& result, TimePoint now, Actions& actions)
{
    AttemptRow ended = row;
    removeAttempt(state, ended.id);
    if (finalState == AttemptState::Ended || finalState == AttemptState::Stopped)
        acknowledgeResult(state, ended, now);
    if (!ended.urgent)
        return;
    if (finalState == AttemptState::Ended)
        reply(state, *ended.urgent, makeDoneReply(result), actions);
    else
        retryOrReply(state, ended, *ended.urgent, finalState, now, actions);
}

void abandonUrgentCall(CoreState& state, AttemptRow& row, RefusalReason reason, Actions& actions)
{
    if (!row.urgent)
        return;
    replyWithoutResult(state, *row.urgent, CallOutcome::Unknown, reason, actions);
    row.urgent.reset();
}

} // namespace crocuslever
