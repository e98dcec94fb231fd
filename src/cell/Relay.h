#pragma once

#include "src/cell/CellState.h"

namespace crocuslever::cellwire {
class PeerMessage;
}

namespace crocuslever::cell {

/// Sends this instance's calls to the store over a peer while the store turns
/// it away, and tries the store itself now and then. Goes over the actions
/// that are about to leave.
void tickRelay(CellState&, const Instant& now, CellActions&);

/// Passes a peer's call on to the store, and its reply back.
void relayStoreQuery(CellState&, const cellwire::PeerMessage& query, CellActions&);

} // namespace crocuslever::cell
