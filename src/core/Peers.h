#pragma once

#include "crocuslever/Core.h"

namespace crocuslever {

/// Sends to a peer, or to this instance itself without the network.
void sendToPeer(CoreState&, const InstanceId& to, PeerMessage, Actions&);
/// Sends to the owner of the job's shard; false if there is none.
bool sendToJobOwner(CoreState&, const JobId&, PeerMessage, Actions&);
void runHeartbeats(CoreState&, TimePoint now, Actions&);
void handlePeerMessage(CoreState&, const InstanceId& from, const PeerMessage&, const Instant& now, Actions&);
/// True if the peer was heard from lately.
bool isPeerUp(const CoreState&, const InstanceId&, TimePoint now);

/// The peer's own monotonic time now, or somewhat earlier: that of its last
/// heartbeat and what has passed here since.
TimePoint timeAt(const CoreState&, const InstanceId& peer, TimePoint now);

void logTo(Actions&, LogLevel, std::string step, std::string message, std::string peer = {}, std::string job = {});
/// Next pseudo-random number of the seeded sequence.
std::uint64_t nextRandom(CoreState&);
/// A new attempt id, never used before by any instance.
AttemptId makeAttemptId(CoreState&);

} // namespace crocuslever
