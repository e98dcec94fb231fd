#pragma once

#include <boost/outcome/result.hpp>
#include <string>
#include <tuple>

#include "crocuslever/Comparable.h"

namespace crocuslever {

/// What kind of failure it was; decides what a caller may do next.
enum class ErrorCode {
    InvalidInput, ///< The sender must change its message.
    Unauthorized, ///< The key is unknown or withdrawn.
    NotFound,
    Conflict, ///< Another writer was first.
    TooLarge,
    Overloaded, ///< Refused, not run; try again later.
    Unavailable, ///< The peer could not be reached: nothing was sent.
    Unknown, ///< Sent, but no answer: it may have taken effect.
    Internal,
};

const char* toString(ErrorCode);

/// An error with the step that failed and the peer that it failed against.
struct Error {
    ErrorCode code { ErrorCode::Internal };
    std::string step; ///< For example "store.transact" or "settings.load".
    std::string peer; ///< Address or name; empty when no peer took part.
    std::string message;

    auto tie() const { return std::tie(code, step, peer, message); }
    /// One line for people: "step (peer): message".
    std::string describe() const;
};

/// The result of anything that can fail.
template <typename T>
using Result = boost::outcome_v2::result<T, Error, boost::outcome_v2::policy::all_narrow>;

} // namespace crocuslever
