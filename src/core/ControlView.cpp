#include "src/core/ControlView.h"

#include <cstdlib>

#include "src/codec/RecordCodec.h"
#include "src/core/Escrow.h"
#include "src/core/Guards.h"
#include "src/core/Jobs.h"
#include "src/core/Ownership.h"
#include "src/core/Peers.h"
#include "src/core/StoreKeys.h"

namespace crocuslever {

static bool startsWith(const std::string& text, const std::string& prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

static void logInvalidValue(CoreState& state, const Error& error, const std::string& key, Actions& actions)
{
    state.counters.add("store_bad_values_total");
    logTo(actions, LogLevel::Error, "control", "ignored the invalid value of " + key + ": " + error.describe(), "store");
}

bool adoptConfiguration(CoreState& state, const std::string& document, const std::string& source, TimePoint now, Actions& actions)
{
    Result<Configuration> decoded = decodeConfiguration(document);
    if (!decoded) {
        logInvalidValue(state, decoded.error(), kConfigurationKey, actions);
        return false;
    }
    const Configuration& candidate = decoded.value();
    std::uint64_t current = state.configuration.current->revision;
    state.configuration.confirmedAt = now;
    if (candidate.revision < current) {
        state.counters.add("configuration_reverts_refused_total");
        logTo(actions, LogLevel::Error, "configuration", "rejected revision " + std::to_string(candidate.revision) + ", which is older than the current revision " + std::to_string(current), source);
    }
    if (candidate.revision <= current && isEnabled(Guard::RevisionOrder))
        return false;
    state.configuration.current = std::make_shared<const Configuration>(candidate);
    state.configuration.document = document;
    if (isEnabled(Guard::KeyCheck))
        state.configuration.authenticatedKeys.clear();
    state.counters.set("configuration_revision", static_cast<std::int64_t>(candidate.revision));
    logTo(actions, LogLevel::Info, "configuration", "revision " + std::to_string(candidate.revision) + " adopted", source);
    return true;
}

static void addMember(CoreState& state, const StoreEntry& entry, Actions& actions)
{
    Result<MemberRecord> record = decodeMember(entry.value);
    if (!record) {
        logInvalidValue(state, record.error(), entry.key, actions);
        return;
    }
    state.liveSessions[record.value().session] = record.value().id;
    MemberRow& row = state.members[record.value().id];
    if (row.modRevision >= entry.modRevision)
        return;
    if (row.record.session != record.value().session)
        row.heard = false;
    row.record = record.value();
    row.modRevision = entry.modRevision;
}

static void removeMember(CoreState& state, const std::string& key, Actions& actions)
{
    SessionId session(key.substr(kMemberPrefix.size()));
    auto it = state.liveSessions.find(session);
    if (it == state.liveSessions.end())
        return;
    InstanceId id = it->second;
    state.liveSessions.erase(it);
    auto row = state.members.find(id);
    if (row != state.members.end() && row->second.record.session == session)
        state.members.erase(row);
    logTo(actions, LogLevel::Info, "members", "session ended", id.value());
}

static void updateOwner(CoreState& state, const StoreEntry& entry, TimePoint now, Actions& actions)
{
    Result<OwnershipRecord> record = decodeOwnership(entry.value);
    if (!record) {
        logInvalidValue(state, record.error(), entry.key, actions);
        return;
    }
    unsigned long shard = std::strtoul(entry.key.c_str() + kOwnerPrefix.size(), nullptr, 10);
    if (shard < kShardCount)
        adoptOwnership(state, static_cast<ShardIndex>(shard), record.value(), entry.modRevision, now, actions);
}

static void updateGrants(CoreState& state, const StoreEntry& entry, TimePoint now, Actions& actions)
{
    Result<GrantRecord> grants = decodeGrants(entry.value);
    if (grants)
        adoptGrants(state, grants.value(), entry.modRevision, now);
    else
        logInvalidValue(state, grants.error(), entry.key, actions);
}

static void applyPut(CoreState& state, const StoreEntry& entry, TimePoint now, Actions& actions)
{
    if (startsWith(entry.key, kMemberPrefix))
        addMember(state, entry, actions);
    else if (startsWith(entry.key, kOwnerPrefix))
        updateOwner(state, entry, now, actions);
    else if (entry.key == kGrantsKey)
        updateGrants(state, entry, now, actions);
    else if (entry.key == kConfigurationKey)
        adoptConfiguration(state, entry.value, "store", now, actions);
}

static void applyDelete(CoreState& state, const std::string& key, Actions& actions)
{
    if (startsWith(key, kMemberPrefix)) {
        removeMember(state, key, actions);
        return;
    }
    state.counters.add("store_unexpected_deletes_total");
    logTo(actions, LogLevel::Error, "control", key + " was deleted from the store; keeping the last known value", "store");
}

void runControlView(CoreState& state, TimePoint now, Actions& actions)
{
    constexpr Duration kReadRetryInterval = std::chrono::seconds(3);
    if (state.controlKeysLoaded || now < state.nextControlRead)
        return;
    state.nextControlRead = now + kReadRetryInterval;
    Ticket ticket = state.nextTicket++;
    state.pendingReads[ticket] = kControlPrefix;
    actions.push_back(StoreRange { ticket, kControlPrefix });
}

static void removeAbsentMembers(CoreState& state, const std::vector<StoreEntry>& entries, Actions& actions)
{
    std::set<std::string> present;
    for (const StoreEntry& entry : entries)
        present.insert(entry.key);
    std::vector<std::string> absent;
    for (const auto& [session, id] : state.liveSessions) {
        if (present.count(memberKey(session)) == 0)
            absent.push_back(memberKey(session));
    }
    for (const std::string& key : absent)
        removeMember(state, key, actions);
}

static void applyControlRead(CoreState& state, const StoreRangeResult& result, TimePoint now, Actions& actions)
{
    removeAbsentMembers(state, result.entries, actions);
    for (const StoreEntry& entry : result.entries)
        applyPut(state, entry, now, actions);
    state.controlKeysLoaded = true;
    actions.push_back(StoreWatch { kControlPrefix, result.revision + 1 });
}

static void handleJobsRead(CoreState& state, const std::string& prefix, const StoreRangeResult& result, const Instant& now, Actions& actions)
{
    for (ShardIndex shard = 0; shard < kShardCount; ++shard) {
        if (jobPrefix(shard) == prefix)
            handleShardJobs(state, shard, result, now, actions);
    }
}

void handleRangeResult(CoreState& state, const StoreRangeResult& result, const Instant& now, Actions& actions)
{
    auto it = state.pendingReads.find(result.ticket);
    if (it == state.pendingReads.end())
        return;
    std::string prefix = it->second;
    state.pendingReads.erase(it);
    if (result.ok)
        state.session.lastStoreAnswer = now.steady;
    if (prefix != kControlPrefix)
        handleJobsRead(state, prefix, result, now, actions);
    else if (result.ok && !state.controlKeysLoaded)
        applyControlRead(state, result, now.steady, actions);
}

void handleWatchEvents(CoreState& state, const StoreWatchEvents& events, TimePoint now, Actions& actions)
{
    state.session.lastStoreAnswer = now;
    if (!state.controlKeysLoaded)
        return;
    state.configuration.confirmedAt = now;
    for (const StoreEntry& entry : events.puts)
        applyPut(state, entry, now, actions);
    for (const std::string& key : events.deletes)
        applyDelete(state, key, actions);
}

void handleWatchLost(CoreState& state, TimePoint now, Actions& actions)
{
    state.controlKeysLoaded = false;
    state.nextControlRead = now;
    logTo(actions, LogLevel::Warning, "control", "watch on the control keys lost; reading the keys again", "store");
}

} // namespace crocuslever
