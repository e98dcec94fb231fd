#include "src/cell/CellState.h"

#include "src/cell/Admission.h"
#include "src/cell/Advice.h"
#include "src/cell/Commits.h"
#include "src/cell/Declarations.h"
#include "src/cell/Delegation.h"
#include "src/cell/Entry.h"
#include "src/cell/Interference.h"
#include "src/cell/Membership.h"
#include "src/cell/Ownership.h"
#include "src/cell/PeerCalls.h"
#include "src/cell/PeerFrames.h"
#include "src/cell/Placement.h"
#include "src/cell/Relay.h"
#include "src/cell/Runs.h"
#include "src/cell/StoreCalls.h"
#include "src/cell/Upstreams.h"

namespace crocuslever::cell {

/// After SIGTERM new calls may arrive until the load balancer has noticed.
static constexpr Duration kStopServeTime = std::chrono::milliseconds(2500);
/// A stopping owner waits this long for answers to orders in flight and for commits.
static constexpr Duration kHandOverWait = std::chrono::milliseconds(300);

/// The number of the process with this incarnation; not 0.
static ProcessId numberProcess(const std::string& incarnation) { return std::hash<std::string> {}(incarnation) | 1; }

/// The lower half of the process's number, so that the numbers of queries stay short on the wire.
static std::uint64_t firstPeerCall(ProcessId process) { return process & UINT32_MAX; }

CellState::CellState(CellSettings cellSettings, StoreFormat storeFormat)
    : settings(std::move(cellSettings))
    , format(std::move(storeFormat))
    , process(numberProcess(settings.incarnation))
    , nextPeerCall(firstPeerCall(process))
    , randomState(settings.seed | 1)
{
}

namespace {

struct EventHandler {
    CellState& state;
    const Instant& now;
    CellActions& actions;

    void operator()(const EntryCall& event) { handleEntryCall(state, event, now, actions); }
    void operator()(const StoreReply& event) { handleStoreReply(state, event, now, actions); }
    void operator()(const PollResult& event)
    {
        if (!returnToOwner(state, event, actions))
            handlePoll(state, event, now, actions);
    }
    void operator()(const OrderResult& event)
    {
        if (!returnToOwner(state, event, actions))
            handleOrderResult(state, event, now, actions);
    }
    void operator()(const AdviceResult& event) { handleAdviceResult(state, event, now, actions); }
    void operator()(const PeerFrame& event) { handlePeerFrame(state, event, now, actions); }
    void operator()(const StopRequested&)
    {
        if (state.stopping)
            return;
        state.stopping = true;
        state.stoppingSince = now.steady;
        logMessage(actions, LogLevel::Info, "stop", "", "", "shutdown requested; not ready for new connections");
    }
};

} // namespace

void handleEvent(CellState& state, const CellEvent& event, const Instant& now, CellActions& actions)
{
    std::visit(EventHandler { state, now, actions }, event);
}

static void tickStop(CellState& state, const Instant& now, CellActions& actions)
{
    if (!state.stopping || state.stopped)
        return;
    Duration since = now.steady - state.stoppingSince;
    bool hasReleasedCell = state.ownership.phase == OwnerPhase::None;
    if (!hasReleasedCell && since >= kHandOverWait && (isAllCommitted(state) || since >= 3 * kHandOverWait))
        releaseOwnership(state, now, actions);
    bool areCallersServed = since >= kStopServeTime && state.entries.empty();
    if (!areCallersServed && since < state.settings.stopGrace)
        return;
    state.stopped = true;
    leaveCell(state, actions);
    actions.push_back(Finished {});
}

const std::vector<System>& systems()
{
    static const std::vector<System> kSystems {
        { "membership", tickMembership },
        { "ownership", tickOwnership },
        { "declarations", tickDeclarations },
        { "peer_calls", tickPeerCalls },
        { "upstreams", tickUpstreams },
        { "orders", tickOrders },
        { "admission", tickAdmission },
        { "placement", tickPlacement },
        { "commits", tickCommits },
        { "entry", tickEntry },
        { "interference", tickInterference },
        { "stop", tickStop },
        // Redirects the calls to upstreams of all systems before it.
        { "delegation", tickDelegation },
        // Redirects the store calls of all systems before it.
        { "relay", tickRelay },
        { "frames", tickFrames },
    };
    return kSystems;
}

void tick(CellState& state, const Instant& now, CellActions& actions)
{
    if (state.stopped)
        return;
    for (const System& system : systems())
        system.tick(state, now, actions);
}

bool isReady(const CellState& state, TimePoint)
{
    return !state.stopping && state.configuration.value != nullptr;
}

} // namespace crocuslever::cell
