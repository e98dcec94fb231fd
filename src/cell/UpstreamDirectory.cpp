#include "src/cell/UpstreamDirectory.h"

#include <algorithm>
#include <unordered_map>

#include "src/cell/Declarations.h"
#include "src/cell/Jobs.h"
#include "src/cell/Keys.h"
#include "src/cell/Latency.h"
#include "src/cell/Ownership.h"
#include "src/cell/RecordCodec.h"
#include "src/cell/Runs.h"
#include "src/cell/StoreCalls.h"
#include "src/cell/Upstreams.h"

namespace crocuslever::cell {

static constexpr int kFailuresPerLogLine = 8; ///< Of consecutive failures the first is logged, and then one in this many.
/// Readings of the directory in the time in which a drain has to be heeded.
static constexpr int kDirectoryReadingsPerDeadline = 5;
/// Largest difference between our time of day and an upstream's.
static constexpr std::int64_t kMaxClockErrorMs = 6000; // ms
/// An upstream that is lost this soon after the start of a run was probably crashed by it.
static constexpr Duration kSuddenCrash = std::chrono::milliseconds(1000);

/// Gives the upstream a new incarnation id, which is not stored yet.
static void assignIncarnation(CellState& state, UpstreamRow& upstream)
{
    upstream.incarnation = state.nextTicket++;
    upstream.isStored = false;
    state.ownership.isKnownUpstreamsStale = true;
}

/// Counts the crash of an upstream for each run that it had, or that has lapsed since contact was lost. An upstream that
/// was draining has left as announced.
static void recordCrash(CellState& state, UpstreamRow& upstream, const Instant& now, CellActions& actions)
{
    std::vector<LapsedRun> runs = std::move(upstream.lapsedRuns);
    upstream.lapsedRuns.clear();
    for (const auto& [name, run] : upstream.runs) {
        // An order without an answer may never have started the run.
        if (run.confirmed)
            runs.push_back({ run.task, run.run, run.startedAt });
    }
    if (upstream.entry.draining)
        return;
    for (const LapsedRun& run : runs) {
        bool isSudden = upstream.failedPolls > 0 && upstream.contactLostAt - run.startedAt <= kSuddenCrash;
        handleCrashedRun(state, run.task, run.run, isSudden, upstream.entry.id, now, actions);
    }
}

/// Ends a run that was lost with its upstream.
static void loseRun(CellState& state, UpstreamRow& upstream, const std::string& name, const Instant& now, CellActions& actions)
{
    TaskRow* task = findTask(state, upstream.runs.at(name).task);
    if (task)
        task->lostAt = now.steady;
    finishRun(state, upstream, name, RunEnd::LeaseExpired, "", now, actions);
}

static void loseAllRuns(CellState& state, UpstreamRow& upstream, const Instant& now, CellActions& actions)
{
    std::vector<std::string> names;
    for (const auto& [name, run] : upstream.runs)
        names.push_back(name);
    for (const std::string& name : names)
        loseRun(state, upstream, name, now, actions);
}

/// Ends all runs of an upstream at whose address a later one is listed. Orders that name the earlier one are refused there.
static void handleUpstreamReplaced(CellState& state, UpstreamRow& upstream, const DirectoryEntry& successor, const Instant& now, CellActions& actions)
{
    logMessage(actions, LogLevel::Info, "upstream.life", upstream.entry.id, "", "has ended: " + successor.id + " is listed at its address " + successor.address + "; it had " + std::to_string(upstream.runs.size()) + " runs");
    recordCrash(state, upstream, now, actions);
    upstream.isReplaced = true;
    loseAllRuns(state, upstream, now, actions);
}

// The new incarnation knows nothing of the runs of the previous one, and executes no order that was meant for it.
void handleUpstreamRestart(CellState& state, UpstreamRow& upstream, std::int64_t bornMs, const Instant& now, CellActions& actions)
{
    logMessage(actions, LogLevel::Info, "upstream.life", upstream.entry.id, "", "restarted, new incarnation " + std::to_string(bornMs) + ", takes no work until its directory entry is read; the previous one had " + std::to_string(upstream.runs.size()) + " runs");
    recordCrash(state, upstream, now, actions);
    loseAllRuns(state, upstream, now, actions);
    upstream.bornMs = bornMs;
    upstream.restartFoundAt = now.steady;
    assignIncarnation(state, upstream);
    upstream.isReplaced = false;
    upstream.fenced = false;
    upstream.unknownRuns = 0;
    upstream.clockKnown = false;
    upstream.lastEnd = 0;
    upstream.acknowledged = 0;
    upstream.pendingEnds.clear();
    upstream.failedPolls = 0;
    upstream.leasesEnd = now.steady;
    if (upstream.poll != 0)
        state.polls.erase(upstream.poll);
    upstream.poll = 0;
    upstream.nextPoll = now.steady;
}

void addEarlierUpstream(CellState& state, const UpstreamTarget& target, TimePoint now)
{
    UpstreamRow& upstream = state.upstreams[target.id];
    if (!upstream.entry.id.empty())
        return;
    upstream.entry.id = target.id;
    upstream.entry.address = target.address;
    upstream.bornMs = target.bornMs;
    assignIncarnation(state, upstream);
    upstream.leasesEnd = state.ownership.earlierRunsEnd;
    upstream.nextPoll = now;
}

static void applyDirectoryEntry(CellState& state, const DirectoryEntry& entry, const Instant& now, CellActions& actions)
{
    UpstreamRow& upstream = state.upstreams[entry.id];
    bool isNew = upstream.entry.id.empty();
    if (!isNew && entry.bornMs < upstream.bornMs)
        return; // Stale entry of an earlier incarnation.
    bool isFirstOfIncarnation = isNew || upstream.entry.bornMs != entry.bornMs;
    if (isNew) {
        upstream.bornMs = entry.bornMs;
        assignIncarnation(state, upstream);
    } else if (upstream.bornMs != entry.bornMs) {
        handleUpstreamRestart(state, upstream, entry.bornMs, now, actions);
    }
    if (isFirstOfIncarnation && upstream.restartFoundAt != TimePoint())
        observeLatency(state.counters, "upstream_entry_wait_seconds", now.steady - upstream.restartFoundAt);
    if (isFirstOfIncarnation || upstream.entry.draining != entry.draining || !upstream.listed) {
        state.placementDue = true;
        logMessage(actions, LogLevel::Info, "upstream.listed", entry.id, "", std::string(entry.draining ? "draining" : "ready") + " in " + entry.domain + " at " + entry.address);
    }
    upstream.entry = entry;
    upstream.listed = true;
}

/// True if the entry shows that the upstream has ended. One that still answers has not, whatever another writer
/// may have put into the directory.
static bool isReplacedBy(const UpstreamRow& upstream, const DirectoryEntry& entry, const Instant& now)
{
    const DirectoryEntry& earlier = upstream.entry;
    bool isLater = upstream.bornMs > 0 && upstream.bornMs < entry.bornMs && entry.bornMs < now.wallMs + kMaxClockErrorMs;
    // The service of an incarnation isn't known before its entry is read.
    bool isSameService = !isDescribed(upstream) || earlier.service == entry.service;
    return upstream.failedPolls > 0 && earlier.id != entry.id && isLater && isSameService;
}

static void findReplacedUpstreams(CellState& state, const Directory& directory, const Instant& now, CellActions& actions)
{
    std::unordered_multimap<std::string, const DirectoryEntry*> byAddress;
    for (const DirectoryEntry& entry : directory.entries)
        byAddress.emplace(entry.address, &entry);
    for (auto& [id, upstream] : state.upstreams) {
        auto range = byAddress.equal_range(upstream.entry.address);
        for (auto it = range.first; it != range.second && !upstream.isReplaced; ++it) {
            if (isReplacedBy(upstream, *it->second, now))
                handleUpstreamReplaced(state, upstream, *it->second, now, actions);
        }
    }
}

static void markUnlisted(CellState& state, const std::set<std::string>& listed, CellActions& actions)
{
    for (auto& [id, upstream] : state.upstreams) {
        if (!upstream.listed || listed.count(id) > 0)
            continue;
        upstream.listed = false;
        logMessage(actions, LogLevel::Info, "upstream.listed", id, "", "no longer in the directory; " + std::to_string(upstream.runs.size()) + " runs remain on it");
    }
}

static void recordDirectoryFailure(CellState& state, TimePoint sentAt, const Instant& now, CellActions& actions)
{
    Ownership& ownership = state.ownership;
    state.counters.add("directory_read_failures_total");
    if (ownership.directoryFailures++ % kFailuresPerLogLine == 0)
        logMessage(actions, LogLevel::Warning, "directory", "", "", "reading the directory failed after " + std::to_string(toMilliseconds(now.steady - sentAt)) + " ms; last read " + describeAge(ownership.directory, now.steady) + ", failure " + std::to_string(ownership.directoryFailures));
}

static void handleDirectory(CellState& state, const StoreReply& reply, TimePoint sentAt, const Instant& now, CellActions& actions)
{
    state.ownership.readingDirectory = false;
    if (!isOwner(state))
        return;
    if (reply.status != StoreStatus::Ok) {
        recordDirectoryFailure(state, sentAt, now, actions);
        return;
    }
    state.ownership.directory = { reply.revision, sentAt };
    state.ownership.directoryFailures = 0;
    Directory read = state.format.decodeDirectory(reply.entries);
    std::set<std::string> listed;
    for (const DirectoryEntry& entry : read.entries) {
        listed.insert(entry.id);
        applyDirectoryEntry(state, entry, now, actions);
    }
    markUnlisted(state, listed, actions);
    findReplacedUpstreams(state, read, now, actions);
}

static void handleKnownUpstreamsStored(CellState& state, const std::set<UpstreamIncarnation>& incarnations, const StoreReply& reply)
{
    Ownership& ownership = state.ownership;
    ownership.storingKnownUpstreams = false;
    if (reply.status == StoreStatus::Ok) {
        ownership.knownUpstreamsRevision = reply.revision;
        state.placementDue = true;
        for (auto& [id, upstream] : state.upstreams)
            upstream.isStored = upstream.isStored || incarnations.count(upstream.incarnation) > 0;
        return;
    }
    ownership.isKnownUpstreamsStale = true;
    // A conflict means that an unanswered write was applied, that this is the first write of this owner,
    // or that there is a later epoch. The next commit detects the latter.
    for (const StoreEntry& entry : reply.entries) {
        if (reply.status == StoreStatus::Conflict && entry.key == kUpstreamsKey)
            ownership.knownUpstreamsRevision = entry.modRevision;
    }
}

/// Stores the known upstreams. Runs are placed only on stored ones, so that a successor finds all runs.
static void storeKnownUpstreams(CellState& state, CellActions& actions)
{
    Ownership& ownership = state.ownership;
    if (ownership.storingKnownUpstreams || !ownership.isKnownUpstreamsStale)
        return;
    ownership.storingKnownUpstreams = true;
    ownership.isKnownUpstreamsStale = false;
    std::vector<UpstreamTarget> targets;
    std::set<UpstreamIncarnation> incarnations;
    for (const auto& [id, upstream] : state.upstreams) {
        targets.push_back(targetOf(upstream));
        incarnations.insert(upstream.incarnation);
    }
    StoreChange command;
    command.conditions = { { kEpochKey, ownership.epochRevision }, { kUpstreamsKey, ownership.knownUpstreamsRevision } };
    command.puts = { { kUpstreamsKey, encodeUpstreams(targets), 0 } };
    std::int64_t token = ownership.token;
    auto then = [token, incarnations](CellState& s, const StoreReply& reply, const Instant&, CellActions&) {
        if (isOwner(s) && s.ownership.token == token)
            handleKnownUpstreamsStored(s, incarnations, reply);
    };
    sendChange(state, std::move(command), then, actions);
}

static void readDirectory(CellState& state, const Instant& now, CellActions& actions)
{
    Ownership& ownership = state.ownership;
    ownership.readingDirectory = true;
    ownership.nextDirectory = now.steady + state.settings.drainDeadline / kDirectoryReadingsPerDeadline;
    TimePoint sentAt = now.steady;
    auto then = [sentAt](CellState& s, const StoreReply& reply, const Instant& at, CellActions& out) { handleDirectory(s, reply, sentAt, at, out); };
    readListing(state, Listing::Directory, then, actions);
}

void tickUpstreamDirectory(CellState& state, const Instant& now, CellActions& actions)
{
    const Ownership& ownership = state.ownership;
    if (!ownership.readingDirectory && now.steady >= ownership.nextDirectory)
        readDirectory(state, now, actions);
    storeKnownUpstreams(state, actions);
}

} // namespace crocuslever::cell
