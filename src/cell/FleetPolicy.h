#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "crocuslever/Resources.h"
#include "crocuslever/Time.h"

namespace crocuslever::cell {

/// Response time of the advice service, and how long its tickets are valid.
struct AdviceTiming {
    Duration base { 0 };
    Duration perUpstream { 0 };
    Duration validity { 0 };
};

/// A queue: the host and path of its calls, and the objectives of its jobs.
struct Route {
    std::string name;
    std::string host;
    std::string prefix;
    bool isPublic { false }; ///< Calls need no key.
    std::string service; ///< Service whose upstreams run its tasks.
    int priority { 0 }; ///< 0 is the most urgent.
    int attempts { 1 }; ///< Number of failed runs of a task after which its job fails.
    double stretch { 1.0 }; ///< A job should end within `stretch` times its critical path plus `targetDuration`.
    Duration targetDuration { 0 };
    std::optional<AdviceTiming> advice; ///< Set: starts need a ticket of the advice service.
};

struct Service {
    std::string name;
    bool enforcesCapacity { false };
};

struct Team {
    std::string name;
    double weight { 1.0 };
    Resources limit; ///< 0 in a component: no limit.
    std::set<std::string> keys;
};

/// One version of the operators' configuration.
struct FleetPolicy {
    std::int64_t version { 0 };
    std::vector<Route> routes;
    std::map<std::string, Service> services;
    std::map<std::string, Team> teams;
    std::map<std::string, std::string> teamOfKey;
    std::int64_t maximumBodyBytes { 0 };

    // Indexes into `routes`; see indexRoutes().
    std::unordered_map<std::string, std::size_t> routeOfName;
    std::unordered_map<std::string, std::size_t> routeOfPlace; ///< By host and prefix.
    std::set<std::size_t, std::greater<>> prefixLengths;
};

/// Builds the indexes. To be called after each change of the routes; the functions below need them.
void indexRoutes(FleetPolicy&);

/// The route of the host with the longest prefix of `path`; null: none.
const Route* findRoute(const FleetPolicy&, const std::string& host, const std::string& path);
const Route* findRouteByName(const FleetPolicy&, const std::string& name);
/// The team that the key belongs to; null: unknown key.
const Team* findTeamOfKey(const FleetPolicy&, const std::string& key);

} // namespace crocuslever::cell
