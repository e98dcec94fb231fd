#pragma once

#include "src/cell/CellState.h"

namespace crocuslever::cell {

// Bounds what the cell accepts by what its owner can do. The owner decides how much is turned away and says so in its record,
// which all instances list; each instance applies that to the jobs that reach it.

/// Adjusts what is turned away to the delay of the owner's event loop.
void tickAdmission(CellState&, const Instant& now, CellActions&);

/// True if the job of that route must be turned away. The same job gets the same answer while the cell accepts as much.
bool isTurnedAway(const CellState&, const Route&, const std::string& jobId);

/// When the caller of a job that was turned away may come back: once the backlog has been worked off, spread so that not all
/// return together.
Duration retryAfterOverload(CellState&);

} // namespace crocuslever::cell
