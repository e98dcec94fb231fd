#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "crocuslever/EscrowTable.h"
#include "crocuslever/Ids.h"
#include "crocuslever/ShardTable.h"
#include "crocuslever/StoreProtocol.h"
#include "crocuslever/Time.h"

namespace crocuslever {

// The purpose of a transaction; determines which subsystem handles its outcome.

struct RegisterPurpose { };
struct ClaimPurpose {
    ShardIndex shard { 0 };
    OwnershipRecord record;
};
struct SettlePurpose {
    ShardIndex shard { 0 };
    OwnershipRecord record;
    GrantRecord grants;
};
struct ReleasePurpose {
    ShardIndex shard { 0 };
    OwnershipRecord record;
};
struct GrantPurpose {
    GrantRecord grants;
};
struct JobsPurpose {
    std::map<JobId, std::uint64_t> versions; ///< The version of each job that the transaction stores.
    std::vector<JobId> withBody; ///< Jobs whose body it stores.
    std::vector<JobId> deletedJobs; ///< Jobs that it deletes.
};

using WritePurpose = std::variant<RegisterPurpose, ClaimPurpose, SettlePurpose, ReleasePurpose, GrantPurpose, JobsPurpose>;

struct PendingWrite {
    StoreTransaction transaction;
    WritePurpose purpose;
};

/// The queue through which a session writes to the store, one transaction at a time.
/// Each transaction writes a unique marker to the session's key, so that a lost answer
/// can be resolved with certainty by reading that key.
struct StoreQueue {
    std::string lastCommitMarker; ///< Marker of the session's last committed transaction; empty before the first.
    std::string inFlightMarker; ///< Marker of the transaction in flight.
    std::deque<PendingWrite> waiting;
    std::optional<PendingWrite> inFlight;
    bool awaitingAnswer { false };
    TimePoint retryAt; ///< When a transaction of unknown outcome is sent again.
    TimePoint nextCommit; ///< Earliest time of the next group commit.
};

} // namespace crocuslever
