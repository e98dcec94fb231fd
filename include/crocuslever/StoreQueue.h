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

// What a transaction was for; tells the systems what its outcome means.

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
    std::map<JobId, std::uint64_t> versions; ///< Which version of each job it makes durable.
    std::vector<JobId> withBody;
    std::vector<JobId> forgotten;
};

using WritePurpose = std::variant<RegisterPurpose, ClaimPurpose, SettlePurpose, ReleasePurpose, GrantPurpose, JobsPurpose>;

struct PendingWrite {
    StoreTransaction transaction;
    WritePurpose purpose;
};

/// The one lane by which a session changes the store: a transaction at a time,
/// each leaving its mark in the session's key, so that a lost answer can be
/// resolved without doubt.
struct StoreQueue {
    std::string lastMark; ///< Of the session's last committed transaction; empty before the first.
    std::string mark; ///< Of the transaction in flight.
    std::deque<PendingWrite> waiting;
    std::optional<PendingWrite> inFlight;
    bool awaitingAnswer { false };
    TimePoint retryAt;
    TimePoint nextCommit; ///< Group commits are spaced by the commit interval.
};

} // namespace crocuslever
