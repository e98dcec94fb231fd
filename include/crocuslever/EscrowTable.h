#pragma once

#include <map>
#include <tuple>

#include "crocuslever/Comparable.h"
#include "crocuslever/Ids.h"
#include "crocuslever/StoreProtocol.h"
#include "crocuslever/Time.h"

namespace crocuslever {

/// How much of each team's upper limit each session may run, as the store holds
/// it: `grants[team][session]`. The sum over sessions never exceeds the limit.
using GrantRecord = std::map<TeamId, std::map<SessionId, int>>;

/// One team's standing at this instance.
struct TeamStanding {
    int granted { 0 }; ///< In force here: never above what the store holds.
    int running { 0 }; ///< Reserved, started or running on own upstreams.
    int wanted { 0 }; ///< Refused starts since the last grant write.
    TimePoint lastWanted;
};

struct EscrowTable {
    GrantRecord grants; ///< As last seen in the store.
    StoreRevision modRevision { 0 };
    std::map<TeamId, TeamStanding> standings;
    bool writeInFlight { false };
    TimePoint nextWrite;
};

} // namespace crocuslever
