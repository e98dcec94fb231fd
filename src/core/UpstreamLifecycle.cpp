// The owner's side of its upstreams: the platform's list, the checks of what may be called
// and started, and the fence and sync calls that keep epochs and leases up to date.

#include "src/core/UpstreamLifecycle.h"

#include <algorithm>

#include "src/core/Guards.h"
#include "src/core/Ownership.h"
#include "src/core/Peers.h"
#include "src/core/Reservations.h"
#include "src/core/UpstreamIndex.h"
#include "src/core/UrgentCalls.h"

namespace crocuslever {

/// A fence or sync without a result from the edge counts as lost after this time.
static constexpr Duration kCallTimeout = std::chrono::seconds(10);
/// A longer gap between two ticks means that the process was paused.
static constexpr Duration kMaximumTickGap = std::chrono::milliseconds(500);
/// Time after a pause during which received messages may be as old as the pause.
static constexpr Duration kStallRecovery = std::chrono::milliseconds(200);
/// Time to the sync that resolves a start of unknown outcome.
static constexpr Duration kUnknownStartSyncDelay = std::chrono::milliseconds(20);

// The list.

static bool isHeld(const CoreState& state, ShardIndex shard)
{
    ShardPhase phase = state.shards[shard].phase;
    return phase == ShardPhase::Settling || phase == ShardPhase::Owned || phase == ShardPhase::Releasing;
}

static UpstreamRow& addUpstream(CoreState& state, const UpstreamDescription& description, TimePoint now)
{
    UpstreamRow& row = state.upstreams[description.id];
    row.description = description;
    row.shard = shardOf(description.id);
    row.listed = false;
    state.upstreams.byShard[row.shard].insert(description.id);
    if (isHeld(state, row.shard))
        scheduleUpstream(state, row, now);
    return row;
}

static void listUpstream(CoreState& state, const UpstreamDescription& description, TimePoint now)
{
    auto it = state.upstreams.find(description.id);
    UpstreamRow& row = it == state.upstreams.end() ? addUpstream(state, description, now) : it->second;
    if (row.listed && row.description == description)
        return;
    if (row.listed)
        adjustCapacityCount(state, row.description.capacity, -1);
    adjustCapacityCount(state, description.capacity, 1);
    updateUpstreamDescription(state, row, description);
    if (!row.listed && isHeld(state, row.shard))
        scheduleUpstreamBy(state, row, now);
    row.listed = true;
    state.attempts.drainPending = true;
}

static void unlistUpstream(CoreState& state, UpstreamRow& row, TimePoint now)
{
    adjustCapacityCount(state, row.description.capacity, -1);
    row.listed = false;
    row.unlistedAt = now;
}

static bool hasAttempts(const CoreState& state, const UpstreamId& id)
{
    return state.attempts.byUpstream.count(id) != 0;
}

/// A row is kept until nothing can run on the upstream any more, so that a query about an
/// attempt isn't answered with "upstream gone" too early.
static bool isRemovable(const CoreState& state, const UpstreamRow& row, TimePoint now)
{
    return !row.listed && !hasAttempts(state, row.description.id) && isUpstreamGone(state, row.description.id, now);
}

static void removeMissing(CoreState& state, const std::set<UpstreamId>& present, TimePoint now)
{
    for (auto it = state.upstreams.begin(); it != state.upstreams.end();) {
        UpstreamRow& row = it->second;
        if (row.listed && present.count(it->first) == 0)
            unlistUpstream(state, row, now);
        if (!isRemovable(state, row, now)) {
            ++it;
            continue;
        }
        unindexUpstream(state, row);
        it = state.upstreams.erase(it);
    }
}

void handleUpstreamList(CoreState& state, const UpstreamListUpdate& update, TimePoint now, Actions&)
{
    if (!state.upstreams.listReceived) {
        state.upstreams.listReceived = true;
        state.upstreams.listReceivedAt = now;
    }
    std::set<UpstreamId> present;
    for (const UpstreamDescription& description : update.upstreams) {
        present.insert(description.id);
        listUpstream(state, description, now);
    }
    removeMissing(state, present, now);
}

// Checks of what may be called and started.

Duration longestLease(const CoreState& state)
{
    const PolicyDefaults& policy = state.configuration.current->defaults;
    Duration lease = std::max({ policy.attemptLease, policy.urgentDeadline, state.settings.urgentLease });
    // An earlier owner may have renewed the lease until its session ended.
    return lease + state.settings.sessionTtl + kLeaseMargin;
}

bool isUpstreamGone(const CoreState& state, const UpstreamId& id, TimePoint now)
{
    if (!state.upstreams.listReceived)
        return false;
    auto it = state.upstreams.find(id);
    if (it == state.upstreams.end())
        return now - state.upstreams.listReceivedAt > longestLease(state);
    const UpstreamRow& row = it->second;
    TimePoint since = std::max(row.unlistedAt, state.shards[row.shard].phaseSince);
    return !row.listed && !row.syncInFlight && now - since > longestLease(state);
}

static bool isFenced(const CoreState& state, const UpstreamRow& row)
{
    return row.fenced && row.fencedEpoch == state.shards[row.shard].record.epoch;
}

bool mayCall(const CoreState& state, const UpstreamRow& row, TimePoint now)
{
    return isFenced(state, row) && isHeld(state, row.shard) && mayActOn(state, row.shard, now);
}

bool isInService(const CoreState& state, const UpstreamRow& row, TimePoint now)
{
    if (!row.listed || !row.reachable || (row.description.leaving && isEnabled(Guard::LeavingCheck)))
        return false;
    // Nothing starts while the shard is settling: grants can be moved exactly only if no owner
    // has started anything on the shard before it settled (specs/escrow.pml).
    if (state.shards[row.shard].phase != ShardPhase::Owned || !mayCall(state, row, now))
        return false;
    return !state.configuration.current->isDomainOut(row.description.domain) || !isEnabled(Guard::DomainCheck);
}

bool acceptsWork(const CoreState& state, const UpstreamRow& row, TimePoint now)
{
    return row.health != UpstreamHealth::Quarantined && isInService(state, row, now);
}

static bool canSettleWithout(const CoreState& state, const UpstreamRow& row, TimePoint now)
{
    TimePoint since = state.shards[row.shard].phaseSince;
    return !row.reachable && now - since > longestLease(state);
}

bool isShardFenced(const CoreState& state, ShardIndex shard, TimePoint now)
{
    // Before the first list, the set of the shard's upstreams isn't known.
    if (!state.upstreams.listReceived)
        return false;
    for (const UpstreamId& id : state.upstreams.byShard[shard]) {
        const UpstreamRow& row = state.upstreams.at(id);
        if (row.listed && !isFenced(state, row) && !canSettleWithout(state, row, now))
            return false;
    }
    return true;
}

std::map<TeamId, int> runningByTeam(const CoreState& state, ShardIndex shard)
{
    std::map<TeamId, int> running;
    for (const UpstreamId& upstream : state.upstreams.byShard[shard]) {
        for (const AttemptId& id : attemptsOn(state, upstream)) {
            const AttemptRow& row = state.attempts.at(id);
            if (row.isCharged)
                ++running[row.team];
        }
    }
    return running;
}

Resources freeRoom(const CoreState& state, bool urgent, TimePoint now)
{
    Resources sum { 0, 0, 0, 0 };
    for (ShardIndex shard = 0; shard < kShardCount; ++shard) {
        if (state.shards[shard].phase != ShardPhase::Owned)
            continue;
        for (const UpstreamId& id : state.upstreams.byShard[shard]) {
            const UpstreamRow& row = state.upstreams.at(id);
            if (!acceptsWork(state, row, now))
                continue;
            Resources room = row.description.capacity - row.reserved;
            if (!urgent)
                room.slots -= urgentHeadroom(state.configuration.current->defaults, row.description.capacity.slots);
            if (!room.isNegative())
                sum = sum + room;
        }
    }
    return sum;
}

// Helpers shared with the result handlers.

void countIgnored(CoreState& state, const std::string& kind)
{
    state.counters.add("ignored_answers_total{kind=\"" + kind + "\"}");
}

std::vector<AttemptId> attemptsOn(const CoreState& state, const UpstreamId& id)
{
    auto it = state.attempts.byUpstream.find(id);
    if (it == state.attempts.byUpstream.end())
        return {};
    return { it->second.begin(), it->second.end() };
}

/// A random duration between d / 2 and `d`.
static Duration withJitter(CoreState& state, Duration d)
{
    std::int64_t half = d.count() / 2;
    return Duration(half + static_cast<std::int64_t>(nextRandom(state) % static_cast<std::uint64_t>(half + 1)));
}

Duration retryBackoff(CoreState& state, int failures)
{
    constexpr Duration kFirst = std::chrono::milliseconds(100);
    constexpr int kMaximumDoublings = 4;
    return withJitter(state, kFirst * (1 << std::clamp(failures, 0, kMaximumDoublings)));
}

/// Time to the attempt's next sync. A young attempt may end soon, so the interval equals its
/// age and the sync times double: an end is noticed late by at most the time that the attempt
/// ran, and a long run costs only a handful of additional calls.
static Duration syncIntervalOf(const AttemptRow& attempt, TimePoint now)
{
    if (attempt.startOutcomeUnknown)
        return kUnknownStartSyncDelay;
    if (attempt.phase != AttemptPhase::Running)
        return Duration::max();
    return std::max(kFirstSyncAfter, std::chrono::duration_cast<Duration>(now - attempt.phaseSince));
}

TimePoint nextSyncTime(CoreState& state, const UpstreamRow& row, TimePoint now)
{
    std::vector<AttemptId> ids = attemptsOn(state, row.description.id);
    Duration interval = state.settings.syncInterval;
    for (const AttemptId& id : ids)
        interval = std::min(interval, syncIntervalOf(state.attempts.at(id), now));
    if (!ids.empty() || !row.toAcknowledge.empty())
        return now + interval;
    return now + withJitter(state, state.settings.idleSyncInterval);
}

void dropUpstreamState(CoreState& state, ShardIndex shard, TimePoint, Actions& actions)
{
    for (const UpstreamId& id : state.upstreams.byShard[shard]) {
        for (const AttemptId& attempt : attemptsOn(state, id)) {
            abandonUrgentCall(state, state.attempts.at(attempt), RefusalReason::NotValid, actions);
            removeAttempt(state, attempt);
        }
        UpstreamRow& row = state.upstreams.at(id);
        row.fenced = false;
        row.toAcknowledge.clear();
        row.acknowledgesSent = 0;
        indexUpstream(state, row);
    }
}

// Fence and sync calls.

static void sendFence(CoreState& state, UpstreamRow& row, TimePoint now, Actions& actions)
{
    Epoch epoch = state.shards[row.shard].record.epoch;
    row.fenceInFlight = true;
    row.callSentAt = now;
    actions.push_back(UpstreamFence { row.description.id, row.description.address, row.shard, epoch, state.settings.self });
}

/// The leases of urgent attempts aren't renewed, so that the entry instance knows without
/// further messages when an attempt must have ended.
static bool needsRenewal(const AttemptRow& attempt)
{
    return attempt.startOutcomeUnknown || (attempt.phase == AttemptPhase::Running && attempt.kind != WorkKind::Urgent);
}

static void sendSync(CoreState& state, UpstreamRow& row, TimePoint now, Actions& actions)
{
    UpstreamSync sync { row.description.id, row.description.address, row.shard, row.fencedEpoch, row.incarnation,
        state.configuration.current->defaults.attemptLease, {}, row.toAcknowledge };
    for (const AttemptId& id : attemptsOn(state, row.description.id)) {
        AttemptRow& attempt = state.attempts.at(id);
        if (!needsRenewal(attempt))
            continue;
        attempt.leaseUntil = std::max(attempt.leaseUntil, now + sync.lease);
        sync.renew.push_back(id);
    }
    row.syncInFlight = true;
    row.callSentAt = now;
    row.acknowledgesSent = row.toAcknowledge.size();
    actions.push_back(std::move(sync));
}

static bool isCallInFlight(CoreState& state, UpstreamRow& row, TimePoint now)
{
    if (!row.fenceInFlight && !row.syncInFlight)
        return false;
    if (now - row.callSentAt < kCallTimeout)
        return true;
    state.counters.add("upstream_calls_lost_total");
    row.reachable = false;
    row.fenceInFlight = false;
    row.syncInFlight = false;
    return false;
}

static bool mayFence(const CoreState& state, const UpstreamRow& row)
{
    const ShardRow& shard = state.shards[row.shard];
    if (shard.phase == ShardPhase::Releasing || row.rejectedEpoch == shard.record.epoch)
        return false;
    return row.listed || hasAttempts(state, row.description.id);
}

static void runUpstream(CoreState& state, UpstreamRow& row, TimePoint now, Actions& actions)
{
    // Scheduled again when the shard is next claimed.
    if (!isHeld(state, row.shard))
        return;
    if (!mayActOn(state, row.shard, now)) {
        scheduleUpstream(state, row, now + state.settings.retryInterval);
        return;
    }
    if (isCallInFlight(state, row, now)) {
        scheduleUpstream(state, row, row.callSentAt + kCallTimeout);
        return;
    }
    if (isFenced(state, row))
        sendSync(state, row, now, actions);
    else if (mayFence(state, row))
        sendFence(state, row, now, actions);
    scheduleUpstream(state, row, now + kCallTimeout);
}

static void scheduleShard(CoreState& state, ShardIndex shard, TimePoint now)
{
    Epoch& scheduled = state.upstreams.scheduledEpoch[shard];
    if (!isHeld(state, shard)) {
        scheduled = 0;
        return;
    }
    Epoch epoch = state.shards[shard].record.epoch;
    if (scheduled == epoch)
        return;
    scheduled = epoch;
    for (const UpstreamId& id : state.upstreams.byShard[shard])
        scheduleUpstream(state, state.upstreams.at(id), now);
}

static void reindexOnNewConfiguration(CoreState& state)
{
    std::uint64_t revision = state.configuration.current->revision;
    if (state.upstreams.indexedRevision == revision)
        return;
    state.upstreams.indexedRevision = revision;
    state.attempts.drainPending = true;
    indexAllUpstreams(state);
}

static bool isTickOverdue(const CoreState& state, TimePoint now)
{
    return state.upstreams.lastTickAt != TimePoint() && now - state.upstreams.lastTickAt > kMaximumTickGap;
}

bool isStalled(const CoreState& state, TimePoint now)
{
    return isTickOverdue(state, now) || now < state.upstreams.stalledUntil;
}

static void detectPause(CoreState& state, TimePoint now)
{
    if (isTickOverdue(state, now))
        state.upstreams.stalledUntil = now + kStallRecovery;
    state.upstreams.lastTickAt = now;
}

void runUpstreams(CoreState& state, TimePoint now, Actions& actions)
{
    detectPause(state, now);
    reindexOnNewConfiguration(state);
    for (ShardIndex shard = 0; shard < kShardCount; ++shard)
        scheduleShard(state, shard, now);
    auto& due = state.upstreams.due;
    while (!due.empty() && due.begin()->first <= now) {
        UpstreamId id = due.begin()->second;
        due.erase(due.begin());
        runUpstream(state, state.upstreams.at(id), now, actions);
    }
}

} // namespace crocuslever
