#include "src/cell/Declarations.h"

#include "src/cell/StoreCalls.h"

namespace crocuslever::cell {

static constexpr Duration kReadInterval = std::chrono::milliseconds(400);
/// Of consecutive failures the first is logged, and then one in this many.
static constexpr int kFailuresPerLogLine = 8;

static const char* describe(StoreStatus status)
{
    return status == StoreStatus::NoAnswer ? "no complete answer" : "refused by the store";
}

static void recordFailure(CellState& state, StoreStatus status, const Instant& now, CellActions& actions)
{
    DeclarationReader& reader = state.declarations;
    state.counters.add("declaration_read_failures_total");
    if (reader.failures++ % kFailuresPerLogLine != 0)
        return;
    std::string age = std::to_string(toMilliseconds(now.steady - reader.readAt));
    std::string version = std::to_string(state.policy ? state.policy->version : 0);
    logMessage(actions, LogLevel::Warning, "declarations", "", "", std::string("reading the declarations failed after ") + std::to_string(toMilliseconds(now.steady - reader.sentAt)) + " ms: " + describe(status) + "; version " + version + " stays in force, last confirmed " + age + " ms ago, failure " + std::to_string(reader.failures));
}

static void handleDeclarations(CellState& state, const StoreReply& reply, const Instant& now, CellActions& actions)
{
    DeclarationReader& reader = state.declarations;
    reader.isReading = false;
    if (reply.status != StoreStatus::Ok) {
        recordFailure(state, reply.status, now, actions);
        return;
    }
    Declarations read = state.format.decodeDeclarations(reply.entries);
    if (!read.problem.empty())
        logMessage(actions, LogLevel::Error, "declarations", "", "", read.problem);
    reader.failures = 0;
    reader.readAt = now.steady;
    if (state.evacuated != read.evacuated) {
        logMessage(actions, LogLevel::Info, "declarations", "", "", std::to_string(read.evacuated.size()) + " failure domains are now evacuated");
        state.evacuated = read.evacuated;
        state.placementDue = true;
    }
    state.waves = read.waves;
    bool isNewer = read.policy && (!state.policy || read.policy->version > state.policy->version);
    if (!isNewer)
        return;
    logMessage(actions, LogLevel::Info, "declarations", "", "", "applied configuration version " + std::to_string(read.policy->version) + ", previous version " + std::to_string(state.policy ? state.policy->version : 0));
    state.policy = read.policy;
    state.placementDue = true;
}

void tickDeclarations(CellState& state, const Instant& now, CellActions& actions)
{
    DeclarationReader& reader = state.declarations;
    if (reader.isReading || now.steady < reader.nextRead)
        return;
    reader.isReading = true;
    reader.sentAt = now.steady;
    reader.nextRead = now.steady + kReadInterval;
    readListing(state, Listing::Declarations, handleDeclarations, actions);
}

} // namespace crocuslever::cell
