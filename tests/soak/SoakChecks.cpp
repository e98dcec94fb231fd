#include "tests/soak/SoakChecks.h"

#include <algorithm>
#include <limits>

namespace crocuslever::soak {

using standin::RunNote;

static constexpr std::int64_t kShownMarginMs = 1000; ///< A start this long after the job was shown as completed is one too many.
static constexpr std::int64_t kNever = std::numeric_limits<std::int64_t>::max();

static std::string describe(const RunNote& run)
{
    return run.task + " run " + std::to_string(run.run) + " on " + run.worker + ", " + std::to_string(run.startedAt) + " to " + std::to_string(run.endedAt) + " ms " + run.how;
}

/// When the run was over on its worker, by its own end or a crash of the worker.
static std::int64_t endOf(const RunNote& run, const CrashTimes& crashes)
{
    std::int64_t end = run.endedAt > 0 ? run.endedAt : kNever;
    auto it = crashes.find(run.worker);
    if (it == crashes.end())
        return end;
    auto crash = std::lower_bound(it->second.begin(), it->second.end(), run.startedAt);
    return crash == it->second.end() ? end : std::min(end, *crash);
}

static std::string jobOf(const std::string& task) { return task.substr(0, task.find('.')); }

static void checkTwice(const JobNote& job, const std::vector<RunNote>& runs, const CrashTimes& crashes, std::vector<std::string>& broken)
{
    for (const RunNote& run : runs) {
        if (job.completedAt > 0 && run.startedAt > job.completedAt + kShownMarginMs)
            broken.push_back("TWICE: started after the job was shown as completed at " + std::to_string(job.completedAt) + " ms: " + describe(run));
        for (const RunNote& other : runs) {
            bool isLater = other.task == run.task && other.startedAt > run.startedAt;
            if (isLater && other.startedAt < endOf(run, crashes))
                broken.push_back("TWICE: runs at the same time: " + describe(run) + "; " + describe(other));
        }
    }
}

/// When the run ended that the worker was told to forget; `kNever`: its end doesn't count, as the lease was over in between.
static std::int64_t endOf(const Acknowledgement& end, const std::vector<RunNote>& runs)
{
    auto isIt = [&end](const RunNote& run) { return run.task == end.task && run.run == end.run && run.worker == end.worker && run.how == end.how; };
    auto it = std::find_if(runs.begin(), runs.end(), isIt);
    return it == runs.end() || end.lapsedUntil > it->endedAt ? kNever : it->endedAt;
}

/// No task starts after an end as done that is taken note of, then or later.
static void checkAcknowledged(const std::vector<RunNote>& runs, const std::vector<Acknowledgement>& ends, std::vector<std::string>& broken)
{
    for (const Acknowledgement& end : ends) {
        if (end.how != "done")
            continue;
        std::int64_t endedAt = endOf(end, runs);
        for (const RunNote& run : runs) {
            if (run.task == end.task && run.startedAt > endedAt)
                broken.push_back("TWICE: started after run " + std::to_string(end.run) + " had ended as done on " + end.worker + " at " + std::to_string(endedAt) + " ms, acknowledged at " + std::to_string(end.at) + " ms: " + describe(run));
        }
    }
}

static void checkLost(const JobNote& job, const std::vector<RunNote>& runs, std::vector<std::string>& broken)
{
    std::map<std::string, int> failures;
    int most = 0;
    for (const RunNote& run : runs) {
        if (run.how == "failed")
            most = std::max(most, ++failures[run.task]);
    }
    if (job.lastState == "failed" && most < job.attempts)
        broken.push_back("LOST: " + job.id + " is shown as failed after " + std::to_string(most) + " of " + std::to_string(job.attempts) + " attempts");
    if (job.lastState != "completed" && job.lastState != "failed")
        broken.push_back("LOST: " + job.id + " was accepted and has not ended, state \"" + job.lastState + "\"");
    if (most > job.attempts)
        broken.push_back("BUDGET: " + job.id + " has " + std::to_string(most) + " failed runs of a task, " + std::to_string(job.attempts) + " attempts");
}

std::vector<std::string> findBrokenRules(const std::vector<JobNote>& jobs, const std::vector<RunNote>& runs, const CrashTimes& crashes, const std::vector<Acknowledgement>& ends)
{
    std::map<std::string, std::vector<RunNote>> runsOfJob;
    for (const RunNote& run : runs)
        runsOfJob[jobOf(run.task)].push_back(run);
    std::map<std::string, std::vector<Acknowledgement>> endsOfJob;
    for (const Acknowledgement& end : ends)
        endsOfJob[jobOf(end.task)].push_back(end);
    std::vector<std::string> broken;
    for (const JobNote& job : jobs) {
        if (!job.isAccepted)
            continue;
        checkTwice(job, runsOfJob[job.id], crashes, broken);
        checkAcknowledged(runsOfJob[job.id], endsOfJob[job.id], broken);
        checkLost(job, runsOfJob[job.id], broken);
    }
    return broken;
}

} // namespace crocuslever::soak
