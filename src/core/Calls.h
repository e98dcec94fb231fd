#pragma once

#include "crocuslever/Core.h"

namespace crocuslever {

/// Authenticates and validates a caller's call and forwards it to an owner. Job calls go to the
/// owner of the job's shard, urgent calls to an owner with free capacity (see UrgentCalls.h). A call
/// that is refused or invalid is answered immediately.
void handleCallerCall(CoreState&, const CallerCall&, const Instant& now, Actions&);
/// Marks the call of a disconnected caller, so that no reply is sent.
void handleCallerGone(CoreState&, const CallerGone&, TimePoint now, Actions&);
/// Completes the call with the owner's answer. If the answer is that the instance is not the
/// shard's owner, the call stays open and is retried.
void handleJobAnswer(CoreState&, const InstanceId& from, const JobAnswer&, TimePoint now, Actions&);
/// Retries and times out the calls in flight.
void runCalls(CoreState&, const Instant& now, Actions&);
/// Sends the reply unless the caller is gone, and removes the call.
void finishCall(CoreState&, CallId, CallerReply, Actions&);

} // namespace crocuslever
