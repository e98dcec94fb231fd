#pragma once

#include "crocuslever/Core.h"

namespace crocuslever {

/// Acquires and renews this instance's lease in the store.
void runSession(CoreState&, TimePoint now, Actions&);
/// Applies the answer to a lease grant or keep-alive. A new lease begins a session and registers
/// the member record; an expired one ends the session.
void handleLeaseResult(CoreState&, const StoreLeaseResult&, TimePoint now, Actions&);

/// True if this instance may act as an owner now: its lease has not expired by its own clock, or
/// every other member reports that it cannot reach the store either.
bool isSessionValid(const CoreState&, TimePoint now);

/// Ends the session and drops every shard. runSession() then requests a new lease. `why` is logged.
void endSession(CoreState&, const std::string& why, TimePoint now, Actions&);

} // namespace crocuslever
