#include "src/cell/Candidate.h"

#include <algorithm>

#include "src/cell/Jobs.h"
#include "src/cell/UnseenUse.h"

namespace crocuslever::cell {

/// A job older than this many times its objective is of no use to its submitter.
static constexpr double kMaxObjectiveMultiple = 3.0;

StepRow& rowOf(const Candidate& candidate)
{
    return candidate.job->occurrences.at(candidate.step.occurrence).steps[candidate.step.step];
}

const StepSpec& specOf(const Candidate& candidate) { return specOf(*candidate.job, candidate.step); }

/// Late jobs go last: in a full cell they would otherwise make every job behind
/// them late as well.
static Timeliness classifyTimeliness(const JobRow& job, const Route& route, std::int64_t wallMs)
{
    if (job.record.spec.occurrences > 0)
        return Timeliness::InTime;
    double criticalPathMs = static_cast<double>(toMilliseconds(job.estimatedCriticalPath));
    double objectiveMs = route.stretch * criticalPathMs + static_cast<double>(toMilliseconds(route.targetDuration));
    double ageMs = static_cast<double>(wallMs - job.record.acceptedMs);
    if (ageMs > kMaxObjectiveMultiple * objectiveMs)
        return Timeliness::Useless;
    return job.hasStarted || ageMs + criticalPathMs <= objectiveMs ? Timeliness::InTime : Timeliness::Late;
}

static void addCandidates(const CellState& state, JobRow& job, const Instant& now, std::vector<Candidate>& all)
{
    const Route* route = findRouteByName(*state.configuration.value, job.record.route);
    if (!route || job.ended || mayHaveUnknownRun(state, job))
        return;
    Timeliness timeliness = classifyTimeliness(job, *route, now.wallMs);
    bool mayPreempt = timeliness == Timeliness::InTime;
    for (const auto& [occurrence, row] : job.occurrences) {
        const std::vector<StepRow>& steps = row.steps;
        for (std::size_t s = 0; s < steps.size(); ++s) {
            int step = static_cast<int>(s);
            if (steps[s].waiting == 0 || !isStepReady(state, job, occurrence, step, now.wallMs))
                continue;
            // A long-running task is of use at any age, but in a full cell others need the room to be in time.
            Timeliness turn = job.record.spec.steps[s].isLongRunning ? Timeliness::InTime : timeliness;
            all.push_back({ &job, route, { job.record.id, occurrence, step, 0 }, turn, route->priority, job.record.acceptedMs, mayPreempt });
        }
    }
}

std::vector<Candidate> collectCandidates(CellState& state, const Instant& now)
{
    std::vector<Candidate> all;
    for (const std::string& id : state.waitingJobs)
        addCandidates(state, *findJob(state, id), now, all);
    std::sort(all.begin(), all.end());
    return all;
}

std::vector<int> waitingTasks(const Candidate& candidate, TimePoint lossesKnownUntil, TimePoint now)
{
    std::vector<int> indexes;
    const StepRow& row = rowOf(candidate);
    for (std::size_t i = 0; i < row.tasks.size(); ++i) {
        const TaskRow& task = row.tasks[i];
        bool isLossKnown = !task.lostAt || *task.lostAt < lossesKnownUntil;
        if (task.phase == TaskPhase::Waiting && now >= task.notBefore && isLossKnown)
            indexes.push_back(static_cast<int>(i));
    }
    return indexes;
}

} // namespace crocuslever::cell
