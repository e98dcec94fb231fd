#include "src/cell/Commits.h"

#include <algorithm>

#include "src/cell/Jobs.h"
#include "src/cell/Keys.h"
#include "src/cell/Ownership.h"
#include "src/cell/RecordCodec.h"
#include "src/cell/StoreCalls.h"

namespace crocuslever::cell {

static constexpr Duration kCommitInterval = std::chrono::milliseconds(20);
static constexpr Duration kRetryInterval = std::chrono::milliseconds(120);
static constexpr std::size_t kMaxEntriesPerChange = 32; ///< Operations of one transaction, including its conditions.
static constexpr std::size_t kMaxEntriesPerEndedJob = 4;
static constexpr Duration kIdleInterval = std::chrono::milliseconds(5); ///< Between acknowledgement passes over all upstreams.
static constexpr Duration kFinishedSweepInterval = std::chrono::seconds(1);

namespace {

/// The contents of one commit.
struct Batch {
    std::vector<std::string> jobs;
    /// By upstream: start time of its incarnation, and the highest processed end.
    std::map<std::string, std::pair<std::int64_t, std::int64_t>> ends;
};

} // namespace

void markDirty(CellState& state, const std::string& job)
{
    if (state.commits.dirty.insert(job).second)
        state.commits.queue.push_back(job);
}

bool isAllCommitted(const CellState& state)
{
    return state.commits.dirty.empty() && !state.commits.inFlight;
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

static Batch fillBatch(CellState& state, StoreChange& command)
{
    Batch batch;
    CommitQueue& commits = state.commits;
    std::size_t entries = command.conditions.size() + command.puts.size();
    while (!commits.queue.empty() && entries + kMaxEntriesPerEndedJob <= kMaxEntriesPerChange) {
        std::string id = std::move(commits.queue.front());
        commits.queue.pop_front();
        commits.dirty.erase(id);
        JobRow* job = findJob(state, id);
        if (!job)
            continue;
        entries += addJob(*job, command);
        batch.jobs.push_back(id);
    }
    if (!commits.queue.empty())
        return batch;
    for (const auto& [id, upstream] : state.upstreams) {
        if (upstream.acknowledged < upstream.lastEnd)
            batch.ends[id] = { upstream.entry.bornMs, upstream.lastEnd };
    }
    return batch;
}

static void acknowledgeEnds(CellState& state, const Batch& batch, const Instant& now)
{
    for (const auto& [id, level] : batch.ends) {
        auto it = state.upstreams.find(id);
        if (it == state.upstreams.end() || it->second.entry.bornMs != level.first)
            continue;
        if (level.second <= it->second.acknowledged)
            continue;
        it->second.acknowledged = level.second;
        it->second.nextPoll = std::min(it->second.nextPoll, now.steady);
    }
}

static void retireEndedJobs(CellState& state, const Batch& batch, const Instant& now)
{
    for (const std::string& id : batch.jobs) {
        JobRow* job = findJob(state, id);
        if (!job || !job->ended || state.commits.dirty.count(id) > 0)
            continue;
        state.finished[id] = { *job->ended, now.steady + state.settings.finishedRetention };
        state.cancellations.erase(id);
        removeJob(state, id);
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

static void resolveConflict(CellState& state, const StoreReply& reply, const Instant& now, CellActions& actions)
{
    if (revisionOf(reply, kEpochKey) != state.ownership.epochRevision) {
        loseOwnership(state, "the store has a later epoch", actions);
        return;
    }
    // An unanswered commit was applied, or this is the first commit of this owner.
    state.commits.lastRevision = revisionOf(reply, kCommitKey);
    state.commits.nextCommit = now.steady;
}

static void handleCommit(CellState& state, const Batch& batch, const StoreReply& reply, const Instant& now, CellActions& actions)
{
    state.commits.inFlight = false;
    if (reply.status == StoreStatus::Ok) {
        // A long queue continues at once: upstreams repeat its ends in each answer until they are stored.
        state.commits.nextCommit = now.steady + (state.commits.queue.size() < kMaxEntriesPerChange ? kCommitInterval : Duration(0));
        state.commits.lastRevision = reply.revision;
        acknowledgeEnds(state, batch, now);
        retireEndedJobs(state, batch, now);
        return;
    }
    // Retries with the current records. Records only ever gain, so they cover those of the failed commit.
    for (const std::string& id : batch.jobs)
        markDirty(state, id);
    state.commits.nextCommit = now.steady + kRetryInterval;
    if (reply.status == StoreStatus::Conflict)
        resolveConflict(state, reply, now, actions);
    else
        logMessage(actions, LogLevel::Warning, "commit", "", "", "commit of " + std::to_string(batch.jobs.size()) + " jobs failed; retrying");
}

static void commit(CellState& state, CellActions& actions)
{
    StoreChange command;
    // Each commit requires the revision of the previous one. Otherwise a delayed
    // commit that is applied after its successor would restore old records.
    command.conditions = { { kEpochKey, state.ownership.epochRevision }, { kCommitKey, state.commits.lastRevision } };
    command.puts.push_back({ kCommitKey, std::to_string(state.ownership.token), 0 });
    std::shared_ptr<const Batch> batch = std::make_shared<Batch>(fillBatch(state, command));
    if (batch->jobs.empty())
        return;
    state.commits.inFlight = true;
    std::int64_t token = state.ownership.token;
    auto then = [batch, token](CellState& s, const StoreReply& reply, const Instant& at, CellActions& out) {
        if (isOwner(s) && s.ownership.token == token)
            handleCommit(s, *batch, reply, at, out);
    };
    sendChange(state, std::move(command), then, actions);
}

/// Acknowledges ends at once if no job has unstored changes.
static void acknowledgeIdleEnds(CellState& state, const Instant& now)
{
    state.commits.nextIdlePass = now.steady + kIdleInterval;
    for (auto& [id, upstream] : state.upstreams) {
        if (upstream.acknowledged == upstream.lastEnd)
            continue;
        upstream.acknowledged = upstream.lastEnd;
        upstream.nextPoll = std::min(upstream.nextPoll, now.steady);
    }
}

static void expireFinishedJobs(CellState& state, TimePoint now)
{
    if (now < state.nextFinishedSweep)
        return;
    state.nextFinishedSweep = now + kFinishedSweepInterval;
    for (auto it = state.finished.begin(); it != state.finished.end();)
        it = now > it->second.expiresAt ? state.finished.erase(it) : std::next(it);
}

void tickCommits(CellState& state, const Instant& now, CellActions& actions)
{
    if (!isOwner(state))
        return;
    expireFinishedJobs(state, now.steady);
    if (state.commits.inFlight)
        return;
    if (state.commits.dirty.empty() && now.steady >= state.commits.nextIdlePass)
        acknowledgeIdleEnds(state, now);
    if (!state.commits.dirty.empty() && now.steady >= state.commits.nextCommit)
        commit(state, actions);
}

} // namespace crocuslever::cell
