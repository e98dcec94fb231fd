#pragma once

#include <array>
#include <map>
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
    bool jobsRequested { false }; ///< The read of its jobs is in flight.
    bool writeInFlight { false }; ///< A settle or release write is queued or in flight.
    /// Attempts handed over with the shard that still count against this session's
    /// grants, by team, until the next owner has settled.
    std::map<TeamId, int> handedOver;
    TimePoint nextTry; ///< Of a claim, read, settle or release that failed.
};

using ShardTable = std::array<ShardRow, kShardCount>;

} // namespace crocuslever
