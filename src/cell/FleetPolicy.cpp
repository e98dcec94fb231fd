#include "src/cell/FleetPolicy.h"

namespace crocuslever::cell {

static std::string placeKey(const std::string& host, const std::string& prefix) { return host + ' ' + prefix; }

void indexRoutes(FleetPolicy& policy)
{
    policy.routeOfName.clear();
    policy.routeOfPlace.clear();
    policy.prefixLengths.clear();
    for (std::size_t i = 0; i < policy.routes.size(); ++i) {
        const Route& route = policy.routes[i];
        policy.routeOfName.emplace(route.name, i);
        policy.routeOfPlace.emplace(placeKey(route.host, route.prefix), i);
        policy.prefixLengths.insert(route.prefix.size());
    }
}

const Route* findRoute(const FleetPolicy& policy, const std::string& host, const std::string& path)
{
    for (std::size_t length : policy.prefixLengths) {
        if (length > path.size())
            continue;
        auto it = policy.routeOfPlace.find(placeKey(host, path.substr(0, length)));
        if (it != policy.routeOfPlace.end())
            return &policy.routes[it->second];
    }
    return nullptr;
}

const Route* findRouteByName(const FleetPolicy& policy, const std::string& name)
{
    auto it = policy.routeOfName.find(name);
    return it == policy.routeOfName.end() ? nullptr : &policy.routes[it->second];
}

const Team* findTeamOfKey(const FleetPolicy& policy, const std::string& key)
{
    auto owner = policy.teamOfKey.find(key);
    if (owner == policy.teamOfKey.end())
        return nullptr;
    auto team = policy.teams.find(owner->second);
    return team == policy.teams.end() ? nullptr : &team->second;
}

} // namespace crocuslever::cell
