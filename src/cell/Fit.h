#pragma once

#include "src/cell/CellState.h"

namespace crocuslever::cell {

/// Room left on an upstream; accelerators, memory and processor.
Resources roomOn(const UpstreamRow&);

/// True if a stop loses none of a task's work: the next run goes on from there.
bool isResumable(const StepSpec&);

/// How many tasks that take `each` fit into `room`, at most `most`.
int countFits(const Resources& room, const Resources& each, int most);

/// How many more tasks of this size the team's limit allows beside `reserved`, at most `most`.
int countWithinLimit(const CellState&, const std::string& team, const Resources& reserved, const Resources& each, int most);

/// True if all tasks together would take no more than half of the team's limit.
bool isWithinHalfOfLimit(const CellState&, const std::string& team, const Resources& each, int count);

/// Whether a step could run on this upstream if there were room: service and label.
bool isSuitable(const StepSpec&, const Route&, const UpstreamRow&);

} // namespace crocuslever::cell
