#pragma once

#include <map>
#include <tuple>

#include "crocuslever/Comparable.h"
#include "crocuslever/Ids.h"
#include "crocuslever/StoreProtocol.h"
#include "crocuslever/Time.h"

namespace crocuslever {

/// The part of each team's upper limit that each session may run, in tasks, as stored:
/// `grants[team][session]`. A team's sum over all sessions never exceeds its limit.
using GrantRecord = std::map<TeamId, std::map<SessionId, int>>;

/// One team's quota at this instance and its use, in tasks.
struct TeamQuota {
    int granted { 0 }; ///< Usable here; never more than the stored grant.
    int running { 0 }; ///< Reserved, started or running on this instance's upstreams.
    int refusedStarts { 0 }; ///< Starts refused for lack of quota since the last grant write.
    TimePoint lastRefusedStartAt; ///< Time of the last such refusal.
};

struct EscrowTable {
    GrantRecord grants; ///< The latest version read from or written to the store.
    StoreRevision modRevision { 0 };
    std::map<TeamId, TeamQuota> teamQuotas;
    bool writeInFlight { false };
    TimePoint nextWrite;
};

} // namespace crocuslever
