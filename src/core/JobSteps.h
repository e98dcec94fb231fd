#pragma once

// What the files of the job owner's side share.

#include "crocuslever/Core.h"

namespace crocuslever {

/// The job if this instance owns its shard and has read its jobs; else null.
JobRow* findOwnedJob(CoreState&, const JobId&, TimePoint now);
/// The record has changed: it must be written before anyone is told.
void markChanged(CoreState&, JobRow&);
/// Has the job looked at by then at the latest.
void scheduleAt(CoreState&, JobRow&, TimePoint at);
/// Changes the state and the counts that hang on it.
void setJobState(CoreState&, JobRow&, JobState);
/// Ends the job for good.
void finishJob(CoreState&, JobRow&, JobState, RefusalReason, const Instant& now);
bool isDurable(const JobRow&);

/// Puts the job into its team's queue for room, or takes it out.
void enqueueForRoom(CoreState&, JobRow&);
void dequeueForRoom(CoreState&, JobRow&);
/// Asks owners for room, for the teams farthest below their share first.
void runDispatch(CoreState&, const Instant& now, Actions&);
/// Gives back what is held or asked for and not assigned.
void releaseHolds(CoreState&, JobRow&, Actions&);

/// Tells everyone who waits what is durable now, and starts what was assigned.
void runAfterDurable(CoreState&, JobRow&, const Instant& now, Actions&);
/// Queues a group commit of the changed jobs, if it is time.
void commitJobs(CoreState&, const Instant& now);
/// What a caller is told of a job.
CallerReply describeJob(const JobRow&, bool withResult);
/// True if some task of the job needs room.
bool needsRoom(const JobRow&);
/// True if some task of the job is assigned and not known to have ended.
bool hasAssignedTasks(const JobRow&);

} // namespace crocuslever
