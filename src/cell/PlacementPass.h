#pragma once

#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "src/cell/Advice.h"
#include "src/cell/CellState.h"
#include "src/cell/Preemption.h"

namespace crocuslever::cell {

/// State that lasts for one placement pass. Its pointers are valid for that long.
struct PlacementPass {
    std::vector<UpstreamRow*> open; ///< Upstreams that accept work, by id.
    std::vector<RankedUpstream> byRoom; ///< The same upstreams, set when the first question is considered.
    std::vector<std::pair<UpstreamIncarnation, UpstreamRow*>> byIncarnation; ///< The same upstreams, sorted.
    ReservedRoom reservations;
    std::optional<std::vector<Adviser>> advisers; ///< Set when the first question is considered.
    TimePoint lossesKnownUntil; ///< No successor has seen the end of a run that was lost before this time.
    std::set<int> saturated; ///< Priorities for which all instances are at their limit of questions.
};

} // namespace crocuslever::cell
