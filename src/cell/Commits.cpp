#include "src/cell/Commits.h"

#include <algorithm>
#include <optional>

#include "src/cell/Jobs.h"
#include "src/cell/Keys.h"
#include "src/cell/Membership.h"
#include "src/cell/Ownership.h"
#include "src/cell/RecordCodec.h"
#include "src/cell/StoreCalls.h"

namespace crocuslever::cell {

/// A store that answers slowly, and a busy owner that reads its answers late, take many transactions at a time.
static constexpr std::size_t kLanes = 16;
static constexpr Duration kCommitInterval = std::chrono::milliseconds(20);
/// While more changes wait than one transaction takes.
static constexpr Duration kBacklogInterval = std::chrono::milliseconds(5);
static constexpr Duration kRetryInterval = std::chrono::milliseconds(120);
static constexpr std::size_t kMaxEntriesPerChange = 32; ///< Operations of one transaction, including its conditions.
static constexpr std::size_t kMaxEntriesPerEndedJob = 4;
/// Part of a transaction that ended jobs leave to others, whose run ends could otherwise never be acknowledged.
static constexpr std::size_t kEntriesForContinuingJobs = 8;
static constexpr int kLatencySamples = 8; ///< Weight of the past in the smoothed latency of commits.
static constexpr Duration kFinishedSweepInterval = std::chrono::seconds(1);

namespace {

/// The contents of one commit.
struct Batch {
    std::size_t lane { 0 };
    std::vector<std::string> jobs;
    std::int64_t changes { 0 }; ///< The jobs' changes up to this number are included.
    TimePoint sentAt;
};

} // namespace

static ChangedJobs& queueFor(CommitQueue& commits, const std::string& job)
{
    auto it = commits.boundTo.find(job);
    return it == commits.boundTo.end() ? commits.unbound : commits.lanes[it->second].bound;
}

static void enqueue(CellState& state, const JobRow& job)
{
    const std::string& id = job.record.id;
    ChangedJobs& queue = queueFor(state.commits, id);
    bool isNew = state.commits.dirty.insert(id).second;
    if (job.ended)
        queue.ended.push_back(id);
    else if (isNew)
        queue.continuing.push_back(id);
}

void markDirty(CellState& state, JobRow& job)
{
    job.changed = ++state.commits.changes;
    enqueue(state, job);
}

bool isAllCommitted(const CellState& state)
{
    const std::vector<CommitLane>& lanes = state.commits.lanes;
    bool isInFlight = std::any_of(lanes.begin(), lanes.end(), [](const CommitLane& it) { return it.inFlight; });
    return state.commits.dirty.empty() && !isInFlight;
}

/// Adds the job to the transaction. Returns the number of operations added.
static std::size_t addJob(JobRow& job, StoreChange& command)
{
    const std::string& id = job.record.id;
    if (!job.ended) {
        job.mayHaveProgress = true;
        command.puts.push_back({ progressKey(id), encodeProgress(collectProgress(job)), 0 });
        return 1;
    }
    command.puts.push_back({ endedKey(id), toString(*job.ended), 0 });
    command.deletes.push_back(jobKey(id));
    // There may be a cancellation that the watch has not delivered yet.
    command.deletes.push_back(cancelKey(id));
    if (job.mayHaveProgress)
        command.deletes.push_back(progressKey(id));
    return job.mayHaveProgress ? kMaxEntriesPerEndedJob : kMaxEntriesPerEndedJob - 1;
}

static bool isBoundToOther(const CommitQueue& commits, const std::string& job, std::size_t lane)
{
    auto it = commits.boundTo.find(job);
    return it != commits.boundTo.end() && it->second != lane;
}

/// Adds jobs from the queue while there are at least `each` of the `entries` left. Returns the entries left.
static std::size_t addJobs(CellState& state, std::deque<std::string>& queue, std::size_t entries, std::size_t each, Batch& batch, StoreChange& command)
{
    CommitQueue& commits = state.commits;
    while (!queue.empty() && entries >= each) {
        std::string id = std::move(queue.front());
        queue.pop_front();
        JobRow* job = findJob(state, id);
        // A job that was bound after it was queued here is in the queue of its lane.
        if (!job || isBoundToOther(commits, id, batch.lane) || commits.dirty.erase(id) == 0)
            continue;
        commits.boundTo[id] = batch.lane;
        entries -= addJob(*job, command);
        batch.jobs.push_back(id);
    }
    return entries;
}

/// Ended jobs go first, as their callers wait for them.
static Batch fillBatch(CellState& state, std::size_t laneNumber, StoreChange& command)
{
    CommitQueue& commits = state.commits;
    ChangedJobs& bound = commits.lanes[laneNumber].bound;
    Batch batch;
    batch.lane = laneNumber;
    batch.changes = commits.changes;
    std::size_t entries = kMaxEntriesPerChange - command.conditions.size() - command.puts.size();
    std::size_t kept = std::min(bound.continuing.size() + commits.unbound.continuing.size(), kEntriesForContinuingJobs);
    entries = addJobs(state, bound.ended, entries - kept, kMaxEntriesPerEndedJob, batch, command);
    entries = kept + addJobs(state, commits.unbound.ended, entries, kMaxEntriesPerEndedJob, batch, command);
    // A job that has ended since it was queued takes as many entries as any other ended job.
    entries = addJobs(state, bound.continuing, entries, kMaxEntriesPerEndedJob, batch, command);
    addJobs(state, commits.unbound.continuing, entries, kMaxEntriesPerEndedJob, batch, command);
    return batch;
}

void acknowledgeStoredEnds(CellState& state, UpstreamRow& upstream, const Instant& now)
{
    std::deque<PendingEnd>& ends = upstream.pendingEnds;
    while (!ends.empty()) {
        const JobRow* job = findJob(state, ends.front().job);
        if (job && job->stored < ends.front().change)
            return;
        upstream.acknowledged = ends.front().number;
        upstream.nextPoll = std::min(upstream.nextPoll, now.steady);
        ends.pop_front();
    }
}

/// A job without newer changes may use any lane again.
static void releaseFromLane(CommitQueue& commits, const std::string& job)
{
    if (commits.dirty.count(job) == 0)
        commits.boundTo.erase(job);
}

static void recordStored(CellState& state, const Batch& batch, const Instant& now, CellActions& actions)
{
    std::set<std::string> upstreams;
    for (const std::string& id : batch.jobs) {
        releaseFromLane(state.commits, id);
        JobRow* job = findJob(state, id);
        if (!job)
            continue;
        upstreams.insert(job->endsHeldBy.begin(), job->endsHeldBy.end());
        job->stored = batch.changes;
        if (job->stored >= job->changed)
            job->endsHeldBy.clear();
        if (!job->ended || state.commits.dirty.count(id) > 0)
            continue;
        logMessage(actions, LogLevel::Info, "job.stored", "", id, std::string("the end ") + toString(*job->ended) + " is stored, " + std::to_string(toMilliseconds(now.steady - batch.sentAt)) + " ms after its commit was sent");
        state.finished[id] = { *job->ended, now.steady + state.settings.finishedRetention };
        state.cancellations.erase(id);
        removeJob(state, id);
    }
    for (const std::string& id : upstreams) {
        auto it = state.upstreams.find(id);
        if (it != state.upstreams.end())
            acknowledgeStoredEnds(state, it->second, now);
    }
}

static StoreRevision revisionOf(const StoreReply& reply, const std::string& key)
{
    for (const StoreEntry& entry : reply.entries) {
        if (entry.key == key)
            return entry.modRevision;
    }
    return 0;
}

static void resolveConflict(CellState& state, std::size_t laneNumber, const StoreReply& reply, const Instant& now, CellActions& actions)
{
    if (revisionOf(reply, kEpochKey) != state.ownership.epochRevision) {
        for (const StoreEntry& entry : reply.entries) {
            if (entry.key == kEpochKey)
                recordEpoch(state.membership, entry);
        }
        loseOwnership(state, "the store has a later epoch", actions);
        return;
    }
    // An unanswered commit was applied, or this is the lane's first commit of this owner.
    CommitLane& lane = state.commits.lanes[laneNumber];
    lane.lastRevision = revisionOf(reply, commitKey(laneNumber));
    lane.retryAt = now.steady;
}

static std::size_t sizeOf(const ChangedJobs& queue) { return queue.ended.size() + queue.continuing.size(); }

static void handleCommit(CellState& state, const Batch& batch, const StoreReply& reply, const Instant& now, CellActions& actions)
{
    CommitLane& lane = state.commits.lanes[batch.lane];
    lane.inFlight = false;
    if (reply.status == StoreStatus::Ok) {
        Duration& latency = state.commits.latency;
        latency += (now.steady - batch.sentAt - latency) / kLatencySamples;
        lane.lastRevision = reply.revision;
        recordStored(state, batch, now, actions);
        return;
    }
    // Retries with the current records. Records only ever gain, so they cover those of the failed commit.
    for (const std::string& id : batch.jobs) {
        if (const JobRow* job = findJob(state, id))
            enqueue(state, *job);
    }
    lane.retryAt = now.steady + kRetryInterval;
    if (reply.status == StoreStatus::Conflict)
        resolveConflict(state, batch.lane, reply, now, actions);
    else
        logMessage(actions, LogLevel::Warning, "commit", "", "", "commit of " + std::to_string(batch.jobs.size()) + " jobs failed; retrying");
}

/// Returns false if there was nothing to commit.
static bool commit(CellState& state, std::size_t laneNumber, TimePoint now, CellActions& actions)
{
    CommitLane& lane = state.commits.lanes[laneNumber];
    StoreChange command;
    // Each commit requires the revision of the lane's previous one. Otherwise a delayed
    // commit that is applied after its successor would restore old records.
    command.conditions = { { kEpochKey, state.ownership.epochRevision }, { commitKey(laneNumber), lane.lastRevision } };
    command.puts.push_back({ commitKey(laneNumber), std::to_string(state.ownership.token), 0 });
    std::shared_ptr<Batch> batch = std::make_shared<Batch>(fillBatch(state, laneNumber, command));
    if (batch->jobs.empty())
        return false;
    batch->sentAt = now;
    lane.inFlight = true;
    state.counters.add("commits_total");
    std::int64_t token = state.ownership.token;
    auto then = [batch, token](CellState& s, const StoreReply& reply, const Instant& at, CellActions& out) {
        if (isOwner(s) && s.ownership.token == token)
            handleCommit(s, *batch, reply, at, out);
    };
    sendChange(state, std::move(command), then, actions);
    return true;
}

static void expireFinishedJobs(CellState& state, TimePoint now)
{
    if (now < state.nextFinishedSweep)
        return;
    state.nextFinishedSweep = now + kFinishedSweepInterval;
    for (auto it = state.finished.begin(); it != state.finished.end();)
        it = now > it->second.expiresAt ? state.finished.erase(it) : std::next(it);
}

/// Until the next commit may be sent. Upstreams repeat unstored ends in each answer, so a backlog is stored faster.
static Duration commitInterval(const CommitQueue& commits)
{
    return commits.dirty.size() < kMaxEntriesPerChange / kMaxEntriesPerEndedJob ? kCommitInterval : kBacklogInterval;
}

/// The lane of the next commit; nothing if none may send one. Lanes with jobs of their own take turns, and take other jobs
/// along; else any idle lane does.
static std::optional<std::size_t> chooseLane(const CommitQueue& commits, TimePoint now)
{
    std::optional<std::size_t> idle;
    for (std::size_t k = 0; k < kLanes; ++k) {
        std::size_t n = (commits.lastLane + 1 + k) % kLanes;
        const CommitLane& lane = commits.lanes[n];
        if (lane.inFlight || now < lane.retryAt)
            continue;
        if (sizeOf(lane.bound) > 0)
            return n;
        idle = std::min(idle.value_or(n), n);
    }
    return sizeOf(commits.unbound) > 0 ? idle : std::nullopt;
}

void tickCommits(CellState& state, const Instant& now, CellActions& actions)
{
    if (!isOwner(state))
        return;
    expireFinishedJobs(state, now.steady);
    CommitQueue& commits = state.commits;
    commits.lanes.resize(kLanes);
    // A busy owner makes up for turns that came late.
    commits.nextCommit = std::max(commits.nextCommit, now.steady - static_cast<int>(kLanes) * kBacklogInterval);
    while (now.steady >= commits.nextCommit) {
        std::optional<std::size_t> lane = chooseLane(commits, now.steady);
        if (!lane)
            return;
        commits.lastLane = *lane;
        if (commit(state, *lane, now.steady, actions))
            commits.nextCommit += commitInterval(commits);
    }
}

} // namespace crocuslever::cell
