#include "src/cell/Jobs.h"

#include <algorithm>

#include "src/cell/Admission.h"
#include "src/cell/Commits.h"
#include "src/cell/Keys.h"
#include "src/cell/Latency.h"
#include "src/cell/Occurrences.h"
#include "src/cell/Ownership.h"
#include "src/cell/RecordCodec.h"
#include "src/cell/Runs.h"
#include "src/cell/StoreCalls.h"

namespace crocuslever::cell {

/// Backoff after a failed run; an immediate retry would likely hit the same fault.
static constexpr Duration kPauseAfterFailure = std::chrono::milliseconds(50);
/// Crashes under a task after which its job fails. Upstreams that crash right after its start tell most: others may
/// crash for any reason, and take all tasks that run on them along.
static constexpr std::size_t kMaxSuddenCrashes = 2;
static constexpr std::size_t kMaxCrashes = 4;

const char* toString(JobState state)
{
    switch (state) {
    case JobState::Pending:
        return "pending";
    case JobState::Running:
        return "running";
    case JobState::Completed:
        return "completed";
    case JobState::Failed:
        return "failed";
    case JobState::Cancelled:
        return "cancelled";
    }
    return "pending";
}

std::string formatTaskKey(const TaskKey& task)
{
    return task.job + "." + std::to_string(task.occurrence) + "." + std::to_string(task.step) + "." + std::to_string(task.index);
}

std::string formatStepKey(const TaskKey& task)
{
    return task.job + "." + std::to_string(task.occurrence) + "." + std::to_string(task.step);
}

/// Removes ".number" from the end of the text and returns the number; empty if there is none.
static std::optional<int> popNumber(std::string& text)
{
    std::size_t dot = text.rfind('.');
    if (dot == std::string::npos || dot + 1 == text.size())
        return std::nullopt;
    std::string digits = text.substr(dot + 1);
    constexpr std::size_t kMaxDigits = 9;
    if (digits.size() > kMaxDigits || digits.find_first_not_of("0123456789") != std::string::npos)
        return std::nullopt;
    text.resize(dot);
    return std::atoi(digits.c_str());
}

std::optional<TaskKey> parseTaskKey(const std::string& text)
{
    std::string rest = text;
    std::optional<int> index = popNumber(rest);
    std::optional<int> step = index ? popNumber(rest) : std::nullopt;
    std::optional<int> occurrence = step ? popNumber(rest) : std::nullopt;
    if (!occurrence || rest.empty())
        return std::nullopt;
    return TaskKey { rest, *occurrence, *step, *index };
}

JobRow* findJob(CellState& state, const std::string& id)
{
    auto it = state.jobs.find(id);
    return it == state.jobs.end() ? nullptr : &it->second;
}

static StepRow* findStep(CellState& state, const TaskKey& key)
{
    JobRow* job = findJob(state, key.job);
    if (!job || key.step < 0)
        return nullptr;
    auto occurrence = job->occurrences.find(key.occurrence);
    if (occurrence == job->occurrences.end())
        return nullptr;
    std::vector<StepRow>& steps = occurrence->second.steps;
    return static_cast<std::size_t>(key.step) < steps.size() ? &steps[key.step] : nullptr;
}

TaskRow* findTask(CellState& state, const TaskKey& key)
{
    StepRow* step = findStep(state, key);
    if (!step || key.index < 0 || static_cast<std::size_t>(key.index) >= step->tasks.size())
        return nullptr;
    return &step->tasks[key.index];
}

const StepSpec& specOf(const JobRow& job, const TaskKey& key) { return job.record.spec.steps[key.step]; }

void countWaitingTasks(CellState& state, JobRow& job, int change)
{
    job.waiting += change;
    if (job.waiting > 0)
        state.waitingJobs.insert(job.record.id);
    else
        state.waitingJobs.erase(job.record.id);
}

void removeJob(CellState& state, const std::string& id)
{
    state.waitingJobs.erase(id);
    auto it = state.jobs.find(id);
    if (it == state.jobs.end())
        return;
    closeOccurrences(state, it->second);
    state.jobs.erase(it);
}

void noteRun(TaskRow& task, int run)
{
    task.run = run;
    task.highestRun = std::max(task.highestRun, run);
}

void setPhase(CellState& state, const TaskKey& key, TaskPhase phase, TimePoint now)
{
    StepRow* step = findStep(state, key);
    TaskRow& task = step->tasks[key.index];
    if (task.phase == phase)
        return;
    int waiting = (phase == TaskPhase::Waiting) - (task.phase == TaskPhase::Waiting);
    step->waiting += waiting;
    countWaitingTasks(state, *findJob(state, key.job), waiting);
    step->done += (phase == TaskPhase::Done) - (task.phase == TaskPhase::Done);
    task.phase = phase;
    task.since = now;
    state.placementDue = true;
}

/// Length of the critical path by the submitter's estimates.
static Duration estimateCriticalPath(const JobSpec& spec)
{
    std::vector<Duration> estimates;
    for (const StepSpec& step : spec.steps)
        estimates.push_back(step.estimate);
    return criticalPath(spec, estimates);
}

static JobRow makeRow(const JobRecord& record, StoreRevision revision)
{
    JobRow row;
    row.record = record;
    row.revision = revision;
    row.estimatedCriticalPath = estimateCriticalPath(record.spec);
    return row;
}

static void endJob(CellState& state, JobRow& job, JobState ended, const std::string& why, const Instant& now, CellActions& actions)
{
    job.ended = ended;
    markDirty(state, job);
    state.placementDue = true;
    Duration age = fromMilliseconds(std::max<std::int64_t>(0, now.wallMs - job.record.acceptedMs));
    observeLatency(state.counters, std::string("job_seconds_") + toString(ended), age);
    logMessage(actions, LogLevel::Info, "job.end", "", job.record.id, std::string(toString(ended)) + " after " + std::to_string(toMilliseconds(age)) + " ms: " + why);
    stopRunsOf(state, job.record.id, now, actions);
}

static void applyJobEntry(CellState& state, const StoreEntry& entry, const Instant& now, CellActions& actions)
{
    std::string id = entry.key.substr(std::string(kJobPrefix).size());
    if (state.jobs.count(id) > 0 || state.finished.count(id) > 0)
        return;
    std::optional<JobRecord> record = decodeJob(entry.value);
    if (!record || record->id != id) {
        logMessage(actions, LogLevel::Error, "job.read", "", id, "malformed job record in the store; the job is ignored");
        return;
    }
    JobRow& row = state.jobs.emplace(id, makeRow(*record, entry.modRevision)).first->second;
    beginOccurrences(state, row, now.steady);
    // While an owner recovers, it reads jobs that were accepted at any time.
    if (isOwner(state))
        recordAccepted(state, row);
    if (state.cancellations.count(id) > 0)
        endJob(state, row, JobState::Cancelled, "cancelled by its team", now, actions);
}

static void applyCancellation(CellState& state, const std::string& id, const Instant& now, CellActions& actions)
{
    JobRow* job = findJob(state, id);
    if (state.finished.count(id) > 0 || (job && job->ended))
        return;
    state.cancellations.insert(id);
    if (job)
        endJob(state, *job, JobState::Cancelled, "cancelled by its team", now, actions);
}

void applyQueueEntry(CellState& state, const StoreEntry& entry, const Instant& now, CellActions& actions)
{
    std::string cancelPrefix = kCancelPrefix;
    if (entry.key.compare(0, cancelPrefix.size(), cancelPrefix) == 0)
        applyCancellation(state, entry.key.substr(cancelPrefix.size()), now, actions);
    else if (entry.key != kQueueEpochKey)
        applyJobEntry(state, entry, now, actions);
}

static void endIfComplete(CellState& state, JobRow& job, const Instant& now, CellActions& actions)
{
    if (!job.ended && isComplete(job))
        endJob(state, job, JobState::Completed, "all tasks are done", now, actions);
}

/// The attempts that the job was accepted with. Records of earlier versions do not hold them, so that the route's count;
/// nothing while the route is not known.
static std::optional<int> attemptsOf(const CellState& state, const JobRow& job)
{
    if (job.record.attempts > 0)
        return job.record.attempts;
    const Route* route = state.configuration.value ? findRouteByName(*state.configuration.value, job.record.route) : nullptr;
    return route ? std::optional<int>(route->attempts) : std::nullopt;
}

void applyProgressEntry(CellState& state, const StoreEntry& entry, const Instant& now, CellActions& actions)
{
    std::string id = entry.key.substr(std::string(kProgressPrefix).size());
    JobRow* job = findJob(state, id);
    std::optional<JobProgress> stored = decodeProgress(entry.value);
    if (!job || !stored)
        return;
    job->mayHaveProgress = true;
    job->hasStarted = job->hasStarted || stored->completed.below > 0 || !stored->completed.others.empty();
    addCompleted(*job, stored->completed);
    std::set<int> touched;
    for (const TaskProgress& progress : stored->tasks) {
        TaskKey key { id, progress.occurrence, progress.step, progress.index };
        openOccurrence(state, key, now.steady);
        touched.insert(progress.occurrence);
        TaskRow* task = findTask(state, key);
        if (!task)
            continue;
        std::set<int>& failedRuns = specOf(*job, key).gang ? findStep(state, key)->failedRuns : task->failedRuns;
        failedRuns.insert(progress.failedRuns.begin(), progress.failedRuns.end());
        task->crashes.all.insert(progress.crashes.all.begin(), progress.crashes.all.end());
        task->crashes.sudden.insert(progress.crashes.sudden.begin(), progress.crashes.sudden.end());
        noteRun(*task, progress.lastRun);
        task->checkpoint = progress.checkpoint;
        job->hasStarted = true;
        if (progress.done)
            setPhase(state, key, TaskPhase::Done, now.steady);
    }
    for (int occurrence : touched)
        closeIfComplete(state, *job, occurrence);
    endIfComplete(state, *job, now, actions);
}

static void markDone(CellState& state, JobRow& job, const TaskKey& key, TimePoint now)
{
    if (!specOf(job, key).gang) {
        setPhase(state, key, TaskPhase::Done, now);
        return;
    }
    // The members of a gang end together, so the end of one applies to all.
    TaskKey member = key;
    int count = static_cast<int>(findStep(state, key)->tasks.size());
    for (member.index = 0; member.index < count; ++member.index)
        setPhase(state, member, TaskPhase::Done, now);
}

/// The task is done. Another run of it may go on, which would keep its room.
static void finishTask(CellState& state, JobRow& job, const TaskKey& key, const Instant& now, CellActions& actions)
{
    markDone(state, job, key, now.steady);
    auto it = state.upstreams.find(findTask(state, key)->upstream);
    if (!specOf(job, key).gang && it != state.upstreams.end())
        stopRun(state, it->second, formatTaskKey(key), now, actions);
    closeIfComplete(state, job, key.occurrence);
    endIfComplete(state, job, now, actions);
}

/// The failed runs of the task, or of its gang.
static std::set<int>& failedRunsOf(CellState& state, const JobRow& job, const TaskKey& key)
{
    return specOf(job, key).gang ? findStep(state, key)->failedRuns : findTask(state, key)->failedRuns;
}

/// Counts a failed run; repeated reports count once. Returns true if the task, or
/// its gang, has used up its attempts.
static bool countFailure(CellState& state, JobRow& job, const TaskKey& key, int run)
{
    std::set<int>& failedRuns = failedRunsOf(state, job, key);
    failedRuns.insert(run);
    std::optional<int> attempts = attemptsOf(state, job);
    return attempts && !specOf(job, key).isLongRunning && static_cast<int>(failedRuns.size()) >= *attempts;
}

/// Says by which failed runs, attempts and configuration the job fails.
static std::string describeUsedUpAttempts(CellState& state, const JobRow& job, const TaskKey& key)
{
    std::string runs;
    for (int run : failedRunsOf(state, job, key))
        runs += " " + std::to_string(run);
    std::string configuration = state.configuration.value ? "configuration version " + std::to_string(state.configuration.value->version) : "no configuration";
    return formatTaskKey(key) + " has used up its " + std::to_string(attemptsOf(state, job).value_or(0)) + " attempts, failed runs:" + runs + ", " + configuration;
}

/// True while the run by which the task is known holds room on its upstream.
static bool hasRun(const CellState& state, const TaskKey& key, const TaskRow& task)
{
    auto upstream = state.upstreams.find(task.upstream);
    if (upstream == state.upstreams.end())
        return false;
    auto it = upstream->second.runs.find(formatTaskKey(key));
    return it != upstream->second.runs.end() && it->second.run == task.run;
}

/// True if the report is about the current run of the task, or a later one. A task that still runs is not ended by
/// another run of it, which an owner before this one has started beside it.
static bool isEndOfLatest(const CellState& state, const TaskRow& task, const RunEndReport& end)
{
    if (task.phase == TaskPhase::Waiting)
        return end.run >= task.run;
    if (end.run == task.run)
        return task.upstream == end.upstream;
    return end.run > task.run && !hasRun(state, end.task, task);
}

static void logRunEnd(const TaskRow& task, const RunEndReport& end, const Instant& now, CellActions& actions)
{
    std::string age = std::to_string(toMilliseconds(now.steady - task.since));
    logMessage(actions, LogLevel::Info, "task.end", end.upstream, end.task.job, formatTaskKey(end.task) + " run " + std::to_string(end.run) + " " + toString(end.how) + " after " + age + " ms");
}

void handleRunEnd(CellState& state, const RunEndReport& end, const Instant& now, CellActions& actions)
{
    openOccurrence(state, end.task, now.steady);
    TaskRow* task = findTask(state, end.task);
    JobRow* job = findJob(state, end.task.job);
    if (!task || job->ended || task->phase == TaskPhase::Done)
        return;
    job->hasStarted = true;
    markDirty(state, *job);
    logRunEnd(*task, end, now, actions);
    bool isLatest = isEndOfLatest(state, *task, end);
    bool isDone = end.how == RunEnd::Done && end.run >= task->run && !specOf(*job, end.task).isLongRunning;
    task->highestRun = std::max(task->highestRun, end.run);
    // After a change of owner, the ends of several runs may be reported in any order.
    bool isUsedUp = end.how == RunEnd::Failed && countFailure(state, *job, end.task, end.run);
    if (isDone && !isLatest) {
        finishTask(state, *job, end.task, now, actions);
        return;
    }
    if (isLatest) {
        task->run = end.run;
        if (!end.checkpoint.empty())
            task->checkpoint = end.checkpoint;
        if (end.how == RunEnd::Failed)
            task->notBefore = now.steady + kPauseAfterFailure;
        if (isDone) {
            finishTask(state, *job, end.task, now, actions);
            return;
        }
        setPhase(state, end.task, TaskPhase::Waiting, now.steady);
    }
    if (isUsedUp)
        endJob(state, *job, JobState::Failed, describeUsedUpAttempts(state, *job, end.task), now, actions);
}

void handleCrashedRun(CellState& state, const TaskKey& key, int run, bool isSudden, const std::string& upstream, const Instant& now, CellActions& actions)
{
    TaskRow* task = findTask(state, key);
    JobRow* job = findJob(state, key.job);
    if (!task || job->ended || task->phase == TaskPhase::Done)
        return;
    CrashedRuns& crashes = task->crashes;
    crashes.all.insert(run);
    if (isSudden)
        crashes.sudden.insert(run);
    markDirty(state, *job);
    state.counters.add("task_crashes_total");
    logMessage(actions, LogLevel::Warning, "task.crash", upstream, key.job, formatTaskKey(key) + " run " + std::to_string(run) + ": the upstream crashed" + (isSudden ? " right after its start" : "") + "; upstreams crashed under the task: " + std::to_string(crashes.all.size()) + ", right after its start: " + std::to_string(crashes.sudden.size()));
    // A long-running task sees many upstreams crash that it has nothing to do with.
    bool hasTooMany = !specOf(*job, key).isLongRunning && crashes.all.size() >= kMaxCrashes;
    if (crashes.sudden.size() >= kMaxSuddenCrashes || hasTooMany)
        endJob(state, *job, JobState::Failed, formatTaskKey(key) + " seems to crash the upstreams on which it starts", now, actions);
}

bool isStepReady(const CellState& state, const JobRow& job, int occurrence, int step, std::int64_t wallMs)
{
    const JobSpec& spec = job.record.spec;
    if (spec.occurrences > 0) {
        std::int64_t due = spec.firstDueMs + occurrence * spec.intervalMs;
        if (wallMs + toMilliseconds(state.settings.maxEarlyStart) < due)
            return false;
    }
    const std::vector<StepRow>& steps = job.occurrences.at(occurrence).steps;
    for (int earlier : spec.steps[step].after) {
        bool isKnown = earlier >= 0 && static_cast<std::size_t>(earlier) < steps.size();
        if (isKnown && steps[earlier].done < static_cast<int>(steps[earlier].tasks.size()))
            return false;
    }
    return true;
}

JobState stateOf(const JobRow& job)
{
    if (job.ended)
        return *job.ended;
    return job.hasStarted ? JobState::Running : JobState::Pending;
}

std::int64_t countWaiting(const CellState& state, const std::string& route)
{
    return std::count_if(state.jobs.begin(), state.jobs.end(), [&route](const auto& item) {
        const JobRow& job = item.second;
        return job.record.route == route && !job.hasStarted && !job.ended;
    });
}

static void addProgress(const JobRow& job, int occurrence, std::vector<TaskProgress>& all)
{
    const std::vector<StepRow>& steps = job.occurrences.at(occurrence).steps;
    for (std::size_t s = 0; s < steps.size(); ++s) {
        for (std::size_t i = 0; i < steps[s].tasks.size(); ++i) {
            const TaskRow& task = steps[s].tasks[i];
            bool isDone = task.phase == TaskPhase::Done;
            bool isGang = job.record.spec.steps[s].gang;
            const std::set<int>& failedRuns = isGang ? steps[s].failedRuns : task.failedRuns;
            bool hasCrashed = !task.crashes.all.empty();
            if (isDone || hasCrashed || !failedRuns.empty() || !task.checkpoint.empty())
                all.push_back({ occurrence, static_cast<int>(s), static_cast<int>(i), isDone, failedRuns, task.run, isDone ? std::string() : task.checkpoint, task.crashes });
        }
    }
}

JobProgress collectProgress(const JobRow& job)
{
    JobProgress progress;
    for (const auto& [occurrence, row] : job.occurrences)
        addProgress(job, occurrence, progress.tasks);
    if (job.record.spec.occurrences > 0)
        progress.completed = job.completed;
    return progress;
}

} // namespace crocuslever::cell
