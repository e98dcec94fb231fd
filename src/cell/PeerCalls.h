#pragma once

#include "src/cell/CellState.h"

namespace crocuslever::cellwire {
class PeerMessage;
}

namespace crocuslever::cell {

/// Gets the peer's answer; null: none came in time.
using PeerContinuation = std::function<void(CellState&, const cellwire::PeerMessage* answer, const Instant&, CellActions&)>;

/// Sends a query to the instance that listens at `address`.
void queryPeer(CellState&, const std::string& address, cellwire::PeerMessage query, Duration timeout, PeerContinuation, const Instant& now, CellActions&);
void answerPeer(CellState&, const std::string& address, std::uint64_t call, cellwire::PeerMessage answer, CellActions&);

/// Sends a message that wants no answer.
void notifyPeer(CellState&, const std::string& address, cellwire::PeerMessage, CellActions&);

void handlePeerFrame(CellState&, const PeerFrame&, const Instant& now, CellActions&);
/// Gives up on peers that don't answer.
void tickPeerCalls(CellState&, const Instant& now, CellActions&);

} // namespace crocuslever::cell
