#pragma once

#include <string>
#include <variant>

#include "crocuslever/CallerProtocol.h"
#include "src/callers/CallerHttp.h"

namespace crocuslever {

/// What a call asks for; decides the form of its answer.
enum class CallKind {
    Urgent,
    Submission,
    Query,
    Result,
    Cancellation,
};

CallKind kindOf(const CallerCall&);

/// Reads a request of the caller API (docs/API.md): a call without its id, or
/// the answer that refuses it.
std::variant<CallerCall, CallerHttpAnswer> parseCallerRequest(const CallerHttpRequest&);

} // namespace crocuslever
