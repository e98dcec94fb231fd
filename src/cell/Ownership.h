#pragma once

#include "src/cell/CellState.h"
#include "src/cell/RecordCodec.h"

namespace crocuslever::cell {

/// Takes in what the store says of the cell's owner; an empty instance: none.
void applyOwnerRecord(CellState&, const OwnerRecord&, const Instant& now, CellActions&);

/// Acquires an ownerless cell, reads what the store holds of it, and keeps
/// watch on its jobs.
void tickOwnership(CellState&, const Instant& now, CellActions&);

/// True while this instance decides for the cell and may give orders to
/// upstreams. An owner without a renewed lease stops before its leases on
/// upstreams could outlast a successor's wait.
bool mayIssueOrders(const CellState&, TimePoint now);
bool isOwner(const CellState&);

/// Stops deciding and forgets all that only the owner has.
void loseOwnership(CellState&, const std::string& why, CellActions&);
/// Gives the cell up, so that another instance acquires it at once.
void releaseOwnership(CellState&, const Instant& now, CellActions&);

/// A job or a cancellation that an instance has just stored.
struct QueueNotice {
    StoreEntry entry;
    std::int64_t token { 0 }; ///< Of the owner that it is for.
    std::int64_t sentMs { 0 }; ///< Unix time.
};

/// Takes in what another instance has stored, ahead of the watch on the queue.
void handleQueueNotice(CellState&, const QueueNotice&, const Instant& now, CellActions&);

} // namespace crocuslever::cell
