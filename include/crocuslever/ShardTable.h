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

/// A shard's ownership as stored. Written by compare-and-swap only.
struct OwnershipRecord {
    InstanceId owner; ///< Empty: released in a graceful shutdown or by rebalancing.
    SessionId session;
    Epoch epoch { 0 }; ///< Never decreases.
    /// Earlier sessions whose attempts may still run on the shard's upstreams.
    std::vector<SessionId> unsettledSessions;

    auto tie() const { return std::tie(owner, session, epoch, unsettledSessions); }
};

/// How far this instance's ownership of a shard has come.
enum class ShardPhase {
    NotOwned,
    Claiming, ///< The ownership write is in flight.
    Settling, ///< Owned; the jobs are being read and the upstreams fenced.
    Owned, ///< The jobs are loaded and the attempts of earlier owners are accounted for.
    Releasing, ///< Accepts no new work and is being handed over.
};

struct ShardRow {
    OwnershipRecord record; ///< The latest version read from or written to the store.
    StoreRevision modRevision { 0 };
    ShardPhase phase { ShardPhase::NotOwned };
    TimePoint phaseSince;
    bool jobsLoaded { false }; ///< The shard's jobs have been read; job calls are served.
    bool jobsReadInFlight { false }; ///< The read of the shard's jobs is in flight.
    bool writeInFlight { false }; ///< A settle or release write is queued or in flight.
    /// Attempts handed over with the shard that still count against this session's
    /// grants, by team, until the next owner has settled.
    std::map<TeamId, int> handedOver;
    TimePoint nextTry; ///< When a failed claim, read, settle or release is retried.
};

using ShardTable = std::array<ShardRow, kShardCount>;

} // namespace crocuslever
