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

/// A lookup that somebody waits for; answered whole within its deadline or not at all.
struct UrgentRequest {
    TaskSpec spec;
};

struct JobSubmission {
    std::string idempotencyId; ///< The same id from the same team is the same job.
    TaskSpec spec;
};

struct JobQuery {
    JobId job;
    bool wantResult { false };
};

struct JobCancellation {
    JobId job;
};

/// One call from the caller-facing HTTP server, already parsed and bounded.
struct CallerCall {
    CallId id { 0 };
    std::string key; ///< As shown: "id.secret".
    std::variant<UrgentRequest, JobSubmission, JobQuery, JobCancellation> request;
};

/// The caller's connection is gone: nobody waits for the answer.
struct CallerGone {
    CallId id { 0 };
};

/// The three honest answers, and errors of the caller's own.
enum class CallOutcome {
    Done, ///< Ran; the result is in the body.
    Accepted, ///< Durable; will run once and whole.
    NotRun, ///< Refused, and can't run later either.
    Unknown, ///< May have run or be running; ask again under the same id.
    Invalid, ///< The request itself is wrong.
    Unauthorized,
    NotFound,
};

const char* toString(CallOutcome);

/// Why a request was refused; part of the API.
enum class RefusalReason {
    None,
    Overloaded,
    TeamLimit, ///< The team runs as much as its upper limit.
    NeverFits, ///< No upstream is large enough.
    StoreUnavailable,
    NoOwner,
    ShuttingDown,
    DeadlinePassed,
    QueueFull,
    TaskFailed, ///< It ran and the task itself failed.
    UpstreamLost,
    Cancelled,
    BadRequest,
    NotValid, ///< This instance's lease is not in force.
};

const char* toString(RefusalReason);

enum class JobState {
    Queued,
    Assigned, ///< Durable assignment made; may be running.
    Running,
    Succeeded,
    Failed, ///< Every allowed attempt failed, or it can't run.
    Cancelled,
    OutcomeUnknown, ///< Non-idempotent, and its upstream is gone: never run again.
};

const char* toString(JobState);
bool isFinal(JobState);

struct CallerReply {
    CallId id { 0 };
    CallOutcome outcome { CallOutcome::Invalid };
    RefusalReason reason { RefusalReason::None };
    std::string message; ///< For people.
    Duration retryAfter { 0 };
    JobId job;
    JobState jobState { JobState::Queued };
    int status { 0 }; ///< The task's own status, with Done.
    std::string body; ///< The task's whole answer, with Done.

    auto tie() const { return std::tie(id, outcome, reason, message, retryAfter, job, jobState, status, body); }
};

} // namespace crocuslever
