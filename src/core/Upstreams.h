#pragma once

#include "crocuslever/Core.h"

namespace crocuslever {

/// Adopts the platform's lagging list.
void handleUpstreamList(CoreState&, const UpstreamListUpdate&, TimePoint now, Actions&);
/// Fences the upstreams of newly owned shards; syncs those with attempts.
void runUpstreams(CoreState&, TimePoint now, Actions&);
void handleFenceResult(CoreState&, const UpstreamFenceResult&, TimePoint now, Actions&);
void handleStartResult(CoreState&, const UpstreamStartResult&, TimePoint now, Actions&);
void handleSyncResult(CoreState&, const UpstreamSyncResult&, TimePoint now, Actions&);
void handleStopResult(CoreState&, const UpstreamStopResult&, TimePoint now, Actions&);
/// Sends a stop for the attempt; its answer ends it.
void stopAttempt(CoreState&, AttemptRow&, StopMode, TimePoint now, Actions&);

/// True once every upstream of the shard has accepted this owner's epoch, or has
/// been out of reach for so long that all leases there have lapsed.
bool isShardFenced(const CoreState&, ShardIndex, TimePoint now);
/// Attempts that run on the shard's upstreams, by team.
std::map<TeamId, int> runningByTeam(const CoreState&, ShardIndex);

/// True if new work may start there now: owned, fenced, listed, not leaving, in
/// good health, and its failure domain in service.
bool acceptsWork(const CoreState&, const UpstreamRow&, TimePoint now);
/// Sums for the heartbeat.
Resources freeRoom(const CoreState&, bool urgent, TimePoint now);

/// Notes that an attempt there failed or succeeded, for quarantine.
void noteOutcome(CoreState&, UpstreamRow&, bool succeeded, TimePoint now, Actions&);

} // namespace crocuslever
