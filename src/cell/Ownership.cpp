#include "src/cell/Ownership.h"

#include <algorithm>

#include "src/cell/JobQueue.h"
#include "src/cell/Keys.h"
#include "src/cell/Membership.h"
#include "src/cell/Recovery.h"
#include "src/cell/StoreCalls.h"

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
static constexpr Duration kOwnerKeyInterval = std::chrono::milliseconds(500); ///< Between writes of the owner key.

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
    state.interference = InterferenceState {};
    state.teamUse.clear();
    state.runTimes = {};
    state.commits = CommitQueue {};
    state.adviceLoads.clear();
    state.delegation.isOn = false;
    state.evacuated = {};
    state.waves = {};
    state.orders.clear();
    state.polls.clear();
    state.adviceCalls.clear();
}

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
    ownership.admission.stored = membership.admission;
    logMessage(actions, LogLevel::Info, "ownership", "", "", "acquired the cell with token " + std::to_string(token) + ", previous owner: " + (ownership.predecessor.empty() ? "unknown" : ownership.predecessor));
    beginRecovery(state, now, actions);
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
        membership.admission = owner.admission;
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
    OwnerRecord record { state.settings.instance, state.settings.address, state.settings.incarnation, token, 0, isSettled, state.membership.admission };
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
    AdmissionLimit admission = state.membership.admission;
    auto then = [token, settled, admission](CellState& s, const StoreReply& reply, const Instant&, CellActions& out) {
        if (!isOwner(s) || s.ownership.token != token)
            return;
        s.ownership.isWritingOwnerKey = false;
        if (reply.status != StoreStatus::Ok)
            return;
        bool isLogged = isOwnerKeyMissing(s) || settled != s.ownership.isSettled;
        s.ownership.isSettled = settled;
        s.ownership.admission.stored = admission;
        if (isLogged)
            logMessage(out, LogLevel::Info, "ownership", "", "", "wrote the owner key again with token " + std::to_string(token) + (settled ? "; earlier owners send no orders any more" : ""));
    };
    sendChange(state, std::move(command), then, actions);
}

/// Writes the owner key under a new lease after the old one has expired, once more when no earlier owner can send
/// orders any longer, and whenever the cell turns more or less away.
static void keepOwnerKey(CellState& state, const Instant& now, CellActions& actions)
{
    const Ownership& ownership = state.ownership;
    bool hasNewLimit = ownership.admission.stored != state.membership.admission;
    bool isDue = isOwnerKeyMissing(state) || hasNewLimit || (!ownership.isSettled && isSettled(state, now.steady));
    bool isAble = state.membership.registered && !ownership.isWritingOwnerKey && now.steady >= ownership.nextOwnerKey;
    if (isDue && isAble)
        writeOwnerKey(state, now, actions);
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
