#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "crocuslever/CallerProtocol.h"
#include "crocuslever/Comparable.h"
#include "crocuslever/Ids.h"
#include "crocuslever/TaskSpec.h"
#include "crocuslever/Time.h"
#include "crocuslever/UpstreamProtocol.h"

namespace crocuslever {

/// A task's standing assignment; durable before the start.
struct Assignment {
    AttemptId attempt;
    UpstreamId upstream;
    FailureDomainId domain;
    IncarnationId incarnation;
    ShardIndex shard { 0 }; ///< Of the upstream.
    Epoch epoch { 0 }; ///< Of the upstream's shard when it was reserved.

    auto tie() const { return std::tie(attempt, upstream, domain, incarnation, shard, epoch); }
};

/// One task of a job: a batch job has one, a gang or service has several.
struct TaskRecord {
    std::optional<Assignment> assignment;
    bool ended { false };
    int attemptsFailed { 0 };
    std::vector<UpstreamId> failedOn;

    auto tie() const { return std::tie(assignment, ended, attemptsFailed, failedOn); }
};

/// A job as the store holds it. Its body is stored once, under a key of its own.
struct JobRecord {
    JobId id;
    TeamId team;
    std::string idempotencyId;
    TaskSpec spec;
    std::int64_t submittedAtMs { 0 }; ///< Wall clock, since 1970.
    std::int64_t endedAtMs { 0 };
    JobState state { JobState::Queued };
    RefusalReason reason { RefusalReason::None }; ///< Why it failed.
    bool cancelRequested { false };
    std::vector<TaskRecord> tasks;
    TaskResult result; ///< Of the last task to end.
    std::uint32_t nextAttempt { 0 };

    auto tie() const
    {
        return std::tie(id, team, idempotencyId, spec, submittedAtMs, endedAtMs, state, reason, cancelRequested, tasks, result, nextAttempt);
    }
};

} // namespace crocuslever
