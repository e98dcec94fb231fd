#pragma once

#include <string>
#include <variant>

#include "crocuslever/CallerProtocol.h"
#include "src/callers/CallerHttp.h"

namespace crocuslever {

/// The kind of a call; determines the format of its answer.
enum class CallKind {
    Urgent,
    Submission,
    Query,
    Result,
    Cancellation,
};

CallKind kindOf(const CallerCall&);

/// Parses a request of the caller API (docs/API.md). Returns the call, whose id is still to be
/// assigned, or the response that refuses the request (400, 401, 404 or 405).
std::variant<CallerCall, CallerHttpAnswer> parseCallerRequest(const CallerHttpRequest&);

} // namespace crocuslever
