#pragma once

#include <array>
#include <tuple>
#include <vector>

#include "crocuslever/Comparable.h"
#include "crocuslever/Ids.h"
#include "crocuslever/StoreProtocol.h"
#include "crocuslever/Time.h"

namespace crocuslever {

/// Who owns a shard, as the store holds it. Written by compare-and-swap only.
struct OwnershipRecord {
    InstanceId owner; ///< Empty: handed over in a graceful shutdown or rebalance.
    SessionId session;
    Epoch epoch { 0 }; ///< Never falls.
    /// Earlier sessions whose attempts may still run on the shard's upstreams.
    std::vector<SessionId> unsettledFrom;

    auto tie() const { return std::tie(owner, session, epoch, unsettledFrom); }
};

enum class ShardPhase {
    NotOwned,
    Claiming, ///< Ownership write in flight.
    Settling, ///< Owned; its jobs are being read and its upstreams fenced.
    Owned, ///< Jobs read, attempts of earlier owners accounted for.
    Releasing, ///< No new work; handing over.
};

struct ShardRow {
    OwnershipRecord record; ///< As last seen in the store.
    StoreRevision modRevision { 0 };
    ShardPhase phase { ShardPhase::NotOwned };
    TimePoint phaseSince;
    bool jobsLoaded { false }; ///< Job calls are served from here on.
};

using ShardTable = std::array<ShardRow, kShardCount>;

} // namespace crocuslever
