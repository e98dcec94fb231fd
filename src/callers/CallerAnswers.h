#pragma once

#include <string>

#include "crocuslever/CallerProtocol.h"
#include "src/callers/CallerHttp.h"
#include "src/callers/CallerRequests.h"

namespace crocuslever {

/// Puts the core's reply into the form that this kind of call gets.
CallerHttpAnswer formatReply(const CallerReply&, CallKind);

/// Refusals that the server gives by itself, with the same typed body.
CallerHttpAnswer formatRefusal(int status, CallOutcome, RefusalReason, const std::string& message);

} // namespace crocuslever
