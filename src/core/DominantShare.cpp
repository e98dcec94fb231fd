#include "src/core/DominantShare.h"

#include <algorithm>

#include "src/core/Peers.h"

namespace crocuslever {

const TeamUsage* findUsage(const Heartbeat& beat, const TeamId& team)
{
    auto it = std::lower_bound(beat.teams.begin(), beat.teams.end(), team,
        [](const TeamUsage& usage, const TeamId& id) { return usage.team < id; });
    return it != beat.teams.end() && it->team == team ? &*it : nullptr;
}

static double shareWeight(const CoreState& state, const TeamId& id)
{
    const Team* team = state.configuration.current->findTeam(id);
    return team && team->shareWeight > 0 ? team->shareWeight : 1;
}

double dominantShare(const CoreState& state, const TeamId& team, TimePoint now)
{
    Resources used { 0, 0, 0, 0 };
    Resources capacity { 0, 0, 0, 0 };
    for (const auto& [id, member] : state.members) {
        // The last heartbeat of a silent member may cover shards that other members report by now.
        if (!isPeerUp(state, id, now))
            continue;
        capacity = capacity + member.heartbeat.capacity;
        if (const TeamUsage* usage = findUsage(member.heartbeat, team))
            used = used + usage->used;
    }
    return dominantFraction(used, capacity) / shareWeight(state, team);
}

std::map<TeamId, double> dominantShares(const CoreState& state, TimePoint now)
{
    Resources capacity { 0, 0, 0, 0 };
    std::map<TeamId, Resources> used;
    for (const auto& [id, member] : state.members) {
        if (!isPeerUp(state, id, now))
            continue;
        capacity = capacity + member.heartbeat.capacity;
        for (const TeamUsage& usage : member.heartbeat.teams) {
            Resources& sum = used.emplace(usage.team, Resources { 0, 0, 0, 0 }).first->second;
            sum = sum + usage.used;
        }
    }
    std::map<TeamId, double> shares;
    for (const auto& [team, sum] : used)
        shares[team] = dominantFraction(sum, capacity);
    for (const Team& team : state.configuration.current->teams) {
        if (team.shareWeight > 0)
            shares[team.id] /= team.shareWeight;
    }
    return shares;
}

int runningFleetWide(const CoreState& state, const TeamId& team)
{
    int n = 0;
    for (const auto& [id, member] : state.members) {
        if (const TeamUsage* usage = findUsage(member.heartbeat, team))
            n += usage->running;
    }
    return n;
}

} // namespace crocuslever
