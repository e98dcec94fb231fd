#pragma once

#include "src/cell/CellState.h"

namespace crocuslever::cell {

// The owner's table of jobs and the life cycle of their tasks.

/// Applies a job or a cancellation read from the store. Idempotent.
void applyQueueEntry(CellState&, const StoreEntry&, const Instant& now, CellActions&);
/// Applies the stored progress of a job's tasks. Unknown jobs are ignored.
void applyProgressEntry(CellState&, const StoreEntry&, const Instant& now, CellActions&);

void removeJob(CellState&, const std::string& id);

/// Null: no such job.
JobRow* findJob(CellState&, const std::string& id);
/// Null: no such task.
TaskRow* findTask(CellState&, const TaskKey&);
const StepSpec& specOf(const JobRow&, const TaskKey&);

/// Takes the run for the one by which the task is known.
void noteRun(TaskRow&, int run);
/// Updates the count of waiting tasks, and the set of jobs that placement considers.
void countWaitingTasks(CellState&, JobRow&, int change);
/// Moves a task to another phase and updates the counts of its step and job.
void setPhase(CellState&, const TaskKey&, TaskPhase, TimePoint now);

/// The reported end of a run.
struct RunEndReport {
    TaskKey task;
    int run { 0 };
    std::string upstream;
    RunEnd how { RunEnd::Failed };
    std::string checkpoint;
};

/// Counts a run whose upstream crashed. A job with a task that seems to crash its upstreams fails.
void handleCrashedRun(CellState&, const TaskKey&, int run, bool isSudden, const std::string& upstream, const Instant& now, CellActions&);

/// Applies the end of a run. Idempotent. The end of a run other than the latest
/// only counts as an attempt, and only if it failed.
void handleRunEnd(CellState&, const RunEndReport&, const Instant& now, CellActions&);

/// True if the occurrence is due and all steps that this one depends on are done.
bool isStepReady(const CellState&, const JobRow&, int occurrence, int step, std::int64_t wallMs);

JobState stateOf(const JobRow&);
/// Number of jobs of the route that have not started a task yet.
std::int64_t countWaiting(const CellState&, const std::string& route);

/// The job's progress record: complete occurrences, and tasks that are done, have failed runs or have a checkpoint.
JobProgress collectProgress(const JobRow&);

} // namespace crocuslever::cell
