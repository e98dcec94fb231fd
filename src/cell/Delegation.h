#pragma once

#include "src/cell/CellState.h"

namespace crocuslever::cellwire {
class PeerMessage;
}

namespace crocuslever::cell {

// An owner of many upstreams lets other instances make its calls to them: they hold the connections, and the owner keeps
// the decisions. A delegate carries a call out as it is and returns the answer; it keeps no state but its connections.

/// After so many consecutive failures of polls by delegates the owner polls the upstream itself.
constexpr int kFailedPollsUntilOwnPoll = 2;

/// Hands the calls to upstreams among the actions to delegates, if this owner has many upstreams for its processor share.
void tickDelegation(CellState&, const Instant& now, CellActions&);

/// Carries out a call for an owner.
void handleUpstreamCall(CellState&, const cellwire::PeerMessage&, CellActions&);
/// Returns the result to the owner. False: the call was this instance's own.
bool returnToOwner(CellState&, const PollResult&, CellActions&);
bool returnToOwner(CellState&, const OrderResult&, CellActions&);

} // namespace crocuslever::cell
