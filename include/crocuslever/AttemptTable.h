#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "crocuslever/Ids.h"
#include "crocuslever/Resources.h"
#include "crocuslever/TaskSpec.h"
#include "crocuslever/Time.h"
#include "crocuslever/UpstreamProtocol.h"

namespace crocuslever {

/// Where an attempt stands from the point of view of the upstream's owner.
enum class AttemptPhase {
    Reserved, ///< Capacity is reserved; no start has been sent.
    Starting, ///< A start has been sent and not answered with certainty.
    Running,
    Stopping, ///< A stop has been sent or is due to be sent.
    Ended, ///< The result is known; kept until the job's owner acknowledges it.
};

const char* toString(AttemptPhase);

/// Where the reply to an urgent attempt goes, and what a retry of it needs.
struct UrgentOrigin {
    InstanceId entry;
    CallId call { 0 };
    TimePoint deadline;
    TaskSpec spec;
    int tries { 0 }; ///< Starts sent for the call so far.
};

/// An attempt on an upstream that this instance owns.
struct AttemptRow {
    AttemptId id;
    JobId job; ///< Empty for an urgent request.
    TeamId team;
    WorkKind kind { WorkKind::Batch };
    bool idempotent { false };
    UpstreamId upstream;
    IncarnationId incarnation;
    ShardIndex shard { 0 };
    Epoch epoch { 0 };
    AttemptPhase phase { AttemptPhase::Reserved };
    Resources charged { 0, 0, 0, 0 }; ///< Amount charged to the upstream; all 0 once ended.
    bool isCharged { false }; ///< `charged` is counted against the upstream, and one task against the team.
    bool startOutcomeUnknown { false }; ///< In phase Starting, and the start call ended with an unknown outcome.
    std::string service; ///< Handler at the upstream; empty if the attempt was adopted from a fence's answer.
    bool failedElsewhere { false }; ///< The job has already failed on another upstream.
    TimePoint phaseSince;
    TimePoint holdUntil; ///< End of the reservation; only in phase Reserved.
    TimePoint leaseUntil; ///< Latest time at which the attempt's lease at the upstream can end.
    bool stopInFlight { false };
    StopMode stopMode { StopMode::Stop }; ///< Mode of the last stop sent.
    int stopTries { 0 }; ///< Stops due so far, sent or not; sets the retry backoff.
    TimePoint dueAt; ///< Key of the attempt's entry in AttemptTable::due.
    TimePoint nextReport; ///< When the end is reported again, until it is acknowledged.
    AttemptState finalState { AttemptState::Unknown }; ///< Only in phase Ended.
    bool upstreamGone { false }; ///< The upstream left the list for good, restarted, or let the lease lapse.
    TaskResult result; ///< Only in phase Ended.
    std::optional<UrgentOrigin> urgent; ///< Empty for deferred work, and once the caller has been answered.
};

/// Attempts by id, with their indexes. Add and remove rows, and change a row's
/// upstream or due time, only through addAttempt, removeAttempt and scheduleAttempt.
struct AttemptTable : std::map<AttemptId, AttemptRow> {
    std::set<std::pair<TimePoint, AttemptId>> due; ///< When each attempt is next processed.
    std::map<UpstreamId, std::set<AttemptId>> byUpstream;
    bool drainPending { false }; ///< Some attempts may have to be drained from upstreams out of service.
    TimePoint nextDrain; ///< Earliest time of the next drain pass.
};

} // namespace crocuslever
