#pragma once

#include "src/cell/CellState.h"

namespace crocuslever::cell {

/// Reads the operators' declarations from the store and applies what has changed.
void tickDeclarations(CellState&, const Instant& now, CellActions&);

} // namespace crocuslever::cell
