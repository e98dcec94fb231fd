#pragma once

#include <array>

#include "crocuslever/Core.h"

namespace crocuslever {

/// Claims, settles and releases shards. Does nothing until the control keys have been read or
/// while the session is not valid.
void runOwnership(CoreState&, const Instant& now, Actions&);
/// The instance that should own each shard: rendezvous hashing over the members that are not
/// shutting down, with at most ceil(kShardCount / members) shards each. The ids are empty if there
/// are no such members.
std::array<InstanceId, kShardCount> preferredOwners(const CoreState&);
/// The owner according to the store; empty if there is none or its session has ended.
InstanceId currentOwner(const CoreState&, ShardIndex);
/// True if this instance owns the shard with a valid session, and may act on its upstreams now.
bool mayActOn(const CoreState&, ShardIndex, TimePoint now);
/// Adopts the shard's ownership record from the store, unless `revision` is not newer than the
/// known one.
void adoptOwnership(CoreState&, ShardIndex, const OwnershipRecord&, StoreRevision, TimePoint now, Actions&);
/// Loads the shard's jobs from the result of the read after a claim; a failed read is repeated.
void handleShardJobs(CoreState&, ShardIndex, const StoreRangeResult&, const Instant& now, Actions&);
/// Apply the outcome of the transaction that claims, settles or releases a shard.
void handleClaimOutcome(CoreState&, const ClaimPurpose&, bool committed, TimePoint now, Actions&);
void handleSettleOutcome(CoreState&, const SettlePurpose&, bool committed, TimePoint now, Actions&);
void handleReleaseOutcome(CoreState&, const ReleasePurpose&, bool committed, TimePoint now, Actions&);
/// Drops every shard when the session ends.
void dropAllShards(CoreState&, TimePoint now, Actions&);
/// Drops the jobs and upstreams of a shard that this instance no longer owns.
void dropShard(CoreState&, ShardIndex, TimePoint now, Actions&);

} // namespace crocuslever
