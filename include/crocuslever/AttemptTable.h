#pragma once

#include <map>
#include <optional>

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
    Resources charged; ///< What it holds of the upstream.
    TimePoint phaseSince;
    TimePoint holdUntil; ///< While Reserved.
    TimePoint leaseUntil; ///< Latest end of its lease at the upstream.
    bool stopInFlight { false };
    TimePoint nextReport; ///< Of the end, until it is acknowledged.
    AttemptState finalState { AttemptState::Unknown }; ///< When Ended.
    bool upstreamGone { false };
    TaskResult result;
    std::optional<UrgentOrigin> urgent;
};

using AttemptTable = std::map<AttemptId, AttemptRow>;

} // namespace crocuslever
