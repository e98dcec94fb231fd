#pragma once

#include "src/cell/CellState.h"

namespace crocuslever::cell {

/// Free processor, memory and accelerators of an upstream.
Resources roomOn(const UpstreamRow&);

/// True if a stopped task loses no work because the next run resumes from its checkpoint.
bool isResumable(const StepSpec&);

/// Number of tasks of size `each` that fit into `room`, at most `most`.
int countFits(const Resources& room, const Resources& each, int most);

/// Number of further tasks of size `each`, at most `most`, that the team's limit allows on top of its
/// use and `reserved`.
int countWithinLimit(const CellState&, const std::string& team, const Resources& reserved, const Resources& each, int most);

/// True if `count` tasks of size `each` take at most half of the team's limit.
bool isWithinHalfOfLimit(const CellState&, const std::string& team, const Resources& each, int count);

/// True if the upstream has the route's service and the step's required label. Ignores room.
bool isSuitable(const StepSpec&, const Route&, const UpstreamRow&);

} // namespace crocuslever::cell
