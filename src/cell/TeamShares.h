#pragma once

#include <map>
#include <set>
#include <string>
#include <tuple>

#include "crocuslever/Comparable.h"
#include "src/cell/CellState.h"

namespace crocuslever::cell {

/// What a team holds of the cell, and what it is due when all is full.
struct TeamShare {
    double dominant { 0.0 }; ///< The largest of its shares of processor time, memory and accelerators.
    double fair { 1.0 }; ///< Its part by weight among the teams that hold or want room.

    auto tie() const { return std::tie(dominant, fair); }
};

/// Shares of the teams that hold room, or are in `waiting`. Jobs without a team count as one more team of weight 1.
std::map<std::string, TeamShare> computeTeamShares(const FleetPolicy&, const std::map<std::string, RoomUse>& use, const std::set<std::string>& waiting, const Resources& capacity);

/// The capacity of all upstreams that are known.
Resources totalCapacity(const CellState&);
/// The shares as the owner sees them now.
std::map<std::string, TeamShare> currentTeamShares(const CellState&);

/// 0: the team holds no more than its share. Rises by one with each doubling beyond it.
int excessRank(const TeamShare&);

/// The team furthest above its share, and by what factor; an empty name: none is above it.
std::pair<std::string, double> findLargestExcess(const std::map<std::string, TeamShare>&);

} // namespace crocuslever::cell
