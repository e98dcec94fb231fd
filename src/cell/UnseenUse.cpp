#include "src/cell/UnseenUse.h"

#include <algorithm>

#include "src/cell/Jobs.h"
#include "src/cell/Upstreams.h"

namespace crocuslever::cell {

bool mayHaveUnknownRun(const CellState& state, const JobRow& job)
{
    return !state.ownership.areEarlierRunsKnown && job.revision <= state.ownership.epochRevision;
}

/// Capacity of the upstreams that earlier owners may have used and that have not been polled.
/// Unset: an upstream among them has an unknown capacity.
static std::optional<Resources> unseenCapacity(const CellState& state)
{
    Resources sum;
    for (const UpstreamTarget& target : state.ownership.earlierUpstreams) {
        auto it = state.upstreams.find(target.id);
        if (it == state.upstreams.end() || it->second.fenced || it->second.isReplaced)
            continue;
        if (!it->second.listed)
            return std::nullopt;
        sum = sum + it->second.entry.capacity;
    }
    return sum;
}

/// Tasks that are neither done nor listed by an upstream may run on one that was not polled.
static Resources unseenUseOf(const JobRow& job)
{
    Resources sum;
    for (const OccurrenceRow& occurrence : job.occurrences) {
        for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
            Resources each = amountOf(job.record.spec.steps[s]);
            std::int64_t waiting = occurrence.steps[s].waiting;
            sum = sum + Resources { each.milliCpu * waiting, each.memoryMb * waiting, each.accelerators * waiting, 0 };
        }
    }
    return sum;
}

void updateUnseenUse(CellState& state)
{
    std::map<std::string, Resources>& unseen = state.ownership.unseenUse;
    unseen.clear();
    if (state.ownership.areEarlierRunsKnown)
        return;
    for (const std::string& id : state.waitingJobs) {
        const JobRow& job = *findJob(state, id);
        if (mayHaveUnknownRun(state, job))
            unseen[job.record.team] = unseen[job.record.team] + unseenUseOf(job);
    }
    std::optional<Resources> capacity = unseenCapacity(state);
    if (!capacity)
        return;
    for (auto& [team, use] : unseen)
        use = minimum(use, *capacity);
}

} // namespace crocuslever::cell
