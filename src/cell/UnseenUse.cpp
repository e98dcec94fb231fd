#include "src/cell/UnseenUse.h"

#include "src/cell/Jobs.h"
#include "src/cell/Upstreams.h"

namespace crocuslever::cell {

bool mayHaveUnknownRun(const CellState& state, const JobRow& job)
{
    return !state.ownership.areEarlierRunsKnown && job.revision <= state.ownership.epochRevision;
}

/// Element-wise largest capacity in the directory.
static Resources largestCapacity(const CellState& state)
{
    Resources largest;
    for (const auto& [id, upstream] : state.upstreams)
        largest = maximum(largest, upstream.entry.capacity);
    return largest;
}

/// Capacity of the upstreams that earlier owners may have used and that have not been polled. One that has left
/// the directory counts as the largest that is listed.
static Resources unseenCapacity(const CellState& state)
{
    Resources largest = largestCapacity(state);
    Resources sum;
    for (const UpstreamTarget& target : state.ownership.earlierUpstreams) {
        auto it = state.upstreams.find(target.id);
        if (it == state.upstreams.end() || it->second.fenced || it->second.isReplaced)
            continue;
        sum = sum + (it->second.listed ? it->second.entry.capacity : largest);
    }
    return sum;
}

/// Tasks of the ready steps that are neither done nor listed by an upstream may run on one that was not polled.
static Resources unseenUseOf(const CellState& state, const JobRow& job, std::int64_t wallMs)
{
    Resources sum;
    for (const auto& [occurrence, row] : job.occurrences) {
        const std::vector<StepRow>& steps = row.steps;
        for (std::size_t s = 0; s < steps.size(); ++s) {
            std::int64_t waiting = steps[s].waiting;
            if (waiting == 0 || !isStepReady(state, job, occurrence, static_cast<int>(s), wallMs))
                continue;
            Resources each = amountOf(job.record.spec.steps[s]);
            sum = sum + Resources { each.milliCpu * waiting, each.memoryMb * waiting, each.accelerators * waiting, 0 };
        }
    }
    return sum;
}

void updateUnseenUse(CellState& state, std::int64_t wallMs)
{
    std::map<std::string, Resources>& unseen = state.ownership.unseenUse;
    unseen.clear();
    if (state.ownership.areEarlierRunsKnown)
        return;
    for (const std::string& id : state.waitingJobs) {
        const JobRow& job = *findJob(state, id);
        if (mayHaveUnknownRun(state, job))
            unseen[job.record.team] = unseen[job.record.team] + unseenUseOf(state, job, wallMs);
    }
    Resources capacity = unseenCapacity(state);
    for (auto& [team, use] : unseen)
        use = minimum(use, capacity);
}

} // namespace crocuslever::cell
