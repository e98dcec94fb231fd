#include "src/cell/Entry.h"

#include <algorithm>

#include "cell.pb.h"
#include "src/cell/Admission.h"
#include "src/cell/Declarations.h"
#include "src/cell/EntryReplies.h"
#include "src/cell/JobQueue.h"
#include "src/cell/Jobs.h"
#include "src/cell/Keys.h"
#include "src/cell/Latency.h"
#include "src/cell/Ownership.h"
#include "src/cell/PeerCalls.h"
#include "src/cell/RecordCodec.h"
#include "src/cell/StoreCalls.h"
#include "src/cell/Withdrawal.h"

namespace crocuslever::cell {

namespace wire = crocuslever::cellwire;

static constexpr std::size_t kIdLength = 16;
static constexpr const char* kCancelled = "cancelled"; ///< Value of a cancellation key.
static constexpr Duration kDefaultCallTimeout = std::chrono::milliseconds(3000);
/// A call is answered at the latest after this share of the caller's timeout.
static constexpr double kCallTimeoutShare = 0.7;
static constexpr Duration kRetryInterval = std::chrono::milliseconds(100);
static constexpr Duration kOwnerQueryTimeout = std::chrono::milliseconds(300);
static constexpr Duration kOwnerBackoff = std::chrono::milliseconds(600);

static void reply(CellState& state, CallId id, EntryReply answer, CellActions& actions)
{
    answer.id = id;
    state.counters.add(std::string("entry_answers_total{outcome=\"") + toString(answer.outcome) + "\"}");
    state.entries.erase(id);
    actions.push_back(std::move(answer));
}

static bool isFinal(JobState state)
{
    return state == JobState::Completed || state == JobState::Failed || state == JobState::Cancelled;
}

/// Answers with the state of the job, as `source` knows it.
static void showState(CellState& state, const EntryRow& row, JobState job, const std::string& source, CellActions& actions)
{
    if (isFinal(job))
        logMessage(actions, LogLevel::Info, "entry.end", "", row.jobId, std::string("shown as ") + toString(job) + ", as known by " + source);
    reply(state, row.call.id, makeState(job), actions);
}

static void refuseOverload(CellState& state, const EntryRow& row, const Instant& now, CellActions& actions)
{
    EntryReply answer = makeReply(EntryOutcome::Overloaded, "the cell has more work than it can serve in time");
    const Route* route = findRouteByName(*state.configuration.value, row.route);
    answer.retryAfter = route ? retryAfterOverload(state, *route, now.steady) : kRetryInterval;
    std::string accepted = route ? std::to_string(acceptedOfClass(state, route->priority, now.steady)) : "none";
    logMessage(actions, LogLevel::Info, "entry.refuse", "", row.jobId, answer.reason + ": " + accepted + " thousandths of its priority class are accepted; retry after " + std::to_string(toMilliseconds(answer.retryAfter)) + " ms");
    reply(state, row.call.id, answer, actions);
}

/// Ends a call whose store or owner calls failed: refused, or "unknown" if it may have taken effect.
static void failCall(CellState& state, const EntryRow& row, const std::string& why, CellActions& actions)
{
    bool mayHaveEffect = row.maybeStored || row.isStoring;
    EntryReply answer = mayHaveEffect ? makeReply(EntryOutcome::Unknown, why) : makeRefusal(why);
    logMessage(actions, LogLevel::Warning, "entry.give-up", "", row.jobId, why + (mayHaveEffect ? "; the call may have taken effect" : "; the call had no effect") + " after " + std::to_string(row.tries) + " attempts");
    state.counters.add("entry_given_up_total");
    reply(state, row.call.id, answer, actions);
}

static EntryRow* findEntry(CellState& state, CallId id)
{
    auto it = state.entries.find(id);
    return it == state.entries.end() ? nullptr : &it->second;
}

static void retryLater(EntryRow& row, const Instant& now)
{
    row.retrying = true;
    row.retryAt = now.steady + kRetryInterval;
}

// Submissions.

/// Notifies the owner of a stored entry, ahead of its queue watch.
static void notifyOwner(CellState& state, const StoreEntry& stored, const Instant& now, CellActions& actions)
{
    const Membership& membership = state.membership;
    if (isOwner(state)) {
        handleQueueNotice(state, { stored, state.ownership.token, now.wallMs }, now, actions);
        return;
    }
    if (membership.ownerAddress.empty() || membership.ownerAddress == state.settings.address)
        return;
    wire::PeerMessage message;
    wire::QueueNotice& notice = *message.mutable_queue_notice();
    notice.set_token(membership.ownerToken);
    notice.set_sent_ms(now.wallMs);
    notice.mutable_item()->set_key(stored.key);
    notice.mutable_item()->set_value(stored.value);
    notice.mutable_item()->set_revision(stored.modRevision);
    notifyPeer(state, membership.ownerAddress, std::move(message), actions);
}

/// Epoch of the owner that notifyOwner() would notify; 0: no owner known.
static StoreRevision epochOfOwner(const CellState& state)
{
    if (isOwner(state))
        return state.ownership.epochRevision;
    const Membership& membership = state.membership;
    return membership.epoch == membership.ownerToken ? membership.epochRevision : 0;
}

static bool hasRevision(const StoreReply& reply, const std::string& key, StoreRevision revision)
{
    return std::any_of(reply.entries.begin(), reply.entries.end(), [&](const StoreEntry& it) { return it.key == key && it.modRevision == revision; });
}

static void storeJob(CellState&, EntryRow&, const Instant& now, CellActions&);

/// Answers a call about a job that was cancelled before it was stored: it never runs, and is no job.
static void replyWithdrawn(CellState& state, const EntryRow& row, CellActions& actions)
{
    logMessage(actions, LogLevel::Info, "entry.withdrawn", "", row.jobId, "the job was cancelled before it was stored");
    reply(state, row.call.id, makeReply(EntryOutcome::Gone, "the job was cancelled before it was stored"), actions);
}

static void handleStored(CellState& state, CallId id, const StoreReply& stored, const Instant& now, CellActions& actions)
{
    EntryRow* row = findEntry(state, id);
    if (!row)
        return;
    row->isStoring = false;
    bool hasEpochChanged = stored.status == StoreStatus::Conflict && row->epochRevision != 0 && !hasRevision(stored, kEpochKey, row->epochRevision);
    if (hasEpochChanged) {
        row->isEpochStale = true;
        storeJob(state, *row, now, actions);
        return;
    }
    if (stored.status == StoreStatus::Conflict && isWithdrawn(stored, row->jobId)) {
        replyWithdrawn(state, *row, actions);
        return;
    }
    if (stored.status == StoreStatus::Ok || stored.status == StoreStatus::Conflict) {
        bool isNew = stored.status == StoreStatus::Ok;
        logMessage(actions, LogLevel::Info, "entry.accept", "", row->jobId, std::string(isNew ? "stored" : "already stored") + " for route " + row->route + ", team " + row->team + ", after " + std::to_string(toMilliseconds(now.steady - row->arrivedAt)) + " ms");
        observeLatency(state.counters, "entry_accept_seconds", now.steady - row->arrivedAt);
        if (isNew && row->epochRevision != 0)
            notifyOwner(state, { jobKey(row->jobId), row->record, stored.revision }, now, actions);
        reply(state, id, makeReply(EntryOutcome::Accepted), actions);
        return;
    }
    row->maybeStored = row->maybeStored || stored.status == StoreStatus::NoAnswer;
    retryLater(*row, now);
}

static void storeJob(CellState& state, EntryRow& row, const Instant& now, CellActions& actions)
{
    ++row.tries;
    row.isStoring = true;
    JobRecord record { row.jobId, row.route, row.team, now.wallMs, *row.call.spec, row.attempts };
    StoreChange command;
    command.conditions = { { jobKey(row.jobId), 0 }, { endedKey(row.jobId), 0 } };
    // The epoch condition keeps a notice from reaching a replaced owner that does not know of its
    // successor, which owns the job from the start.
    row.epochRevision = row.isEpochStale ? 0 : epochOfOwner(state);
    if (row.epochRevision != 0)
        command.conditions.push_back({ kEpochKey, row.epochRevision });
    row.record = encodeJob(record);
    command.puts = { { jobKey(row.jobId), row.record, 0 } };
    CallId id = row.call.id;
    auto then = [id](CellState& s, const StoreReply& stored, const Instant& at, CellActions& out) { handleStored(s, id, stored, at, out); };
    sendChange(state, std::move(command), then, actions);
}

// Lookups.

std::optional<JobState> lookUpJob(const CellState& state, const std::string& id)
{
    auto job = state.jobs.find(id);
    if (job != state.jobs.end()) {
        // An end that isn't stored is lost if this instance and the upstream that lists it fail together, and the job
        // runs again. The end of a cancelled job follows from its cancellation, which is stored.
        bool isUnstored = job->second.ended && job->second.ended != JobState::Cancelled;
        return isUnstored ? JobState::Running : stateOf(job->second);
    }
    auto ended = state.finished.find(id);
    if (ended != state.finished.end())
        return ended->second.state;
    return std::nullopt;
}

std::optional<JobState> parseEndedState(const std::string& text)
{
    for (JobState state : { JobState::Completed, JobState::Failed, JobState::Cancelled }) {
        if (text == toString(state))
            return state;
    }
    return std::nullopt;
}

static void handleWithdrawal(CellState& state, CallId id, const StoreReply& stored, const Instant& now, CellActions& actions)
{
    EntryRow* row = findEntry(state, id);
    if (!row)
        return;
    if (stored.status == StoreStatus::Ok) {
        replyWithdrawn(state, *row, actions);
        return;
    }
    // After a conflict the job is stored, or was withdrawn by another call, and is looked for again.
    row->maybeStored = row->maybeStored || stored.status == StoreStatus::NoAnswer;
    retryLater(*row, now);
}

/// A submission that is still on its way must not start the job once the cancellation is answered.
static void withdraw(CellState& state, const EntryRow& row, const Instant& now, CellActions& actions)
{
    CallId id = row.call.id;
    auto then = [id](CellState& s, const StoreReply& stored, const Instant& at, CellActions& out) { handleWithdrawal(s, id, stored, at, out); };
    storeWithdrawal(state, row.jobId, now, then, actions);
}

static void handleEndedRead(CellState& state, CallId id, const StoreReply& read, const Instant& now, CellActions& actions)
{
    EntryRow* row = findEntry(state, id);
    if (!row)
        return;
    bool isSubmission = row->call.verb == Verb::Submit;
    if (isWithdrawn(read, row->jobId)) {
        replyWithdrawn(state, *row, actions);
        return;
    }
    if (read.status == StoreStatus::NotFound) {
        if (isSubmission)
            refuseOverload(state, *row, now, actions);
        else if (row->call.verb == Verb::Cancel)
            withdraw(state, *row, now, actions);
        else
            reply(state, id, makeReply(EntryOutcome::Gone), actions);
        return;
    }
    std::optional<JobState> ended = read.entries.empty() ? std::nullopt : parseEndedState(read.entries.front().value);
    if (read.status != StoreStatus::Ok || !ended) {
        retryLater(*row, now);
        return;
    }
    if (isSubmission)
        reply(state, id, makeReply(EntryOutcome::Accepted), actions);
    else if (row->call.verb == Verb::Cancel)
        reply(state, id, makeReply(EntryOutcome::Cancelled), actions);
    else
        showState(state, *row, *ended, "the store", actions);
}

static void readEnded(CellState& state, const EntryRow& row, CellActions& actions)
{
    CallId id = row.call.id;
    auto then = [id](CellState& s, const StoreReply& read, const Instant& at, CellActions& out) { handleEndedRead(s, id, read, at, out); };
    readKey(state, endedKey(row.jobId), then, actions);
}

/// Reads the job record, then the ended record. A job moves from the former to the latter, so this order
/// cannot miss it.
static void readJob(CellState& state, EntryRow& row, const StoreContinuation& found, CellActions& actions)
{
    ++row.tries;
    CallId id = row.call.id;
    auto then = [id, found](CellState& s, const StoreReply& read, const Instant& at, CellActions& out) {
        EntryRow* entry = findEntry(s, id);
        if (!entry)
            return;
        if (read.status == StoreStatus::NotFound)
            readEnded(s, *entry, out);
        else if (read.status != StoreStatus::Ok || read.entries.empty())
            retryLater(*entry, at);
        else
            found(s, read, at, out);
    };
    readKey(state, jobKey(row.jobId), then, actions);
}

static void lookUpInStore(CellState& state, EntryRow& row, CellActions& actions)
{
    CallId id = row.call.id;
    auto found = [id](CellState& s, const StoreReply&, const Instant&, CellActions& out) { reply(s, id, makeState(JobState::Pending), out); };
    readJob(state, row, found, actions);
}

/// Turns the job away unless it is stored: an earlier call of the caller may have had no answer.
static void turnAwayUnlessStored(CellState& state, EntryRow& row, CellActions& actions)
{
    CallId id = row.call.id;
    auto found = [id](CellState& s, const StoreReply&, const Instant&, CellActions& out) { reply(s, id, makeReply(EntryOutcome::Accepted), out); };
    readJob(state, row, found, actions);
}

static bool mayAskOwner(const CellState& state, TimePoint now)
{
    const Membership& membership = state.membership;
    return !membership.ownerAddress.empty() && membership.ownerAddress != state.settings.address && now >= membership.skipOwnerUntil;
}

static void lookUp(CellState& state, EntryRow& row, const Instant& now, CellActions& actions)
{
    CallId id = row.call.id;
    std::optional<JobState> known = lookUpJob(state, row.jobId);
    if (known) {
        showState(state, row, *known, "this instance", actions);
        return;
    }
    if (!mayAskOwner(state, now.steady)) {
        lookUpInStore(state, row, actions);
        return;
    }
    wire::PeerMessage query;
    query.mutable_job_query()->set_id(row.jobId);
    auto then = [id](CellState& s, const wire::PeerMessage* answer, const Instant& at, CellActions& out) {
        EntryRow* entry = findEntry(s, id);
        if (!answer)
            s.membership.skipOwnerUntil = at.steady + kOwnerBackoff;
        if (!entry)
            return;
        if (answer && answer->has_job_answer() && answer->job_answer().known())
            showState(s, *entry, static_cast<JobState>(answer->job_answer().state()), "the owner", out);
        else
            lookUpInStore(s, *entry, out);
    };
    queryPeer(state, state.membership.ownerAddress, std::move(query), kOwnerQueryTimeout, then, now, actions);
}

static void countQueue(CellState& state, EntryRow& row, const Instant& now, CellActions& actions)
{
    CallId id = row.call.id;
    ++row.tries;
    if (isOwner(state)) {
        reply(state, id, makeCount(countWaiting(state, row.route)), actions);
        return;
    }
    if (!mayAskOwner(state, now.steady)) {
        retryLater(row, now);
        return;
    }
    wire::PeerMessage query;
    query.mutable_count_query()->set_route(row.route);
    auto then = [id](CellState& s, const wire::PeerMessage* answer, const Instant& at, CellActions& out) {
        EntryRow* entry = findEntry(s, id);
        if (!entry)
            return;
        if (answer && answer->has_count_answer() && answer->count_answer().known())
            reply(s, id, makeCount(answer->count_answer().waiting()), out);
        else
            retryLater(*entry, at);
    };
    queryPeer(state, state.membership.ownerAddress, std::move(query), kOwnerQueryTimeout, then, now, actions);
}

// Cancellations.

static void handleCancelStored(CellState& state, CallId id, const StoreReply& stored, const Instant& now, CellActions& actions)
{
    EntryRow* row = findEntry(state, id);
    if (!row)
        return;
    if (stored.status == StoreStatus::Ok) {
        notifyOwner(state, { cancelKey(row->jobId), kCancelled, stored.revision }, now, actions);
        logMessage(actions, LogLevel::Info, "entry.cancel", "", row->jobId, "cancellation stored after " + std::to_string(toMilliseconds(now.steady - row->arrivedAt)) + " ms");
        reply(state, id, makeReply(EntryOutcome::Cancelled), actions);
        return;
    }
    row->maybeStored = row->maybeStored || stored.status == StoreStatus::NoAnswer;
    retryLater(*row, now);
}

static void cancel(CellState& state, EntryRow& row, CellActions& actions)
{
    CallId id = row.call.id;
    auto found = [id](CellState& s, const StoreReply& read, const Instant&, CellActions& out) {
        EntryRow* entry = findEntry(s, id);
        StoreChange command;
        command.conditions = { { jobKey(entry->jobId), read.entries.front().modRevision } };
        command.puts = { { cancelKey(entry->jobId), kCancelled, 0 } };
        auto then = [id](CellState& s2, const StoreReply& stored, const Instant& at, CellActions& out2) { handleCancelStored(s2, id, stored, at, out2); };
        sendChange(s, std::move(command), then, out);
    };
    readJob(state, row, found, actions);
}

// Dispatch.

static bool isJobId(const std::string& text)
{
    return text.size() == kIdLength && text.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
}

std::optional<EntryReply> checkCall(const CellState& state, EntryRow& row)
{
    if (!state.configuration.value)
        return makeRefusal("no configuration has been read yet");
    const Route* route = findRoute(*state.configuration.value, row.call.host, row.call.path);
    if (!route)
        return makeReply(EntryOutcome::NoRoute, "no route for this host and path");
    const Team* team = findTeamOfKey(*state.configuration.value, row.call.key);
    if (!team && !route->isPublic && state.settings.requiresKeys)
        return makeReply(EntryOutcome::Unauthorized, "the key belongs to no team");
    row.route = route->name;
    row.team = team ? team->name : std::string();
    row.attempts = route->attempts;
    row.jobId = row.call.path.substr(route->prefix.size());
    bool isQueue = row.jobId.empty() && row.call.verb == Verb::Lookup;
    if (!isQueue && !isJobId(row.jobId))
        return makeReply(EntryOutcome::Malformed, "the path ends in no job id of 16 hexadecimal digits");
    if (row.call.verb != Verb::Submit)
        return std::nullopt;
    if (!row.call.spec)
        return makeReply(EntryOutcome::Malformed, "the body can't be read as a job");
    std::string jobFault = describeFault(*row.call.spec);
    if (!jobFault.empty())
        return makeReply(EntryOutcome::Malformed, jobFault);
    return std::nullopt;
}

/// True if an unanswered call may have stored the job, or does so now.
static bool mayBeStored(const CellState& state, const std::string& jobId)
{
    return std::any_of(state.entries.begin(), state.entries.end(), [&jobId](const auto& item) {
        const EntryRow& row = item.second;
        return row.jobId == jobId && row.call.verb == Verb::Submit && (row.maybeStored || row.isStoring);
    });
}

static void serve(CellState& state, EntryRow& row, const Instant& now, CellActions& actions)
{
    row.retrying = false;
    bool isUndecided = row.call.verb == Verb::Submit && !mayBeStored(state, row.jobId);
    const Route* route = isUndecided ? findRouteByName(*state.configuration.value, row.route) : nullptr;
    if (route && isTurnedAway(state, *route, row.team, row.jobId, now.steady)) {
        recordRefused(state, row.route, row.team, *row.call.spec);
        turnAwayUnlessStored(state, row, actions);
    } else if (row.call.verb == Verb::Submit)
        storeJob(state, row, now, actions);
    else if (row.call.verb == Verb::Cancel)
        cancel(state, row, actions);
    else if (row.jobId.empty())
        countQueue(state, row, now, actions);
    else
        lookUp(state, row, now, actions);
}

namespace {

enum class Readiness {
    Decided, ///< By the current configuration, or by the last one while the store is away.
    Waits, ///< For the configuration to be confirmed.
    Refused, ///< It can't be confirmed now.
};

} // namespace

/// Whether the call may be decided now. A configuration past its deadline may lack what allows the call, or allow what
/// has been withdrawn, so it decides nothing. Only lookups go on while the store is away from the whole fleet, since
/// no change is confirmed then.
static Readiness admit(const CellState& state, const EntryRow& row, bool isAllowed, TimePoint now)
{
    if (!state.configuration.value || isConfigurationCurrent(state, now))
        return Readiness::Decided;
    if (isStoreReachable(state))
        return Readiness::Waits;
    bool mayGoOn = isAllowed && row.call.verb == Verb::Lookup && isStoreAwayFromFleet(state, now);
    return mayGoOn ? Readiness::Decided : Readiness::Refused;
}

/// Notes that the call is allowed by a configuration past its deadline.
static void recordOldDecision(CellState& state, const EntryRow& row, TimePoint now, CellActions& actions)
{
    state.counters.add("entry_decided_without_store_total");
    std::string version = std::to_string(state.configuration.value->version);
    logMessage(actions, LogLevel::Info, "entry.old-configuration", "", row.jobId, "decided by configuration version " + version + ", last confirmed " + describeAge(state.configuration.confirmation, now) + ", as the store is out of reach");
}

/// Decides the call, or leaves it in the table until it can be decided.
static void decide(CellState& state, EntryRow& row, const Instant& now, CellActions& actions)
{
    std::optional<EntryReply> fault = checkCall(state, row);
    Readiness readiness = admit(state, row, !fault, now.steady);
    row.awaitsConfiguration = readiness == Readiness::Waits;
    if (row.awaitsConfiguration)
        return;
    if (readiness == Readiness::Refused)
        fault = makeRefusal("the configuration was last confirmed " + describeAge(state.configuration.confirmation, now.steady));
    if (fault) {
        logMessage(actions, LogLevel::Info, "entry.refuse", "", row.jobId, fault->reason);
        reply(state, row.call.id, *fault, actions);
        return;
    }
    if (!isConfigurationCurrent(state, now.steady))
        recordOldDecision(state, row, now.steady, actions);
    bool needsStore = row.call.verb != Verb::Lookup;
    if (needsStore && !isStoreReachable(state))
        failCall(state, EntryRow(row), "the store is out of reach", actions);
    else
        serve(state, row, now, actions);
}

void handleEntryCall(CellState& state, const EntryCall& call, const Instant& now, CellActions& actions)
{
    EntryRow row;
    row.call = call;
    row.arrivedAt = now.steady;
    Duration callerTimeout = call.callerTimeout > Duration(0) ? call.callerTimeout : kDefaultCallTimeout;
    row.deadline = now.steady + std::chrono::duration_cast<Duration>(callerTimeout * kCallTimeoutShare);
    EntryRow& kept = state.entries[call.id] = std::move(row);
    decide(state, kept, now, actions);
}

static void handleDueCall(CellState& state, EntryRow& row, const Instant& now, CellActions& actions)
{
    bool isLate = now.steady >= row.deadline;
    if (row.awaitsConfiguration && isLate)
        failCall(state, EntryRow(row), "the configuration was last confirmed " + describeAge(state.configuration.confirmation, now.steady), actions);
    else if (row.awaitsConfiguration)
        decide(state, row, now, actions);
    else if (isLate || (row.retrying && row.call.verb != Verb::Lookup && !isStoreReachable(state)))
        failCall(state, EntryRow(row), "the store or the owner didn't answer in time", actions);
    else
        serve(state, row, now, actions);
}

void tickEntry(CellState& state, const Instant& now, CellActions& actions)
{
    std::vector<CallId> due;
    for (const auto& [id, row] : state.entries) {
        if (now.steady >= row.deadline || row.awaitsConfiguration || (row.retrying && now.steady >= row.retryAt))
            due.push_back(id);
    }
    for (CallId id : due)
        handleDueCall(state, *findEntry(state, id), now, actions);
}

} // namespace crocuslever::cell
