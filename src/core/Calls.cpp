#include "src/core/Calls.h"

#include <algorithm>

#include "src/core/Guards.h"
#include "src/core/Ownership.h"
#include "src/core/Peers.h"
#include "src/core/Session.h"
#include "src/core/UrgentCalls.h"

namespace crocuslever {

/// A job call without an owner's answer by then is answered with NotRun if it cannot have been
/// accepted, otherwise with Unknown.
static constexpr Duration kJobCallDeadline = std::chrono::seconds(8);
static constexpr Duration kJobCallRetryInterval = std::chrono::milliseconds(400);
static constexpr Duration kRetryAfter = std::chrono::seconds(1);
/// How long an instance that is shutting down accepts calls that the load balancer still sends.
static constexpr Duration kShutdownGracePeriod = std::chrono::seconds(2);
static constexpr std::size_t kMaximumCalls = 20000;

static CallerReply makeReply(CallId id, CallOutcome outcome, RefusalReason reason, std::string message)
{
    CallerReply reply;
    reply.id = id;
    reply.outcome = outcome;
    reply.reason = reason;
    reply.message = std::move(message);
    if (outcome == CallOutcome::NotRun)
        reply.retryAfter = kRetryAfter;
    return reply;
}

void finishCall(CoreState& state, CallId id, CallerReply reply, Actions& actions)
{
    auto it = state.calls.find(id);
    if (it == state.calls.end())
        return;
    bool callerGone = it->second.callerGone;
    state.counters.add(std::string("calls_total{kind=\"") + (it->second.urgent ? "urgent" : "job") + "\",outcome=\"" + toString(reply.outcome) + "\"}");
    state.calls.erase(it);
    reply.id = id;
    if (!callerGone)
        actions.push_back(std::move(reply));
}

static std::optional<TeamId> authenticateCached(CoreState& state, const std::string& key)
{
    auto it = state.configuration.authenticatedKeys.find(key);
    if (it != state.configuration.authenticatedKeys.end())
        return it->second;
    std::optional<TeamId> team = authenticate(*state.configuration.current, key);
    if (team)
        state.configuration.authenticatedKeys[key] = *team;
    return team;
}

/// The refusal if this instance cannot accept calls at present. The call has not been forwarded.
static std::optional<CallerReply> checkAdmission(const CoreState& state, const CallerCall& call, TimePoint now)
{
    if (state.leaseRevokedAt)
        return makeReply(call.id, CallOutcome::NotRun, RefusalReason::ShuttingDown, "this instance has stopped");
    if (state.shuttingDown && now > state.shutdownDeadline - state.settings.shutdownDeadline + kShutdownGracePeriod)
        return makeReply(call.id, CallOutcome::NotRun, RefusalReason::ShuttingDown, "this instance is stopping");
    if (state.configuration.current->revision == 0 || !isSessionValid(state, now))
        return makeReply(call.id, CallOutcome::NotRun, RefusalReason::NotValid, "this instance has no valid lease");
    if (state.calls.size() >= kMaximumCalls)
        return makeReply(call.id, CallOutcome::NotRun, RefusalReason::Overloaded, "too many calls in flight");
    return std::nullopt;
}

/// The first fault of the specification as "key: message"; empty if it is valid.
static std::string checkSpec(const TaskSpec& spec, const PolicyDefaults& policy)
{
    if (static_cast<std::int64_t>(spec.body.size()) > policy.maximumBodyBytes)
        return "body: larger than " + std::to_string(policy.maximumBodyBytes) + " bytes";
    if (spec.service.empty())
        return "service: must not be empty";
    if (spec.resources.isNegative() || spec.taskCount < 1 || spec.maximumAttempts < 1)
        return "resources, task_count and maximum_attempts must not be negative or zero";
    if (spec.kind == WorkKind::Batch && spec.taskCount != 1)
        return "task_count: a batch job has one task";
    if (spec.kind == WorkKind::Service && !spec.idempotent)
        return "idempotent: a service is started again wherever it ends, so it must be idempotent";
    constexpr int kMaximumTasks = 1000;
    if (spec.taskCount > kMaximumTasks)
        return "task_count: more than " + std::to_string(kMaximumTasks);
    return {};
}

static void applyDefaults(TaskSpec& spec, const PolicyDefaults& policy)
{
    if (spec.resources.milliCpu == 0 && spec.resources.memoryMb == 0 && spec.resources.accelerators == 0)
        spec.resources = policy.taskResources;
    spec.resources.slots = 1;
    spec.maximumAttempts = std::min(spec.maximumAttempts, policy.maximumAttempts);
    if (spec.kind == WorkKind::Urgent && (spec.deadline.count() <= 0 || spec.deadline > policy.urgentDeadline))
        spec.deadline = policy.urgentDeadline;
}

namespace {

/// Visitor that validates and forwards each kind of request of an authenticated caller.
struct RequestDispatch {
    CoreState& state;
    CallId id;
    TeamId team;
    const Instant& now;
    Actions& actions;

    CallRow& addCall(bool urgent, Duration deadline) const
    {
        CallRow& row = state.calls[id];
        row.id = id;
        row.team = team;
        row.urgent = urgent;
        row.deadline = now.steady + deadline;
        return row;
    }

    void replyInvalid(const std::string& message) const
    {
        state.counters.add("calls_invalid_total");
        actions.push_back(makeReply(id, CallOutcome::Invalid, RefusalReason::BadRequest, message));
    }

    void operator()(const UrgentRequest& request) const
    {
        TaskSpec spec = request.spec;
        PolicyDefaults policy = effectivePolicy(*state.configuration.current, team, WorkKind::Urgent);
        std::string fault = checkSpec(spec, policy);
        if (!fault.empty())
            return replyInvalid(fault);
        applyDefaults(spec, policy);
        CallRow& row = addCall(true, spec.deadline);
        row.spec = std::move(spec);
        routeUrgentCall(state, row, now.steady, actions);
    }

    void operator()(const JobSubmission& submission) const
    {
        JobSubmission checked = submission;
        PolicyDefaults policy = effectivePolicy(*state.configuration.current, team, checked.spec.kind);
        std::string fault = checkSpec(checked.spec, policy);
        if (checked.idempotencyId.empty())
            fault = "id: must not be empty";
        if (!fault.empty())
            return replyInvalid(fault);
        applyDefaults(checked.spec, policy);
        JobId job = makeJobId(team, checked.idempotencyId);
        forward(job, std::move(checked));
    }

    void operator()(const JobQuery& query) const { forward(query.job, query); }
    void operator()(const JobCancellation& cancellation) const { forward(cancellation.job, cancellation); }

    template <typename Request>
    void forward(const JobId& job, Request request) const
    {
        CallRow& row = addCall(false, kJobCallDeadline);
        row.jobId = job;
        row.job = JobCall { id, team, std::move(request) };
        row.nextTry = now.steady;
        runCalls(state, now, actions);
    }
};

} // namespace

void handleCallerCall(CoreState& state, const CallerCall& call, const Instant& now, Actions& actions)
{
    std::optional<CallerReply> refusal = checkAdmission(state, call, now.steady);
    if (refusal) {
        state.counters.add(std::string("calls_refused_total{reason=\"") + toString(refusal->reason) + "\"}");
        // NotRun would be wrong for a query or a cancellation: its job may have run.
        bool startsWork = std::holds_alternative<UrgentRequest>(call.request) || std::holds_alternative<JobSubmission>(call.request);
        if (!startsWork)
            refusal->outcome = CallOutcome::Unknown;
        actions.push_back(std::move(*refusal));
        return;
    }
    std::optional<TeamId> team = authenticateCached(state, call.key);
    if (!team) {
        state.counters.add("calls_unauthorized_total");
        actions.push_back(makeReply(call.id, CallOutcome::Unauthorized, RefusalReason::None, "the key is unknown or withdrawn"));
        return;
    }
    std::visit(RequestDispatch { state, call.id, *team, now, actions }, call.request);
}

void handleCallerGone(CoreState& state, const CallerGone& gone, TimePoint, Actions&)
{
    auto it = state.calls.find(gone.id);
    if (it != state.calls.end())
        it->second.callerGone = true;
}

static bool isRefusalByNonOwner(const CallerReply& reply)
{
    return reply.outcome == CallOutcome::NotRun && (reply.reason == RefusalReason::NoOwner || reply.reason == RefusalReason::NotValid);
}

void handleJobAnswer(CoreState& state, const InstanceId&, const JobAnswer& answer, TimePoint, Actions& actions)
{
    auto it = state.calls.find(answer.call);
    if (it == state.calls.end() || it->second.urgent) {
        state.counters.add("late_answers_total");
        return;
    }
    CallRow& row = it->second;
    if (!isRefusalByNonOwner(answer.reply)) {
        finishCall(state, answer.call, answer.reply, actions);
        return;
    }
    --row.unresolvedSends;
    row.lastReason = answer.reply.reason;
}

/// True if the call is a submission that no owner can have accepted.
static bool cannotHaveRun(const CallRow& row)
{
    if (!isEnabled(Guard::CertainRefusal))
        return true;
    return std::holds_alternative<JobSubmission>(row.job->request) && row.unresolvedSends <= 0;
}

static void expireJobCall(CoreState& state, const CallRow& row, Actions& actions)
{
    CallerReply reply = cannotHaveRun(row)
        ? makeReply(row.id, CallOutcome::NotRun, RefusalReason::NoOwner, "the owner of the job's shard can't be reached")
        : makeReply(row.id, CallOutcome::Unknown, RefusalReason::None, "no answer yet; ask again");
    reply.job = row.jobId;
    finishCall(state, row.id, std::move(reply), actions);
}

static void sendJobCall(CoreState& state, CallRow& row, TimePoint now, Actions& actions)
{
    row.nextTry = now + kJobCallRetryInterval;
    if (!sendToJobOwner(state, row.jobId, *row.job, actions))
        return;
    ++row.tries;
    ++row.unresolvedSends;
    row.sent = true;
}

void runCalls(CoreState& state, const Instant& now, Actions& actions)
{
    std::vector<CallId> expired;
    for (auto& [id, row] : state.calls) {
        if (row.urgent)
            continue;
        if (now.steady >= row.deadline)
            expired.push_back(id);
        else if (now.steady >= row.nextTry)
            sendJobCall(state, row, now.steady, actions);
    }
    for (CallId id : expired)
        expireJobCall(state, state.calls.at(id), actions);
    runUrgentCalls(state, now.steady, actions);
}

} // namespace crocuslever
