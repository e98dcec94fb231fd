#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <variant>

#include "crocuslever/Comparable.h"
#include "crocuslever/Ids.h"
#include "crocuslever/TaskSpec.h"
#include "crocuslever/Time.h"

namespace crocuslever {

/// A synchronous request. Its complete result is returned before the deadline, or none is.
struct UrgentRequest {
    TaskSpec spec;
};

struct JobSubmission {
    std::string idempotencyId; ///< Unique within the team: the same id means the same job.
    TaskSpec spec;
};

struct JobQuery {
    JobId job;
    bool wantResult { false }; ///< Return the task's result with the state.
};

struct JobCancellation {
    JobId job;
};

/// One call from the caller-facing HTTP server, already parsed and checked against its size limits.
struct CallerCall {
    CallId id { 0 };
    std::string key; ///< API key as the caller sent it: "id.secret".
    std::variant<UrgentRequest, JobSubmission, JobQuery, JobCancellation> request;
};

/// The caller's connection was closed before the call was answered.
struct CallerGone {
    CallId id { 0 };
};

/// The outcome of a caller's call.
enum class CallOutcome {
    Done, ///< Ran; the result is in the body.
    Accepted, ///< Stored durably; runs to one complete result.
    NotRun, ///< Refused; it has not run and will not run later.
    Unknown, ///< May have run or still be running; query it under the same id.
    Invalid, ///< The request is malformed or violates a limit.
    Unauthorized,
    NotFound,
};

const char* toString(CallOutcome);

/// Why a request was refused. The names returned by toString() are part of the API.
enum class RefusalReason {
    None,
    Overloaded, ///< No upstream has enough free capacity now.
    TeamLimit, ///< The team is running as many tasks as its upper limit allows.
    NeverFits, ///< No listed upstream is large enough, even when empty.
    StoreUnavailable,
    NoOwner, ///< No instance owns the shard at present.
    ShuttingDown,
    DeadlinePassed,
    QueueFull,
    TaskFailed, ///< The task ran and returned a failure.
    UpstreamLost, ///< The upstream stopped answering or went away.
    Cancelled,
    BadRequest,
    NotValid, ///< This instance's session lease is not valid.
};

const char* toString(RefusalReason);

enum class JobState {
    Queued,
    Assigned, ///< The assignment is durable; the job may be running.
    Running,
    Succeeded,
    Failed, ///< Every allowed attempt failed, or the job can't run.
    Cancelled,
    OutcomeUnknown, ///< Non-idempotent, and its upstream is gone: never retried.
};

const char* toString(JobState);
/// True if the state never changes again.
bool isFinal(JobState);

struct CallerReply {
    CallId id { 0 };
    CallOutcome outcome { CallOutcome::Invalid };
    RefusalReason reason { RefusalReason::None };
    std::string message; ///< Human-readable detail; may be empty.
    Duration retryAfter { 0 }; ///< 0: no advice on when to retry.
    JobId job; ///< Empty for an urgent request.
    JobState jobState { JobState::Queued };
    int status { 0 }; ///< HTTP status that the task returned; only with Done.
    std::string body; ///< The task's complete response; only with Done.

    auto tie() const { return std::tie(id, outcome, reason, message, retryAfter, job, jobState, status, body); }
};

} // namespace crocuslever
