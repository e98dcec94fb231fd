#pragma once

#include <map>
#include <string>
#include <vector>

#include "crocuslever/Core.h"

namespace crocuslever {

/// Added to every lease before it counts as lapsed: clocks that run at unlike
/// rates, and a renewal still under way when its sender gave up.
constexpr Duration kLeaseMargin = std::chrono::milliseconds(300);

/// An attempt that was started is first asked after then.
constexpr Duration kFirstSyncAfter = std::chrono::milliseconds(50);

/// Adopts the platform's lagging list.
void handleUpstreamList(CoreState&, const UpstreamListUpdate&, TimePoint now, Actions&);
/// Fences the upstreams of newly owned shards; syncs those with attempts.
void runUpstreams(CoreState&, TimePoint now, Actions&);
void handleFenceResult(CoreState&, const UpstreamFenceResult&, TimePoint now, Actions&);
void handleStartResult(CoreState&, const UpstreamStartResult&, TimePoint now, Actions&);
void handleSyncResult(CoreState&, const UpstreamSyncResult&, TimePoint now, Actions&);
void handleStopResult(CoreState&, const UpstreamStopResult&, TimePoint now, Actions&);
/// Sends a stop for the attempt; its answer ends it. `row` may be gone afterwards.
void stopAttempt(CoreState&, AttemptRow&, StopMode, TimePoint now, Actions&);

/// True once every upstream of the shard has accepted this owner's epoch, or has
/// been out of reach for so long that all leases there have lapsed.
bool isShardFenced(const CoreState&, ShardIndex, TimePoint now);
/// Attempts that run on the shard's upstreams, by team.
std::map<TeamId, int> runningByTeam(const CoreState&, ShardIndex);

/// True if new work may start there now: owned, fenced, listed, not leaving, in
/// good health, and its failure domain in service.
bool acceptsWork(const CoreState&, const UpstreamRow&, TimePoint now);
/// The same but for its health, which a probe may disregard.
bool isInService(const CoreState&, const UpstreamRow&, TimePoint now);
/// True if this instance has fenced it at its present epoch, and may call it.
bool mayCall(const CoreState&, const UpstreamRow&, TimePoint now);
/// Longer than any lease that an earlier owner may have given.
Duration longestLease(const CoreState&);
/// True if the upstream left the list so long ago that every lease there has lapsed.
bool isUpstreamGone(const CoreState&, const UpstreamId&, TimePoint now);
/// Sums for the heartbeat.
Resources freeRoom(const CoreState&, bool urgent, TimePoint now);

/// True just after this process stood still: what it reads then may be as old
/// as the pause, and its senders may have gone elsewhere.
bool isStalled(const CoreState&, TimePoint now);

/// Counts an answer that matches nothing asked for.
void countIgnored(CoreState&, const std::string& kind);
/// The attempts in the table that are on the upstream.
std::vector<AttemptId> attemptsOn(const CoreState&, const UpstreamId&);
/// A pause that grows with the failures in a row, with jitter.
Duration retryPause(CoreState&, int failures);
/// When the upstream is to be synced next, if nothing goes wrong.
TimePoint nextSyncTime(CoreState&, const UpstreamRow&, TimePoint now);

/// Forgets the attempts on a shard's upstreams and their fences: it was lost or
/// handed over. Urgent callers are told that the outcome is unknown.
void forgetUpstreams(CoreState&, ShardIndex, TimePoint now, Actions&);

} // namespace crocuslever
