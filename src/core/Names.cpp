// The names of enum values in the API, the store and the logs.

#include "crocuslever/AttemptTable.h"
#include "crocuslever/CallerProtocol.h"
#include "crocuslever/StoreProtocol.h"
#include "crocuslever/TaskSpec.h"
#include "crocuslever/UpstreamProtocol.h"
#include "crocuslever/UpstreamTable.h"

namespace crocuslever {

const char* toString(WorkKind kind)
{
    switch (kind) {
    case WorkKind::Urgent:
        return "urgent";
    case WorkKind::Batch:
        return "batch";
    case WorkKind::Gang:
        return "gang";
    case WorkKind::Service:
        return "service";
    }
    return "batch";
}

const char* toString(StoreOutcome outcome)
{
    switch (outcome) {
    case StoreOutcome::Committed:
        return "committed";
    case StoreOutcome::Conflict:
        return "conflict";
    case StoreOutcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

const char* toString(AttemptState state)
{
    switch (state) {
    case AttemptState::Unknown:
        return "unknown";
    case AttemptState::Running:
        return "running";
    case AttemptState::Ended:
        return "ended";
    case AttemptState::Stopped:
        return "stopped";
    case AttemptState::NeverStarted:
        return "never_started";
    }
    return "unknown";
}

const char* toString(StopMode mode)
{
    switch (mode) {
    case StopMode::Stop:
        return "stop";
    case StopMode::Checkpoint:
        return "checkpoint";
    case StopMode::Throttle:
        return "throttle";
    }
    return "stop";
}

const char* toString(UpstreamOutcome outcome)
{
    switch (outcome) {
    case UpstreamOutcome::Ok:
        return "ok";
    case UpstreamOutcome::StaleEpoch:
        return "stale_epoch";
    case UpstreamOutcome::WrongIncarnation:
        return "wrong_incarnation";
    case UpstreamOutcome::Refused:
        return "refused";
    case UpstreamOutcome::Unreachable:
        return "unreachable";
    case UpstreamOutcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

const char* toString(CallOutcome outcome)
{
    switch (outcome) {
    case CallOutcome::Done:
        return "done";
    case CallOutcome::Accepted:
        return "accepted";
    case CallOutcome::NotRun:
        return "not_run";
    case CallOutcome::Unknown:
        return "outcome_unknown";
    case CallOutcome::Invalid:
        return "invalid";
    case CallOutcome::Unauthorized:
        return "unauthorized";
    case CallOutcome::NotFound:
        return "not_found";
    }
    return "invalid";
}

const char* toString(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::None:
        return "none";
    case RefusalReason::Overloaded:
        return "overloaded";
    case RefusalReason::TeamLimit:
        return "team_limit";
    case RefusalReason::NeverFits:
        return "never_fits";
    case RefusalReason::StoreUnavailable:
        return "store_unavailable";
    case RefusalReason::NoOwner:
        return "no_owner";
    case RefusalReason::ShuttingDown:
        return "shutting_down";
    case RefusalReason::DeadlinePassed:
        return "deadline_passed";
    case RefusalReason::QueueFull:
        return "queue_full";
    case RefusalReason::TaskFailed:
        return "task_failed";
    case RefusalReason::UpstreamLost:
        return "upstream_lost";
    case RefusalReason::Cancelled:
        return "cancelled";
    case RefusalReason::BadRequest:
        return "bad_request";
    case RefusalReason::NotValid:
        return "not_valid";
    }
    return "none";
}

const char* toString(JobState state)
{
    switch (state) {
    case JobState::Queued:
        return "queued";
    case JobState::Assigned:
        return "assigned";
    case JobState::Running:
        return "running";
    case JobState::Succeeded:
        return "succeeded";
    case JobState::Failed:
        return "failed";
    case JobState::Cancelled:
        return "cancelled";
    case JobState::OutcomeUnknown:
        return "outcome_unknown";
    }
    return "queued";
}

bool isFinal(JobState state)
{
    return state == JobState::Succeeded || state == JobState::Failed || state == JobState::Cancelled || state == JobState::OutcomeUnknown;
}

const char* toString(UpstreamHealth health)
{
    switch (health) {
    case UpstreamHealth::Good:
        return "good";
    case UpstreamHealth::Quarantined:
        return "quarantined";
    case UpstreamHealth::Probation:
        return "probation";
    }
    return "good";
}

const char* toString(AttemptPhase phase)
{
    switch (phase) {
    case AttemptPhase::Reserved:
        return "reserved";
    case AttemptPhase::Starting:
        return "starting";
    case AttemptPhase::Running:
        return "running";
    case AttemptPhase::Stopping:
        return "stopping";
    case AttemptPhase::Ended:
        return "ended";
    }
    return "reserved";
}

} // namespace crocuslever
