#pragma once

#include "src/cell/CellState.h"

namespace crocuslever::cellwire {
class PeerMessage;
}

namespace crocuslever::cell {

/// While the store does not serve this instance, replaces the store calls among
/// `actions` by queries to a peer, and probes the store periodically. Must run
/// after everything else that appends actions.
void tickRelay(CellState&, const Instant& now, CellActions&);

/// Forwards a peer's call to the store, and the reply to the peer.
void relayStoreQuery(CellState&, const cellwire::PeerMessage& query, CellActions&);

} // namespace crocuslever::cell
