#pragma once

#include "src/cell/CellState.h"

namespace crocuslever::cell {

/// Keeps this instance's lease and registration in the store, and the list of
/// the others and of the cell's owner fresh.
void tickMembership(CellState&, const Instant& now, CellActions&);

/// Gives the lease back, so that others see at once that this instance is gone.
void leaveCell(CellState&, CellActions&);

} // namespace crocuslever::cell
