#pragma once

#include "crocuslever/Core.h"

namespace crocuslever {

/// Advances the due jobs of the owned shards: queues them, requests reservations, commits
/// assignments, starts tasks, retries failures and removes jobs past their retention.
void runJobs(CoreState&, const Instant& now, Actions&);
/// Serves a submission, query or cancellation; answers NoOwner if this instance does not own the
/// job's shard.
void handleJobCall(CoreState&, const InstanceId& from, const JobCall&, const Instant& now, Actions&);
/// Applies the answer to a reservation request; a grant that is no longer wanted is released.
void handleReserveAnswer(CoreState&, const InstanceId& from, const ReserveAnswer&, const Instant& now, Actions&);
/// Applies the state of an attempt as reported by the owner of its upstream.
void handleAttemptReport(CoreState&, const InstanceId& from, const AttemptReport&, const Instant& now, Actions&);
/// Applies the outcome of a group commit: on success the written versions become durable, on a
/// conflict they are written again.
void handleJobsOutcome(CoreState&, const JobsPurpose&, bool committed, const Instant& now, Actions&);
/// Rebuilds the job table of a shard from its store entries after a takeover. Records that do not
/// parse are logged and skipped.
void loadJobs(CoreState&, ShardIndex, const std::vector<StoreEntry>&, const Instant& now, Actions&);

/// Removes the jobs of a shard that this instance no longer owns.
void removeJobs(CoreState&, ShardIndex);

} // namespace crocuslever
