#include "src/callers/CallerAnswers.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace crocuslever {

static constexpr int kOk = 200;
static constexpr int kAccepted = 202;
static constexpr int kBadRequest = 400;
static constexpr int kUnauthorized = 401;
static constexpr int kNotFound = 404;
static constexpr int kConflict = 409;
static constexpr int kGone = 410;
static constexpr int kUnprocessable = 422;
static constexpr int kTooManyRequests = 429;
static constexpr int kServiceUnavailable = 503;
static constexpr int kGatewayTimeout = 504;

static int httpStatusOfRefusal(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::TeamLimit:
    case RefusalReason::QueueFull:
        return kTooManyRequests;
    case RefusalReason::NeverFits:
        return kUnprocessable;
    case RefusalReason::Cancelled:
        return kConflict;
    default:
        return kServiceUnavailable;
    }
}

static int httpStatusOf(const CallerReply& reply)
{
    switch (reply.outcome) {
    case CallOutcome::Done:
        return kOk;
    case CallOutcome::Accepted:
        return kAccepted;
    case CallOutcome::NotRun:
        return httpStatusOfRefusal(reply.reason);
    case CallOutcome::Unknown:
        return kGatewayTimeout;
    case CallOutcome::Invalid:
        return kBadRequest;
    case CallOutcome::Unauthorized:
        return kUnauthorized;
    case CallOutcome::NotFound:
        return kNotFound;
    }
    return kBadRequest;
}

static bool isRetryable(int status) { return status == kTooManyRequests || status == kServiceUnavailable; }

static std::string toRetryAfterSeconds(Duration duration)
{
    // Rounds up, because a caller that retries too early is refused again.
    std::int64_t seconds = (toMilliseconds(duration) + 999) / 1000;
    return std::to_string(std::max<std::int64_t>(seconds, 1));
}

static void addHeaders(CallerHttpAnswer& answer, Duration retryAfter)
{
    if (isRetryable(answer.status))
        answer.headers.emplace_back("Retry-After", toRetryAfterSeconds(retryAfter));
    if (answer.status == kUnauthorized)
        answer.headers.emplace_back("WWW-Authenticate", "Bearer");
}

static nlohmann::json toJson(const CallerReply& reply)
{
    nlohmann::json value { { "outcome", toString(reply.outcome) }, { "reason", toString(reply.reason) },
        { "message", reply.message }, { "job", reply.job.value() } };
    if (reply.retryAfter > Duration::zero())
        value["retry_after_ms"] = toMilliseconds(reply.retryAfter);
    return value;
}

static CallerHttpAnswer jsonAnswer(int status, const nlohmann::json& value, Duration retryAfter)
{
    CallerHttpAnswer answer;
    answer.status = status;
    answer.contentType = "application/json";
    answer.body = value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    addHeaders(answer, retryAfter);
    return answer;
}

static CallerHttpAnswer errorAnswer(const CallerReply& reply)
{
    return jsonAnswer(httpStatusOf(reply), toJson(reply), reply.retryAfter);
}

static CallerHttpAnswer jobAnswer(const CallerReply& reply, int status)
{
    nlohmann::json value = toJson(reply);
    value["state"] = toString(reply.jobState);
    value["task_status"] = reply.status;
    return jsonAnswer(status, value, reply.retryAfter);
}

/// Passes the task's body through unchanged; outcome, reason, task status and job id go into headers.
static CallerHttpAnswer rawAnswer(const CallerReply& reply)
{
    CallerHttpAnswer answer;
    answer.status = kOk;
    answer.contentType = "application/octet-stream";
    answer.headers.emplace_back("Crocuslever-Outcome", toString(reply.outcome));
    answer.headers.emplace_back("Crocuslever-Reason", toString(reply.reason));
    answer.headers.emplace_back("Crocuslever-Task-Status", std::to_string(reply.status));
    if (!reply.job.isEmpty())
        answer.headers.emplace_back("Crocuslever-Job", reply.job.value());
    answer.body = reply.body;
    return answer;
}

static CallerHttpAnswer resultAnswer(const CallerReply& reply)
{
    if (!isFinal(reply.jobState))
        return jobAnswer(reply, kAccepted);
    if (reply.jobState == JobState::OutcomeUnknown)
        return jobAnswer(reply, kGatewayTimeout);
    // A job that was cancelled, or that failed before any of its tasks answered, has no result.
    bool hasResult = reply.jobState == JobState::Succeeded || (reply.jobState == JobState::Failed && reply.status != 0);
    return hasResult ? rawAnswer(reply) : jobAnswer(reply, kGone);
}

CallerHttpAnswer formatReply(const CallerReply& reply, CallKind kind)
{
    if (reply.outcome != CallOutcome::Done && reply.outcome != CallOutcome::Accepted)
        return errorAnswer(reply);
    switch (kind) {
    case CallKind::Urgent:
        return rawAnswer(reply);
    case CallKind::Submission:
        return jobAnswer(reply, kAccepted);
    case CallKind::Query:
        return jobAnswer(reply, kOk);
    case CallKind::Result:
        return resultAnswer(reply);
    case CallKind::Cancellation:
        return jobAnswer(reply, isFinal(reply.jobState) ? kOk : kAccepted);
    }
    return errorAnswer(reply);
}

CallerHttpAnswer formatRefusal(int status, CallOutcome outcome, RefusalReason reason, const std::string& message)
{
    CallerReply reply;
    reply.outcome = outcome;
    reply.reason = reason;
    reply.message = message;
    return jsonAnswer(status, toJson(reply), Duration::zero());
}

} // namespace crocuslever
