#pragma once

#include "crocuslever/Core.h"

namespace crocuslever {

/// Takes, renews and replaces this instance's lease, and registers it as a member.
void runSession(CoreState&, TimePoint now, Actions&);
void handleLeaseResult(CoreState&, const StoreLeaseResult&, TimePoint now, Actions&);

/// True if this instance may act as an owner now: its lease is in force by its
/// own clock, or every other member says that the store answers nobody.
bool isSessionValid(const CoreState&, TimePoint now);

/// Gives the session up, and with it every shard; a new one begins.
void endSession(CoreState&, const std::string& why, TimePoint now, Actions&);

} // namespace crocuslever
