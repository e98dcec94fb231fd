#include "src/core/Shutdown.h"

#include "src/core/Guards.h"
#include "src/core/Peers.h"

namespace crocuslever {

void beginShutdown(CoreState& state, TimePoint now, Actions& actions)
{
    if (state.shuttingDown)
        return;
    state.shuttingDown = true;
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

void runShutdown(CoreState& state, TimePoint now, Actions& actions)
{
    if (!state.shuttingDown || state.shutdownReported)
        return;
    if (!isIdle(state) && now < state.shutdownDeadline && isOn(Guard::ShutdownWait))
        return;
    state.shutdownReported = true;
    if (state.session.lease != 0)
        actions.push_back(StoreLeaseRevoke { state.session.lease });
    actions.push_back(ShutdownComplete { static_cast<int>(state.calls.size()) });
}

} // namespace crocuslever
