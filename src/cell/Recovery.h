#pragma once

#include "src/cell/CellState.h"

namespace crocuslever::cell {

/// Reads what earlier owners have stored, after this instance has acquired the cell. It decides once all is read.
void beginRecovery(CellState&, const Instant& now, CellActions&);
/// Waits no longer for the lease of a previous owner that turns out to have restarted.
void checkPredecessor(CellState&, const Instant& now, CellActions&);

} // namespace crocuslever::cell
