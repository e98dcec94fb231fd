#pragma once

#include <map>
#include <vector>

#include "src/cell/Candidate.h"

namespace crocuslever::cell {

/// Upper bound on the room that any of the upstreams can offer, by priority.
struct LargestRoom {
    Resources free;
    std::map<int, Resources> afterPreemption; ///< By priority; filled when first asked for.
};

LargestRoom findLargestRoom(const std::vector<UpstreamRow*>& open);

/// False if a task of the candidate certainly fits nowhere.
bool mayFit(LargestRoom&, const std::vector<UpstreamRow*>& open, const Candidate&);

} // namespace crocuslever::cell
