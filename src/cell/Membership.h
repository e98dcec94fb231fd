#pragma once

#include "src/cell/CellState.h"

namespace crocuslever::cell {

/// How long an instance missing from the store is remembered; a store outage may have ended its lease.
constexpr Duration kInstanceRetention = std::chrono::seconds(10);

/// Records the epoch key as it was read from the store, in either copy. An older reading is ignored.
void recordEpoch(Membership&, const StoreEntry&);

/// True if another incarnation runs under the name of the instance.
bool isRestarted(const CellState&, const std::string& instance, const std::string& incarnation);

/// Maintains this instance's lease and registration in the store, and polls the
/// store for the other instances and the cell's owner.
void tickMembership(CellState&, const Instant& now, CellActions&);

/// Revokes this instance's lease, so that peers see its departure before the lease expires.
void leaveCell(CellState&, CellActions&);

} // namespace crocuslever::cell
