#include "src/cell/Commits.h"

#include <algorithm>

#include "src/cell/Ask.h"
#include "src/cell/Jobs.h"
#include "src/cell/Keys.h"
#include "src/cell/Ownership.h"
#include "src/cell/RecordCodec.h"

namespace crocuslever::cell {

static constexpr Duration kCommitInterval = std::chrono::milliseconds(20);
static constexpr Duration kRetryInterval = std::chrono::milliseconds(120);
static constexpr std::size_t kMostEntries = 32; ///< Of one change of the store, its conditions counted.
static constexpr std::size_t kEntriesOfEndedJob = 4;

namespace {

/// What one commit covers.
struct Batch {
    std::vector<std::string> jobs;
    std::map<std::string, std::pair<std::int64_t, std::int64_t>> ends; ///< By upstream: its life, and ends taken in.
};

} // namespace

bool isAllCommitted(const CellState& state)
{
    return state.commits.dirty.empty() && !state.commits.inFlight;
}

static void addJob(const JobRow& job, StoreChange& command)
{
    const std::string& id = job.record.id;
    if (!job.ended) {
        command.puts.push_back({ progressKey(id), encodeProgress(progressOf(job)), 0 });
        return;
    }
    command.puts.push_back({ endedKey(id), toString(*job.ended), 0 });
    command.deletes.push_back(jobKey(id));
    command.deletes.push_back(cancelKey(id));
    command.deletes.push_back(progressKey(id));
}

static Batch fillBatch(CellState& state, StoreChange& command)
{
    Batch batch;
    std::size_t entries = command.conditions.size() + command.puts.size();
    std::set<std::string>& dirty = state.commits.dirty;
    while (!dirty.empty() && entries + kEntriesOfEndedJob <= kMostEntries) {
        std::string id = *dirty.begin();
        dirty.erase(dirty.begin());
        JobRow* job = findJob(state, id);
        if (!job)
            continue;
        addJob(*job, command);
        entries += job->ended ? kEntriesOfEndedJob : 1;
        batch.jobs.push_back(id);
    }
    if (!dirty.empty())
        return batch;
    for (const auto& [id, upstream] : state.upstreams)
        batch.ends[id] = { upstream.entry.bornMs, upstream.lastEnd };
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
        it->second.nextLook = std::min(it->second.nextLook, now.steady);
    }
}

static void closeEndedJobs(CellState& state, const Batch& batch, const Instant& now)
{
    for (const std::string& id : batch.jobs) {
        JobRow* job = findJob(state, id);
        if (!job || !job->ended || state.commits.dirty.count(id) > 0)
            continue;
        state.finished[id] = { *job->ended, now.steady + state.settings.keepFinished };
        state.cancels.erase(id);
        state.jobs.erase(id);
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
    if (revisionOf(reply, kEpochKey) != state.ownership.guard) {
        loseOwnership(state, "the store holds a later epoch than ours", actions);
        return;
    }
    // A commit without an answer was done after all, or this is the first one of this owner.
    state.commits.chain = revisionOf(reply, kCommitKey);
    state.commits.nextCommit = now.steady;
}

static void handleCommit(CellState& state, const Batch& batch, const StoreReply& reply, const Instant& now, CellActions& actions)
{
    state.commits.inFlight = false;
    if (reply.status == StoreStatus::Ok) {
        state.commits.nextCommit = now.steady + kCommitInterval;
        state.commits.chain = reply.revision;
        acknowledgeEnds(state, batch, now);
        closeEndedJobs(state, batch, now);
        return;
    }
    // The same records again, with what has changed since: they only ever gain.
    state.commits.dirty.insert(batch.jobs.begin(), batch.jobs.end());
    state.commits.nextCommit = now.steady + kRetryInterval;
    if (reply.status == StoreStatus::Conflict)
        resolveConflict(state, reply, now, actions);
    else
        note(actions, LogLevel::Warning, "commit", "", "", "the store didn't take " + std::to_string(batch.jobs.size()) + " jobs; they are sent again");
}

static void commit(CellState& state, CellActions& actions)
{
    StoreChange command;
    // Each commit depends on the one before it: one that the store carries out
    // late, after its successor, must not bring old records back.
    command.conditions = { { kEpochKey, state.ownership.guard }, { kCommitKey, state.commits.chain } };
    command.puts.push_back({ kCommitKey, std::to_string(state.ownership.token), 0 });
    Batch batch = fillBatch(state, command);
    if (batch.jobs.empty())
        return;
    state.commits.inFlight = true;
    std::int64_t token = state.ownership.token;
    auto then = [batch, token](CellState& s, const StoreReply& reply, const Instant& at, CellActions& out) {
        if (isOwner(s) && s.ownership.token == token)
            handleCommit(s, batch, reply, at, out);
    };
    change(state, std::move(command), then, actions);
}

/// Ends that change no job need no commit before they are acknowledged.
static void acknowledgeIdleEnds(CellState& state, const Instant& now)
{
    for (auto& [id, upstream] : state.upstreams) {
        if (upstream.acknowledged == upstream.lastEnd)
            continue;
        upstream.acknowledged = upstream.lastEnd;
        upstream.nextLook = std::min(upstream.nextLook, now.steady);
    }
}

static void forgetFinished(CellState& state, TimePoint now)
{
    for (auto it = state.finished.begin(); it != state.finished.end();)
        it = now > it->second.forgetAt ? state.finished.erase(it) : std::next(it);
}

void tickCommits(CellState& state, const Instant& now, CellActions& actions)
{
    if (!isOwner(state))
        return;
    forgetFinished(state, now.steady);
    if (state.commits.inFlight)
        return;
    if (state.commits.dirty.empty())
        acknowledgeIdleEnds(state, now);
    else if (now.steady >= state.commits.nextCommit)
        commit(state, actions);
}

} // namespace crocuslever::cell
