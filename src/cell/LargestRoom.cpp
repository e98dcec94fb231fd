#include "src/cell/LargestRoom.h"

#include "src/cell/Fit.h"
#include "src/cell/Preemption.h"
#include "src/cell/Upstreams.h"

namespace crocuslever::cell {

LargestRoom findLargestRoom(const std::vector<UpstreamRow*>& open)
{
    LargestRoom largest;
    for (const UpstreamRow* upstream : open)
        largest.free = maximum(largest.free, roomOn(*upstream));
    return largest;
}

static const Resources& largestAfterPreemption(LargestRoom& largest, const std::vector<UpstreamRow*>& open, int priority)
{
    auto [it, isNew] = largest.afterPreemption.emplace(priority, Resources {});
    if (!isNew)
        return it->second;
    for (const UpstreamRow* upstream : open)
        it->second = maximum(it->second, roomAfterPreemption(*upstream, priority));
    return it->second;
}

bool mayFit(LargestRoom& largest, const std::vector<UpstreamRow*>& open, const Candidate& candidate)
{
    Resources each = amountOf(specOf(candidate));
    if (each.fitsIn(largest.free))
        return true;
    return candidate.mayPreempt && each.fitsIn(largestAfterPreemption(largest, open, candidate.priority));
}

} // namespace crocuslever::cell
