#pragma once

#include <string>

#include "crocuslever/CallerProtocol.h"
#include "src/callers/CallerRequests.h"
#include "src/callers/HttpMessages.h"

namespace crocuslever {

/// Puts the core's reply into the form that this kind of call gets.
HttpAnswer formatReply(const CallerReply&, CallKind);

/// Refusals that the server gives by itself, with the same typed body.
HttpAnswer formatRefusal(int status, CallOutcome, RefusalReason, const std::string& message);

} // namespace crocuslever
