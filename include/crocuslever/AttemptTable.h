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

enum class AttemptPhase {
    Reserved, ///< Room is held; not started.
    Starting, ///< Start sent, no answer yet.
    Running,
    Stopping, ///< Stop sent or to be sent.
    Ended, ///< Result known; waits for the job owner's acknowledgement.
};

const char* toString(AttemptPhase);

/// The caller side of an urgent attempt.
struct UrgentOrigin {
    InstanceId entry;
    CallId call { 0 };
    TimePoint deadline;
    TaskSpec spec;
    int tries { 0 };
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
    Resources charged { 0, 0, 0, 0 }; ///< What it holds of the upstream.
    bool holdsRoom { false }; ///< Charged to its upstream and its team.
    bool startInDoubt { false }; ///< Starting, and the start's answer was lost.
    std::string service; ///< Handler at the upstream; empty when adopted by a fence.
    bool failedElsewhere { false }; ///< Its job failed on another upstream before.
    TimePoint phaseSince;
    TimePoint holdUntil; ///< While Reserved.
    TimePoint leaseUntil; ///< Latest end of its lease at the upstream.
    bool stopInFlight { false };
    StopMode stopMode { StopMode::Stop }; ///< Of the last stop sent.
    int stopTries { 0 };
    TimePoint wakeAt; ///< Its entry in AttemptTable::wakes.
    TimePoint nextReport; ///< Of the end, until it is acknowledged.
    AttemptState finalState { AttemptState::Unknown }; ///< When Ended.
    bool upstreamGone { false };
    TaskResult result;
    std::optional<UrgentOrigin> urgent;
};

/// Attempts by id, with the indexes that addAttempt, removeAttempt and
/// wakeAttempt keep: change the rows' keys through these only.
struct AttemptTable : std::map<AttemptId, AttemptRow> {
    std::set<std::pair<TimePoint, AttemptId>> wakes; ///< When each next needs attention.
    std::map<UpstreamId, std::set<AttemptId>> byUpstream;
    bool drainPending { false }; ///< Some may have to move off upstreams that take no new work.
    TimePoint nextDrain;
};

} // namespace crocuslever
