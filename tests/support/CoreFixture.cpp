#include "tests/support/CoreFixture.h"

#include "src/core/Reservations.h"
#include "src/core/UpstreamLifecycle.h"

namespace crocuslever::testing {

static const InstanceId kSelf("entry-1");
static constexpr Epoch kFirstEpoch = 5;

static CoreSettings makeSettings()
{
    CoreSettings settings;
    settings.self = kSelf;
    settings.seed = 7;
    return settings;
}

CoreFixture::CoreFixture()
    : state(makeSettings())
{
    state.session.id = SessionId("entry-1.session");
    state.session.lease = 1;
    state.session.registered = true;
    state.session.validUntil = now + std::chrono::hours(1);
    state.liveSessions[state.session.id] = kSelf;
    for (ShardRow& shard : state.shards) {
        shard.record.owner = kSelf;
        shard.record.session = state.session.id;
        shard.record.epoch = kFirstEpoch;
        shard.phase = ShardPhase::Owned;
        shard.phaseSince = now;
        shard.jobsLoaded = true;
    }
    configure([](Configuration&) {});
    addMember("entry-1", 0);
    state.members.at(kSelf).record.session = state.session.id;
    addTeam("shop", 1000);
}

void CoreFixture::tickOwner()
{
    runUpstreams(state, now, actions);
    runAttempts(state, now, actions);
}

void CoreFixture::advance(Duration d)
{
    constexpr Duration kTick = std::chrono::milliseconds(100);
    TimePoint end = now + d;
    while (now < end) {
        now = std::min(end, now + kTick);
        tickOwner();
    }
}

void CoreFixture::reclaimShard(ShardIndex shard)
{
    ++state.shards[shard].record.epoch;
    state.shards[shard].phase = ShardPhase::Settling;
    state.shards[shard].phaseSince = now;
    tickOwner();
}

void CoreFixture::addTeam(const std::string& name, int limit, double weight)
{
    configure([&](Configuration& configuration) {
        Team team;
        team.id = TeamId(name);
        team.upperLimit = limit;
        team.shareWeight = weight;
        configuration.teams.push_back(team);
    });
    state.escrow.teamQuotas[TeamId(name)].granted = limit;
    state.escrow.grants[TeamId(name)][state.session.id] = limit;
}

void CoreFixture::takeDomainOut(const std::string& domain)
{
    configure([&](Configuration& configuration) { configuration.domainsOut.push_back({ FailureDomainId(domain), "maintenance" }); });
}

void CoreFixture::addMember(const std::string& name, std::int64_t urgentSlots)
{
    MemberRow& row = state.members[InstanceId(name)];
    row.record.id = InstanceId(name);
    row.record.session = SessionId(name + ".session");
    row.heard = true;
    row.lastHeard = now;
    row.heartbeat.urgentRoom = { 1000000, 1000000, 0, urgentSlots };
    state.liveSessions[row.record.session] = row.record.id;
}

UpstreamDescription CoreFixture::makeUpstreamDescription(const std::string& name, const std::string& domain, const std::string& rack)
{
    UpstreamDescription description;
    description.id = UpstreamId(name);
    description.address = name + ":80";
    description.domain = FailureDomainId(domain);
    description.rack = RackId(rack);
    description.capacity = { 64000, 256000, 0, 8 };
    description.connections = 64;
    return description;
}

void CoreFixture::sendList()
{
    UpstreamListUpdate update;
    for (const auto& [id, description] : m_listed)
        update.upstreams.push_back(description);
    handleUpstreamList(state, update, now, actions);
}

void CoreFixture::listUpstream(const UpstreamDescription& description)
{
    m_listed[description.id] = description;
    sendList();
}

void CoreFixture::unlistUpstream(const std::string& name)
{
    m_listed.erase(UpstreamId(name));
    sendList();
}

void CoreFixture::addUpstream(const std::string& name, const std::string& domain, const std::string& rack)
{
    listUpstream(makeUpstreamDescription(name, domain, rack));
    tickOwner();
    answerFence(name);
    takeActions<UpstreamFence>();
}

void CoreFixture::answerFence(const std::string& name, const std::string& incarnation, std::vector<AttemptStatus> attempts)
{
    const UpstreamRow& row = upstream(name);
    UpstreamFenceResult result { UpstreamId(name), row.shard, state.shards[row.shard].record.epoch, UpstreamOutcome::Ok, IncarnationId(incarnation), std::move(attempts) };
    handleFenceResult(state, result, now, actions);
}

void CoreFixture::answerSync(const std::string& name, UpstreamOutcome outcome, std::vector<AttemptStatus> attempts, const std::string& incarnation)
{
    const UpstreamRow& row = upstream(name);
    handleSyncResult(state, { UpstreamId(name), row.shard, row.fencedEpoch, outcome, IncarnationId(incarnation), std::move(attempts) }, now, actions);
}

void CoreFixture::answerStart(const std::string& id, UpstreamOutcome outcome, bool ended, const TaskResult& result)
{
    const AttemptRow& row = state.attempts.at(AttemptId(id));
    handleStartResult(state, { row.upstream, row.id, outcome, ended, result, row.incarnation }, now, actions);
}

void CoreFixture::answerStop(const std::string& id, UpstreamOutcome outcome, AttemptState attemptState, const TaskResult& result)
{
    const AttemptRow& row = state.attempts.at(AttemptId(id));
    AttemptStatus status = makeStatus(id, row.job.value(), attemptState);
    status.result = result;
    handleStopResult(state, { row.upstream, row.id, outcome, status }, now, actions);
}

AttemptRow* CoreFixture::attempt(const std::string& id)
{
    auto it = state.attempts.find(AttemptId(id));
    return it == state.attempts.end() ? nullptr : &it->second;
}

AttemptStatus makeStatus(const std::string& attempt, const std::string& job, AttemptState attemptState)
{
    AttemptStatus status;
    status.attempt = AttemptId(attempt);
    status.job = JobId(job);
    status.team = TeamId("shop");
    status.state = attemptState;
    status.resources = { 1000, 256, 0, 1 };
    status.leaseLeft = std::chrono::seconds(3);
    return status;
}

TaskSpec makeSpec(WorkKind kind, bool idempotent)
{
    TaskSpec spec;
    spec.kind = kind;
    spec.service = "regrind-check";
    spec.idempotent = idempotent;
    return spec;
}

} // namespace crocuslever::testing
