#include "src/core/Ownership.h"

#include <algorithm>

#include "src/codec/RecordCodec.h"
#include "src/core/Escrow.h"
#include "src/core/Guards.h"
#include "src/core/Jobs.h"
#include "src/core/Peers.h"
#include "src/core/Reservations.h"
#include "src/core/Session.h"
#include "src/core/StoreKeys.h"
#include "src/core/StoreWriter.h"
#include "src/core/UpstreamLifecycle.h"

namespace crocuslever {

static constexpr Duration kPassInterval = std::chrono::milliseconds(50);
static constexpr Duration kRetryInterval = std::chrono::milliseconds(500);
/// An owner keeps a shard for at least this long before it releases it to the preferred owner, so
/// that a flapping member does not move shards back and forth.
static constexpr Duration kMinimumTenure = std::chrono::seconds(3);
/// How long a release waits for urgent attempts that still run on the shard's upstreams.
static constexpr Duration kReleaseGracePeriod = std::chrono::seconds(3);
static constexpr int kMaximumReleasesAtOnce = 4;

static std::uint64_t rendezvousWeight(const InstanceId& id, ShardIndex shard)
{
    return stableHash(id.value() + "#" + std::to_string(shard));
}

static bool isCandidate(const CoreState& state, const MemberRow& member)
{
    if (member.record.id == state.settings.self)
        return !state.shuttingDown;
    return !(member.heard && member.heartbeat.shuttingDown);
}

static std::vector<InstanceId> candidates(const CoreState& state)
{
    std::vector<InstanceId> ids;
    for (const auto& [id, member] : state.members) {
        if (isCandidate(state, member))
            ids.push_back(id);
    }
    return ids;
}

/// The index of the candidate with the greatest weight that has fewer than `bound` shards;
/// ids.size() if there is none.
static std::size_t pickOwner(const std::vector<InstanceId>& ids, const std::vector<std::size_t>& counts, std::size_t bound, ShardIndex shard)
{
    std::size_t best = ids.size();
    std::uint64_t bestWeight = 0;
    for (std::size_t n = 0; n < ids.size(); ++n) {
        std::uint64_t weight = rendezvousWeight(ids[n], shard);
        if (counts[n] >= bound || (best != ids.size() && weight <= bestWeight))
            continue;
        best = n;
        bestWeight = weight;
    }
    return best;
}

std::array<InstanceId, kShardCount> preferredOwners(const CoreState& state)
{
    std::array<InstanceId, kShardCount> owners;
    std::vector<InstanceId> ids = candidates(state);
    if (ids.empty())
        return owners;
    std::vector<std::size_t> counts(ids.size(), 0);
    std::size_t bound = (kShardCount + ids.size() - 1) / ids.size();
    for (ShardIndex shard = 0; shard < kShardCount; ++shard) {
        std::size_t n = pickOwner(ids, counts, bound, shard);
        ++counts[n];
        owners[shard] = ids[n];
    }
    return owners;
}

static bool isLive(const CoreState& state, const SessionId& session)
{
    return state.liveSessions.count(session) != 0;
}

InstanceId currentOwner(const CoreState& state, ShardIndex shard)
{
    const OwnershipRecord& record = state.shards[shard].record;
    return isLive(state, record.session) ? record.owner : InstanceId();
}

static bool isOwnRecord(const CoreState& state, const OwnershipRecord& record)
{
    return !state.session.id.isEmpty() && record.session == state.session.id;
}

bool mayActOn(const CoreState& state, ShardIndex shard, TimePoint now)
{
    const ShardRow& row = state.shards[shard];
    if (row.phase == ShardPhase::NotOwned || row.phase == ShardPhase::Claiming)
        return false;
    return isOwnRecord(state, row.record) && isSessionValid(state, now);
}

static void changePhase(ShardRow& row, ShardPhase phase, TimePoint now)
{
    row.phase = phase;
    row.phaseSince = now;
    row.nextTry = now;
    row.writeInFlight = false;
}

void dropShard(CoreState& state, ShardIndex shard, TimePoint now, Actions& actions)
{
    ShardRow& row = state.shards[shard];
    changePhase(row, ShardPhase::NotOwned, now);
    row.jobsLoaded = false;
    row.jobsReadInFlight = false;
    removeJobs(state, shard);
    dropUpstreamState(state, shard, now, actions);
}

static void becomeOwner(CoreState& state, ShardIndex shard, TimePoint now, Actions& actions)
{
    changePhase(state.shards[shard], ShardPhase::Settling, now);
    state.counters.add("shards_claimed_total");
    logTo(actions, LogLevel::Info, "ownership", "claimed shard " + std::to_string(shard) + " at epoch " + std::to_string(state.shards[shard].record.epoch));
}

static void advanceOwnShard(CoreState& state, ShardIndex shard, TimePoint now, Actions& actions)
{
    ShardRow& row = state.shards[shard];
    if (row.phase == ShardPhase::NotOwned || row.phase == ShardPhase::Claiming)
        becomeOwner(state, shard, now, actions);
    else if (row.phase == ShardPhase::Settling && row.jobsLoaded && row.record.unsettledSessions.empty())
        changePhase(row, ShardPhase::Owned, now);
}

static void dropHandedOverCharges(CoreState& state, ShardRow& row)
{
    for (const auto& [team, n] : row.handedOver)
        chargeTeam(state, team, -n);
    row.handedOver.clear();
}

void dropAllShards(CoreState& state, TimePoint now, Actions& actions)
{
    for (ShardIndex shard = 0; shard < kShardCount; ++shard) {
        dropHandedOverCharges(state, state.shards[shard]);
        if (state.shards[shard].phase != ShardPhase::NotOwned)
            dropShard(state, shard, now, actions);
    }
}

static bool isSessionUnsettled(const CoreState& state, const OwnershipRecord& record)
{
    const std::vector<SessionId>& from = record.unsettledSessions;
    return std::find(from.begin(), from.end(), state.session.id) != from.end();
}

/// Drops a released shard. Its running tasks continue on this session's grants, so they stay
/// charged here until the next owner has moved those grants.
static void dropReleasedShard(CoreState& state, ShardIndex shard, TimePoint now, Actions& actions)
{
    std::map<TeamId, int> running = runningByTeam(state, shard);
    dropShard(state, shard, now, actions);
    if (!isEnabled(Guard::HandOverCharge))
        return;
    for (const auto& [team, n] : running) {
        chargeTeam(state, team, n);
        state.shards[shard].handedOver[team] += n;
    }
}

void adoptOwnership(CoreState& state, ShardIndex shard, const OwnershipRecord& record, StoreRevision revision, TimePoint now, Actions& actions)
{
    ShardRow& row = state.shards[shard];
    if (revision <= row.modRevision)
        return;
    row.record = record;
    row.modRevision = revision;
    if (!isSessionUnsettled(state, record))
        dropHandedOverCharges(state, row);
    if (isOwnRecord(state, record))
        advanceOwnShard(state, shard, now, actions);
    else if (row.phase == ShardPhase::Releasing)
        dropReleasedShard(state, shard, now, actions);
    else if (row.phase != ShardPhase::NotOwned)
        dropShard(state, shard, now, actions);
}

// Claiming.

static void claim(CoreState& state, ShardIndex shard, TimePoint now)
{
    ShardRow& row = state.shards[shard];
    OwnershipRecord record = row.record;
    StoreTransaction transaction;
    transaction.compares.push_back({ ownerKey(shard), row.modRevision });
    if (!record.session.isEmpty()) {
        // The former owner's member key must be absent. Its lease has then expired, so none of its
        // transactions in flight can change the store any more.
        transaction.compares.push_back({ memberKey(record.session), 0 });
        record.unsettledSessions.push_back(record.session);
    }
    record.owner = state.settings.self;
    record.session = state.session.id;
    ++record.epoch;
    transaction.puts.push_back({ ownerKey(shard), encodeOwnership(record), 0 });
    enqueueWrite(state, std::move(transaction), ClaimPurpose { shard, record });
    changePhase(row, ShardPhase::Claiming, now);
}

static bool mayClaim(const CoreState& state, ShardIndex shard, const InstanceId& preferred, TimePoint now)
{
    const ShardRow& row = state.shards[shard];
    if (state.shuttingDown || now < row.nextTry)
        return false;
    if (!row.record.session.isEmpty() && isLive(state, row.record.session))
        return false;
    return preferred == state.settings.self;
}

void handleClaimOutcome(CoreState& state, const ClaimPurpose& purpose, bool committed, TimePoint now, Actions&)
{
    // A committed claim is adopted when the watch delivers it, so that ownership always comes with
    // the record's revision.
    ShardRow& row = state.shards[purpose.shard];
    if (committed || row.phase != ShardPhase::Claiming)
        return;
    changePhase(row, ShardPhase::NotOwned, now);
    row.nextTry = now + kRetryInterval;
}

// Settling.

static void requestJobs(CoreState& state, ShardIndex shard, Actions& actions)
{
    state.shards[shard].jobsReadInFlight = true;
    Ticket ticket = state.nextTicket++;
    state.pendingReads[ticket] = jobPrefix(shard);
    actions.push_back(StoreRange { ticket, jobPrefix(shard) });
}

void handleShardJobs(CoreState& state, ShardIndex shard, const StoreRangeResult& result, const Instant& now, Actions& actions)
{
    ShardRow& row = state.shards[shard];
    if (row.phase != ShardPhase::Settling || row.jobsLoaded)
        return;
    row.jobsReadInFlight = false;
    row.nextTry = now.steady + kRetryInterval;
    if (!result.ok)
        return;
    loadJobs(state, shard, result.entries, now, actions);
    row.jobsLoaded = true;
    row.nextTry = now.steady;
}

static void settle(CoreState& state, ShardIndex shard)
{
    ShardRow& row = state.shards[shard];
    OwnershipRecord record = row.record;
    GrantRecord grants = moveGrants(state.escrow.grants, record.unsettledSessions, state.session.id, runningByTeam(state, shard));
    record.unsettledSessions.clear();
    StoreTransaction transaction;
    transaction.compares.push_back({ ownerKey(shard), row.modRevision });
    transaction.compares.push_back({ kGrantsKey, state.escrow.modRevision });
    transaction.puts.push_back({ ownerKey(shard), encodeOwnership(record), 0 });
    transaction.puts.push_back({ kGrantsKey, encodeGrants(grants), 0 });
    enqueueWrite(state, std::move(transaction), SettlePurpose { shard, record, grants });
    row.writeInFlight = true;
}

static void runSettling(CoreState& state, ShardIndex shard, TimePoint now, Actions& actions)
{
    ShardRow& row = state.shards[shard];
    if (now < row.nextTry || row.writeInFlight)
        return;
    if (!row.jobsLoaded) {
        if (!row.jobsReadInFlight)
            requestJobs(state, shard, actions);
        return;
    }
    if (!isShardFenced(state, shard, now))
        return;
    if (row.record.unsettledSessions.empty())
        changePhase(row, ShardPhase::Owned, now);
    else
        settle(state, shard);
}

void handleSettleOutcome(CoreState& state, const SettlePurpose& purpose, bool committed, TimePoint now, Actions&)
{
    ShardRow& row = state.shards[purpose.shard];
    if (committed)
        return;
    // The grant record changed concurrently; the next pass uses the state that the watch delivers.
    row.writeInFlight = false;
    row.nextTry = now + kPassInterval;
}

// Releasing.

static bool hasUnwrittenJobs(const CoreState& state, ShardIndex shard)
{
    return std::any_of(state.jobs.begin(), state.jobs.end(), [&](const JobTable::value_type& entry) {
        const JobRow& job = entry.second;
        return shardOf(job.record.id) == shard && (job.durableVersion < job.version || !job.waiters.empty());
    });
}

static bool hasUrgentAttempts(const CoreState& state, ShardIndex shard)
{
    return std::any_of(state.attempts.begin(), state.attempts.end(), [&](const AttemptTable::value_type& entry) {
        return entry.second.shard == shard && entry.second.urgent;
    });
}

static void release(CoreState& state, ShardIndex shard)
{
    ShardRow& row = state.shards[shard];
    OwnershipRecord record = row.record;
    // Running tasks continue, charged to this session's grants until the next owner has settled
    // the shard.
    record.unsettledSessions.push_back(record.session);
    record.owner = InstanceId();
    record.session = SessionId();
    StoreTransaction transaction;
    transaction.compares.push_back({ ownerKey(shard), row.modRevision });
    transaction.puts.push_back({ ownerKey(shard), encodeOwnership(record), 0 });
    enqueueWrite(state, std::move(transaction), ReleasePurpose { shard, record });
    row.writeInFlight = true;
}

static void runReleasing(CoreState& state, ShardIndex shard, TimePoint now)
{
    ShardRow& row = state.shards[shard];
    if (row.writeInFlight || now < row.nextTry || hasUnwrittenJobs(state, shard))
        return;
    if (hasUrgentAttempts(state, shard) && now - row.phaseSince < kReleaseGracePeriod)
        return;
    release(state, shard);
}

void handleReleaseOutcome(CoreState& state, const ReleasePurpose& purpose, bool committed, TimePoint now, Actions&)
{
    // A committed release is adopted when the watch delivers it, like a claim.
    ShardRow& row = state.shards[purpose.shard];
    if (committed || row.phase != ShardPhase::Releasing)
        return;
    row.writeInFlight = false;
    row.nextTry = now + kRetryInterval;
}

static bool shouldRelease(const CoreState& state, ShardIndex shard, const InstanceId& preferred, TimePoint now)
{
    if (state.shuttingDown)
        return true;
    const ShardRow& row = state.shards[shard];
    if (row.phase != ShardPhase::Owned || now - row.phaseSince < kMinimumTenure)
        return false;
    return preferred != state.settings.self && isPeerUp(state, preferred, now);
}

static int countReleasing(const CoreState& state)
{
    return static_cast<int>(std::count_if(state.shards.begin(), state.shards.end(),
        [](const ShardRow& row) { return row.phase == ShardPhase::Releasing; }));
}

static void runShard(CoreState& state, ShardIndex shard, const InstanceId& preferred, TimePoint now, Actions& actions)
{
    ShardRow& row = state.shards[shard];
    switch (row.phase) {
    case ShardPhase::NotOwned:
        if (mayClaim(state, shard, preferred, now))
            claim(state, shard, now);
        return;
    case ShardPhase::Claiming:
        return;
    case ShardPhase::Settling:
        if (state.shuttingDown)
            changePhase(row, ShardPhase::Releasing, now);
        else
            runSettling(state, shard, now, actions);
        return;
    case ShardPhase::Owned:
        if (shouldRelease(state, shard, preferred, now) && (state.shuttingDown || countReleasing(state) < kMaximumReleasesAtOnce))
            changePhase(row, ShardPhase::Releasing, now);
        return;
    case ShardPhase::Releasing:
        runReleasing(state, shard, now);
        return;
    }
}

void runOwnership(CoreState& state, const Instant& now, Actions& actions)
{
    if (now.steady < state.nextOwnershipPass)
        return;
    state.nextOwnershipPass = now.steady + kPassInterval;
    if (!state.controlKeysLoaded || !isSessionValid(state, now.steady))
        return;
    std::array<InstanceId, kShardCount> preferred = preferredOwners(state);
    for (ShardIndex shard = 0; shard < kShardCount; ++shard)
        runShard(state, shard, preferred[shard], now.steady, actions);
}

} // namespace crocuslever
