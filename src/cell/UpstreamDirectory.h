#pragma once

#include "src/cell/CellState.h"

namespace crocuslever::cell {

// Which upstreams there are, and in which incarnation: by the directory, by the record of earlier owners, and by
// their answers.

/// Reads the directory at intervals, and stores the known upstreams when they have changed.
void tickUpstreamDirectory(CellState&, const Instant& now, CellActions&);

/// Adds an upstream that an earlier owner may have placed runs on.
void addEarlierUpstream(CellState&, const UpstreamTarget&, TimePoint now);

/// Takes in that the upstream runs in a later incarnation, and ends the runs of the previous one.
void handleUpstreamRestart(CellState&, UpstreamRow&, std::int64_t bornMs, const Instant& now, CellActions&);

} // namespace crocuslever::cell
