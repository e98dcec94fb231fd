#pragma once

#include "crocuslever/Core.h"

namespace crocuslever {

/// Holds room for a deferred attempt on an own upstream, or refuses.
void handleReserveRequest(CoreState&, const InstanceId& from, const ReserveRequest&, TimePoint now, Actions&);
void handleReleaseRequest(CoreState&, const ReleaseRequest&, TimePoint now, Actions&);
/// Starts a reserved attempt whose assignment is durable.
void handleStartRequest(CoreState&, const InstanceId& from, const StartRequest&, TimePoint now, Actions&);
void handleAttemptQuery(CoreState&, const InstanceId& from, const AttemptQuery&, TimePoint now, Actions&);
void handleAttemptAcknowledge(CoreState&, const AttemptAcknowledge&, TimePoint now, Actions&);
/// Ends holds that were not used, repeats unacknowledged reports.
void runAttempts(CoreState&, TimePoint now, Actions&);

/// Adds an attempt to the tables and charges upstream and team for it.
AttemptRow& addAttempt(CoreState&, AttemptRow, TimePoint now);
/// Removes an attempt and returns what it held.
void removeAttempt(CoreState&, const AttemptId&);
/// The attempt is over: keeps the end until the job's owner acknowledges it.
void endAttempt(CoreState&, AttemptRow&, AttemptState, TaskResult, TimePoint now, Actions&);

} // namespace crocuslever
