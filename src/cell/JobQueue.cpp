#include "src/cell/JobQueue.h"

#include <cstdlib>

#include "src/cell/Jobs.h"
#include "src/cell/Keys.h"
#include "src/cell/Membership.h"
#include "src/cell/Ownership.h"
#include "src/cell/StoreCalls.h"

namespace crocuslever::cell {

static constexpr Duration kRetryInterval = std::chrono::milliseconds(100);
static constexpr Duration kWatchWait = std::chrono::milliseconds(1000);
/// Instances notify the owner of what they store, so the watch only has to cover lost notices.
static constexpr Duration kWatchPause = std::chrono::milliseconds(150);
static constexpr Duration kNoticeLifetime = std::chrono::seconds(10);

void applyQueue(CellState& state, const StoreReply& reply, const Instant& now, CellActions& actions)
{
    state.ownership.queuePosition = { reply.revision, 0, {} };
    for (const StoreEntry& entry : reply.entries)
        applyQueueEntry(state, entry, now, actions);
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

void watchQueue(CellState& state, const Instant& now, CellActions& actions)
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

} // namespace crocuslever::cell
