// The job state machine, run by the owner of the job's shard.

#include "src/core/Jobs.h"

#include <algorithm>

#include "src/core/Guards.h"
#include "src/core/JobSteps.h"
#include "src/core/Ownership.h"
#include "src/core/Peers.h"

namespace crocuslever {

/// An assigned task is queried at the owner of its upstream after this long without a report.
static constexpr Duration kStartQueryDelay = std::chrono::milliseconds(1500);
static constexpr Duration kRunningQueryDelay = std::chrono::seconds(10);
static constexpr Duration kQueryInterval = std::chrono::milliseconds(500);
static constexpr Duration kReservationTimeout = std::chrono::seconds(1);
static constexpr Duration kFailureBackoff = std::chrono::milliseconds(500);
static constexpr int kMaximumJobsPerTick = 2000;

JobRow* findOwnedJob(CoreState& state, const JobId& id, TimePoint now)
{
    // Jobs of a shard that is being released do not change any more, so that their last changes
    // can be committed.
    ShardIndex shard = shardOf(id);
    const ShardRow& row = state.shards[shard];
    if (!mayActOn(state, shard, now) || !row.jobsLoaded || row.phase == ShardPhase::Releasing)
        return nullptr;
    auto it = state.jobs.find(id);
    return it == state.jobs.end() ? nullptr : &it->second;
}

void markChanged(CoreState& state, JobRow& job)
{
    ++job.version;
    state.jobSchedule.dirty.insert(job.record.id);
}

bool isDurable(const JobRow& job) { return job.durableVersion >= job.version; }

void scheduleAt(CoreState& state, JobRow& job, TimePoint at)
{
    state.jobSchedule.due.erase({ job.dueAt, job.record.id });
    job.dueAt = at;
    state.jobSchedule.due.insert({ at, job.record.id });
}

void setJobState(CoreState& state, JobRow& job, JobState next)
{
    int& queued = state.jobSchedule.queued[job.record.team];
    if (job.record.state == JobState::Queued)
        --queued;
    if (next == JobState::Queued)
        ++queued;
    if (queued <= 0)
        state.jobSchedule.queued.erase(job.record.team);
    job.record.state = next;
}

void finishJob(CoreState& state, JobRow& job, JobState end, RefusalReason reason, const Instant& now)
{
    setJobState(state, job, end);
    dequeueForReservation(state, job);
    job.record.reason = reason;
    job.record.endedAtMs = now.wallMs;
    state.counters.add(std::string("jobs_ended_total{state=\"") + toString(end) + "\"}");
    markChanged(state, job);
}

bool hasAssignedTasks(const JobRow& job)
{
    return std::any_of(job.record.tasks.begin(), job.record.tasks.end(),
        [](const TaskRecord& task) { return task.assignment && !task.ended; });
}

void removeJob(CoreState& state, JobRow& job)
{
    for (const JobRow::TaskProgress& progress : job.progress) {
        if (!progress.requestedAttempt.isEmpty())
            --state.jobSchedule.requestsInFlight;
    }
    dequeueForReservation(state, job);
    if (job.record.state == JobState::Queued)
        setJobState(state, job, JobState::Failed);
    state.jobSchedule.due.erase({ job.dueAt, job.record.id });
    state.jobSchedule.dirty.erase(job.record.id);
    JobId id = job.record.id;
    state.jobs.erase(id);
}

void removeJobs(CoreState& state, ShardIndex shard)
{
    std::vector<JobId> removed;
    for (const auto& [id, job] : state.jobs) {
        if (shardOf(id) == shard)
            removed.push_back(id);
    }
    for (const JobId& id : removed)
        removeJob(state, state.jobs.at(id));
}

// Starting tasks and querying attempts.

static void sendStart(CoreState& state, JobRow& job, std::size_t task, TimePoint now, Actions& actions)
{
    const Assignment& assignment = *job.record.tasks[task].assignment;
    JobRow::TaskProgress& progress = job.progress[task];
    progress.startSent = true;
    progress.nextQuery = now + kStartQueryDelay;
    InstanceId owner = currentOwner(state, assignment.shard);
    if (owner.isEmpty())
        return;
    StartRequest request { assignment.attempt, job.record.id, job.record.team, job.record.spec, assignment.upstream, assignment.incarnation, assignment.epoch };
    sendToPeer(state, owner, std::move(request), actions);
}

static void sendQuery(CoreState& state, JobRow& job, std::size_t task, TimePoint now, Actions& actions)
{
    const Assignment& assignment = *job.record.tasks[task].assignment;
    JobRow::TaskProgress& progress = job.progress[task];
    progress.nextQuery = now + kQueryInterval;
    InstanceId owner = currentOwner(state, assignment.shard);
    if (owner.isEmpty())
        return;
    bool stop = job.record.cancelRequested || progress.needsResolution;
    sendToPeer(state, owner, AttemptQuery { assignment.attempt, job.record.id, assignment.upstream, assignment.incarnation, stop }, actions);
}

static void stepTask(CoreState& state, JobRow& job, std::size_t task, TimePoint now, Actions& actions)
{
    const TaskRecord& record = job.record.tasks[task];
    JobRow::TaskProgress& progress = job.progress[task];
    if (!progress.requestedAttempt.isEmpty() && now - progress.requestedAt >= kReservationTimeout) {
        sendToPeer(state, progress.requestedFrom, ReleaseRequest { progress.requestedAttempt }, actions);
        progress.requestedAttempt = AttemptId();
        --state.jobSchedule.requestsInFlight;
    }
    if (!record.assignment || record.ended || (!isDurable(job) && isEnabled(Guard::DurableAssignment)))
        return;
    bool wasSent = progress.startSent || progress.recovered;
    if (!wasSent && !job.record.cancelRequested)
        sendStart(state, job, task, now, actions);
    else if (now >= progress.nextQuery)
        sendQuery(state, job, task, now, actions);
}

static TimePoint nextStepTime(const JobRow& job, TimePoint now)
{
    TimePoint next = now + kRunningQueryDelay;
    for (std::size_t i = 0; i < job.record.tasks.size(); ++i) {
        const JobRow::TaskProgress& progress = job.progress[i];
        if (job.record.tasks[i].assignment && !job.record.tasks[i].ended)
            next = std::min(next, std::max(progress.nextQuery, now + kQueryInterval / 2));
        if (!progress.requestedAttempt.isEmpty())
            next = std::min(next, std::max(progress.requestedAt + kReservationTimeout, now + fromMilliseconds(1)));
    }
    return next;
}

// Ending jobs.

static bool isPastDeadline(const JobRow& job, const Instant& now)
{
    if (job.record.spec.deadline.count() <= 0)
        return false;
    return now.wallMs - job.record.submittedAtMs > toMilliseconds(job.record.spec.deadline);
}

/// The final state of a job whose remaining tasks were all stopped.
static JobState finalStateOfStopped(const JobRow& job)
{
    if (job.record.reason == RefusalReason::TaskFailed)
        return JobState::Failed;
    return job.record.reason == RefusalReason::UpstreamLost ? JobState::OutcomeUnknown : JobState::Cancelled;
}

static void finishStoppedJob(CoreState& state, JobRow& job, const Instant& now)
{
    JobState end = finalStateOfStopped(job);
    RefusalReason reason = end == JobState::Cancelled ? RefusalReason::Cancelled : job.record.reason;
    finishJob(state, job, end, reason, now);
}

static void finishIfInactive(CoreState& state, JobRow& job, const Instant& now, Actions& actions)
{
    if (hasAssignedTasks(job))
        return;
    releaseReservations(state, job, actions);
    if (job.record.cancelRequested)
        finishStoppedJob(state, job, now);
    else if (isPastDeadline(job, now))
        finishJob(state, job, JobState::Failed, RefusalReason::DeadlinePassed, now);
}

static void scheduleReservation(CoreState& state, JobRow& job, const Instant& now)
{
    if (!needsReservation(job) || !isDurable(job))
        return;
    if (now.steady < job.reserveRetryAt)
        scheduleAt(state, job, job.reserveRetryAt);
    else
        enqueueForReservation(state, job);
}

static void stepFinalJob(CoreState& state, JobRow& job, const Instant& now)
{
    Duration retention = effectivePolicy(*state.configuration.current, job.record.team, job.record.spec.kind).resultRetention;
    std::int64_t left = toMilliseconds(retention) - (now.wallMs - job.record.endedAtMs);
    if (left <= 0 && isDurable(job) && job.pendingAcknowledges.empty())
        state.jobSchedule.dirty.insert(job.record.id);
    scheduleAt(state, job, now.steady + fromMilliseconds(std::max<std::int64_t>(left, 1000)));
}

static void stepJob(CoreState& state, JobRow& job, const Instant& now, Actions& actions)
{
    if (!isFinal(job.record.state) && (job.record.cancelRequested || isPastDeadline(job, now)))
        finishIfInactive(state, job, now, actions);
    if (isFinal(job.record.state)) {
        stepFinalJob(state, job, now);
        return;
    }
    for (std::size_t i = 0; i < job.record.tasks.size(); ++i)
        stepTask(state, job, i, now.steady, actions);
    scheduleAt(state, job, nextStepTime(job, now.steady));
    scheduleReservation(state, job, now);
}

static void stepDueJobs(CoreState& state, const Instant& now, Actions& actions)
{
    for (int n = 0; n < kMaximumJobsPerTick && !state.jobSchedule.due.empty(); ++n) {
        std::pair<TimePoint, JobId> next = *state.jobSchedule.due.begin();
        if (next.first > now.steady)
            return;
        state.jobSchedule.due.erase(state.jobSchedule.due.begin());
        JobRow* job = findOwnedJob(state, next.second, now.steady);
        if (job != nullptr)
            stepJob(state, *job, now, actions);
        else if (state.jobs.count(next.second) != 0)
            scheduleAt(state, state.jobs.at(next.second), now.steady + kQueryInterval);
    }
}

void runJobs(CoreState& state, const Instant& now, Actions& actions)
{
    stepDueJobs(state, now, actions);
    runDispatch(state, now, actions);
    commitJobs(state, now);
}

void notifyDurable(CoreState& state, JobRow& job, const Instant& now, Actions& actions)
{
    std::vector<JobRow::Waiter> waiting;
    for (const JobRow::Waiter& waiter : job.waiters) {
        if (waiter.version <= job.durableVersion)
            sendToPeer(state, waiter.entry, JobAnswer { waiter.call, describeJob(job, false) }, actions);
        else
            waiting.push_back(waiter);
    }
    job.waiters = std::move(waiting);
    std::vector<JobRow::PendingAcknowledge> unacknowledged;
    for (const JobRow::PendingAcknowledge& acknowledge : job.pendingAcknowledges) {
        InstanceId owner = currentOwner(state, acknowledge.shard);
        if (acknowledge.version > job.durableVersion)
            unacknowledged.push_back(acknowledge);
        else if (!owner.isEmpty())
            sendToPeer(state, owner, AttemptAcknowledge { acknowledge.attempt }, actions);
    }
    job.pendingAcknowledges = std::move(unacknowledged);
    scheduleAt(state, job, now.steady);
}

// Attempt reports.

/// Clears the task's assignment so that another attempt can be made after the given backoff.
static void retryTask(CoreState& state, JobRow& job, std::size_t task, Duration after, const Instant& now)
{
    job.record.tasks[task].assignment.reset();
    job.progress[task] = JobRow::TaskProgress {};
    if (!hasAssignedTasks(job) && job.record.state != JobState::Queued)
        setJobState(state, job, JobState::Queued);
    job.reserveRetryAt = now.steady + after;
    markChanged(state, job);
    scheduleAt(state, job, now.steady);
}

static void completeTask(CoreState& state, JobRow& job, std::size_t task, const TaskResult& result, const Instant& now)
{
    job.record.tasks[task].ended = true;
    job.record.result = result;
    bool allEnded = std::all_of(job.record.tasks.begin(), job.record.tasks.end(), [](const TaskRecord& t) { return t.ended; });
    if (allEnded)
        finishJob(state, job, JobState::Succeeded, RefusalReason::None, now);
    else
        markChanged(state, job);
}

/// Fails the whole job. Tasks that still run are stopped before the job reaches its final state.
static void failJob(CoreState& state, JobRow& job, std::size_t task, JobState end, RefusalReason reason, const Instant& now, Actions& actions)
{
    job.record.tasks[task].ended = true;
    releaseReservations(state, job, actions);
    if (job.record.reason == RefusalReason::None)
        job.record.reason = reason;
    if (!hasAssignedTasks(job)) {
        if (job.record.cancelRequested)
            finishStoppedJob(state, job, now);
        else
            finishJob(state, job, end, reason, now);
        return;
    }
    job.record.cancelRequested = true;
    markChanged(state, job);
    scheduleAt(state, job, now.steady);
}

static void handleFailedAttempt(CoreState& state, JobRow& job, std::size_t task, const AttemptReport& report, const Instant& now, Actions& actions)
{
    TaskRecord& record = job.record.tasks[task];
    ++record.attemptsFailed;
    if (std::find(record.failedOn.begin(), record.failedOn.end(), report.upstream) == record.failedOn.end())
        record.failedOn.push_back(report.upstream);
    job.record.result = report.result;
    bool restarts = job.record.spec.kind == WorkKind::Service;
    if (job.record.spec.idempotent && (restarts || record.attemptsFailed < job.record.spec.maximumAttempts)) {
        Duration after = kFailureBackoff * (1 << std::min(record.attemptsFailed, 6));
        state.counters.add("attempts_retried_total");
        retryTask(state, job, task, after, now);
        return;
    }
    failJob(state, job, task, JobState::Failed, RefusalReason::TaskFailed, now, actions);
}

/// The attempt started but was lost or stopped before it completed.
static void handleLostAttempt(CoreState& state, JobRow& job, std::size_t task, const Instant& now, Actions& actions)
{
    if (job.record.cancelRequested) {
        failJob(state, job, task, JobState::Cancelled, RefusalReason::Cancelled, now, actions);
        return;
    }
    if (!job.record.spec.idempotent) {
        failJob(state, job, task, JobState::OutcomeUnknown, RefusalReason::UpstreamLost, now, actions);
        return;
    }
    state.counters.add("attempts_lost_total");
    retryTask(state, job, task, kFailureBackoff, now);
}

static void handleNeverStarted(CoreState& state, JobRow& job, std::size_t task, const Instant& now)
{
    state.counters.add("attempts_never_started_total");
    retryTask(state, job, task, Duration(0), now);
}

static void handleRunningReport(CoreState& state, JobRow& job, std::size_t task, TimePoint now)
{
    JobRow::TaskProgress& progress = job.progress[task];
    progress.startSent = true;
    progress.recovered = false;
    progress.nextQuery = now + (job.record.cancelRequested ? kQueryInterval : kRunningQueryDelay);
    if (job.record.state == JobState::Assigned)
        setJobState(state, job, JobState::Running);
    scheduleAt(state, job, progress.nextQuery);
}

static void deferAcknowledge(JobRow& job, const AttemptReport& report)
{
    job.pendingAcknowledges.push_back({ report.attempt, shardOf(report.upstream), job.version });
}

static void applyReport(CoreState& state, JobRow& job, std::size_t task, const AttemptReport& report, const Instant& now, Actions& actions)
{
    switch (report.state) {
    case AttemptState::Running:
        handleRunningReport(state, job, task, now.steady);
        return;
    case AttemptState::Unknown:
        if (!report.upstreamGone) {
            job.progress[task].needsResolution = true;
            return;
        }
        handleLostAttempt(state, job, task, now, actions);
        break;
    case AttemptState::Ended:
        if (report.result.succeeded && job.record.spec.kind != WorkKind::Service)
            completeTask(state, job, task, report.result, now);
        else
            handleFailedAttempt(state, job, task, report, now, actions);
        break;
    case AttemptState::Stopped:
        handleLostAttempt(state, job, task, now, actions);
        break;
    case AttemptState::NeverStarted:
        handleNeverStarted(state, job, task, now);
        break;
    }
    deferAcknowledge(job, report);
}

static bool isFinalReport(const AttemptReport& report)
{
    return report.state != AttemptState::Running && (report.state != AttemptState::Unknown || report.upstreamGone);
}

/// Answers the report of an attempt that no job record refers to: a final report is acknowledged,
/// a running attempt is stopped.
static void answerUnmatchedReport(CoreState& state, const InstanceId& from, const AttemptReport& report, Actions& actions)
{
    state.counters.add("stray_reports_total");
    if (isFinalReport(report))
        sendToPeer(state, from, AttemptAcknowledge { report.attempt }, actions);
    else if (report.state == AttemptState::Running)
        sendToPeer(state, from, AttemptQuery { report.attempt, report.job, report.upstream, IncarnationId(), true }, actions);
}

static bool isAcknowledgePending(const JobRow& job, const AttemptId& attempt)
{
    return std::any_of(job.pendingAcknowledges.begin(), job.pendingAcknowledges.end(),
        [&](const JobRow::PendingAcknowledge& acknowledge) { return acknowledge.attempt == attempt; });
}

static std::optional<std::size_t> findTask(const JobRow& job, const AttemptId& attempt)
{
    for (std::size_t i = 0; i < job.record.tasks.size(); ++i) {
        const TaskRecord& task = job.record.tasks[i];
        if (task.assignment && !task.ended && task.assignment->attempt == attempt)
            return i;
    }
    return std::nullopt;
}

static bool dropReservation(CoreState& state, JobRow& job, const AttemptReport& report, TimePoint now)
{
    for (JobRow::TaskProgress& progress : job.progress) {
        if (!progress.reserved || progress.reserved->attempt != report.attempt || report.state != AttemptState::NeverStarted)
            continue;
        progress.reserved.reset();
        scheduleAt(state, job, now);
        return true;
    }
    return false;
}

void handleAttemptReport(CoreState& state, const InstanceId& from, const AttemptReport& report, const Instant& now, Actions& actions)
{
    const ShardRow& shard = state.shards[shardOf(report.job)];
    if (!mayActOn(state, shardOf(report.job), now.steady) || !shard.jobsLoaded || shard.phase == ShardPhase::Releasing)
        return;
    JobRow* job = findOwnedJob(state, report.job, now.steady);
    if (job == nullptr) {
        answerUnmatchedReport(state, from, report, actions);
        return;
    }
    std::optional<std::size_t> task = findTask(*job, report.attempt);
    if (task)
        applyReport(state, *job, *task, report, now, actions);
    else if (!isAcknowledgePending(*job, report.attempt) && !dropReservation(state, *job, report, now.steady))
        answerUnmatchedReport(state, from, report, actions);
}

} // namespace crocuslever
