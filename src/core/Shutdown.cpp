#include "src/core/Shutdown.h"

#include "src/core/Guards.h"
#include "src/core/Peers.h"

namespace crocuslever {

/// Long enough for every peer to hear that this instance stops, so that none
/// passes on a call that nobody would answer.
static constexpr Duration kNoticeTime = std::chrono::milliseconds(600);
/// For the lease's return to reach the store: peers see at once that the session
/// is over, not only when the lease lapses.
static constexpr Duration kReturnTime = std::chrono::milliseconds(300);

void beginShutdown(CoreState& state, TimePoint now, Actions& actions)
{
    if (state.shuttingDown)
        return;
    state.shuttingDown = true;
    state.shutdownSince = now;
    // Peers are to hear of it before the first shard is given up.
    state.nextHeartbeat = now;
    state.shutdownDeadline = now + state.settings.shutdownDeadline;
    logTo(actions, LogLevel::Info, "shutdown", "no new calls; handing over shards");
}

static bool ownsNothing(const CoreState& state)
{
    for (const ShardRow& row : state.shards) {
        if (row.phase != ShardPhase::NotOwned)
            return false;
    }
    return true;
}

static bool isIdle(const CoreState& state)
{
    return state.calls.empty() && state.storeQueue.waiting.empty() && !state.storeQueue.inFlight && ownsNothing(state);
}

static bool mayReturnLease(const CoreState& state, TimePoint now)
{
    if (now >= state.shutdownDeadline || !isOn(Guard::ShutdownWait))
        return true;
    return isIdle(state) && now - state.shutdownSince >= kNoticeTime;
}

static void returnLease(CoreState& state, TimePoint now, Actions& actions)
{
    state.leaseReturnedAt = now;
    if (state.session.lease != 0)
        actions.push_back(StoreLeaseRevoke { state.session.lease });
}

void runShutdown(CoreState& state, TimePoint now, Actions& actions)
{
    if (!state.shuttingDown || state.shutdownReported)
        return;
    if (!state.leaseReturnedAt) {
        if (mayReturnLease(state, now))
            returnLease(state, now, actions);
        return;
    }
    if (now - *state.leaseReturnedAt < kReturnTime)
        return;
    state.shutdownReported = true;
    actions.push_back(ShutdownComplete { static_cast<int>(state.calls.size()) });
}

} // namespace crocuslever
