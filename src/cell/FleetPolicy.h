#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "crocuslever/Resources.h"
#include "crocuslever/Time.h"

namespace crocuslever::cell {

/// How long the advice service takes and for how long its tickets hold.
struct AdviceTiming {
    Duration base { 0 };
    Duration perUpstream { 0 };
    Duration validity { 0 };
};

/// A queue: where its jobs come in, and what is promised for them.
struct Route {
    std::string name;
    std::string host;
    std::string prefix;
    bool isPublic { false }; ///< Needs no key.
    std::string service; ///< Whose upstreams run its tasks.
    int priority { 0 }; ///< 0 goes first.
    int attempts { 1 }; ///< Failed runs of a task after which its job has failed.
    double stretch { 1.0 };
    Duration targetDuration { 0 };
    std::optional<AdviceTiming> advice; ///< Set: a start needs a ticket.
};

struct Service {
    std::string name;
    bool enforcesCapacity { false };
};

struct Team {
    std::string name;
    double weight { 1.0 };
    Resources limit; ///< 0: none.
    std::set<std::string> keys;
};

/// The operators' configuration, all of one version.
struct FleetPolicy {
    std::int64_t version { 0 };
    std::vector<Route> routes;
    std::map<std::string, Service> services;
    std::map<std::string, Team> teams;
    std::map<std::string, std::string> teamOfKey;
    std::int64_t mostBodyBytes { 0 };
};

/// The route with the longest prefix that `path` begins with; null: none.
const Route* findRoute(const FleetPolicy&, const std::string& host, const std::string& path);
const Route* findRouteByName(const FleetPolicy&, const std::string& name);
/// The team that a key belongs to; null: no key of this version.
const Team* findTeamOfKey(const FleetPolicy&, const std::string& key);

} // namespace crocuslever::cell
