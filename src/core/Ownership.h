#pragma once

#include <array>

#include "crocuslever/Core.h"

namespace crocuslever {

/// Claims, settles and hands over shards.
void runOwnership(CoreState&, const Instant& now, Actions&);
/// The instance that ought to own each shard: rendezvous hashing over the live
/// members, none with more than its even part rounded up. Empty without members.
std::array<InstanceId, kShardCount> wantedOwners(const CoreState&);
/// The owner according to the store; empty if there is none.
InstanceId currentOwner(const CoreState&, ShardIndex);
/// True if this instance owns the shard and may act on its upstreams now.
bool mayActOn(const CoreState&, ShardIndex, TimePoint now);
/// Takes in the shard's record as the store holds it.
void adoptOwnership(CoreState&, ShardIndex, const OwnershipRecord&, StoreRevision, TimePoint now, Actions&);
/// Takes in the shard's jobs, as read after a claim.
void takeShardJobs(CoreState&, ShardIndex, const StoreRangeResult&, const Instant& now, Actions&);
void handleClaimOutcome(CoreState&, const ClaimPurpose&, bool committed, TimePoint now, Actions&);
void handleSettleOutcome(CoreState&, const SettlePurpose&, bool committed, TimePoint now, Actions&);
void handleReleaseOutcome(CoreState&, const ReleasePurpose&, bool committed, TimePoint now, Actions&);
/// Drops every shard, at the end of a session.
void forgetAllShards(CoreState&, TimePoint now, Actions&);
/// Drops all that is kept under a shard that was lost or handed over.
void forgetShard(CoreState&, ShardIndex, TimePoint now, Actions&);

} // namespace crocuslever
