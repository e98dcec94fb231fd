#include "src/core/Session.h"

#include <algorithm>

#include "src/codec/RecordCodec.h"
#include "src/core/Guards.h"
#include "src/core/Ownership.h"
#include "src/core/Peers.h"
#include "src/core/StoreKeys.h"
#include "src/core/StoreWriter.h"

namespace crocuslever {

/// After this long without an answer from the store, an owner may continue past the end of its
/// lease if its peers cannot reach the store either.
static constexpr Duration kStoreAnswerTimeout = std::chrono::milliseconds(1500);

static bool reportsStoreUnreachable(const CoreState& state, const MemberRow& member, TimePoint now)
{
    if (!isPeerUp(state, member.record.id, now))
        return false;
    return member.heartbeat.session == member.record.session && !member.heartbeat.storeReachable;
}

/// True if no member can reach the store. No shard can then be taken over, so owners may continue
/// past the end of their lease. One peer that is silent or reaches the store is enough to make this
/// false, and so is an upstream that another owner has fenced. Without peers an instance cannot tell
/// a store outage from its own network failure, so the result is false as well.
static bool isStoreUnreachableForAll(const CoreState& state, TimePoint now)
{
    if (state.session.superseded || now - state.session.lastStoreAnswer < kStoreAnswerTimeout)
        return false;
    std::size_t others = 0;
    for (const auto& [id, member] : state.members) {
        if (id == state.settings.self)
            continue;
        if (!reportsStoreUnreachable(state, member, now))
            return false;
        ++others;
    }
    return others > 0;
}

bool isSessionValid(const CoreState& state, TimePoint now)
{
    if (state.session.id.isEmpty() || !state.session.registered || state.leaseRevokedAt)
        return false;
    return now < state.session.validUntil || isStoreUnreachableForAll(state, now) || !isEnabled(Guard::Validity);
}

void endSession(CoreState& state, const std::string& why, TimePoint now, Actions& actions)
{
    logTo(actions, LogLevel::Warning, "session", "session lost, all shards dropped: " + why, state.session.id.value());
    state.counters.add("sessions_lost_total");
    dropAllShards(state, now, actions);
    state.storeQueue = StoreQueue {};
    for (auto& [team, quota] : state.escrow.teamQuotas)
        quota.granted = 0;
    state.escrow.writeInFlight = false;
    TimePoint lastStoreAnswer = state.session.lastStoreAnswer;
    state.session = SessionState {};
    state.session.lastStoreAnswer = lastStoreAnswer;
    state.session.nextLeaseRequestAt = now;
}

static void requestLease(CoreState& state, Actions& actions)
{
    std::int64_t ttl = std::chrono::duration_cast<std::chrono::seconds>(state.settings.sessionTtl).count();
    actions.push_back(StoreLeaseGrant { state.nextTicket++, ttl });
}

void runSession(CoreState& state, TimePoint now, Actions& actions)
{
    if (state.session.requestInFlight || now < state.session.nextLeaseRequestAt || state.leaseRevokedAt)
        return;
    state.session.requestInFlight = true;
    if (state.session.lease == 0)
        requestLease(state, actions);
    else
        actions.push_back(StoreLeaseKeepAlive { state.nextTicket++, state.session.lease });
}

static void registerMember(CoreState& state)
{
    MemberRecord record { state.settings.self, state.session.id, state.settings.peerAddress,
        state.settings.peerPublicKey, state.settings.domain };
    StoreTransaction transaction;
    transaction.puts.push_back({ memberKey(record.session), encodeMember(record), state.session.lease });
    enqueueWrite(state, std::move(transaction), RegisterPurpose {});
}

static void beginSession(CoreState& state, const StoreLeaseResult& result, Actions& actions)
{
    state.session.lease = result.lease;
    state.session.id = SessionId(state.settings.self.value() + "." + std::to_string(result.lease) + "." + std::to_string(nextRandom(state)));
    state.session.registered = false;
    state.session.superseded = false;
    state.nextAttemptNumber = 1;
    registerMember(state);
    logTo(actions, LogLevel::Info, "session", "begun", state.session.id.value());
}

void handleLeaseResult(CoreState& state, const StoreLeaseResult& result, TimePoint now, Actions& actions)
{
    state.session.requestInFlight = false;
    state.session.nextLeaseRequestAt = now + state.settings.keepAliveInterval;
    if (result.ok || result.expired)
        state.session.lastStoreAnswer = now;
    if (result.expired && result.lease == state.session.lease) {
        endSession(state, "the lease has expired", now, actions);
        return;
    }
    if (!result.ok) {
        state.counters.add("store_lease_failures_total");
        return;
    }
    if (state.session.lease == 0)
        beginSession(state, result, actions);
    if (result.lease == state.session.lease)
        state.session.validUntil = std::max(state.session.validUntil, result.sentAt + state.settings.sessionTtl - state.settings.sessionMargin);
}

} // namespace crocuslever
