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

/// The current assignment of a task to an upstream. Stored durably before the task is started.
struct Assignment {
    AttemptId attempt;
    UpstreamId upstream;
    FailureDomainId domain;
    IncarnationId incarnation;
    ShardIndex shard { 0 }; ///< The upstream's shard.
    Epoch epoch { 0 }; ///< Epoch of the upstream's shard at the time of the reservation.

    auto tie() const { return std::tie(attempt, upstream, domain, incarnation, shard, epoch); }
};

/// One task of a job. A batch job has one task; a gang or service may have several.
struct TaskRecord {
    std::optional<Assignment> assignment;
    bool ended { false };
    int attemptsFailed { 0 };
    std::vector<UpstreamId> failedOn;

    auto tie() const { return std::tie(assignment, ended, attemptsFailed, failedOn); }
};

/// A job as stored. The body is stored once, under a separate key.
struct JobRecord {
    JobId id;
    TeamId team;
    std::string idempotencyId;
    TaskSpec spec;
    std::int64_t submittedAtMs { 0 }; ///< Wall clock, milliseconds since 1970.
    std::int64_t endedAtMs { 0 }; ///< Wall clock, milliseconds since 1970; 0: not ended.
    JobState state { JobState::Queued };
    RefusalReason reason { RefusalReason::None }; ///< Why the job failed; None otherwise.
    bool cancelRequested { false };
    std::vector<TaskRecord> tasks;
    TaskResult result; ///< Result of the task that ended last.
    std::uint32_t nextAttempt { 0 }; ///< Number of the job's next attempt.

    auto tie() const
    {
        return std::tie(id, team, idempotencyId, spec, submittedAtMs, endedAtMs, state, reason, cancelRequested, tasks, result, nextAttempt);
    }
};

} // namespace crocuslever
