#pragma once

#include "crocuslever/Core.h"

namespace crocuslever {

/// Sends a message to a member; messages to this instance itself are queued locally. Messages to
/// unknown instances are dropped.
void sendToPeer(CoreState&, const InstanceId& to, PeerMessage, Actions&);
/// Sends a message to the owner of the job's shard; false if the shard has no owner.
bool sendToJobOwner(CoreState&, const JobId&, PeerMessage, Actions&);
/// Sends a heartbeat to every member once per heartbeat interval.
void runHeartbeats(CoreState&, TimePoint now, Actions&);
/// Passes a message from a peer, or from this instance itself, to its handler.
void handlePeerMessage(CoreState&, const InstanceId& from, const PeerMessage&, const Instant& now, Actions&);
/// True if a heartbeat of the peer arrived within the peer timeout; always true for this instance.
bool isPeerUp(const CoreState&, const InstanceId&, TimePoint now);

/// An estimate of the peer's monotonic clock: the send time of its last heartbeat plus the time
/// since its arrival, so behind by the message's delay. The peer must be a member.
TimePoint estimatePeerTime(const CoreState&, const InstanceId& peer, TimePoint now);

/// Appends a log line to the actions. `peer` and `job` are empty where they do not apply.
void logTo(Actions&, LogLevel, std::string step, std::string message, std::string peer = {}, std::string job = {});
/// Next pseudo-random number of the seeded sequence.
std::uint64_t nextRandom(CoreState&);
/// A new attempt id, unique across all instances and sessions.
AttemptId makeAttemptId(CoreState&);

} // namespace crocuslever
