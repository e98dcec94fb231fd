#pragma once

#include "src/cell/CellState.h"

namespace crocuslever::cell {

// The occurrences of a job that the owner holds rows for. A job without a schedule has one, from the start. Of a scheduled
// job it holds those that are due and not complete, so that its memory follows what is due, not what is asked for in all.

/// Open tasks of all jobs above which occurrences have to wait, and the admission limit tightens.
constexpr std::int64_t kMaxOpenTasks = 100000;

/// Opens the first occurrence of a new job, or plans that of a scheduled one.
void beginOccurrences(CellState&, JobRow&, TimePoint now);
/// Opens the occurrences that have become due, in their order. One that finds no room for its tasks opens later.
void openDueOccurrences(CellState&, const Instant& now);
/// Opens an occurrence that an earlier owner has begun, unless it is open or complete, or the job has no such occurrence.
void openOccurrence(CellState&, const TaskKey&, TimePoint now);
/// Drops the rows of the occurrence if all its tasks are done.
void closeIfComplete(CellState&, JobRow&, int occurrence);
/// Notes what an earlier owner has completed.
void addCompleted(JobRow&, const CompletedOccurrences&);
/// True if all occurrences are complete.
bool isComplete(const JobRow&);
/// Drops all rows of a job that is removed.
void closeOccurrences(CellState&, JobRow&);

} // namespace crocuslever::cell
