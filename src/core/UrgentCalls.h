#pragma once

#include "crocuslever/Core.h"

namespace crocuslever {

// On the entry instance.

/// Forwards a new or refused urgent call to an owner with room, or queues it if there is
/// none. Answers the caller if the call never fits, or its time or its sends are used up.
void routeUrgentCall(CoreState&, CallRow&, TimePoint now, Actions&);
void handleUrgentAnswer(CoreState&, const InstanceId& from, const UrgentAnswer&, TimePoint now, Actions&);
/// Routes queued urgent calls, and retries or times out those in flight.
void runUrgentCalls(CoreState&, TimePoint now, Actions&);

// On the owner of the upstream.

/// Places an urgent call on one of this instance's upstreams and starts it, or refuses it.
void handleUrgentCall(CoreState&, const InstanceId& from, const UrgentCall&, TimePoint now, Actions&);
/// Handles the answer to a start. An attempt whose outcome is unknown is stopped, to learn
/// its final state. May erase the row.
void handleUrgentStartResult(CoreState&, AttemptRow&, const UpstreamStartResult&, TimePoint now, Actions&);
/// Ends an attempt that no longer runs: answers the caller, or starts the call on another
/// upstream if it can't run twice that way. Erases the row.
void endUrgentAttempt(CoreState&, AttemptRow&, AttemptState, const TaskResult&, TimePoint now, Actions&);
/// Answers the caller that the outcome is unknown; the attempt stays in the table. Does
/// nothing if the caller has already been answered.
void abandonUrgentCall(CoreState&, AttemptRow&, RefusalReason, Actions&);

} // namespace crocuslever
