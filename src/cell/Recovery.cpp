#include "src/cell/Recovery.h"

#include <algorithm>

#include "src/cell/JobQueue.h"
#include "src/cell/Jobs.h"
#include "src/cell/Keys.h"
#include "src/cell/Membership.h"
#include "src/cell/RecordCodec.h"
#include "src/cell/StoreCalls.h"
#include "src/cell/UpstreamDirectory.h"
#include "src/cell/Upstreams.h"

namespace crocuslever::cell {

static constexpr int kRecoveryReads = 3; ///< Known upstreams, queue and progress.

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

void beginRecovery(CellState& state, const Instant& now, CellActions& actions)
{
    Ownership& ownership = state.ownership;
    ownership.readsLeft = kRecoveryReads;
    ownership.isPredecessorGone = hasPredecessorEnded(state);
    ownership.earlierRunsEnd = leaseEndAfter(earlierOrdersEnd(state, now.steady), state.settings.runLease);
    readForRecovery(state, kUpstreamsKey, applyKnownUpstreams, actions);
    readQueueForRecovery(state, actions);
}

/// Waits no longer for the lease of a previous owner that turns out to have restarted.
void checkPredecessor(CellState& state, const Instant& now, CellActions& actions)
{
    Ownership& ownership = state.ownership;
    if (ownership.isPredecessorGone || ownership.areEarlierRunsKnown || !hasPredecessorEnded(state))
        return;
    ownership.isPredecessorGone = true;
    ownership.earlierRunsEnd = std::min(ownership.earlierRunsEnd, leaseEndAfter(earlierOrdersEnd(state, now.steady), state.settings.runLease));
    logMessage(actions, LogLevel::Info, "ownership", ownership.predecessor, "", "the previous owner has restarted; leases of earlier runs expire within " + std::to_string(toMilliseconds(ownership.earlierRunsEnd - now.steady)) + " ms");
}

} // namespace crocuslever::cell
