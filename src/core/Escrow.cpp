#include "src/core/Escrow.h"

#include <algorithm>

#include "src/codec/RecordCodec.h"
#include "src/core/DominantShare.h"
#include "src/core/Guards.h"
#include "src/core/Ownership.h"
#include "src/core/Peers.h"
#include "src/core/Session.h"
#include "src/core/StoreKeys.h"
#include "src/core/StoreWriter.h"

namespace crocuslever {

/// A team counts as idle here, and its grant beyond the base is returned, when no start has been
/// refused for want of a grant for this long.
static constexpr Duration kIdleTimeout = std::chrono::seconds(2);

int availableGrant(const CoreState& state, const TeamId& team)
{
    auto it = state.escrow.teamQuotas.find(team);
    if (!isEnabled(Guard::TeamQuotaCheck))
        return 1;
    if (it == state.escrow.teamQuotas.end())
        return 0;
    return std::max(0, it->second.granted - it->second.running);
}

void chargeTeam(CoreState& state, const TeamId& team, int n)
{
    TeamQuota& quota = state.escrow.teamQuotas[team];
    quota.running += n;
}

void recordGrantShortage(CoreState& state, const TeamId& team, TimePoint now)
{
    TeamQuota& quota = state.escrow.teamQuotas[team];
    ++quota.refusedStarts;
    quota.lastRefusedStartAt = now;
}

static int grantOf(const GrantRecord& grants, const TeamId& team, const SessionId& session)
{
    auto it = grants.find(team);
    if (it == grants.end())
        return 0;
    auto grant = it->second.find(session);
    return grant == it->second.end() ? 0 : grant->second;
}

void adoptGrants(CoreState& state, const GrantRecord& grants, StoreRevision revision, TimePoint)
{
    if (revision <= state.escrow.modRevision)
        return;
    state.escrow.grants = grants;
    state.escrow.modRevision = revision;
    for (const auto& [team, sessions] : grants)
        state.escrow.teamQuotas[team];
    if (state.escrow.writeInFlight)
        return;
    for (auto& [team, quota] : state.escrow.teamQuotas)
        quota.granted = grantOf(grants, team, state.session.id);
}

int availableGrantAt(const CoreState& state, const MemberRow& member, const TeamId& team)
{
    const TeamUsage* usage = findUsage(member.heartbeat, team);
    int running = usage == nullptr ? 0 : usage->running;
    return grantOf(state.escrow.grants, team, member.record.session) - running;
}

void countSentTask(MemberRow& member, const TeamId& team)
{
    std::vector<TeamUsage>& teams = member.heartbeat.teams;
    auto it = std::lower_bound(teams.begin(), teams.end(), team, [](const TeamUsage& usage, const TeamId& id) { return usage.team < id; });
    if (it == teams.end() || it->team != team)
        it = teams.insert(it, TeamUsage { team, 0, 0, 0, { 0, 0, 0, 0 } });
    ++it->running;
}

static int sumOf(const GrantRecord& grants, const TeamId& team)
{
    auto it = grants.find(team);
    if (it == grants.end())
        return 0;
    int sum = 0;
    for (const auto& [session, n] : it->second)
        sum += n;
    return sum;
}

static void setGrant(GrantRecord& grants, const TeamId& team, const SessionId& session, int n)
{
    if (n > 0) {
        grants[team][session] = n;
        return;
    }
    auto it = grants.find(team);
    if (it == grants.end())
        return;
    it->second.erase(session);
    if (it->second.empty())
        grants.erase(it);
}

GrantRecord moveGrants(const GrantRecord& before, const std::vector<SessionId>& from, const SessionId& to, const std::map<TeamId, int>& moved)
{
    GrantRecord grants = before;
    if (!isEnabled(Guard::GrantTransfer))
        return grants;
    for (const auto& [team, count] : moved) {
        int left = count;
        for (const SessionId& session : from) {
            int held = grantOf(grants, team, session);
            int n = std::min(held, left);
            setGrant(grants, team, session, held - n);
            setGrant(grants, team, to, grantOf(grants, team, to) + n);
            left -= n;
        }
    }
    return grants;
}

/// True if the session has ended and no shard's record names it: such a session has no running
/// tasks, so its grants can be dropped.
static bool canDropSession(const CoreState& state, const SessionId& session)
{
    if (state.liveSessions.count(session) != 0)
        return false;
    return std::none_of(state.shards.begin(), state.shards.end(), [&](const ShardRow& row) {
        const std::vector<SessionId>& unsettled = row.record.unsettledSessions;
        return row.record.session == session || std::find(unsettled.begin(), unsettled.end(), session) != unsettled.end();
    });
}

static void dropEndedSessions(const CoreState& state, GrantRecord& grants)
{
    std::vector<std::pair<TeamId, SessionId>> ended;
    for (const auto& [team, sessions] : grants) {
        for (const auto& [session, n] : sessions) {
            if (canDropSession(state, session))
                ended.emplace_back(team, session);
        }
    }
    for (const auto& [team, session] : ended)
        setGrant(grants, team, session, 0);
}

static int wantedByOthers(const CoreState& state, const TeamId& team)
{
    int sum = 0;
    for (const auto& [id, member] : state.members) {
        if (id == state.settings.self)
            continue;
        for (const TeamUsage& usage : member.heartbeat.teams) {
            if (usage.team == team)
                sum += usage.grantWanted;
        }
    }
    return sum;
}

namespace {

/// The inputs for the share of one team's limit that this instance should hold; counts of tasks.
struct GrantInputs {
    int limit { 0 };
    int granted { 0 }; ///< To this session, in the grant record.
    int grantedToAll { 0 }; ///< Sum over all sessions.
    int running { 0 };
    int wanted { 0 };
    int wantedByOthers { 0 };
    int members { 1 };
    bool idle { false }; ///< Nothing was wanted here within kIdleTimeout.
};

} // namespace

/// The grant that this instance should hold. Half of a team's limit is spread evenly over the
/// members in advance; the other half follows demand. A grant unused here that others want is
/// returned.
static int targetGrant(const GrantInputs& inputs)
{
    int free = inputs.limit - inputs.grantedToAll;
    // At least one per member where the limit allows it. Otherwise the first call of a small team
    // would have to wait for a store write.
    int base = std::max(inputs.limit / (2 * inputs.members), inputs.limit >= inputs.members ? 1 : 0);
    int step = std::max(1, inputs.limit / (4 * inputs.members));
    int target = inputs.granted;
    if (inputs.wanted > 0)
        target = inputs.running + inputs.wanted + step;
    else if (inputs.granted < base)
        target = base;
    else if (inputs.idle && inputs.granted > std::max(base, inputs.running + 2 * step))
        target = std::max(base, inputs.running + step);
    bool scarce = free < inputs.wantedByOthers;
    if (scarce && inputs.wantedByOthers > 0 && inputs.wanted == 0)
        target = std::min(target, inputs.running);
    if (free < 0)
        target = std::min(target, inputs.running);
    target = std::min(target, inputs.granted + std::max(0, free));
    return std::max(target, std::min(inputs.running, inputs.granted));
}

static GrantInputs collectGrantInputs(const CoreState& state, const GrantRecord& grants, const Team& team, TimePoint now)
{
    GrantInputs inputs;
    inputs.limit = team.upperLimit;
    inputs.granted = grantOf(grants, team.id, state.session.id);
    inputs.grantedToAll = sumOf(grants, team.id);
    inputs.wantedByOthers = wantedByOthers(state, team.id);
    inputs.members = std::max<int>(1, static_cast<int>(state.members.size()));
    auto it = state.escrow.teamQuotas.find(team.id);
    if (it == state.escrow.teamQuotas.end()) {
        inputs.idle = true;
        return inputs;
    }
    inputs.running = it->second.running;
    // Refused requests are retried and counted each time, so the count is capped at four steps.
    inputs.wanted = std::min(it->second.refusedStarts, 4 * std::max(1, inputs.limit / (4 * inputs.members)));
    inputs.idle = now - it->second.lastRefusedStartAt > kIdleTimeout;
    return inputs;
}

static void expireDemand(CoreState& state, TimePoint now)
{
    for (auto& [team, quota] : state.escrow.teamQuotas) {
        if (now - quota.lastRefusedStartAt > kIdleTimeout)
            quota.refusedStarts = 0;
    }
}

/// Grants to be returned stop being used before the write is sent, not when it commits.
static void applyReductions(CoreState& state, const GrantRecord& grants)
{
    for (auto& [team, quota] : state.escrow.teamQuotas)
        quota.granted = std::min(quota.granted, grantOf(grants, team, state.session.id));
}

static GrantRecord nextGrants(const CoreState& state, TimePoint now)
{
    GrantRecord grants = state.escrow.grants;
    dropEndedSessions(state, grants);
    for (const Team& team : state.configuration.current->teams)
        setGrant(grants, team.id, state.session.id, targetGrant(collectGrantInputs(state, grants, team, now)));
    return grants;
}

void runEscrow(CoreState& state, TimePoint now, Actions&)
{
    if (state.escrow.writeInFlight || now < state.escrow.nextWrite)
        return;
    // Jitter, so that instances that start together do not conflict on every write.
    Duration jitter(static_cast<std::int64_t>(nextRandom(state) % static_cast<std::uint64_t>(state.settings.escrowInterval.count())));
    state.escrow.nextWrite = now + state.settings.escrowInterval + jitter;
    if (state.shuttingDown || !state.controlKeysLoaded || !isSessionValid(state, now))
        return;
    GrantRecord grants = nextGrants(state, now);
    expireDemand(state, now);
    if (grants == state.escrow.grants)
        return;
    applyReductions(state, grants);
    StoreTransaction transaction;
    transaction.compares.push_back({ kGrantsKey, state.escrow.modRevision });
    transaction.puts.push_back({ kGrantsKey, encodeGrants(grants), 0 });
    enqueueWrite(state, std::move(transaction), GrantPurpose { grants });
    state.escrow.writeInFlight = true;
}

void handleGrantOutcome(CoreState& state, const GrantPurpose& purpose, bool committed, TimePoint now, Actions&)
{
    state.escrow.writeInFlight = false;
    state.counters.add(committed ? "grant_writes_total" : "grant_conflicts_total");
    if (!committed)
        state.escrow.nextWrite = now + fromMilliseconds(static_cast<std::int64_t>(nextRandom(state) % 50));
    for (auto& [team, quota] : state.escrow.teamQuotas) {
        // A reduction takes effect immediately, an increase only when the watch delivers it.
        int seen = grantOf(state.escrow.grants, team, state.session.id);
        int written = committed ? grantOf(purpose.grants, team, state.session.id) : seen;
        if (written > quota.granted)
            quota.refusedStarts = 0;
        quota.granted = std::min(seen, written);
    }
}

} // namespace crocuslever
