#pragma once

#include "src/cell/CellState.h"

namespace crocuslever::cellwire {
class PeerMessage;
}

namespace crocuslever::cell {

/// Receives the peer's answer; null: timeout.
using PeerContinuation = std::function<void(CellState&, const cellwire::PeerMessage* answer, const Instant&, CellActions&)>;

/// Sends a query to the instance at `address`. The timeout begins once it has left. The continuation runs exactly once.
void queryPeer(CellState&, const std::string& address, cellwire::PeerMessage query, Duration timeout, PeerContinuation, const Instant& now, CellActions&);
/// Answers the query with the id `call` of the instance at `address`.
void answerPeer(CellState&, const std::string& address, std::uint64_t call, cellwire::PeerMessage answer, CellActions&);

/// Sends a message that is not answered.
void notifyPeer(CellState&, const std::string& address, cellwire::PeerMessage, CellActions&);

/// Handles a query, a notice or an answer of a peer.
void handlePeerFrame(CellState&, const PeerFrame&, const Instant& now, CellActions&);
/// Completes queries whose timeout has expired.
void tickPeerCalls(CellState&, const Instant& now, CellActions&);
/// Joins the frames that leave for one address at the end of this turn.
void tickFrames(CellState&, const Instant& now, CellActions&);

} // namespace crocuslever::cell
