#include "src/cell/Ownership.h"

#include <algorithm>

#include "src/cell/Jobs.h"
#include "src/cell/Keys.h"
#include "src/cell/Membership.h"
#include "src/cell/StoreCalls.h"
#include "src/cell/UpstreamDirectory.h"
#include "src/cell/Upstreams.h"

namespace crocuslever::cell {

/// An instance acts only on a list of the store's instances that is younger than this.
static constexpr Duration kMaxListAge = std::chrono::milliseconds(1000);
static constexpr std::uint64_t kAcquireJitterMs = 60; ///< Jitter, so that candidates do not all write at once.
/// Smaller instances wait this long before they acquire a vacant cell. Outlasts a store call that times out.
static constexpr Duration kLargerInstanceHeadStart = std::chrono::milliseconds(1000);
/// Wait of all instances before one acquires a cell that never had an owner, to see the other instances.
static constexpr Duration kDiscoveryWait = std::chrono::milliseconds(450);
/// An instance takes the cell over from an owner that is smaller by at least this factor.
static constexpr std::int64_t kTakeoverFactor = 2;
/// Both have to be listed together for this long first.
static constexpr Duration kTakeoverDelay = std::chrono::seconds(1);
static constexpr Duration kRetryInterval = std::chrono::milliseconds(100);
static constexpr Duration kWatchWait = std::chrono::milliseconds(1000);
/// Instances notify the owner of what they store, so the watch only has to cover lost notices.
static constexpr Duration kWatchPause = std::chrono::milliseconds(150);
static constexpr Duration kOwnerKeyInterval = std::chrono::milliseconds(500); ///< Between writes of the owner key.
static constexpr Duration kNoticeLifetime = std::chrono::seconds(10);
static constexpr int kRecoveryReads = 3; ///< Known upstreams, queue and progress.

bool isOwner(const CellState& state)
{
    return state.ownership.phase == OwnerPhase::Deciding;
}

bool mayIssueOrders(const CellState& state, TimePoint now)
{
    // A larger instance may take the cell over while the lease goes on, so that the lease alone proves nothing.
    const Membership& membership = state.membership;
    Duration bound = state.settings.ownerLeaseTimeout;
    return isOwner(state) && isCurrent(membership.renewal, bound, now) && isCurrent(membership.listing, bound, now);
}

bool wasOwnerAt(const CellState& state, TimePoint time)
{
    // A listing with a later epoch ends the ownership, so that the latest one confirms it.
    return isOwner(state) && state.membership.listing.at > time;
}

void loseOwnership(CellState& state, const std::string& why, CellActions& actions)
{
    logMessage(actions, LogLevel::Warning, "ownership", "", "", "gave up ownership with token " + std::to_string(state.ownership.token) + ": " + why);
    state.ownership = Ownership {};
    state.jobs.clear();
    state.waitingJobs.clear();
    state.runsOfJob.clear();
    state.orderRetries.clear();
    state.finished.clear();
    state.cancellations.clear();
    state.upstreams.clear();
    state.teamUse.clear();
    state.commits = CommitQueue {};
    state.adviceLoads.clear();
    state.delegation.isOn = false;
    state.evacuated = {};
    state.waves = {};
    state.orders.clear();
    state.polls.clear();
    state.adviceCalls.clear();
}

static void beginRecovery(CellState&, const Instant& now, CellActions&);

static void beginOwnership(CellState& state, std::int64_t token, StoreRevision epochRevision, const Instant& now, CellActions& actions)
{
    Ownership& ownership = state.ownership;
    ownership.phase = OwnerPhase::Recovering;
    ownership.token = token;
    ownership.epochRevision = epochRevision;
    ownership.since = now.steady;
    ownership.isSettled = false;
    Membership& membership = state.membership;
    ownership.isPredecessorKnown = !ownership.predecessor.empty() && membership.ownerToken == token - 1;
    membership.ownerInstance = state.settings.instance;
    membership.ownerAddress = state.settings.address;
    membership.ownerToken = token;
    logMessage(actions, LogLevel::Info, "ownership", "", "", "acquired the cell with token " + std::to_string(token) + ", previous owner: " + (ownership.predecessor.empty() ? "unknown" : ownership.predecessor));
    beginRecovery(state, now, actions);
}

/// True if another incarnation runs under the name of the instance.
static bool isRestarted(const CellState& state, const std::string& instance, const std::string& incarnation)
{
    if (instance == state.settings.instance)
        return incarnation != state.settings.incarnation;
    auto it = state.membership.instances.find(instance);
    return it != state.membership.instances.end() && it->second.incarnation != incarnation;
}

void applyOwnerRecord(CellState& state, const OwnerRecord& owner, const Instant& now, CellActions& actions)
{
    Membership& membership = state.membership;
    Ownership& ownership = state.ownership;
    if (ownership.phase != OwnerPhase::None && ownership.phase != OwnerPhase::Acquiring) {
        if (membership.epoch > ownership.token)
            loseOwnership(state, "another instance acquired the cell with token " + std::to_string(membership.epoch), actions);
        else {
            membership.ownerInstance = owner.instance;
            return;
        }
    }
    bool isOurs = owner.instance == state.settings.instance && owner.incarnation == state.settings.incarnation;
    // Our own attempt succeeded, but its answer was lost.
    if (isOurs && ownership.phase == OwnerPhase::None && owner.token == membership.epoch && !state.stopping) {
        beginOwnership(state, owner.token, membership.epochRevision, now, actions);
        return;
    }
    if (owner.instance.empty() && !membership.ownerAddress.empty()) {
        logMessage(actions, LogLevel::Info, "ownership", membership.ownerInstance, "", "the owner is gone; the cell has no owner");
        ownership.nextAttempt = now.steady + fromMilliseconds(static_cast<std::int64_t>(randomBelow(state, kAcquireJitterMs)));
    }
    if (!owner.instance.empty()) {
        if (owner.token != membership.ownerToken) {
            membership.skipOwnerUntil = {};
            ownership.predecessorSince = now.steady;
        }
        ownership.predecessor = owner.instance;
        ownership.predecessorIncarnation = owner.incarnation;
        ownership.isPredecessorSettled = owner.isSettled;
        membership.ownerToken = owner.token;
    }
    membership.ownerInstance = owner.instance;
    membership.ownerAddress = owner.address;
    membership.ownerRevision = owner.revision;
    membership.isOwnerRestarted = !owner.instance.empty() && isRestarted(state, owner.instance, owner.incarnation);
    bool isVacant = owner.instance.empty() || membership.isOwnerRestarted;
    if (!isVacant)
        membership.vacantSince.reset();
    else if (!membership.vacantSince)
        membership.vacantSince = now.steady;
}

/// True once this instance has seen all others, apart from those that are away.
static bool knowsAllInstances(const CellState& state, TimePoint now) { return now - state.membership.firstListedAt >= kInstanceRetention; }

/// Processor share of the fleet's largest instance. After a loss of all leases, or a restart of all instances,
/// the store lists none of them, so that what an owner stored counts until this instance knows the others.
static std::int64_t largestShare(const CellState& state, TimePoint now)
{
    const Membership& membership = state.membership;
    std::int64_t largest = std::max(state.settings.milliCpu, knowsAllInstances(state, now) ? 0 : membership.largestMilliCpu);
    for (const auto& [name, instance] : membership.instances)
        largest = std::max(largest, instance.milliCpu);
    return largest;
}

/// How long this instance leaves a vacant cell to larger instances.
static Duration headStartOfOthers(const CellState& state, TimePoint now)
{
    if (largestShare(state, now) > state.settings.milliCpu)
        return kLargerInstanceHeadStart;
    bool isNewCell = state.membership.largestMilliCpu == 0 && !knowsAllInstances(state, now);
    return isNewCell ? kDiscoveryWait : Duration(0);
}

/// True while a larger instance should acquire the cell first. The owner does most
/// of the work, so a small processor share would make it the bottleneck of a large cell.
static bool yieldsToLargerInstance(const CellState& state, TimePoint now)
{
    const Membership& membership = state.membership;
    return membership.vacantSince && now < *membership.vacantSince + headStartOfOthers(state, now);
}

/// True if the owner is so much smaller than this instance that the cell has to be taken over. It acquired the
/// cell while the larger instances were away. In a large cell it is too busy to notice that they are back.
static bool isOwnerTooSmall(const CellState& state)
{
    const Membership& membership = state.membership;
    auto owner = membership.instances.find(membership.ownerInstance);
    auto self = membership.instances.find(state.settings.instance);
    if (owner == membership.instances.end() || self == membership.instances.end())
        return false;
    bool areListed = owner->second.lastSeen == membership.listedAt && self->second.lastSeen == membership.listedAt;
    TimePoint since = std::max(owner->second.since, self->second.since);
    bool isSmaller = owner->second.milliCpu > 0 && owner->second.milliCpu * kTakeoverFactor <= state.settings.milliCpu;
    return areListed && membership.listedAt - since >= kTakeoverDelay && isSmaller;
}

static StorePut makeOwnerPut(const CellState& state, std::int64_t token, bool isSettled)
{
    OwnerRecord record { state.settings.instance, state.settings.address, state.settings.incarnation, token, 0, isSettled };
    return { kOwnerKey, encodeOwner(record), state.membership.lease };
}

static void acquire(CellState& state, TimePoint now, CellActions& actions)
{
    Membership& membership = state.membership;
    state.ownership.phase = OwnerPhase::Acquiring;
    std::int64_t token = membership.epoch + 1;
    StoreChange command;
    command.conditions = { { kEpochKey, membership.epochRevision }, { kOwnerKey, membership.ownerRevision } };
    command.puts = { { kEpochKey, std::to_string(token), 0 }, { kQueueEpochKey, std::to_string(token), 0 }, { kLargestInstanceKey, encodeProcessorShare(largestShare(state, now)), 0 }, makeOwnerPut(state, token, false) };
    auto then = [token](CellState& s, const StoreReply& reply, const Instant& at, CellActions& out) {
        if (s.ownership.phase != OwnerPhase::Acquiring)
            return;
        s.ownership.phase = OwnerPhase::None;
        s.ownership.nextAttempt = at.steady + kRetryInterval;
        s.membership.nextList = at.steady;
        if (reply.status == StoreStatus::Ok && !s.stopping)
            beginOwnership(s, token, reply.revision, at, out);
    };
    sendChange(state, std::move(command), then, actions);
}

static bool isRecoveryOf(const CellState& state, std::int64_t token)
{
    return state.ownership.phase == OwnerPhase::Recovering && state.ownership.token == token;
}

static void finishRecoveryRead(CellState& state, const Instant& now, CellActions& actions)
{
    Ownership& ownership = state.ownership;
    if (--ownership.readsLeft > 0)
        return;
    ownership.phase = OwnerPhase::Deciding;
    state.placementDue = true;
    logMessage(actions, LogLevel::Info, "ownership", "", "", "recovered " + std::to_string(state.jobs.size()) + " jobs and " + std::to_string(ownership.earlierUpstreams.size()) + " known upstreams in " + std::to_string(toMilliseconds(now.steady - ownership.since)) + " ms");
}

using ReadHandler = void (*)(CellState&, const StoreReply&, const Instant&, CellActions&);

/// Lists a prefix, with retries until it succeeds, and completes one read of the recovery.
static void readForRecovery(CellState& state, const std::string& prefix, ReadHandler apply, CellActions& actions)
{
    std::int64_t token = state.ownership.token;
    auto then = [prefix, apply, token](CellState& s, const StoreReply& reply, const Instant& at, CellActions& out) {
        if (!isRecoveryOf(s, token))
            return;
        if (reply.status != StoreStatus::Ok) {
            logMessage(out, LogLevel::Warning, "ownership", "", "", "reading prefix " + prefix + " failed; retrying");
            readForRecovery(s, prefix, apply, out);
            return;
        }
        apply(s, reply, at, out);
        finishRecoveryRead(s, at, out);
    };
    listKeys(state, prefix, then, actions);
}

static void applyKnownUpstreams(CellState& state, const StoreReply& reply, const Instant& now, CellActions&)
{
    Ownership& ownership = state.ownership;
    for (const StoreEntry& entry : reply.entries) {
        std::optional<std::vector<UpstreamTarget>> targets = decodeUpstreams(entry.value);
        if (targets)
            ownership.earlierUpstreams = *targets;
    }
    for (const UpstreamTarget& target : ownership.earlierUpstreams)
        addEarlierUpstream(state, target, now.steady);
}

static void applyQueue(CellState& state, const StoreReply& reply, const Instant& now, CellActions& actions)
{
    state.ownership.queuePosition = { reply.revision, 0, {} };
    for (const StoreEntry& entry : reply.entries)
        applyQueueEntry(state, entry, now, actions);
}

static void applyAllProgress(CellState& state, const StoreReply& reply, const Instant& now, CellActions& actions)
{
    for (const StoreEntry& entry : reply.entries)
        applyProgressEntry(state, entry, now, actions);
}

/// Reads the queue, then the progress, which is ignored for unknown jobs.
static void readQueueForRecovery(CellState& state, CellActions& actions)
{
    std::int64_t token = state.ownership.token;
    auto then = [token](CellState& s, const StoreReply& reply, const Instant& at, CellActions& out) {
        if (!isRecoveryOf(s, token))
            return;
        if (reply.status != StoreStatus::Ok) {
            readQueueForRecovery(s, out);
            return;
        }
        applyQueue(s, reply, at, out);
        s.ownership.queueReadRevision = reply.revision;
        finishRecoveryRead(s, at, out);
        readForRecovery(s, kProgressPrefix, applyAllProgress, out);
    };
    listKeys(state, kQueuePrefix, then, actions);
}

/// True if the previous owner's process has ended.
static bool hasPredecessorEnded(const CellState& state)
{
    const Ownership& ownership = state.ownership;
    return ownership.isPredecessorKnown && isRestarted(state, ownership.predecessor, ownership.predecessorIncarnation);
}

/// No owner before this one sends orders later than this. A previous owner that has ended sends none, but those before it
/// may be alive and cut off from the store: they go on for ownerLeaseTimeout after it acquired the cell.
static TimePoint earlierOrdersEnd(const CellState& state, TimePoint now)
{
    const Ownership& ownership = state.ownership;
    Duration timeout = state.settings.ownerLeaseTimeout;
    if (!ownership.isPredecessorGone)
        return now + timeout;
    return ownership.isPredecessorSettled ? now : std::max(now, ownership.predecessorSince + timeout);
}

static void beginRecovery(CellState& state, const Instant& now, CellActions& actions)
{
    Ownership& ownership = state.ownership;
    ownership.readsLeft = kRecoveryReads;
    ownership.isPredecessorGone = hasPredecessorEnded(state);
    ownership.earlierRunsEnd = leaseEndAfter(earlierOrdersEnd(state, now.steady), state.settings.runLease);
    readForRecovery(state, kUpstreamsKey, applyKnownUpstreams, actions);
    readQueueForRecovery(state, actions);
}

/// Gives the cell up if the queue holds a later token. The jobs stored since then are the successor's.
static bool losesToSuccessor(CellState& state, const StoreReply& reply, CellActions& actions)
{
    for (const StoreEntry& entry : reply.entries) {
        if (entry.key == kQueueEpochKey)
            recordEpoch(state.membership, entry);
    }
    bool hasSuccessor = state.membership.epoch > state.ownership.token;
    if (hasSuccessor)
        loseOwnership(state, "the job queue holds a later token", actions);
    return hasSuccessor;
}

static void handleQueueChanges(CellState& state, const StoreReply& reply, const Instant& now, CellActions& actions)
{
    if (losesToSuccessor(state, reply, actions))
        return;
    for (const StoreEntry& entry : reply.entries)
        applyQueueEntry(state, entry, now, actions);
    advanceWatch(state.ownership.queuePosition, reply, now.steady);
}

/// A notice may be delayed. Its job may have ended meanwhile, and the owner keeps
/// ended jobs only for a limited time, so an old notice would start the job again.
void handleQueueNotice(CellState& state, const QueueNotice& notice, const Instant& now, CellActions& actions)
{
    const Ownership& ownership = state.ownership;
    bool isForUs = isOwner(state) && notice.token == ownership.token;
    bool isRecent = std::abs(now.wallMs - notice.sentMs) < toMilliseconds(kNoticeLifetime);
    // Entries stored before the full read of the queue are in the table or have ended.
    bool isNewer = notice.entry.modRevision > ownership.queueReadRevision;
    if (isForUs && isRecent && isNewer)
        applyQueueEntry(state, notice.entry, now, actions);
}

static void rereadQueue(CellState& state, CellActions& actions)
{
    std::int64_t token = state.ownership.token;
    auto then = [token](CellState& s, const StoreReply& reply, const Instant& at, CellActions& out) {
        if (!isOwner(s) || s.ownership.token != token)
            return;
        s.ownership.watch = 0;
        s.ownership.nextWatch = at.steady + (reply.status == StoreStatus::Ok ? Duration(0) : kRetryInterval);
        if (reply.status == StoreStatus::Ok && !losesToSuccessor(s, reply, out))
            applyQueue(s, reply, at, out);
    };
    listKeys(state, kQueuePrefix, then, actions);
}

static void watchQueue(CellState& state, const Instant& now, CellActions& actions)
{
    Ownership& ownership = state.ownership;
    if (ownership.watch != 0 || now.steady < ownership.nextWatch)
        return;
    std::int64_t token = ownership.token;
    auto then = [token](CellState& s, const StoreReply& reply, const Instant& at, CellActions& out) {
        if (!isOwner(s) || s.ownership.token != token)
            return;
        if (reply.status == StoreStatus::HistoryLost) {
            logMessage(out, LogLevel::Warning, "ownership", "", "", "the store has compacted the history after revision " + std::to_string(s.ownership.queuePosition.revision) + "; rereading the job queue");
            rereadQueue(s, out);
            return;
        }
        s.ownership.watch = 0;
        bool isOk = reply.status == StoreStatus::Ok;
        if (isOk)
            handleQueueChanges(s, reply, at, out);
        s.ownership.nextWatch = at.steady + (isOk ? kWatchPause : kRetryInterval);
    };
    ownership.watch = awaitChanges(state, kQueuePrefix, ownership.queuePosition.revision, kWatchWait, then, actions);
}

/// True if owners before this one send no orders any more.
static bool isSettled(const CellState& state, TimePoint now)
{
    return now >= state.ownership.since + state.settings.ownerLeaseTimeout;
}

static bool isOwnerKeyMissing(const CellState& state)
{
    return state.membership.ownerInstance != state.settings.instance;
}

/// Writes the owner key unless another instance has acquired the cell.
static void writeOwnerKey(CellState& state, const Instant& now, CellActions& actions)
{
    Ownership& ownership = state.ownership;
    ownership.isWritingOwnerKey = true;
    ownership.nextOwnerKey = now.steady + kOwnerKeyInterval;
    StoreChange command;
    command.conditions = { { kEpochKey, ownership.epochRevision } };
    bool settled = isSettled(state, now.steady);
    command.puts = { makeOwnerPut(state, ownership.token, settled) };
    std::int64_t token = ownership.token;
    auto then = [token, settled](CellState& s, const StoreReply& reply, const Instant&, CellActions& out) {
        if (!isOwner(s) || s.ownership.token != token)
            return;
        s.ownership.isWritingOwnerKey = false;
        if (reply.status != StoreStatus::Ok)
            return;
        s.ownership.isSettled = settled;
        logMessage(out, LogLevel::Info, "ownership", "", "", "wrote the owner key again with token " + std::to_string(token) + (settled ? "; earlier owners send no orders any more" : ""));
    };
    sendChange(state, std::move(command), then, actions);
}

/// Writes the owner key under a new lease after the old one has expired, and once more when no earlier owner can send
/// orders any longer.
static void keepOwnerKey(CellState& state, const Instant& now, CellActions& actions)
{
    const Ownership& ownership = state.ownership;
    bool isDue = isOwnerKeyMissing(state) || (!ownership.isSettled && isSettled(state, now.steady));
    bool isAble = state.membership.registered && !ownership.isWritingOwnerKey && now.steady >= ownership.nextOwnerKey;
    if (isDue && isAble)
        writeOwnerKey(state, now, actions);
}

/// Waits no longer for the lease of a previous owner that turns out to have restarted.
static void checkPredecessor(CellState& state, const Instant& now, CellActions& actions)
{
    Ownership& ownership = state.ownership;
    if (ownership.isPredecessorGone || ownership.areEarlierRunsKnown || !hasPredecessorEnded(state))
        return;
    ownership.isPredecessorGone = true;
    ownership.earlierRunsEnd = std::min(ownership.earlierRunsEnd, leaseEndAfter(earlierOrdersEnd(state, now.steady), state.settings.runLease));
    logMessage(actions, LogLevel::Info, "ownership", ownership.predecessor, "", "the previous owner has restarted; leases of earlier runs expire within " + std::to_string(toMilliseconds(ownership.earlierRunsEnd - now.steady)) + " ms");
}

void tickOwnership(CellState& state, const Instant& now, CellActions& actions)
{
    Ownership& ownership = state.ownership;
    Membership& membership = state.membership;
    if (isOwner(state)) {
        watchQueue(state, now, actions);
        checkPredecessor(state, now, actions);
        keepOwnerKey(state, now, actions);
        return;
    }
    bool isListFresh = isCurrent(membership.listing, kMaxListAge, now.steady);
    bool isVacant = membership.ownerAddress.empty() || membership.isOwnerRestarted;
    // Without a configuration an owner can start nothing, and decide little else. Instances that have one go first.
    bool isAble = membership.registered && state.configuration.value;
    bool mayAcquire = ownership.phase == OwnerPhase::None && isAble && isListFresh && (isVacant || isOwnerTooSmall(state));
    if (mayAcquire && !state.stopping && now.steady >= ownership.nextAttempt && !yieldsToLargerInstance(state, now.steady))
        acquire(state, now.steady, actions);
}

void releaseOwnership(CellState& state, const Instant&, CellActions& actions)
{
    StoreChange command;
    command.conditions = { { kEpochKey, state.ownership.epochRevision } };
    command.deletes = { kOwnerKey };
    auto ignore = [](CellState&, const StoreReply&, const Instant&, CellActions&) {};
    sendChange(state, std::move(command), ignore, actions);
    loseOwnership(state, "this instance is shutting down", actions);
}

} // namespace crocuslever::cell
