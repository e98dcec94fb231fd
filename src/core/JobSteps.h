#pragma once

// Functions shared by the sources that implement the owner's side of jobs.

#include "crocuslever/Core.h"

namespace crocuslever {

/// The job, or null if it does not exist, or if this instance does not own its shard, has not
/// loaded the shard's jobs or is releasing the shard.
JobRow* findOwnedJob(CoreState&, const JobId&, TimePoint now);
/// Marks the record as changed: the change must be durable before anyone is told of it.
void markChanged(CoreState&, JobRow&);
/// Sets the time of the job's next step; replaces an earlier schedule.
void scheduleAt(CoreState&, JobRow&, TimePoint at);
/// Changes the job's state and updates the team's count of queued jobs.
void setJobState(CoreState&, JobRow&, JobState);
/// Moves the job to a final state and counts it.
void finishJob(CoreState&, JobRow&, JobState, RefusalReason, const Instant& now);
/// True if the latest version of the record is known to be in the store.
bool isDurable(const JobRow&);
/// Removes the job from the table and from all indexes.
void removeJob(CoreState&, JobRow&);

/// Adds the job to, or removes it from, its team's queue of jobs that need reservations.
void enqueueForReservation(CoreState&, JobRow&);
void dequeueForReservation(CoreState&, JobRow&);
/// Requests reservations for queued jobs, in ascending order of the teams' dominant shares.
void runDispatch(CoreState&, const Instant& now, Actions&);
/// Releases all reservations of the job that are held or requested and not yet assigned.
void releaseReservations(CoreState&, JobRow&, Actions&);

/// Sends the replies and acknowledgements that waited for the durable version, and schedules the
/// job's next step, which starts newly assigned tasks.
void notifyDurable(CoreState&, JobRow&, const Instant& now, Actions&);
/// Queues a group commit of the changed jobs once the commit interval has passed.
void commitJobs(CoreState&, const Instant& now);
/// The job's state as reported to callers. A final state is reported as Running until it is
/// durable.
CallerReply describeJob(const JobRow&, bool withResult);
/// True if some task of the job still needs a reservation.
bool needsReservation(const JobRow&);
/// True if some task of the job is assigned and has not ended.
bool hasAssignedTasks(const JobRow&);

} // namespace crocuslever
