#pragma once

#include <boost/outcome/result.hpp>
#include <string>
#include <tuple>

#include "crocuslever/Comparable.h"

namespace crocuslever {

/// The kind of a failure; determines whether the caller may retry.
enum class ErrorCode {
    InvalidInput, ///< The request is malformed; repeating it fails again.
    Unauthorized, ///< The key is unknown or withdrawn.
    NotFound,
    Conflict, ///< A concurrent write was committed first.
    TooLarge,
    Overloaded, ///< Refused and not run; retry later.
    Unavailable, ///< The peer could not be reached; nothing was sent.
    Unknown, ///< Sent but not answered; it may have taken effect.
    Internal,
};

const char* toString(ErrorCode);

/// An error with the step that failed and the peer involved.
struct Error {
    ErrorCode code { ErrorCode::Internal };
    std::string step; ///< For example "store.transact" or "settings.load".
    std::string peer; ///< Address or name; empty when no peer was involved.
    std::string message;

    auto tie() const { return std::tie(code, step, peer, message); }
    /// One human-readable line: "step (peer): message", or "step: message" without a peer.
    std::string describe() const;
};

/// The value of a fallible operation, or an Error.
template <typename T>
using Result = boost::outcome_v2::result<T, Error, boost::outcome_v2::policy::all_narrow>;

} // namespace crocuslever
