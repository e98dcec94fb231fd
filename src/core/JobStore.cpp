// Persistence of jobs: group commit, and recovery from the store at a takeover.

#include <algorithm>

#include "src/codec/RecordCodec.h"
#include "src/core/Guards.h"
#include "src/core/JobSteps.h"
#include "src/core/Jobs.h"
#include "src/core/Ownership.h"
#include "src/core/Peers.h"
#include "src/core/StoreKeys.h"
#include "src/core/StoreWriter.h"

namespace crocuslever {

/// Both are well under the store's limits on the operations and bytes of one transaction.
static constexpr std::size_t kMaximumJobsPerCommit = 50;
static constexpr std::size_t kMaximumBytesPerCommit = std::size_t { 900 } * 1024;

static bool hasPendingCommit(const CoreState& state)
{
    if (state.storeQueue.inFlight && std::holds_alternative<JobsPurpose>(state.storeQueue.inFlight->purpose))
        return true;
    for (const PendingWrite& write : state.storeQueue.waiting) {
        if (std::holds_alternative<JobsPurpose>(write.purpose))
            return true;
    }
    return false;
}

static bool isToBeDeleted(const JobRow& job)
{
    return isFinal(job.record.state) && isDurable(job);
}

static std::size_t addDeletion(const JobRow& job, StoreTransaction& transaction, JobsPurpose& purpose)
{
    transaction.deletes.push_back(jobKey(job.record.id));
    purpose.deletedJobs.push_back(job.record.id);
    return 0;
}

static std::size_t addRecord(const JobRow& job, StoreTransaction& transaction, JobsPurpose& purpose)
{
    std::size_t bytes = 0;
    const JobId& id = job.record.id;
    transaction.puts.push_back({ jobKey(id), encodeJob(job.record), 0 });
    bytes += transaction.puts.back().value.size();
    if (isFinal(job.record.state)) {
        transaction.deletes.push_back(jobBodyKey(id));
    } else if (!job.bodyDurable) {
        transaction.puts.push_back({ jobBodyKey(id), job.record.spec.body, 0 });
        bytes += job.record.spec.body.size();
        purpose.withBody.push_back(id);
    }
    purpose.versions[id] = job.version;
    return bytes;
}

void commitJobs(CoreState& state, const Instant& now)
{
    std::set<JobId>& dirty = state.jobSchedule.dirty;
    if (dirty.empty() || now.steady < state.storeQueue.nextCommit || hasPendingCommit(state))
        return;
    state.storeQueue.nextCommit = now.steady + state.settings.commitInterval;
    StoreTransaction transaction;
    JobsPurpose purpose;
    std::size_t bytes = 0;
    while (!dirty.empty() && transaction.puts.size() < kMaximumJobsPerCommit && transaction.deletes.size() < kMaximumJobsPerCommit && bytes < kMaximumBytesPerCommit / 2) {
        const JobRow& job = state.jobs.at(*dirty.begin());
        dirty.erase(dirty.begin());
        bytes += isToBeDeleted(job) ? addDeletion(job, transaction, purpose) : addRecord(job, transaction, purpose);
    }
    state.counters.add("job_commits_total");
    enqueueWrite(state, std::move(transaction), std::move(purpose));
}

static void eraseDeleted(CoreState& state, const JobsPurpose& purpose)
{
    for (const JobId& id : purpose.deletedJobs) {
        auto it = state.jobs.find(id);
        if (it != state.jobs.end())
            removeJob(state, it->second);
    }
}

void handleJobsOutcome(CoreState& state, const JobsPurpose& purpose, bool committed, const Instant& now, Actions& actions)
{
    if (!committed) {
        // The transaction compares only the session's own key, so a conflict is not expected. Should
        // it occur, the changes are written again.
        for (const auto& [id, version] : purpose.versions) {
            if (state.jobs.count(id) != 0)
                state.jobSchedule.dirty.insert(id);
        }
        return;
    }
    for (const JobId& id : purpose.withBody) {
        auto it = state.jobs.find(id);
        if (it != state.jobs.end())
            it->second.bodyDurable = true;
    }
    for (const auto& [id, version] : purpose.versions) {
        auto it = state.jobs.find(id);
        if (it == state.jobs.end())
            continue;
        it->second.durableVersion = std::max(it->second.durableVersion, version);
        notifyDurable(state, it->second, now, actions);
    }
    eraseDeleted(state, purpose);
}

// Recovery.

static bool endsWith(const std::string& text, const std::string& suffix)
{
    return text.size() >= suffix.size() && text.compare(text.size() - suffix.size(), suffix.size(), suffix) == 0;
}

static JobRow recoverJob(JobRecord record)
{
    JobRow job;
    job.record = std::move(record);
    job.durableVersion = job.version;
    job.bodyDurable = true;
    job.progress.resize(job.record.tasks.size());
    for (std::size_t i = 0; i < job.record.tasks.size(); ++i) {
        if (!isEnabled(Guard::QueryBeforeRetry))
            job.record.tasks[i].assignment.reset();
        if (job.record.tasks[i].assignment)
            job.progress[i].recovered = true;
    }
    return job;
}

static void addRecovered(CoreState& state, JobRecord record, const Instant& now)
{
    JobId id = record.id;
    if (record.state == JobState::Queued)
        ++state.jobSchedule.queued[record.team];
    JobRow& job = state.jobs.emplace(id, recoverJob(std::move(record))).first->second;
    scheduleAt(state, job, now.steady);
}

static void restoreBody(CoreState& state, ShardIndex shard, const StoreEntry& entry)
{
    static const std::string kSuffix = "/body";
    if (!endsWith(entry.key, kSuffix))
        return;
    std::size_t start = jobPrefix(shard).size();
    auto it = state.jobs.find(JobId(entry.key.substr(start, entry.key.size() - start - kSuffix.size())));
    if (it != state.jobs.end())
        it->second.record.spec.body = entry.value;
}

void loadJobs(CoreState& state, ShardIndex shard, const std::vector<StoreEntry>& entries, const Instant& now, Actions& actions)
{
    for (const StoreEntry& entry : entries) {
        if (!endsWith(entry.key, "/record"))
            continue;
        Result<JobRecord> record = decodeJob(entry.value);
        if (record) {
            addRecovered(state, record.value(), now);
            continue;
        }
        state.counters.add("store_bad_values_total");
        logTo(actions, LogLevel::Error, "jobs", "skipped the invalid job record " + entry.key + ": " + record.error().describe(), "store");
    }
    for (const StoreEntry& entry : entries)
        restoreBody(state, shard, entry);
}

} // namespace crocuslever
