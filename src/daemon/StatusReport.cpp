#include "src/daemon/StatusReport.h"

#include <nlohmann/json.hpp>

#include "src/core/Session.h"

namespace crocuslever {

using Json = nlohmann::ordered_json;

static const char* toString(ShardPhase phase)
{
    switch (phase) {
    case ShardPhase::NotOwned:
        return "not_owned";
    case ShardPhase::Claiming:
        return "claiming";
    case ShardPhase::Settling:
        return "settling";
    case ShardPhase::Owned:
        return "owned";
    case ShardPhase::Releasing:
        return "releasing";
    }
    return "not_owned";
}

static Json describeMember(const MemberRow& member, TimePoint now)
{
    Json value;
    value["instance"] = member.record.id.value();
    value["domain"] = member.record.domain.value();
    value["address"] = member.record.address;
    value["session"] = member.record.session.value();
    value["configuration_revision"] = member.heartbeat.configurationRevision;
    value["store_reachable"] = member.heartbeat.storeReachable;
    value["shutting_down"] = member.heartbeat.shuttingDown;
    value["heard_ms_ago"] = member.heard ? Json(toMilliseconds(now - member.lastHeard)) : Json();
    return value;
}

static Json describeMembers(const CoreState& state, TimePoint now)
{
    Json list = Json::array();
    for (const auto& [id, member] : state.members)
        list.push_back(describeMember(member, now));
    return list;
}

static Json describeShards(const CoreState& state)
{
    Json list = Json::array();
    for (ShardIndex n = 0; n < kShardCount; ++n) {
        const ShardRow& row = state.shards[n];
        Json value;
        value["shard"] = n;
        value["owner"] = row.record.owner.value();
        value["epoch"] = row.record.epoch;
        value["phase"] = toString(row.phase);
        list.push_back(std::move(value));
    }
    return list;
}

namespace {

struct UpstreamCounts {
    int listed { 0 };
    int leaving { 0 };
    int fenced { 0 }; ///< Fenced by this instance and therefore usable by it.
    int quarantined { 0 };
    std::int64_t slots { 0 }; ///< Capacity of the fenced upstreams.
    std::int64_t slotsReserved { 0 }; ///< Reserved slots of the fenced upstreams.
};

} // namespace

static UpstreamCounts countUpstreams(const CoreState& state)
{
    UpstreamCounts counts;
    for (const auto& [id, row] : state.upstreams) {
        counts.listed += row.listed ? 1 : 0;
        counts.leaving += row.description.leaving ? 1 : 0;
        counts.quarantined += row.health == UpstreamHealth::Quarantined ? 1 : 0;
        if (!row.fenced)
            continue;
        ++counts.fenced;
        counts.slots += row.description.capacity.slots;
        counts.slotsReserved += row.reserved.slots;
    }
    return counts;
}

static Json describeUpstreams(const CoreState& state)
{
    UpstreamCounts counts = countUpstreams(state);
    Json value;
    value["listed"] = counts.listed;
    value["leaving"] = counts.leaving;
    value["fenced_here"] = counts.fenced;
    value["quarantined_here"] = counts.quarantined;
    value["slots_here"] = counts.slots;
    value["slots_reserved_here"] = counts.slotsReserved;
    return value;
}

static Json describeTeam(const CoreState& state, const Team& team)
{
    auto quota = state.escrow.teamQuotas.find(team.id);
    auto queued = state.jobSchedule.queued.find(team.id);
    bool isKnown = quota != state.escrow.teamQuotas.end();
    Json value;
    value["team"] = team.id.value();
    value["share"] = team.shareWeight;
    value["upper_limit"] = team.upperLimit;
    value["granted_here"] = isKnown ? quota->second.granted : 0;
    value["running_here"] = isKnown ? quota->second.running : 0;
    value["queued_here"] = queued == state.jobSchedule.queued.end() ? 0 : queued->second;
    return value;
}

static Json describeTeams(const CoreState& state)
{
    Json list = Json::array();
    for (const Team& team : state.configuration.current->teams)
        list.push_back(describeTeam(state, team));
    return list;
}

static Json describeDomainsOut(const CoreState& state)
{
    Json list = Json::array();
    for (const DomainOutage& outage : state.configuration.current->domainsOut)
        list.push_back({ { "domain", outage.domain.value() }, { "reason", outage.reason } });
    return list;
}

std::string formatStatus(const CoreState& state, TimePoint now)
{
    Json value;
    value["instance"] = state.settings.self.value();
    value["domain"] = state.settings.domain.value();
    value["session"] = state.session.id.value();
    value["session_valid"] = isSessionValid(state, now);
    value["ready"] = isReady(state, now);
    value["shutting_down"] = state.shuttingDown;
    value["configuration_revision"] = state.configuration.current->revision;
    value["domains_out"] = describeDomainsOut(state);
    value["jobs_here"] = state.jobs.size();
    value["attempts_here"] = state.attempts.size();
    value["calls_here"] = state.calls.size();
    value["upstreams"] = describeUpstreams(state);
    value["members"] = describeMembers(state, now);
    value["teams"] = describeTeams(state);
    value["shards"] = describeShards(state);
    return value.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

std::string formatMetrics(const Counters& counters)
{
    std::string text;
    for (const auto& [name, value] : counters.values())
        text += "crocuslever_" + name + " " + std::to_string(value) + "\n";
    return text;
}

static std::int64_t countOwnedShards(const CoreState& state)
{
    std::int64_t n = 0;
    for (const ShardRow& row : state.shards)
        n += row.phase == ShardPhase::Owned ? 1 : 0;
    return n;
}

void setGauges(const CoreState& state, TimePoint now, Counters& counters)
{
    UpstreamCounts upstreams = countUpstreams(state);
    counters.set("ready", isReady(state, now) ? 1 : 0);
    counters.set("session_valid", isSessionValid(state, now) ? 1 : 0);
    counters.set("configuration_revision", static_cast<std::int64_t>(state.configuration.current->revision));
    counters.set("members", static_cast<std::int64_t>(state.members.size()));
    counters.set("shards_owned", countOwnedShards(state));
    counters.set("jobs", static_cast<std::int64_t>(state.jobs.size()));
    counters.set("attempts", static_cast<std::int64_t>(state.attempts.size()));
    counters.set("calls", static_cast<std::int64_t>(state.calls.size()));
    counters.set("upstreams_listed", upstreams.listed);
    counters.set("upstreams_fenced", upstreams.fenced);
    counters.set("slots", upstreams.slots);
    counters.set("slots_reserved", upstreams.slotsReserved);
}

} // namespace crocuslever
