#pragma once

#include "crocuslever/Core.h"

namespace crocuslever {

/// Drives every job of the owned shards: queue, reserve, assign durably, start,
/// retry, end, forget.
void runJobs(CoreState&, const Instant& now, Actions&);
void handleJobCall(CoreState&, const InstanceId& from, const JobCall&, const Instant& now, Actions&);
void handleReserveAnswer(CoreState&, const InstanceId& from, const ReserveAnswer&, const Instant& now, Actions&);
void handleAttemptReport(CoreState&, const InstanceId& from, const AttemptReport&, const Instant& now, Actions&);
void handleJobsOutcome(CoreState&, const JobsPurpose&, bool committed, const Instant& now, Actions&);
/// The jobs of a shard as read back from the store at a takeover.
void loadJobs(CoreState&, ShardIndex, const std::vector<StoreEntry>&, const Instant& now, Actions&);

/// Drops the jobs of a shard that was lost or handed over.
void forgetJobs(CoreState&, ShardIndex);

} // namespace crocuslever
