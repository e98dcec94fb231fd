#include "src/core/Shutdown.h"

#include "src/core/Guards.h"
#include "src/core/Peers.h"

namespace crocuslever {

/// Minimum time between the announcement of the shutdown and its end. Every peer must have received
/// the announcement, so that none forwards a call that would not be answered.
static constexpr Duration kAnnouncementTime = std::chrono::milliseconds(600);
/// Time for the lease's revocation to reach the store. Peers then see the end of the session at
/// once instead of when the lease expires.
static constexpr Duration kRevokeTime = std::chrono::milliseconds(300);

void beginShutdown(CoreState& state, TimePoint now, Actions& actions)
{
    if (state.shuttingDown)
        return;
    state.shuttingDown = true;
    state.shutdownSince = now;
    // Peers must be notified before the first shard is released.
    state.nextHeartbeat = now;
    state.shutdownDeadline = now + state.settings.shutdownDeadline;
    logTo(actions, LogLevel::Info, "shutdown", "shutdown requested; releasing all shards");
}

static bool ownsNoShards(const CoreState& state)
{
    for (const ShardRow& row : state.shards) {
        if (row.phase != ShardPhase::NotOwned)
            return false;
    }
    return true;
}

static bool isIdle(const CoreState& state)
{
    return state.calls.empty() && state.storeQueue.waiting.empty() && !state.storeQueue.inFlight && ownsNoShards(state);
}

static bool mayRevokeLease(const CoreState& state, TimePoint now)
{
    if (now >= state.shutdownDeadline || !isEnabled(Guard::ShutdownWait))
        return true;
    return isIdle(state) && now - state.shutdownSince >= kAnnouncementTime;
}

static void revokeLease(CoreState& state, TimePoint now, Actions& actions)
{
    state.leaseRevokedAt = now;
    if (state.session.lease != 0)
        actions.push_back(StoreLeaseRevoke { state.session.lease });
}

void runShutdown(CoreState& state, TimePoint now, Actions& actions)
{
    if (!state.shuttingDown || state.shutdownReported)
        return;
    if (!state.leaseRevokedAt) {
        if (mayRevokeLease(state, now))
            revokeLease(state, now, actions);
        return;
    }
    if (now - *state.leaseRevokedAt < kRevokeTime)
        return;
    state.shutdownReported = true;
    actions.push_back(ShutdownComplete { static_cast<int>(state.calls.size()) });
}

} // namespace crocuslever
