#include "src/cell/StoreCalls.h"

#include <algorithm>

namespace crocuslever::cell {

static constexpr int kFailuresUntilUnreachable = 3;
/// A store that loses its history delivers changes late or not at all, but says so within this time.
static constexpr Duration kWatchSettlingTime = std::chrono::seconds(5);

static Ticket registerContinuation(CellState& state, StoreContinuation then)
{
    Ticket ticket = state.nextTicket++;
    state.storeCalls.emplace(ticket, std::move(then));
    state.counters.add("store_calls_total");
    return ticket;
}

void readKey(CellState& state, const std::string& key, StoreContinuation then, CellActions& actions)
{
    actions.push_back(StoreRead { registerContinuation(state, std::move(then)), key });
}

void listKeys(CellState& state, const std::string& prefix, StoreContinuation then, CellActions& actions)
{
    actions.push_back(StoreList { registerContinuation(state, std::move(then)), Listing::OwnKeys, prefix });
}

void readListing(CellState& state, Listing of, StoreContinuation then, CellActions& actions)
{
    actions.push_back(StoreList { registerContinuation(state, std::move(then)), of, "" });
}

void checkConfiguration(CellState& state, StoreRevision revision, StoreContinuation then, CellActions& actions)
{
    actions.push_back(ConfigurationCheck { registerContinuation(state, std::move(then)), revision });
}

void sendChange(CellState& state, StoreChange command, StoreContinuation then, CellActions& actions)
{
    command.ticket = registerContinuation(state, std::move(then));
    actions.push_back(std::move(command));
}

Ticket awaitChanges(CellState& state, const std::string& prefix, StoreRevision revision, Duration wait, StoreContinuation then, CellActions& actions)
{
    Ticket ticket = registerContinuation(state, std::move(then));
    actions.push_back(StoreAwait { ticket, prefix, revision, wait });
    return ticket;
}

/// An answer without changes does not move the position at once: its revision may pass changes that the store has
/// not delivered. A store that drops them refuses the old position later, but would accept the new one.
void advanceWatch(WatchPosition& position, const StoreReply& reply, TimePoint now)
{
    bool hasChanges = !reply.entries.empty() || !reply.deleted.empty();
    if (hasChanges) {
        position = { std::max(position.revision, reply.revision), 0, {} };
        return;
    }
    if (position.quietRevision != 0 && now - position.quietSince < kWatchSettlingTime)
        return;
    position.revision = std::max(position.revision, position.quietRevision);
    position.quietRevision = reply.revision;
    position.quietSince = now;
}

void grantLease(CellState& state, Duration timeToLive, StoreContinuation then, CellActions& actions)
{
    actions.push_back(LeaseGrant { registerContinuation(state, std::move(then)), timeToLive });
}

void renewLease(CellState& state, LeaseId lease, StoreContinuation then, CellActions& actions)
{
    actions.push_back(LeaseRenew { registerContinuation(state, std::move(then)), lease });
}

bool isStoreReachable(const CellState& state) { return state.membership.storeFailures < kFailuresUntilUnreachable; }

void completeStoreCall(CellState& state, const StoreReply& reply, const Instant& now, CellActions& actions)
{
    auto it = state.storeCalls.find(reply.ticket);
    if (it == state.storeCalls.end())
        return;
    StoreContinuation then = std::move(it->second);
    state.storeCalls.erase(it);
    then(state, reply, now, actions);
}

void handleStoreReply(CellState& state, const StoreReply& reply, const Instant& now, CellActions& actions)
{
    Membership& membership = state.membership;
    bool isAnswer = reply.status != StoreStatus::NoAnswer && reply.status != StoreStatus::Refused;
    if (isAnswer && !isStoreReachable(state))
        logMessage(actions, LogLevel::Info, "store", "", "", "store reachable again");
    membership.storeFailures = isAnswer ? 0 : membership.storeFailures + 1;
    if (!isAnswer && !isStoreReachable(state) && membership.storeFailures < 5)
        logMessage(actions, LogLevel::Warning, "store", "", "", "store unreachable: " + std::to_string(membership.storeFailures) + " consecutive calls failed");
    completeStoreCall(state, reply, now, actions);
}

void logMessage(CellActions& actions, LogLevel level, const std::string& step, const std::string& peer, const std::string& job, const std::string& message)
{
    actions.push_back(LogLine { level, step, peer, job, message });
}

std::uint64_t randomBelow(CellState& state, std::uint64_t n)
{
    // xorshift64* is good enough for retry jitter.
    state.randomState ^= state.randomState >> 12;
    state.randomState ^= state.randomState << 25;
    state.randomState ^= state.randomState >> 27;
    return n == 0 ? 0 : (state.randomState * 2685821657736338717ULL) % n;
}

} // namespace crocuslever::cell
