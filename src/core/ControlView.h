#pragma once

#include "crocuslever/Core.h"

namespace crocuslever {

/// Reads the control keys (members, ownership, grants, configuration) and keeps
/// them up to date by one watch.
void runControlView(CoreState&, TimePoint now, Actions&);
void handleRangeResult(CoreState&, const StoreRangeResult&, const Instant& now, Actions&);
void handleWatchEvents(CoreState&, const StoreWatchEvents&, TimePoint now, Actions&);
void handleWatchLost(CoreState&, TimePoint now, Actions&);

/// Adopts a configuration if its revision is higher than the one in force.
/// True if adopted.
bool adoptConfiguration(CoreState&, const std::string& document, const std::string& source, TimePoint now, Actions&);

} // namespace crocuslever
