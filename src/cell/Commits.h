#pragma once

#include "src/cell/CellState.h"

namespace crocuslever::cell {

/// Stores in groups what the owner has taken in, and lets upstreams forget
/// ends once they are stored.
void tickCommits(CellState&, const Instant& now, CellActions&);

/// The job has something to store.
void markDirty(CellState&, const std::string& job);

/// True if nothing waits to be stored.
bool isAllCommitted(const CellState&);

} // namespace crocuslever::cell
