#pragma once

#include "crocuslever/Core.h"

namespace crocuslever {

/// The entry side of callers' calls: authenticates, checks, passes on to an
/// owner, answers. Job calls go to the owner of the job's shard, urgent calls
/// to an owner with room (see Urgent.h).
void handleCallerCall(CoreState&, const CallerCall&, const Instant& now, Actions&);
void handleCallerGone(CoreState&, const CallerGone&, TimePoint now, Actions&);
void handleJobAnswer(CoreState&, const InstanceId& from, const JobAnswer&, TimePoint now, Actions&);
/// Retries and times out the calls in flight.
void runCalls(CoreState&, const Instant& now, Actions&);
/// Answers the caller and forgets the call.
void finishCall(CoreState&, CallId, CallerReply, Actions&);

} // namespace crocuslever
