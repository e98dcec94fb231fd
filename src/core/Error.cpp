#include "crocuslever/Error.h"

namespace crocuslever {

const char* toString(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidInput:
        return "invalid_input";
    case ErrorCode::Unauthorized:
        return "unauthorized";
    case ErrorCode::NotFound:
        return "not_found";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::TooLarge:
        return "too_large";
    case ErrorCode::Overloaded:
        return "overloaded";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::Unknown:
        return "unknown";
    case ErrorCode::Internal:
        return "internal";
    }
    return "internal";
}

std::string Error::describe() const
{
    return peer.empty() ? step + ": " + message : step + " (" + peer + "): " + message;
}

} // namespace crocuslever
