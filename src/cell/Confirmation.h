#pragma once

#include <algorithm>

#include "crocuslever/StoreProtocol.h"
#include "crocuslever/Time.h"

namespace crocuslever::cell {

/// What is known of the age of a value that was read from outside.
struct Confirmation {
    StoreRevision revision { 0 }; ///< Of the value's last change; 0: unknown, or there is no value.
    /// The value was current at this time: when the call that showed it was sent. TimePoint(): never.
    TimePoint at;

    bool operator==(const Confirmation& other) const { return revision == other.revision && at == other.at; }
    bool operator!=(const Confirmation& other) const { return !(*this == other); }
};

/// A value that was read from outside, with its age.
template <typename Value>
struct Confirmed {
    Value value {};
    Confirmation confirmation;
};

inline bool wasConfirmed(const Confirmation& confirmation) { return confirmation.at != TimePoint(); }

/// True if the value was current at some time within the last `bound`.
inline bool isCurrent(const Confirmation& confirmation, Duration bound, TimePoint now)
{
    return wasConfirmed(confirmation) && now - confirmation.at < bound;
}

/// The confirmation after a call, sent at `sentAt`, that has shown the value unchanged. Answers may arrive in any order.
inline Confirmation confirmedAgain(const Confirmation& confirmation, TimePoint sentAt)
{
    return { confirmation.revision, std::max(confirmation.at, sentAt) };
}

} // namespace crocuslever::cell
