// Dispatches events to the subsystems and runs them in a fixed order in each tick.

#include "crocuslever/Core.h"

#include "src/core/Calls.h"
#include "src/core/ControlView.h"
#include "src/core/Escrow.h"
#include "src/core/Jobs.h"
#include "src/core/Ownership.h"
#include "src/core/Peers.h"
#include "src/core/Reservations.h"
#include "src/core/Session.h"
#include "src/core/Shutdown.h"
#include "src/core/StoreWriter.h"
#include "src/core/UpstreamLifecycle.h"

namespace crocuslever {

CoreState::CoreState(const CoreSettings& coreSettings)
    : settings(coreSettings)
    , randomState(coreSettings.seed)
{
    configuration.current = std::make_shared<const Configuration>();
}

namespace {

/// Dispatches each type of event to the subsystem that handles it.
struct EventDispatch {
    CoreState& state;
    const Instant& now;
    Actions& actions;

    void operator()(const CallerCall& e) const { handleCallerCall(state, e, now, actions); }
    void operator()(const CallerGone& e) const { handleCallerGone(state, e, now.steady, actions); }
    void operator()(const PeerReceived& e) const { handlePeerMessage(state, e.from, e.message, now, actions); }
    void operator()(const StoreTransactionResult& e) const { handleTransactionResult(state, e, now, actions); }
    void operator()(const StoreRangeResult& e) const { handleRangeResult(state, e, now, actions); }
    void operator()(const StoreLeaseResult& e) const { handleLeaseResult(state, e, now.steady, actions); }
    void operator()(const StoreWatchEvents& e) const { handleWatchEvents(state, e, now.steady, actions); }
    void operator()(const StoreWatchLost&) const { handleWatchLost(state, now.steady, actions); }
    void operator()(const UpstreamListUpdate& e) const { handleUpstreamList(state, e, now.steady, actions); }
    void operator()(const UpstreamFenceResult& e) const { handleFenceResult(state, e, now.steady, actions); }
    void operator()(const UpstreamStartResult& e) const { handleStartResult(state, e, now.steady, actions); }
    void operator()(const UpstreamSyncResult& e) const { handleSyncResult(state, e, now.steady, actions); }
    void operator()(const UpstreamStopResult& e) const { handleStopResult(state, e, now.steady, actions); }
    void operator()(const ShutdownRequested&) const { beginShutdown(state, now.steady, actions); }
};

} // namespace

static void deliverLoopback(CoreState& state, const Instant& now, Actions& actions)
{
    // Bounded, since handling a message may send others; the rest is delivered in the next tick.
    constexpr int kMaximumMessages = 10000;
    for (int n = 0; n < kMaximumMessages && !state.loopback.empty(); ++n) {
        PeerMessage message = std::move(state.loopback.front());
        state.loopback.pop_front();
        handlePeerMessage(state, state.settings.self, message, now, actions);
    }
}

void handleEvent(CoreState& state, const Event& event, const Instant& now, Actions& actions)
{
    std::visit(EventDispatch { state, now, actions }, event);
    deliverLoopback(state, now, actions);
}

void tick(CoreState& state, const Instant& now, Actions& actions)
{
    runSession(state, now.steady, actions);
    runControlView(state, now.steady, actions);
    runOwnership(state, now, actions);
    runUpstreams(state, now.steady, actions);
    runAttempts(state, now.steady, actions);
    runCalls(state, now, actions);
    runJobs(state, now, actions);
    deliverLoopback(state, now, actions);
    runEscrow(state, now.steady, actions);
    runHeartbeats(state, now.steady, actions);
    runShutdown(state, now.steady, actions);
    runStoreQueue(state, now.steady, actions);
}

bool isReady(const CoreState& state, TimePoint now)
{
    return !state.shuttingDown && state.configuration.current->revision > 0 && isSessionValid(state, now);
}

} // namespace crocuslever
