#pragma once

#include "src/cell/CellState.h"

namespace crocuslever::cell {

// The owner's table of jobs and what becomes of their tasks.

/// A job or a cancellation, as read from the store.
void applyQueueEntry(CellState&, const StoreEntry&, const Instant& now, CellActions&);
/// Results of a job's tasks, as read from the store.
void applyProgressEntry(CellState&, const StoreEntry&, const Instant& now, CellActions&);

void removeJob(CellState&, const std::string& id);

/// Null: no such job or task.
JobRow* findJob(CellState&, const std::string& id);
TaskRow* findTask(CellState&, const TaskKey&);
const StepSpec& specOf(const JobRow&, const TaskKey&);

/// Moves a task to another phase and keeps the step's counts.
void setPhase(CellState&, const TaskKey&, TaskPhase, TimePoint now);

/// A run of the task has ended.
struct RunEndReport {
    TaskKey task;
    int run { 0 };
    std::string upstream;
    RunEnd how { RunEnd::Failed };
    std::string checkpoint;
};

/// Takes in the end of a run, as often as it is told. An end of another run
/// than the latest counts as an attempt if it failed, and changes nothing else.
void handleRunEnd(CellState&, const RunEndReport&, const Instant& now, CellActions&);

/// True if all steps that this one comes after are done and its time has come.
bool isStepReady(const CellState&, const JobRow&, int occurrence, int step, std::int64_t wallMs);

JobState stateOf(const JobRow&);
/// Jobs of the route of which no task has started yet.
std::int64_t countWaiting(const CellState&, const std::string& route);

/// What is to be stored of the job's tasks.
std::vector<TaskProgress> progressOf(const JobRow&);

} // namespace crocuslever::cell
