#include "src/core/StoreWriter.h"

#include <algorithm>

#include "src/core/Escrow.h"
#include "src/core/Jobs.h"
#include "src/core/Ownership.h"
#include "src/core/Peers.h"
#include "src/core/Session.h"
#include "src/core/StoreKeys.h"

namespace crocuslever {

// A transaction whose answer is lost may have been committed, or may still be committed later.
// Each transaction of a session therefore compares the session's key with the marker of the
// previous transaction and writes its own marker there. A resent transaction commits at most once,
// and after a conflict the marker shows whether it had committed. The key is attached to the
// session's lease: once the lease has expired, no transaction of the session that is still in
// flight can change the store.

void enqueueWrite(CoreState& state, StoreTransaction transaction, WritePurpose purpose)
{
    state.storeQueue.waiting.push_back({ std::move(transaction), std::move(purpose) });
}

static void addSessionMarker(CoreState& state, StoreTransaction& transaction)
{
    StoreQueue& queue = state.storeQueue;
    std::string key = sessionKey(state.session.id);
    queue.inFlightMarker = std::to_string(state.nextTicket);
    if (queue.lastCommitMarker.empty())
        transaction.compares.push_back({ key, 0 });
    else
        transaction.valueCompares.push_back({ key, queue.lastCommitMarker });
    transaction.puts.push_back({ key, queue.inFlightMarker, state.session.lease });
    transaction.readOnConflict.push_back(key);
}

static void sendInFlight(CoreState& state, Actions& actions)
{
    StoreQueue& queue = state.storeQueue;
    queue.inFlight->transaction.ticket = state.nextTicket++;
    queue.awaitingAnswer = true;
    state.counters.add("store_transactions_total");
    actions.push_back(queue.inFlight->transaction);
}

void runStoreQueue(CoreState& state, TimePoint now, Actions& actions)
{
    StoreQueue& queue = state.storeQueue;
    if (state.session.lease == 0 || queue.awaitingAnswer)
        return;
    if (queue.inFlight) {
        if (now >= queue.retryAt)
            sendInFlight(state, actions);
        return;
    }
    if (queue.waiting.empty())
        return;
    queue.inFlight = std::move(queue.waiting.front());
    queue.waiting.pop_front();
    addSessionMarker(state, queue.inFlight->transaction);
    sendInFlight(state, actions);
}

namespace {

/// Visitor that passes a write's outcome to the handler of its purpose.
struct PurposeDispatch {
    CoreState& state;
    bool committed;
    const Instant& now;
    Actions& actions;

    void operator()(const RegisterPurpose&) const
    {
        if (committed)
            state.session.registered = true;
        else
            endSession(state, "the member record could not be written", now.steady, actions);
    }
    void operator()(const ClaimPurpose& p) const { handleClaimOutcome(state, p, committed, now.steady, actions); }
    void operator()(const SettlePurpose& p) const { handleSettleOutcome(state, p, committed, now.steady, actions); }
    void operator()(const ReleasePurpose& p) const { handleReleaseOutcome(state, p, committed, now.steady, actions); }
    void operator()(const GrantPurpose& p) const { handleGrantOutcome(state, p, committed, now.steady, actions); }
    void operator()(const JobsPurpose& p) const { handleJobsOutcome(state, p, committed, now, actions); }
};

} // namespace

static void finishWrite(CoreState& state, bool committed, const Instant& now, Actions& actions)
{
    StoreQueue& queue = state.storeQueue;
    PendingWrite write = std::move(*queue.inFlight);
    queue.inFlight.reset();
    if (committed)
        queue.lastCommitMarker = queue.inFlightMarker;
    state.counters.add(committed ? "store_commits_total" : "store_conflicts_total");
    std::visit(PurposeDispatch { state, committed, now, actions }, write.purpose);
}

static std::string findMarker(const CoreState& state, const std::vector<StoreEntry>& entries)
{
    std::string key = sessionKey(state.session.id);
    auto it = std::find_if(entries.begin(), entries.end(), [&](const StoreEntry& entry) { return entry.key == key; });
    return it == entries.end() ? std::string() : it->value;
}

static void resolveConflict(CoreState& state, const StoreTransactionResult& result, const Instant& now, Actions& actions)
{
    std::string marker = findMarker(state, result.read);
    if (marker == state.storeQueue.inFlightMarker) {
        state.counters.add("store_lost_answers_resolved_total");
        finishWrite(state, true, now, actions);
        return;
    }
    if (marker == state.storeQueue.lastCommitMarker) {
        finishWrite(state, false, now, actions);
        return;
    }
    // No marker: the lease has expired. An unknown marker: a transaction that was considered failed
    // committed late. The session's view of the store is invalid in both cases.
    endSession(state, marker.empty() ? "the session key is missing from the store" : "a transaction considered failed was committed late", now.steady, actions);
}

void handleTransactionResult(CoreState& state, const StoreTransactionResult& result, const Instant& now, Actions& actions)
{
    StoreQueue& queue = state.storeQueue;
    if (!queue.inFlight || result.ticket != queue.inFlight->transaction.ticket) {
        state.counters.add("store_late_answers_total");
        return;
    }
    constexpr Duration kRetryAfter = std::chrono::milliseconds(200);
    queue.awaitingAnswer = false;
    if (result.outcome == StoreOutcome::Unknown) {
        queue.retryAt = now.steady + kRetryAfter;
        state.counters.add("store_unknown_outcomes_total");
        return;
    }
    state.session.lastStoreAnswer = now.steady;
    if (result.outcome == StoreOutcome::Committed)
        finishWrite(state, true, now, actions);
    else
        resolveConflict(state, result, now, actions);
}

} // namespace crocuslever
