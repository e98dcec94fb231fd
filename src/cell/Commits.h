#pragma once

#include "src/cell/CellState.h"

namespace crocuslever::cell {

/// Stores changed jobs in batches, and acknowledges run ends to the upstreams
/// once they are stored.
void tickCommits(CellState&, const Instant& now, CellActions&);

/// Queues the job for the next commit.
void markDirty(CellState&, JobRow&);

/// Acknowledges the upstream's processed ends, in order, up to the first whose job is not stored yet.
void acknowledgeStoredEnds(CellState&, UpstreamRow&, const Instant& now);

/// True if no change is queued and no commit is in flight.
bool isAllCommitted(const CellState&);

} // namespace crocuslever::cell
