#pragma once

#include "src/cell/CellState.h"

namespace crocuslever::cellwire {
class PeerMessage;
}

namespace crocuslever::cell {

/// Receives the peer's answer. Null: there was none in time, or the query reached another process than the one asked.
using PeerContinuation = std::function<void(CellState&, const cellwire::PeerMessage* answer, const Instant&, CellActions&)>;

/// Sends a query to the process at `address`. The timeout begins once it has left. The continuation runs exactly once.
void queryPeer(CellState&, const std::string& address, cellwire::PeerMessage query, Duration timeout, PeerContinuation, const Instant& now, CellActions&);
/// Whom the answer to the query goes to.
Asker askerOf(const cellwire::PeerMessage& query);
void answerPeer(CellState&, const Asker&, cellwire::PeerMessage answer, CellActions&);

/// Sends a message that is not answered.
void notifyPeer(CellState&, const std::string& address, cellwire::PeerMessage, CellActions&);

/// Handles a query, a notice or an answer of a peer.
void handlePeerFrame(CellState&, const PeerFrame&, const Instant& now, CellActions&);
/// Completes queries whose timeout has expired.
void tickPeerCalls(CellState&, const Instant& now, CellActions&);

} // namespace crocuslever::cell
