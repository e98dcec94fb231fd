#pragma once

#include "src/cell/CellState.h"
#include "src/cell/RecordCodec.h"

namespace crocuslever::cell {

/// Applies the owner record that the store holds. An empty `instance` means that the cell has no owner.
void applyOwnerRecord(CellState&, const OwnerRecord&, const Instant& now, CellActions&);

/// Acquires a cell without an owner, recovers its state from the store, and
/// watches its job queue.
void tickOwnership(CellState&, const Instant& now, CellActions&);

/// True while this instance owns the cell and may send orders to upstreams. An
/// owner that cannot renew its lease, or see that it still owns the cell, stops early enough that its run leases
/// expire before a successor stops waiting for them.
bool mayIssueOrders(const CellState&, TimePoint now);
/// True once this instance owns the cell and has recovered its state.
bool isOwner(const CellState&);
/// True if the store has shown that no successor had acquired the cell by `time`. Whatever this owner takes for granted of
/// runs that it can't see was not changed by a successor before.
bool wasOwnerAt(const CellState&, TimePoint time);

/// Drops ownership and all state that only the owner has. `why` is logged.
void loseOwnership(CellState&, const std::string& why, CellActions&);
/// Deletes the owner key, so that another instance can acquire the cell at once, and drops ownership.
void releaseOwnership(CellState&, const Instant& now, CellActions&);

} // namespace crocuslever::cell
