#include "src/cell/FleetPolicy.h"

namespace crocuslever::cell {

static bool startsWith(const std::string& text, const std::string& prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

const Route* findRoute(const FleetPolicy& policy, const std::string& host, const std::string& path)
{
    const Route* best = nullptr;
    for (const Route& route : policy.routes) {
        bool matches = route.host == host && startsWith(path, route.prefix);
        if (matches && (!best || route.prefix.size() > best->prefix.size()))
            best = &route;
    }
    return best;
}

const Route* findRouteByName(const FleetPolicy& policy, const std::string& name)
{
    for (const Route& route : policy.routes) {
        if (route.name == name)
            return &route;
    }
    return nullptr;
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
