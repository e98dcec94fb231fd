#pragma once

#include <string>
#include <tuple>

#include "crocuslever/Comparable.h"
#include "crocuslever/Ids.h"
#include "crocuslever/Resources.h"
#include "crocuslever/Time.h"

namespace crocuslever {

/// Kinds of work; each has its own scheduling policy.
enum class WorkKind {
    Urgent, ///< Synchronous and never durable; the caller waits for the result.
    Batch, ///< Deferred; delivers one complete result.
    Gang, ///< Deferred; either all of its tasks start together or none does.
    Service, ///< Long-running; restarted whenever it ends.
};

const char* toString(WorkKind);

/// A caller's description of the work that it submits.
struct TaskSpec {
    WorkKind kind { WorkKind::Batch };
    std::string service; ///< Name of the handler at the upstream, e.g. "report".
    bool idempotent { false }; ///< Non-idempotent work starts at most once.
    Resources resources { 1000, 256, 0, 1 }; ///< Needed by each task.
    int taskCount { 1 }; ///< May exceed one only for gangs and services.
    int maximumAttempts { 3 }; ///< Applies to idempotent work.
    Duration runTime { 0 }; ///< The caller's estimate, often far off; 0: not declared.
    Duration deadline { 0 }; ///< Time after the submission; 0: no deadline.
    std::string body; ///< Passed to the upstream unchanged.

    auto tie() const { return std::tie(kind, service, idempotent, resources, taskCount, maximumAttempts, runTime, deadline, body); }
};

} // namespace crocuslever
