#pragma once

#include "src/cell/CellState.h"

namespace crocuslever::cell {

/// Maintains this instance's lease and registration in the store, and polls the
/// store for the other instances and the cell's owner.
void tickMembership(CellState&, const Instant& now, CellActions&);

/// Revokes this instance's lease, so that peers see its departure before the lease expires.
void leaveCell(CellState&, CellActions&);

} // namespace crocuslever::cell
