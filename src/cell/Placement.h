#pragma once

#include "src/cell/CellState.h"

namespace crocuslever::cell {

/// Starts what waits, as far as there is room: urgent routes first, within a
/// route what has waited longest, and last what is too late to be of use.
/// Gangs start whole or not at all.
void tickPlacement(CellState&, const Instant& now, CellActions&);

} // namespace crocuslever::cell
