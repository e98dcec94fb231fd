#include "src/cell/TeamShares.h"

#include <algorithm>
#include <cmath>

namespace crocuslever::cell {

static constexpr int kMaxRank = 4; ///< Further excess makes no difference.

static double weightOf(const FleetPolicy& policy, const std::string& team)
{
    auto it = policy.teams.find(team);
    return it == policy.teams.end() ? 1.0 : std::max(it->second.weight, 0.0);
}

std::map<std::string, TeamShare> computeTeamShares(const FleetPolicy& policy, const std::map<std::string, RoomUse>& use, const std::set<std::string>& waiting, const Resources& capacity)
{
    std::map<std::string, TeamShare> shares;
    for (const std::string& team : waiting)
        shares[team];
    for (const auto& [team, room] : use) {
        if (room.used != Resources {})
            shares[team].dominant = dominantFraction(room.used, capacity);
    }
    double weights = 0.0;
    for (const auto& [team, share] : shares)
        weights += weightOf(policy, team);
    for (auto& [team, share] : shares)
        share.fair = weights > 0.0 ? weightOf(policy, team) / weights : 1.0;
    return shares;
}

Resources totalCapacity(const CellState& state)
{
    Resources sum;
    for (const auto& [id, upstream] : state.upstreams)
        sum = sum + upstream.entry.capacity;
    return sum;
}

std::map<std::string, TeamShare> currentTeamShares(const CellState& state)
{
    if (!state.configuration.value)
        return {};
    std::set<std::string> waiting;
    for (const std::string& id : state.waitingJobs)
        waiting.insert(state.jobs.at(id).record.team);
    return computeTeamShares(*state.configuration.value, state.teamUse, waiting, totalCapacity(state));
}

int excessRank(const TeamShare& share)
{
    if (share.dominant <= share.fair)
        return 0;
    if (share.fair <= 0.0)
        return kMaxRank;
    int doublings = static_cast<int>(std::floor(std::log2(share.dominant / share.fair)));
    return std::min(1 + doublings, kMaxRank);
}

std::pair<std::string, double> findLargestExcess(const std::map<std::string, TeamShare>& shares)
{
    std::pair<std::string, double> largest { "", 1.0 };
    for (const auto& [team, share] : shares) {
        double excess = share.fair > 0.0 ? share.dominant / share.fair : 0.0;
        if (excess > largest.second)
            largest = { team, excess };
    }
    return largest;
}

} // namespace crocuslever::cell
