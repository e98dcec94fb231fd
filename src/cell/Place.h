#pragma once

#include "src/cell/Candidate.h"
#include "src/cell/PlacementPass.h"

namespace crocuslever::cell {

/// An upstream with room for tasks of a step.
struct Place {
    UpstreamRow* upstream { nullptr };
    int fits { 0 }; ///< Number of tasks that fit.
    std::int64_t leftMilliCpu { 0 }; ///< Free processor share after one task was placed.
    bool isNearData { false };
    bool hasBadPair { false }; ///< A task of the step and a run there are known to disturb each other.
};

/// The open upstreams on which tasks of the step may start now, with room for at most `most` of them.
/// Upstreams without a known bad pair come first, of these those near the step's data, then the fullest. For a gang all places are in this order, else as many as
/// `most` tasks can use when each of them avoids one upstream.
std::vector<Place> findPlaces(CellState&, const Candidate&, int most, const PlacementPass&, TimePoint now);

/// The first place with room. Avoids the upstream of the latest run of a task that has failed, unless
/// there is no other. Null: no room.
Place* choosePlace(const TaskRow&, std::vector<Place>&);

/// The places of a rack that fits all `count` tasks; empty if there is none.
std::vector<Place> findRack(const std::vector<Place>&, int count);

/// The open upstreams on which up to `count` tasks of the step may start at that time, once runs that the
/// step may preempt have left.
std::vector<PreemptionPlace> findPreemptionPlaces(CellState&, const Candidate&, int count, const PlacementPass&, TimePoint at);

} // namespace crocuslever::cell
