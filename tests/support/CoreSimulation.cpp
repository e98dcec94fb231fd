#include "tests/support/CoreSimulation.h"

#include <algorithm>

#include "src/codec/RecordCodec.h"
#include "src/core/StoreKeys.h"

namespace crocuslever::testing {

static const char* const kDomains[] = { "north", "south", "west" };

static UpstreamDescription makeDescription(int n)
{
    UpstreamDescription row;
    row.id = UpstreamId("u-" + std::to_string(n));
    row.address = "upstream-" + std::to_string(n);
    row.domain = FailureDomainId(kDomains[n % 3]);
    row.rack = RackId("r" + std::to_string(n / 3));
    row.capacity = { 64000, 256000, 0, 8 };
    row.connections = 64;
    return row;
}

CoreSimulation::CoreSimulation(int cores, int upstreams, const Configuration& configuration, std::uint64_t seed)
    : m_seed(seed)
{
    m_now = { TimePoint(std::chrono::hours(1)), 1000000 };
    for (int n = 0; n < upstreams; ++n) {
        UpstreamDescription row = makeDescription(n);
        UpstreamModel model({ row.id, IncarnationId("life-" + std::to_string(n)), row.capacity });
        m_upstreams.push_back({ std::move(model), row });
    }
    m_cores.resize(static_cast<std::size_t>(cores));
    for (std::size_t n = 0; n < m_cores.size(); ++n)
        restart(n);
    applyConfiguration(configuration);
}

CoreSettings CoreSimulation::settingsOf(std::size_t n) const
{
    CoreSettings settings;
    settings.self = InstanceId("instance-" + std::to_string(n));
    settings.peerAddress = std::to_string(n);
    settings.seed = 1000 * m_seed + 100 * (n + 1) + static_cast<std::uint64_t>(m_coreStarts);
    return settings;
}

UpstreamListUpdate CoreSimulation::makeListUpdate() const
{
    UpstreamListUpdate update;
    for (const Upstream& upstream : m_upstreams)
        update.upstreams.push_back(upstream.description);
    return update;
}

void CoreSimulation::restart(std::size_t n)
{
    ++m_coreStarts;
    m_cores[n] = Core {};
    m_cores[n].state = std::make_unique<CoreState>(settingsOf(n));
    m_cores[n].inbox.push_back(makeListUpdate());
}

void CoreSimulation::applyConfiguration(const Configuration& configuration)
{
    ModelTransaction transaction;
    ModelOperation put;
    put.key = kConfigurationKey;
    put.value = encodeConfiguration(configuration);
    transaction.success.push_back(put);
    static_cast<void>(m_store.transact(transaction));
}

// Time.

void CoreSimulation::step()
{
    m_now.steady += kStep;
    m_now.wallMs += toMilliseconds(kStep);
    m_store.expireLeases(m_now.steady);
    for (Upstream& upstream : m_upstreams) {
        upstream.model.advance(m_now.steady);
        processUpstreamEvents(upstream);
    }
    for (std::size_t n = 0; n < m_cores.size(); ++n)
        runCore(n);
}

bool CoreSimulation::runUntil(const std::function<bool()>& condition, Duration limit)
{
    TimePoint end = m_now.steady + limit;
    while (!condition()) {
        if (m_now.steady >= end)
            return false;
        step();
    }
    return true;
}

void CoreSimulation::runFor(Duration d)
{
    TimePoint end = m_now.steady + d;
    while (m_now.steady < end)
        step();
}

void CoreSimulation::runCore(std::size_t n)
{
    Core& core = m_cores[n];
    if (!core.faults.alive || core.faults.frozen)
        return;
    deliverWatch(core);
    if (!core.faults.peerMessagesHeld) {
        core.inbox.insert(core.inbox.end(), core.heldPeerMessages.begin(), core.heldPeerMessages.end());
        core.heldPeerMessages.clear();
    }
    std::deque<Event> inbox = std::move(core.inbox);
    core.inbox.clear();
    Actions actions;
    for (const Event& event : inbox)
        handleEvent(*core.state, event, m_now, actions);
    tick(*core.state, m_now, actions);
    executeActions(n, actions);
}

void CoreSimulation::executeActions(std::size_t n, const Actions& actions)
{
    for (const Action& action : actions)
        std::visit([&](const auto& a) { execute(n, a); }, action);
}

bool CoreSimulation::allShardsOwned()
{
    std::size_t owned = 0;
    for (Core& core : m_cores) {
        if (!core.faults.alive)
            continue;
        for (const ShardRow& row : core.state->shards)
            owned += row.phase == ShardPhase::Owned ? 1 : 0;
    }
    return owned == kShardCount;
}

// Callers.

CallId CoreSimulation::call(std::size_t n, const std::string& key, std::variant<UrgentRequest, JobSubmission, JobQuery, JobCancellation> request)
{
    CallId id = m_nextCall++;
    m_cores[n].inbox.push_back(CallerCall { id, key, std::move(request) });
    return id;
}

const CallerReply* CoreSimulation::reply(CallId id) const
{
    auto it = m_replies.find(id);
    return it == m_replies.end() ? nullptr : &it->second;
}

void CoreSimulation::execute(std::size_t, const CallerReply& reply) { m_replies[reply.id] = reply; }

// Peers.

void CoreSimulation::execute(std::size_t n, const PeerSend& send)
{
    std::size_t to = std::stoul(send.address);
    if (m_cores[n].faults.peerMessagesHeld)
        return;
    if (m_cores[n].faults.cutFromPeers || m_cores[to].faults.cutFromPeers || !m_cores[to].faults.alive)
        return;
    std::deque<Event>& inbox = m_cores[to].faults.peerMessagesHeld ? m_cores[to].heldPeerMessages : m_cores[to].inbox;
    inbox.push_back(PeerReceived { m_cores[n].state->settings.self, send.message });
}

// The store.

static ModelTransaction toModelTransaction(const StoreTransaction& command)
{
    ModelTransaction transaction;
    for (const StoreCompare& compare : command.compares)
        transaction.compares.push_back({ compare.key, std::nullopt, compare.modRevision });
    for (const StoreValueCompare& compare : command.valueCompares)
        transaction.compares.push_back({ compare.key, compare.value, 0 });
    for (const StorePut& put : command.puts)
        transaction.success.push_back({ ModelOperationKind::Put, put.key, {}, put.value, put.lease, 0, 0 });
    for (const std::string& key : command.deletes)
        transaction.success.push_back({ ModelOperationKind::Delete, key, {}, {}, 0, 0, 0 });
    for (const std::string& key : command.readOnConflict)
        transaction.failure.push_back({ ModelOperationKind::Range, key, {}, {}, 0, 0, 0 });
    return transaction;
}

void CoreSimulation::execute(std::size_t n, const StoreTransaction& command)
{
    Core& core = m_cores[n];
    StoreTransactionResult result;
    result.ticket = command.ticket;
    if (core.faults.cutFromStore) {
        core.inbox.push_back(result);
        return;
    }
    Result<ModelTransactionResult> answer = m_store.transact(toModelTransaction(command));
    if (answer && core.faults.storeAnswersToDrop == 0) {
        result.outcome = answer.value().succeeded ? StoreOutcome::Committed : StoreOutcome::Conflict;
        result.revision = answer.value().revision;
        for (const ModelOperationResult& operation : answer.value().results)
            result.read.insert(result.read.end(), operation.entries.begin(), operation.entries.end());
    } else if (answer) {
        --core.faults.storeAnswersToDrop;
    }
    core.inbox.push_back(result);
}

static std::string prefixEnd(const std::string& prefix)
{
    std::string end = prefix;
    ++end.back();
    return end;
}

void CoreSimulation::execute(std::size_t n, const StoreRange& command)
{
    Core& core = m_cores[n];
    StoreRangeResult result;
    result.ticket = command.ticket;
    ModelOperation operation { ModelOperationKind::Range, command.prefix, prefixEnd(command.prefix), {}, 0, 0, 0 };
    Result<ModelOperationResult> answer = m_store.range(operation);
    if (answer && !core.faults.cutFromStore) {
        result.ok = true;
        result.revision = m_store.revision();
        result.entries = answer.value().entries;
    }
    core.inbox.push_back(result);
}

void CoreSimulation::execute(std::size_t n, const StoreLeaseGrant& command)
{
    Core& core = m_cores[n];
    StoreLeaseResult result { command.ticket, false, false, 0, m_now.steady };
    if (!core.faults.cutFromStore) {
        result.ok = true;
        result.lease = m_store.grantLease(command.ttlSeconds, m_now.steady);
    }
    core.inbox.push_back(result);
}

void CoreSimulation::execute(std::size_t n, const StoreLeaseKeepAlive& command)
{
    Core& core = m_cores[n];
    StoreLeaseResult result { command.ticket, false, false, command.lease, m_now.steady };
    if (!core.faults.cutFromStore) {
        result.ok = m_store.keepLeaseAlive(command.lease, m_now.steady) > 0;
        result.expired = !result.ok;
    }
    core.inbox.push_back(result);
}

void CoreSimulation::execute(std::size_t n, const StoreLeaseRevoke& command)
{
    if (!m_cores[n].faults.cutFromStore)
        m_store.revokeLease(command.lease);
}

void CoreSimulation::execute(std::size_t n, const StoreWatch& command) { m_cores[n].watchFrom = command.fromRevision; }

void CoreSimulation::deliverWatch(Core& core)
{
    if (core.watchFrom == 0 || core.faults.cutFromStore || m_store.revision() < core.watchFrom)
        return;
    StoreWatchEvents events;
    events.revision = m_store.revision();
    for (const ModelChange& change : m_store.changesSince(core.watchFrom, kControlPrefix, prefixEnd(kControlPrefix))) {
        if (change.deleted)
            events.deletes.push_back(change.entry.key);
        else
            events.puts.push_back(change.entry);
    }
    core.watchFrom = m_store.revision() + 1;
    core.inbox.push_front(events);
}

// Upstreams.

CoreSimulation::Upstream* CoreSimulation::findUpstream(std::size_t core, const UpstreamId& id)
{
    for (std::size_t n : m_cores[core].faults.cutFromUpstreams) {
        if (m_upstreams[n].description.id == id)
            return nullptr;
    }
    auto it = std::find_if(m_upstreams.begin(), m_upstreams.end(), [&](const Upstream& upstream) { return upstream.description.id == id; });
    return it == m_upstreams.end() ? nullptr : &*it;
}

void CoreSimulation::execute(std::size_t n, const UpstreamFence& command)
{
    Upstream* upstream = findUpstream(n, command.upstream);
    UpstreamFenceResult unreachable { command.upstream, command.shard, command.epoch, UpstreamOutcome::Unreachable, {}, {} };
    m_cores[n].inbox.push_back(upstream == nullptr ? unreachable : upstream->model.fence(command, m_now.steady));
}

void CoreSimulation::execute(std::size_t n, const UpstreamStart& command)
{
    Upstream* upstream = findUpstream(n, command.upstream);
    if (upstream == nullptr) {
        m_cores[n].inbox.push_back(UpstreamStartResult { command.upstream, command.attempt, UpstreamOutcome::Unreachable, false, {}, {} });
        return;
    }
    UpstreamStartAnswer answer = upstream->model.start(command, m_now.steady);
    processUpstreamEvents(*upstream);
    if (answer.outcome == UpstreamOutcome::Ok && command.waitForResult && answer.status.state == AttemptState::Running) {
        m_resultWaiters[command.attempt] = n;
        return;
    }
    UpstreamStartResult result { command.upstream, command.attempt, answer.outcome, answer.status.state == AttemptState::Ended, answer.status.result, upstream->model.settings().incarnation };
    m_cores[n].inbox.push_back(result);
}

void CoreSimulation::execute(std::size_t n, const UpstreamSync& command)
{
    Upstream* upstream = findUpstream(n, command.upstream);
    UpstreamSyncResult unreachable { command.upstream, command.shard, command.epoch, UpstreamOutcome::Unreachable, {}, {} };
    m_cores[n].inbox.push_back(upstream == nullptr ? unreachable : upstream->model.sync(command, m_now.steady));
}

void CoreSimulation::execute(std::size_t n, const UpstreamStop& command)
{
    Upstream* upstream = findUpstream(n, command.upstream);
    if (upstream == nullptr) {
        m_cores[n].inbox.push_back(UpstreamStopResult { command.upstream, command.attempt, UpstreamOutcome::Unreachable, {} });
        return;
    }
    m_cores[n].inbox.push_back(upstream->model.stop(command, m_now.steady));
    processUpstreamEvents(*upstream);
}

void CoreSimulation::processUpstreamEvents(Upstream& upstream)
{
    for (const UpstreamModelEvent& event : upstream.model.takeEvents()) {
        const AttemptId& attempt = event.command.attempt;
        m_overcommits += event.name == "overcommit" ? 1 : 0;
        if (event.name == "start") {
            Start start { event.command, upstream.description, m_now.steady };
            m_starts.push_back(start);
            m_running[attempt] = start;
            updateRunningCounts();
        }
        if (event.name != "end" && event.name != "stop" && event.name != "lapse")
            continue;
        m_running.erase(attempt);
        auto it = m_resultWaiters.find(attempt);
        if (it == m_resultWaiters.end())
            continue;
        UpstreamStartResult result { upstream.description.id, attempt, UpstreamOutcome::Ok, event.name == "end", event.result, upstream.model.settings().incarnation };
        m_cores[it->second].inbox.push_back(result);
        m_resultWaiters.erase(it);
    }
}

// Statistics over the upstreams.

void CoreSimulation::updateRunningCounts()
{
    std::map<TeamId, int> byTeam;
    std::map<JobId, int> excess; ///< Running attempts minus the job's tasks.
    for (const auto& [attempt, start] : m_running) {
        ++byTeam[start.command.team];
        if (start.command.job.isEmpty())
            continue;
        int& n = excess.emplace(start.command.job, -start.command.spec.taskCount).first->second;
        ++n;
    }
    for (const auto& [team, n] : byTeam)
        m_maximumRunning[team] = std::max(m_maximumRunning[team], n);
    for (const auto& [job, n] : excess)
        m_overlaps += n > 0 ? 1 : 0;
}

int CoreSimulation::startsOf(const JobId& job) const
{
    return static_cast<int>(std::count_if(m_starts.begin(), m_starts.end(), [&](const Start& start) { return start.command.job == job; }));
}

int CoreSimulation::startsOfTeam(const TeamId& team) const
{
    return static_cast<int>(std::count_if(m_starts.begin(), m_starts.end(), [&](const Start& start) { return start.command.team == team; }));
}

int CoreSimulation::maximumRunning(const TeamId& team) const
{
    auto it = m_maximumRunning.find(team);
    return it == m_maximumRunning.end() ? 0 : it->second;
}

std::vector<TimePoint> CoreSimulation::startsIn(const FailureDomainId& domain) const
{
    std::vector<TimePoint> times;
    for (const Start& start : m_starts) {
        if (start.upstream.domain == domain)
            times.push_back(start.at);
    }
    return times;
}

std::vector<TimePoint> CoreSimulation::startsOn(std::size_t upstream) const
{
    std::vector<TimePoint> times;
    for (const Start& start : m_starts) {
        if (start.upstream.id == m_upstreams[upstream].description.id)
            times.push_back(start.at);
    }
    return times;
}

void CoreSimulation::markLeaving(std::size_t upstream)
{
    m_upstreams[upstream].description.leaving = true;
    for (Core& core : m_cores)
        core.inbox.push_back(makeListUpdate());
}

void CoreSimulation::execute(std::size_t n, const LogLine& line)
{
    log.push_back(std::to_string(toMilliseconds(m_now.steady.time_since_epoch())) + " " + m_cores[n].state->settings.self.value() + " " + line.step + ": " + line.message + " " + line.peer + " " + line.job);
}

void CoreSimulation::execute(std::size_t n, const ShutdownComplete&) { m_cores[n].faults.alive = false; }

} // namespace crocuslever::testing
