#pragma once

#include "src/cell/CellState.h"

namespace crocuslever::cell {

// The load that this answers: a burst of urgent short jobs while the upstreams
// are full of long work. What can be resumed elsewhere without a loss makes
// room at once and goes on later.

/// What one pass of placement has promised of the room that stops will free.
struct ReservedRoom {
    std::map<IncarnationId, Resources> amounts;
    std::map<std::string, Resources> byTeam; ///< Below their limits.
    int victimSearches { 0 }; ///< For work to stop, in this pass.
};

/// An upstream that may run a step, and how many tasks of it at most.
struct PreemptionPlace {
    UpstreamRow* upstream { nullptr };
    int most { 0 };
};

/// What waits for room that is being freed.
struct RoomRequest {
    std::string job;
    std::string team;
    Resources each; ///< Of a task.
    int count { 0 };
    int priority { 0 };
    bool allOrNone { false };
};

/// Room on an upstream that isn't promised to what had its turn before.
Resources unreservedRoom(const UpstreamRow&, const ReservedRoom&);

/// Room on an upstream once everything is gone that work of this priority may preempt.
Resources roomAfterPreemption(const UpstreamRow&, int priority);

/// Promises once more what an earlier pass has promised; and takes it back.
void addReservations(ReservedRoom&, const std::map<IncarnationId, Resources>&);
void removeReservations(ReservedRoom&, const std::map<IncarnationId, Resources>&);

/// What is promised below the team's limit.
Resources reservedForTeam(const ReservedRoom&, const std::string& team);

/// Keeps room below the team's limit for what waits.
void reserveLimit(ReservedRoom&, const RoomRequest&);

/// Stops less urgent runs of the same team, so that what waits comes below its limit.
void makeRoomBelowLimit(CellState&, const ReservedRoom&, const RoomRequest&, const Instant& now, CellActions&);

/// Promises room that is about to be free, and stops less urgent runs for the
/// rest. What it has promised, by upstream.
std::map<IncarnationId, Resources> makeRoom(CellState&, ReservedRoom&, const std::vector<PreemptionPlace>&, const RoomRequest&, const Instant& now, CellActions&);

} // namespace crocuslever::cell
