#pragma once

#include "crocuslever/Core.h"

namespace crocuslever {

/// Reads the control keys (members, ownership, grants, configuration) from the store; a watch then
/// keeps them up to date. Reads them again after the watch was lost.
void runControlView(CoreState&, TimePoint now, Actions&);
/// Applies the result of a range read: the control keys, or the jobs of a claimed shard.
void handleRangeResult(CoreState&, const StoreRangeResult&, const Instant& now, Actions&);
/// Applies changes of the control keys. Ignored until the keys have been read.
void handleWatchEvents(CoreState&, const StoreWatchEvents&, TimePoint now, Actions&);
/// Schedules another read of the control keys.
void handleWatchLost(CoreState&, TimePoint now, Actions&);

/// Adopts an encoded configuration if its revision is higher than the current one. `source` is the
/// peer that sent it or "store", and is logged. False if the document does not parse or is not
/// newer.
bool adoptConfiguration(CoreState&, const std::string& document, const std::string& source, TimePoint now, Actions&);

} // namespace crocuslever
