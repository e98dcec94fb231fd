#pragma once

#include "crocuslever/Core.h"

namespace crocuslever {

/// Reserves capacity for a deferred attempt on one of this instance's upstreams, or refuses.
/// A repeated request gets the same answer.
void handleReserveRequest(CoreState&, const InstanceId& from, const ReserveRequest&, TimePoint now, Actions&);
/// Cancels a reservation; does nothing if the attempt was started or isn't known.
void handleReleaseRequest(CoreState&, const ReleaseRequest&, TimePoint now, Actions&);
/// Starts a reserved attempt, whose assignment is durable. Starts it at most once; a repeated
/// request is answered with the attempt's state.
void handleStartRequest(CoreState&, const InstanceId& from, const StartRequest&, TimePoint now, Actions&);
/// Reports the attempt's state to its job's owner, or stops the attempt to learn its final state.
void handleAttemptQuery(CoreState&, const InstanceId& from, const AttemptQuery&, TimePoint now, Actions&);
/// Removes an ended attempt and has its result deleted at the upstream.
void handleAttemptAcknowledge(CoreState&, const AttemptAcknowledge&, TimePoint now, Actions&);
/// Expires unused reservations, checks leases, repeats stops and unacknowledged reports,
/// and drains upstreams that are out of service.
void runAttempts(CoreState&, TimePoint now, Actions&);

/// Adds an attempt to the table and schedules a sync of its upstream. Charges `charged` to
/// the upstream and one task to the team if it has any slots.
AttemptRow& addAttempt(CoreState&, AttemptRow, TimePoint now);
/// Removes an attempt, if it is in the table, and refunds what it was charged.
void removeAttempt(CoreState&, const AttemptId&);
/// Schedules the attempt to be processed next at `at`; replaces any earlier schedule.
void scheduleAttempt(CoreState&, AttemptRow&, TimePoint at);
/// Reports the attempt's state to the job's owner. In phase Ended, also schedules the next report.
void reportAttempt(CoreState&, AttemptRow&, AttemptState, TimePoint now, Actions&);
/// Ends an attempt that certainly no longer runs, but whose result is lost: its upstream is
/// gone, has restarted, or was silent for longer than the lease. May erase the row.
void endLostAttempt(CoreState&, AttemptRow&, TimePoint now, Actions&);
/// Ends an attempt. A deferred one is kept until the job's owner acknowledges its end; an
/// urgent one is answered and erased.
void endAttempt(CoreState&, AttemptRow&, AttemptState, TaskResult, TimePoint now, Actions&);

} // namespace crocuslever
