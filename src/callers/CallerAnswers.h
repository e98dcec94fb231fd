#pragma once

#include <string>

#include "crocuslever/CallerProtocol.h"
#include "src/callers/CallerHttp.h"
#include "src/callers/CallerRequests.h"

namespace crocuslever {

/// Formats a reply of the core as an HTTP response: the task's raw body for urgent calls and
/// results, JSON for everything else.
CallerHttpAnswer formatReply(const CallerReply&, CallKind);

/// Formats a refusal that the server issues itself, with the same JSON body as a reply of the core.
CallerHttpAnswer formatRefusal(int status, CallOutcome, RefusalReason, const std::string& message);

} // namespace crocuslever
