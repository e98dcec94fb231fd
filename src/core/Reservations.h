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

/// Adds an attempt to the tables; charges upstream and team for what it holds, if anything.
AttemptRow& addAttempt(CoreState&, AttemptRow, TimePoint now);
/// Removes an attempt and returns what it held.
void removeAttempt(CoreState&, const AttemptId&);
/// The attempt needs attention at `at`, and not before.
void wakeAttempt(CoreState&, AttemptRow&, TimePoint at);
/// Tells the job's owner how the attempt stands.
void reportAttempt(CoreState&, AttemptRow&, AttemptState, TimePoint now, Actions&);
/// The attempt is over for certain, with no answer from its upstream: that is
/// gone, restarted, or silent for longer than the lease. `row` may be gone afterwards.
void loseAttempt(CoreState&, AttemptRow&, TimePoint now, Actions&);
/// The attempt is over: keeps the end until the job's owner acknowledges it.
/// An urgent one is answered; `row` may be gone afterwards.
void endAttempt(CoreState&, AttemptRow&, AttemptState, TaskResult, TimePoint now, Actions&);

} // namespace crocuslever
