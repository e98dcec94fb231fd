// Job submissions, queries and cancellations, served by the owner of the job's shard.

#include "src/core/Jobs.h"

#include "src/core/JobSteps.h"
#include "src/core/Ownership.h"
#include "src/core/Peers.h"
#include "src/core/Placement.h"

namespace crocuslever {

/// New jobs are refused after this long without an answer from the store.
static constexpr Duration kStoreAnswerTimeout = std::chrono::seconds(2);
static constexpr Duration kRetryAfter = std::chrono::seconds(2);

static CallerReply refuse(RefusalReason reason, std::string message)
{
    CallerReply reply;
    reply.outcome = CallOutcome::NotRun;
    reply.reason = reason;
    reply.message = std::move(message);
    reply.retryAfter = kRetryAfter;
    return reply;
}

static CallerReply reject(CallOutcome outcome, std::string message)
{
    CallerReply reply;
    reply.outcome = outcome;
    reply.reason = RefusalReason::BadRequest;
    reply.message = std::move(message);
    return reply;
}

CallerReply describeJob(const JobRow& job, bool withResult)
{
    const JobRecord& record = job.record;
    CallerReply reply;
    reply.outcome = CallOutcome::Accepted;
    reply.job = record.id;
    reply.jobState = isFinal(record.state) && !isDurable(job) ? JobState::Running : record.state;
    reply.message = toString(reply.jobState);
    if (!withResult || !isFinal(reply.jobState))
        return reply;
    reply.reason = record.reason;
    reply.outcome = record.state == JobState::OutcomeUnknown ? CallOutcome::Unknown : CallOutcome::Done;
    reply.status = record.result.status;
    reply.body = record.result.body;
    return reply;
}

static bool hasSameSpec(const TaskSpec& a, const TaskSpec& b)
{
    // The body is not compared: a recovered record may have been read without it.
    return a.kind == b.kind && a.service == b.service && a.idempotent == b.idempotent && a.taskCount == b.taskCount;
}

static std::optional<CallerReply> refuseNewJob(const CoreState& state, const TeamId& team, const TaskSpec& spec, TimePoint now)
{
    if (now - state.session.lastStoreAnswer > kStoreAnswerTimeout)
        return refuse(RefusalReason::StoreUnavailable, "the store does not answer, so the job can't be kept");
    if (neverFits(state, spec.resources))
        return refuse(RefusalReason::NeverFits, "no upstream is large enough for one task");
    auto it = state.jobSchedule.queued.find(team);
    int queued = it == state.jobSchedule.queued.end() ? 0 : it->second;
    if (queued >= effectivePolicy(*state.configuration.current, team, spec.kind).maximumQueuedJobs)
        return refuse(RefusalReason::QueueFull, "the team has too many jobs queued");
    return std::nullopt;
}

static JobRow makeJob(const JobCall& call, const JobSubmission& submission, const JobId& id, const Instant& now)
{
    JobRow job;
    job.record.id = id;
    job.record.team = call.team;
    job.record.idempotencyId = submission.idempotencyId;
    job.record.spec = submission.spec;
    job.record.submittedAtMs = now.wallMs;
    job.record.tasks.resize(static_cast<std::size_t>(submission.spec.taskCount));
    job.progress.resize(job.record.tasks.size());
    return job;
}

static void accept(CoreState& state, const InstanceId& from, const JobCall& call, const JobSubmission& submission, const JobId& id, const Instant& now)
{
    JobRow& job = state.jobs.emplace(id, makeJob(call, submission, id, now)).first->second;
    job.version = 0;
    ++state.jobSchedule.queued[call.team];
    state.counters.add("jobs_accepted_total");
    markChanged(state, job);
    job.waiters.push_back({ from, call.call, job.version });
    scheduleAt(state, job, now.steady);
}

namespace {

/// Visitor that serves each kind of job call.
struct JobCallDispatch {
    CoreState& state;
    const InstanceId& from;
    const JobCall& call;
    const Instant& now;
    Actions& actions;

    void answer(CallerReply reply, const JobId& job) const
    {
        reply.job = job;
        sendToPeer(state, from, JobAnswer { call.call, std::move(reply) }, actions);
    }

    bool checkOwnership(const JobId& id) const
    {
        const ShardRow& shard = state.shards[shardOf(id)];
        if (mayActOn(state, shardOf(id), now.steady) && shard.jobsLoaded && shard.phase != ShardPhase::Releasing)
            return true;
        answer(refuse(RefusalReason::NoOwner, "this instance does not own the job's shard"), id);
        return false;
    }

    /// The job if it exists and belongs to the calling team. Otherwise answers NotFound and
    /// returns null.
    JobRow* findForTeam(const JobId& id) const
    {
        auto it = state.jobs.find(id);
        if (it != state.jobs.end() && it->second.record.team == call.team)
            return &it->second;
        answer(reject(CallOutcome::NotFound, "the team has no such job"), id);
        return nullptr;
    }

    void answerWhenDurable(JobRow& job) const
    {
        if (job.durableVersion >= job.version)
            answer(describeJob(job, false), job.record.id);
        else
            job.waiters.push_back({ from, call.call, job.version });
    }

    void operator()(const JobSubmission& submission) const
    {
        JobId id = makeJobId(call.team, submission.idempotencyId);
        if (!checkOwnership(id))
            return;
        auto it = state.jobs.find(id);
        if (it != state.jobs.end()) {
            resubmit(it->second, submission);
            return;
        }
        std::optional<CallerReply> refusal = refuseNewJob(state, call.team, submission.spec, now.steady);
        if (refusal)
            answer(std::move(*refusal), id);
        else
            accept(state, from, call, submission, id, now);
    }

    void resubmit(JobRow& job, const JobSubmission& submission) const
    {
        state.counters.add("jobs_resubmitted_total");
        if (hasSameSpec(job.record.spec, submission.spec))
            answerWhenDurable(job);
        else
            answer(reject(CallOutcome::Invalid, "id: already used for other work"), job.record.id);
    }

    void operator()(const JobQuery& query) const
    {
        if (!checkOwnership(query.job))
            return;
        JobRow* job = findForTeam(query.job);
        if (job != nullptr)
            answer(describeJob(*job, query.wantResult), query.job);
    }

    void operator()(const JobCancellation& cancellation) const
    {
        if (!checkOwnership(cancellation.job))
            return;
        JobRow* job = findForTeam(cancellation.job);
        if (job == nullptr)
            return;
        if (!isFinal(job->record.state) && !job->record.cancelRequested) {
            job->record.cancelRequested = true;
            for (JobRow::TaskProgress& progress : job->progress)
                progress.nextQuery = now.steady;
            markChanged(state, *job);
            scheduleAt(state, *job, now.steady);
        }
        answerWhenDurable(*job);
    }
};

} // namespace

void handleJobCall(CoreState& state, const InstanceId& from, const JobCall& call, const Instant& now, Actions& actions)
{
    std::visit(JobCallDispatch { state, from, call, now, actions }, call.request);
}

} // namespace crocuslever
