#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "crocuslever/Comparable.h"
#include "crocuslever/Time.h"

namespace crocuslever::cell {

using crocuslever::operator==;
using crocuslever::operator!=;
using crocuslever::operator<;

constexpr std::int64_t kWholeShare = 1000; ///< Shares are in thousandths.

/// What one team offers to the cell on one route.
struct TeamDemand {
    std::string route;
    std::string team;
    int priority { 0 }; ///< Of the route; 0 is the most urgent.
    double weight { 1.0 }; ///< Of the team.
    double tasksPerSecond { 0.0 };

    auto tie() const { return std::tie(route, team, priority, weight, tasksPerSecond); }
};

/// The load of one priority class.
struct ClassLoad {
    double waitingTasks { 0.0 }; ///< Tasks of jobs that can still end in time.
    Duration tolerance { 0 }; ///< The longest wait after which a job of the class still ends in time.

    auto tie() const { return std::tie(waitingTasks, tolerance); }
};

/// What the owner of the cell knows of its load.
struct AdmissionLoad {
    double startsPerSecond { 0.0 }; ///< Task starts that the owner can do; 0: not known, and nothing is limited.
    bool isTableFull { false }; ///< The owner holds as many tasks as its memory allows.
    std::map<int, ClassLoad> classes; ///< By priority; all classes of the configuration.
    std::vector<TeamDemand> demand;

    auto tie() const { return std::tie(startsPerSecond, isTableFull, classes, demand); }
};

/// What the cell accepts of a priority class.
struct ClassPlan {
    std::int64_t accepted { kWholeShare }; ///< Thousandths of all that is offered.
    std::int64_t acceptedOfOthers { kWholeShare }; ///< Thousandths of what teams without a share of their own offer.
    Duration wait { 0 }; ///< Expected wait of a job that is accepted now.

    auto tie() const { return std::tie(accepted, acceptedOfOthers, wait); }
};

/// What the cell accepts: by priority class, and of the teams that offer more than their share.
struct AdmissionPlan {
    std::map<int, ClassPlan> classes; ///< By priority.
    std::map<std::pair<std::string, std::string>, std::int64_t> shares; ///< Thousandths by route and team; others: see ClassPlan.

    auto tie() const { return std::tie(classes, shares); }
};

/// True if the plan turns anything away.
bool isLimiting(const AdmissionPlan&);

/// Accepts of each class what can start before it would be late: the most urgent classes first, and within a class each team
/// in proportion to its weight. What a team doesn't use of its share is left to the others.
AdmissionPlan planAdmission(const AdmissionLoad&);

} // namespace crocuslever::cell
