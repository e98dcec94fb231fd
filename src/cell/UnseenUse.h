#pragma once

#include "src/cell/CellState.h"

namespace crocuslever::cell {

/// Updates the room that runs of earlier owners may hold on upstreams that have not answered this one yet. It
/// counts against the limits of their teams until all earlier runs are known.
void updateUnseenUse(CellState&, std::int64_t wallMs);

/// True if an earlier owner may have started tasks of the job on an upstream that was not polled yet.
bool mayHaveUnknownRun(const CellState&, const JobRow&);

} // namespace crocuslever::cell
