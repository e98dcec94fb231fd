#include "src/cell/Candidate.h"

#include <algorithm>
#include <optional>

#include "src/cell/Jobs.h"
#include "src/cell/TeamShares.h"
#include "src/cell/UnseenUse.h"

namespace crocuslever::cell {

/// A job older than this many times its objective is of no use to its submitter.
static constexpr double kMaxObjectiveMultiple = 3.0;

StepRow& rowOf(const Candidate& candidate)
{
    return candidate.job->occurrences.at(candidate.step.occurrence).steps[candidate.step.step];
}

const StepSpec& specOf(const Candidate& candidate) { return specOf(*candidate.job, candidate.step); }

/// Length of the critical path by what was learned; by the submitter's estimates for a job that no pass has seen yet.
static Duration expectedPath(const JobRow& job) { return job.expected.steps.empty() ? job.estimatedCriticalPath : job.expected.criticalPath; }

/// Length of the critical path through the steps that are not done. Tasks that run count as done, since the job needs no
/// more room for them.
static Duration remainingPath(const JobRow& job)
{
    auto occurrence = job.occurrences.find(0);
    if (!job.hasStarted || occurrence == job.occurrences.end())
        return job.expected.steps.empty() ? job.estimatedCriticalPath : criticalPath(job.record.spec, job.expected.steps);
    const std::vector<StepRow>& rows = occurrence->second.steps;
    const JobSpec& spec = job.record.spec;
    std::vector<Duration> runTimes;
    for (std::size_t n = 0; n < rows.size(); ++n) {
        Duration whole = job.expected.steps.empty() ? spec.steps[n].estimate : job.expected.steps[n];
        runTimes.push_back(rows[n].waiting > 0 ? whole : Duration(0));
    }
    return criticalPath(spec, runTimes);
}

/// Late jobs go last: in a full cell they would otherwise make every job behind
/// them late as well.
Timeliness classifyTimeliness(const JobRow& job, const Route& route, std::int64_t wallMs)
{
    if (job.record.spec.occurrences > 0)
        return Timeliness::InTime;
    double criticalPathMs = static_cast<double>(toMilliseconds(expectedPath(job)));
    double remainingMs = static_cast<double>(toMilliseconds(remainingPath(job)));
    double objectiveMs = route.stretch * criticalPathMs + static_cast<double>(toMilliseconds(route.targetDuration));
    double ageMs = static_cast<double>(wallMs - job.record.acceptedMs);
    if (ageMs > kMaxObjectiveMultiple * objectiveMs)
        return Timeliness::Useless;
    return ageMs + remainingMs <= objectiveMs ? Timeliness::InTime : Timeliness::Late;
}

static void addCandidates(const CellState& state, JobRow& job, std::optional<int> onlyPriority, const Instant& now, std::vector<Candidate>& all)
{
    const Route* route = findRouteByName(*state.configuration.value, job.record.route);
    if (!route || job.ended || (onlyPriority && route->priority != *onlyPriority) || mayHaveUnknownRun(state, job))
        return;
    if (state.settings.learnsRunTimes)
        updateExpectedTimes(job.expected, state.runTimes, job.record.route, job.record.spec);
    Timeliness timeliness = classifyTimeliness(job, *route, now.wallMs);
    if (onlyPriority && timeliness != Timeliness::InTime)
        return;
    bool mayPreempt = timeliness == Timeliness::InTime;
    for (const auto& [occurrence, row] : job.occurrences) {
        const std::vector<StepRow>& steps = row.steps;
        for (std::size_t s = 0; s < steps.size(); ++s) {
            int step = static_cast<int>(s);
            if (steps[s].waiting == 0 || !isStepReady(state, job, occurrence, step, now.wallMs))
                continue;
            // A long-running task is of use at any age, but in a full cell others need the room to be in time.
            Timeliness turn = job.record.spec.steps[s].isLongRunning ? Timeliness::InTime : timeliness;
            all.push_back({ &job, route, { job.record.id, occurrence, step, 0 }, turn, route->priority, 0, job.record.acceptedMs, mayPreempt });
        }
    }
}

/// Without this a team that sends many times its share would get as much of the room.
static void rankTeams(const CellState& state, std::vector<Candidate>& all)
{
    std::set<std::string> waiting;
    for (const Candidate& candidate : all)
        waiting.insert(candidate.job->record.team);
    std::map<std::string, int> ranks;
    for (const auto& [team, share] : computeTeamShares(*state.configuration.value, state.teamUse, waiting, totalCapacity(state)))
        ranks[team] = excessRank(share);
    for (Candidate& candidate : all)
        candidate.teamExcess = ranks[candidate.job->record.team];
}

static std::optional<int> mostUrgentPriority(const FleetPolicy& policy)
{
    std::optional<int> least;
    for (const Route& route : policy.routes)
        least = std::min(least.value_or(route.priority), route.priority);
    return least;
}

std::vector<Candidate> collectCandidates(CellState& state, bool onlyUrgent, const Instant& now)
{
    std::optional<int> priority = onlyUrgent ? mostUrgentPriority(*state.configuration.value) : std::nullopt;
    std::vector<Candidate> all;
    summarizeRunTimes(state.runTimes, now.steady);
    for (const std::string& id : state.waitingJobs)
        addCandidates(state, *findJob(state, id), priority, now, all);
    if (!all.empty())
        rankTeams(state, all);
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
