#pragma once

#include "src/cell/CellState.h"

namespace crocuslever::cell {

// Preemption serves bursts of urgent short jobs while the upstreams are full of
// long-running work. Only runs that can resume elsewhere without losing work are
// stopped.

/// Reservations that one placement pass makes on room that stops will free.
struct ReservedRoom {
    std::map<UpstreamIncarnation, Resources> amounts; ///< Reserved room by upstream.
    std::map<std::string, Resources> byTeam; ///< Reserved shares of the teams' limits.
    int victimSearches { 0 }; ///< Searches for runs to stop in this pass.
};

/// An upstream that may run a step.
struct PreemptionPlace {
    UpstreamRow* upstream { nullptr };
    int most { 0 }; ///< Most tasks of the step that it may run.
};

/// Tasks that need room.
struct RoomRequest {
    std::string job;
    std::string team;
    Resources each; ///< Size of a task.
    int count { 0 };
    int priority { 0 };
    bool allOrNone { false }; ///< Stop runs only if all tasks get room.
};

/// Free room on an upstream that is not reserved for other candidates.
Resources unreservedRoom(const UpstreamRow&, const ReservedRoom&);

/// Room on an upstream if all runs that this priority may preempt were stopped.
Resources roomAfterPreemption(const UpstreamRow&, int priority);

/// Carries the reservations of an earlier pass over into this one.
void addReservations(ReservedRoom&, const std::map<UpstreamIncarnation, Resources>&);
/// Undoes addReservations.
void removeReservations(ReservedRoom&, const std::map<UpstreamIncarnation, Resources>&);

/// Reserved share of the team's limit.
Resources reservedForTeam(const ReservedRoom&, const std::string& team);

/// Reserves a share of the team's limit for the request.
void reserveLimit(ReservedRoom&, const RoomRequest&);

/// Stops less urgent runs of the same team until the request fits below the team's limit.
void makeRoomBelowLimit(CellState&, const ReservedRoom&, const RoomRequest&, const Instant& now, CellActions&);

/// Reserves room that stops in progress will free, and stops less urgent runs
/// for the rest. Returns the new reservations by upstream.
std::map<UpstreamIncarnation, Resources> makeRoom(CellState&, ReservedRoom&, const std::vector<PreemptionPlace>&, const RoomRequest&, const Instant& now, CellActions&);

} // namespace crocuslever::cell
