#pragma once

#include "src/cell/CellState.h"

namespace crocuslever::cell {

/// Starts waiting tasks where there is room. Jobs that can meet their objective
/// go first, then late ones, then those too late to be useful; within a class,
/// by the priority of the route, then by the time of acceptance. Gangs start
/// atomically.
void tickPlacement(CellState&, const Instant& now, CellActions&);

} // namespace crocuslever::cell
