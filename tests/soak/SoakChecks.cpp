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

static std::string jobOf(const RunNote& run) { return run.task.substr(0, run.task.find('.')); }

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

std::vector<std::string> findBrokenRules(const std::vector<JobNote>& jobs, const std::vector<RunNote>& runs, const CrashTimes& crashes)
{
    std::map<std::string, std::vector<RunNote>> runsOfJob;
    for (const RunNote& run : runs)
        runsOfJob[jobOf(run)].push_back(run);
    std::vector<std::string> broken;
    for (const JobNote& job : jobs) {
        if (!job.isAccepted)
            continue;
        checkTwice(job, runsOfJob[job.id], crashes, broken);
        checkLost(job, runsOfJob[job.id], broken);
    }
    return broken;
}

} // namespace crocuslever::soak
