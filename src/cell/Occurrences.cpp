#include "src/cell/Occurrences.h"

#include <algorithm>

#include "src/cell/Jobs.h"

namespace crocuslever::cell {

/// Until the next attempt to open an occurrence for whose tasks there was no room.
static constexpr std::int64_t kRetryIntervalMs = 200; // ms

static int countOccurrences(const JobSpec& spec) { return std::max(1, spec.occurrences); }

static std::int64_t countTasks(const JobSpec& spec)
{
    std::int64_t count = 0;
    for (const StepSpec& step : spec.steps)
        count += std::max(0, step.count);
    return count;
}

static bool isCompleted(const JobRow& job, int occurrence)
{
    return occurrence < job.completed.below || job.completed.others.count(occurrence) > 0;
}

static StepRow makeStep(const StepSpec& spec, TimePoint now)
{
    StepRow step;
    step.tasks.resize(std::max(0, spec.count));
    for (TaskRow& task : step.tasks)
        task.since = now;
    step.waiting = static_cast<int>(step.tasks.size());
    return step;
}

static void open(CellState& state, JobRow& job, int occurrence, TimePoint now)
{
    OccurrenceRow& row = job.occurrences[occurrence];
    for (const StepSpec& spec : job.record.spec.steps)
        row.steps.push_back(makeStep(spec, now));
    std::int64_t count = countTasks(job.record.spec);
    state.ownership.openTasks += count;
    countWaitingTasks(state, job, static_cast<int>(count));
    state.placementDue = true;
}

static void close(CellState& state, JobRow& job, int occurrence)
{
    job.occurrences.erase(occurrence);
    state.ownership.openTasks -= countTasks(job.record.spec);
}

static std::int64_t dueMs(const CellState& state, const JobSpec& spec, int occurrence)
{
    return spec.firstDueMs + occurrence * spec.intervalMs - toMilliseconds(state.settings.maxEarlyStart);
}

/// Plans the opening of the job's next occurrence, if there is one.
static void planNext(CellState& state, const JobRow& job)
{
    if (job.nextOccurrence < countOccurrences(job.record.spec))
        state.ownership.dueOccurrences.emplace(dueMs(state, job.record.spec, job.nextOccurrence), job.record.id);
}

static bool hasRoom(const CellState& state, const JobRow& job)
{
    std::int64_t each = countTasks(job.record.spec);
    std::int64_t ofJob = each * static_cast<std::int64_t>(job.occurrences.size() + 1);
    // The progress of all that is open goes into one record.
    bool fitsJob = job.occurrences.empty() || ofJob <= kMaxTasksPerOccurrence;
    return fitsJob && (state.ownership.openTasks == 0 || state.ownership.openTasks + each <= kMaxOpenTasks);
}

void beginOccurrences(CellState& state, JobRow& job, TimePoint now)
{
    if (job.record.spec.occurrences > 0) {
        planNext(state, job);
        return;
    }
    job.nextOccurrence = 1;
    open(state, job, 0, now);
}

/// Opens the job's next occurrence if it is due, and plans the one after it.
static void openNext(CellState& state, JobRow& job, const Instant& now)
{
    bool isNew = !isCompleted(job, job.nextOccurrence) && job.occurrences.count(job.nextOccurrence) == 0;
    bool isDue = dueMs(state, job.record.spec, job.nextOccurrence) <= now.wallMs;
    if (isNew && isDue && !hasRoom(state, job)) {
        state.ownership.dueOccurrences.emplace(now.wallMs + kRetryIntervalMs, job.record.id);
        return;
    }
    if (isNew && isDue)
        open(state, job, job.nextOccurrence, now.steady);
    if (!isNew || isDue)
        ++job.nextOccurrence;
    planNext(state, job);
}

void openDueOccurrences(CellState& state, const Instant& now)
{
    std::multimap<std::int64_t, std::string>& due = state.ownership.dueOccurrences;
    while (!due.empty() && due.begin()->first <= now.wallMs) {
        std::string id = std::move(due.begin()->second);
        due.erase(due.begin());
        JobRow* job = findJob(state, id);
        if (job && !job->ended && !isComplete(*job))
            openNext(state, *job, now);
    }
}

void openOccurrence(CellState& state, const TaskKey& key, TimePoint now)
{
    JobRow* job = findJob(state, key.job);
    if (!job || key.occurrence < 0 || key.occurrence >= countOccurrences(job->record.spec))
        return;
    if (!isCompleted(*job, key.occurrence) && job->occurrences.count(key.occurrence) == 0)
        open(state, *job, key.occurrence, now);
}

static void addCompleted(JobRow& job, int occurrence)
{
    CompletedOccurrences& completed = job.completed;
    if (occurrence >= completed.below)
        completed.others.insert(occurrence);
    while (!completed.others.empty() && *completed.others.begin() <= completed.below) {
        completed.below = std::max(completed.below, *completed.others.begin() + 1);
        completed.others.erase(completed.others.begin());
    }
}

void addCompleted(JobRow& job, const CompletedOccurrences& completed)
{
    job.completed.below = std::max(job.completed.below, completed.below);
    for (int occurrence : completed.others)
        addCompleted(job, occurrence);
    // Nothing before it opens again.
    job.nextOccurrence = std::max(job.nextOccurrence, job.completed.below);
}

void closeIfComplete(CellState& state, JobRow& job, int occurrence)
{
    auto it = job.occurrences.find(occurrence);
    if (it == job.occurrences.end())
        return;
    const std::vector<StepRow>& steps = it->second.steps;
    bool isDone = std::all_of(steps.begin(), steps.end(), [](const StepRow& step) { return step.done >= static_cast<int>(step.tasks.size()); });
    if (!isDone)
        return;
    addCompleted(job, occurrence);
    // The rows of a plain job stay until its end is stored.
    if (job.record.spec.occurrences > 0)
        close(state, job, occurrence);
}

bool isComplete(const JobRow& job) { return job.completed.below >= countOccurrences(job.record.spec); }

void closeOccurrences(CellState& state, JobRow& job)
{
    while (!job.occurrences.empty())
        close(state, job, job.occurrences.begin()->first);
}

} // namespace crocuslever::cell
