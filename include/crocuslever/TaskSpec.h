#pragma once

#include <string>
#include <tuple>

#include "crocuslever/Comparable.h"
#include "crocuslever/Ids.h"
#include "crocuslever/Resources.h"
#include "crocuslever/Time.h"

namespace crocuslever {

/// The unlike workloads; each has a policy of its own.
enum class WorkKind {
    Urgent, ///< Synchronous, never durable: a lookup that somebody waits for.
    Batch, ///< Deferred, delivered once and whole.
    Gang, ///< Deferred; all of its tasks start together or none does.
    Service, ///< Long-running; started again wherever it ends.
};

const char* toString(WorkKind);

/// What a caller declares of the work that it hands in.
struct TaskSpec {
    WorkKind kind { WorkKind::Batch };
    std::string service; ///< Name of the handler at the upstream, e.g. "refit-plan".
    bool idempotent { false }; ///< Non-idempotent work starts at most once.
    Resources resources { 1000, 256, 0, 1 }; ///< Of each task.
    int taskCount { 1 }; ///< More than one only for gangs and services.
    int maximumAttempts { 3 }; ///< For idempotent work.
    Duration runTime { 0 }; ///< Declared; often far off. 0: not declared.
    Duration deadline { 0 }; ///< From submission; 0: none.
    std::string body; ///< Passed to the upstream as it is.

    auto tie() const { return std::tie(kind, service, idempotent, resources, taskCount, maximumAttempts, runTime, deadline, body); }
};

} // namespace crocuslever
