#include "src/core/Peers.h"

#include <algorithm>

#include "src/core/Calls.h"
#include "src/core/ControlView.h"
#include "src/core/Escrow.h"
#include "src/core/Jobs.h"
#include "src/core/Ownership.h"
#include "src/core/Reservations.h"
#include "src/core/Session.h"
#include "src/core/UpstreamLifecycle.h"
#include "src/core/UrgentCalls.h"

namespace crocuslever {

void logTo(Actions& actions, LogLevel level, std::string step, std::string message, std::string peer, std::string job)
{
    actions.push_back(LogLine { level, std::move(step), std::move(peer), std::move(job), std::move(message) });
}

std::uint64_t nextRandom(CoreState& state)
{
    // splitmix64
    state.randomState += 0x9e3779b97f4a7c15ULL;
    std::uint64_t n = state.randomState;
    n = (n ^ (n >> 30)) * 0xbf58476d1ce4e5b9ULL;
    n = (n ^ (n >> 27)) * 0x94d049bb133111ebULL;
    return n ^ (n >> 31);
}

AttemptId makeAttemptId(CoreState& state)
{
    // Session ids are never reused, and the number is unique within the session.
    return AttemptId(state.session.id.value() + "-" + std::to_string(state.nextAttemptNumber++));
}

void sendToPeer(CoreState& state, const InstanceId& to, PeerMessage message, Actions& actions)
{
    if (to == state.settings.self) {
        state.loopback.push_back(std::move(message));
        return;
    }
    auto it = state.members.find(to);
    if (it == state.members.end())
        return;
    actions.push_back(PeerSend { to, it->second.record.address, it->second.record.publicKey, std::move(message) });
}

bool sendToJobOwner(CoreState& state, const JobId& job, PeerMessage message, Actions& actions)
{
    InstanceId owner = currentOwner(state, shardOf(job));
    if (owner.isEmpty())
        return false;
    sendToPeer(state, owner, std::move(message), actions);
    return true;
}

bool isPeerUp(const CoreState& state, const InstanceId& id, TimePoint now)
{
    if (id == state.settings.self)
        return true;
    auto it = state.members.find(id);
    if (it == state.members.end() || !it->second.heard)
        return false;
    return now - it->second.lastHeard <= state.settings.peerTimeout;
}

TimePoint estimatePeerTime(const CoreState& state, const InstanceId& peer, TimePoint now)
{
    const MemberRow& member = state.members.at(peer);
    return member.heartbeat.sentAt + (now - member.lastHeard);
}

static std::vector<TeamUsage> ownUsage(const CoreState& state)
{
    std::map<TeamId, TeamUsage> usage;
    for (const auto& [team, quota] : state.escrow.teamQuotas) {
        if (quota.running == 0 && quota.refusedStarts == 0)
            continue;
        usage[team].running = quota.running;
        usage[team].grantWanted = quota.refusedStarts;
    }
    for (const auto& [id, attempt] : state.attempts) {
        if (attempt.phase != AttemptPhase::Ended)
            usage[attempt.team].used = usage[attempt.team].used + attempt.charged;
    }
    for (const auto& [id, job] : state.jobs) {
        if (job.record.state == JobState::Queued)
            ++usage[job.record.team].waiting;
    }
    std::vector<TeamUsage> rows;
    for (auto& [team, row] : usage) {
        row.team = team;
        rows.push_back(row);
    }
    return rows;
}

static Resources ownCapacity(const CoreState& state)
{
    Resources sum { 0, 0, 0, 0 };
    for (const auto& [id, row] : state.upstreams) {
        if (row.listed && state.shards[row.shard].phase == ShardPhase::Owned)
            sum = sum + row.description.capacity;
    }
    return sum;
}

static Heartbeat makeHeartbeat(const CoreState& state, TimePoint now)
{
    constexpr Duration kStoreAnswerTimeout = std::chrono::milliseconds(1500);
    Heartbeat beat;
    beat.session = state.session.id;
    beat.configurationRevision = state.configuration.current->revision;
    beat.storeReachable = now - state.session.lastStoreAnswer <= kStoreAnswerTimeout;
    beat.shuttingDown = state.shuttingDown;
    beat.urgentRoom = freeRoom(state, true, now);
    beat.deferredRoom = freeRoom(state, false, now);
    beat.capacity = ownCapacity(state);
    beat.teams = ownUsage(state);
    beat.sentAt = now;
    return beat;
}

static void storeOwnHeartbeat(CoreState& state, const Heartbeat& beat, TimePoint now)
{
    auto it = state.members.find(state.settings.self);
    if (it == state.members.end())
        return;
    it->second.heartbeat = beat;
    it->second.lastHeard = now;
    it->second.heard = true;
}

void runHeartbeats(CoreState& state, TimePoint now, Actions& actions)
{
    if (now < state.nextHeartbeat)
        return;
    state.nextHeartbeat = now + state.settings.heartbeatInterval;
    Heartbeat beat = makeHeartbeat(state, now);
    storeOwnHeartbeat(state, beat, now);
    for (const auto& [id, row] : state.members) {
        if (id != state.settings.self)
            actions.push_back(PeerSend { id, row.record.address, row.record.publicKey, beat });
    }
}

static void handleHeartbeat(CoreState& state, const InstanceId& from, const Heartbeat& beat, TimePoint now, Actions& actions)
{
    auto it = state.members.find(from);
    if (it == state.members.end())
        return;
    it->second.heartbeat = beat;
    it->second.lastHeard = now;
    it->second.heard = true;
    if (beat.configurationRevision > state.configuration.current->revision)
        sendToPeer(state, from, ConfigurationRequest {}, actions);
}

static void answerConfigurationRequest(CoreState& state, const InstanceId& from, Actions& actions)
{
    if (state.configuration.document.empty())
        return;
    sendToPeer(state, from, ConfigurationOffer { state.configuration.current->revision, state.configuration.document }, actions);
}

namespace {

/// Visitor that passes each kind of peer message to its handler.
struct PeerDispatch {
    CoreState& state;
    const InstanceId& from;
    const Instant& now;
    Actions& actions;

    void operator()(const Heartbeat& m) const { handleHeartbeat(state, from, m, now.steady, actions); }
    void operator()(const ConfigurationRequest&) const { answerConfigurationRequest(state, from, actions); }
    void operator()(const ConfigurationOffer& m) const { adoptConfiguration(state, m.document, from.value(), now.steady, actions); }
    void operator()(const UrgentCall& m) const { handleUrgentCall(state, from, m, now.steady, actions); }
    void operator()(const UrgentAnswer& m) const { handleUrgentAnswer(state, from, m, now.steady, actions); }
    void operator()(const JobCall& m) const { handleJobCall(state, from, m, now, actions); }
    void operator()(const JobAnswer& m) const { handleJobAnswer(state, from, m, now.steady, actions); }
    void operator()(const ReserveRequest& m) const { handleReserveRequest(state, from, m, now.steady, actions); }
    void operator()(const ReserveAnswer& m) const { handleReserveAnswer(state, from, m, now, actions); }
    void operator()(const StartRequest& m) const { handleStartRequest(state, from, m, now.steady, actions); }
    void operator()(const ReleaseRequest& m) const { handleReleaseRequest(state, m, now.steady, actions); }
    void operator()(const AttemptQuery& m) const { handleAttemptQuery(state, from, m, now.steady, actions); }
    void operator()(const AttemptReport& m) const { handleAttemptReport(state, from, m, now, actions); }
    void operator()(const AttemptAcknowledge& m) const { handleAttemptAcknowledge(state, m, now.steady, actions); }
};

} // namespace

void handlePeerMessage(CoreState& state, const InstanceId& from, const PeerMessage& message, const Instant& now, Actions& actions)
{
    std::visit(PeerDispatch { state, from, now, actions }, message);
}

} // namespace crocuslever
