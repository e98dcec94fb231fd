#include "src/cell/CellState.h"

#include "src/cell/Advice.h"
#include "src/cell/Ask.h"
#include "src/cell/Commits.h"
#include "src/cell/Entry.h"
#include "src/cell/Membership.h"
#include "src/cell/Ownership.h"
#include "src/cell/PeerCalls.h"
#include "src/cell/Placement.h"
#include "src/cell/Runs.h"
#include "src/cell/Upstreams.h"

namespace crocuslever::cell {

static constexpr Duration kDeclarationsInterval = std::chrono::milliseconds(400);
/// After SIGTERM callers may still come until the balancer has noticed.
static constexpr Duration kServeWhileStopping = std::chrono::milliseconds(2500);
/// An owner that stops lets orders in flight be answered and results be stored.
static constexpr Duration kHandOverWait = std::chrono::milliseconds(300);

CellState::CellState(CellSettings cellSettings)
    : settings(std::move(cellSettings))
    , randomState(settings.seed | 1)
{
}

static void handleStoreReply(CellState& state, const StoreReply& reply, const Instant& now, CellActions& actions)
{
    Membership& membership = state.membership;
    bool isAnswer = reply.status != StoreStatus::NoAnswer && reply.status != StoreStatus::Refused;
    if (isAnswer && !isStoreReachable(state))
        note(actions, LogLevel::Info, "store", "", "", "the store answers again");
    membership.storeSilences = isAnswer ? 0 : membership.storeSilences + 1;
    if (isAnswer)
        membership.storeAnsweredAt = now.steady;
    else if (!isStoreReachable(state) && membership.storeSilences < 5)
        note(actions, LogLevel::Warning, "store", "", "", "the store is out of reach: " + std::to_string(membership.storeSilences) + " calls in a row failed");
    auto it = state.storeCalls.find(reply.ticket);
    if (it == state.storeCalls.end())
        return;
    StoreContinuation then = std::move(it->second);
    state.storeCalls.erase(it);
    then(state, reply, now, actions);
}

static void handleDeclarations(CellState& state, const DeclarationsRead& read, const Instant& now, CellActions& actions)
{
    state.readingDeclarations = 0;
    if (!read.ok)
        return;
    if (!read.problem.empty())
        note(actions, LogLevel::Error, "declarations", "", "", read.problem);
    state.policyReadAt = now.steady;
    if (state.evacuated != read.evacuated) {
        note(actions, LogLevel::Info, "declarations", "", "", std::to_string(read.evacuated.size()) + " failure domains are evacuated");
        state.evacuated = read.evacuated;
        state.placementDue = true;
    }
    state.waves = read.waves;
    bool isNewer = read.policy && (!state.policy || read.policy->version > state.policy->version);
    if (!isNewer)
        return;
    note(actions, LogLevel::Info, "declarations", "", "", "configuration " + std::to_string(read.policy->version) + " is in force after " + std::to_string(state.policy ? state.policy->version : 0));
    state.policy = read.policy;
    state.placementDue = true;
}

static void tickDeclarations(CellState& state, const Instant& now, CellActions& actions)
{
    if (state.readingDeclarations != 0 || now.steady < state.nextDeclarations)
        return;
    state.readingDeclarations = state.nextTicket++;
    state.nextDeclarations = now.steady + kDeclarationsInterval;
    actions.push_back(ReadDeclarations { state.readingDeclarations });
}

namespace {

struct EventHandler {
    CellState& state;
    const Instant& now;
    CellActions& actions;

    void operator()(const EntryCall& event) { handleEntryCall(state, event, now, actions); }
    void operator()(const StoreReply& event) { handleStoreReply(state, event, now, actions); }
    void operator()(const DeclarationsRead& event) { handleDeclarations(state, event, now, actions); }
    void operator()(const DirectoryRead& event) { handleDirectory(state, event, now, actions); }
    void operator()(const LookResult& event) { handleLook(state, event, now, actions); }
    void operator()(const OrderResult& event) { handleOrderResult(state, event, now, actions); }
    void operator()(const AdviceResult& event) { handleAdviceResult(state, event, now, actions); }
    void operator()(const PeerFrame& event) { handlePeerFrame(state, event, now, actions); }
    void operator()(const StopRequested&)
    {
        if (state.stopping)
            return;
        state.stopping = true;
        state.stoppingSince = now.steady;
        note(actions, LogLevel::Info, "stop", "", "", "asked to stop; new connections go elsewhere");
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
    bool isHandedOver = state.ownership.phase == OwnerPhase::None;
    if (!isHandedOver && since >= kHandOverWait && (isAllCommitted(state) || since >= 3 * kHandOverWait))
        releaseOwnership(state, now, actions);
    bool isServed = since >= kServeWhileStopping && state.entries.empty();
    if (!isServed && since < state.settings.stopGrace)
        return;
    state.stopped = true;
    leaveCell(state, actions);
    actions.push_back(Finished {});
}

void tick(CellState& state, const Instant& now, CellActions& actions)
{
    if (state.stopped)
        return;
    tickMembership(state, now, actions);
    tickOwnership(state, now, actions);
    tickDeclarations(state, now, actions);
    tickPeerCalls(state, now, actions);
    tickUpstreams(state, now, actions);
    tickOrders(state, now, actions);
    tickPlacement(state, now, actions);
    tickCommits(state, now, actions);
    tickEntry(state, now, actions);
    tickStop(state, now, actions);
}

bool isReady(const CellState& state, TimePoint)
{
    return !state.stopping && state.policy != nullptr;
}

} // namespace crocuslever::cell
