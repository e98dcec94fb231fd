#include "src/cell/AdmissionPlan.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "src/cell/WeightedShares.h"

namespace crocuslever::cell {

using Seconds = std::chrono::duration<double>;

/// A queue that is too long is to shrink within this time, in which a plan reaches all instances.
static constexpr Seconds kDrainTime { 0.5 };
/// A queue with room fills within this time. Jobs on their way to a busy owner are in no queue yet, and would be granted the
/// same room again.
static constexpr Seconds kFillTime { 1.0 };
/// Part of the tolerance of a class that its queue may take. The rest is for errors of the estimates.
static constexpr double kQueueShare = 0.35;
/// Part of the starts that the most urgent class is always given, so that the cell never stands idle.
static constexpr double kLeastUrgentShare = 0.1;

bool isLimiting(const AdmissionPlan& plan)
{
    return std::any_of(plan.classes.begin(), plan.classes.end(), [](const auto& item) { return item.second.accepted < kWholeShare; });
}

/// Tasks a second that the class may be given, with `ahead` tasks of it and of more urgent classes waiting.
static double startsLeftFor(const AdmissionLoad& load, const ClassLoad& own, double ahead, double admittedPerSecond, bool isMostUrgent)
{
    double least = isMostUrgent ? load.startsPerSecond * kLeastUrgentShare : 0.0;
    if (load.isTableFull)
        return least;
    double queue = load.startsPerSecond * kQueueShare * Seconds(own.tolerance).count();
    double change = (queue - ahead) / (ahead > queue ? kDrainTime : kFillTime).count();
    return std::max(load.startsPerSecond + change - admittedPerSecond, least);
}

static std::int64_t toThousandths(double part, double whole)
{
    return whole > 0.0 ? std::clamp<std::int64_t>(std::llround(part / whole * static_cast<double>(kWholeShare)), 0, kWholeShare) : kWholeShare;
}

static void divideAmongTeams(const std::vector<const TeamDemand*>& demands, double available, AdmissionPlan& plan)
{
    std::vector<WeightedClaim> claims;
    claims.reserve(demands.size());
    for (const TeamDemand* it : demands)
        claims.push_back({ it->tasksPerSecond, it->weight });
    std::vector<double> amounts = divideByWeight(claims, available);
    for (std::size_t n = 0; n < demands.size(); ++n) {
        std::int64_t share = toThousandths(amounts[n], claims[n].amount);
        if (share < kWholeShare)
            plan.shares[{ demands[n]->route, demands[n]->team }] = share;
    }
}

AdmissionPlan planAdmission(const AdmissionLoad& load)
{
    AdmissionPlan plan;
    bool isLimited = load.startsPerSecond > 0.0;
    double ahead = 0.0;
    double admitted = 0.0;
    for (const auto& [priority, own] : load.classes) {
        ClassPlan& result = plan.classes[priority];
        if (!isLimited)
            continue;
        ahead += own.waitingTasks;
        result.wait = std::chrono::duration_cast<Duration>(Seconds(ahead / load.startsPerSecond));
        std::vector<const TeamDemand*> demands;
        double offered = 0.0;
        for (const TeamDemand& it : load.demand) {
            if (it.priority != priority)
                continue;
            demands.push_back(&it);
            offered += it.tasksPerSecond;
        }
        bool isMostUrgent = priority == load.classes.begin()->first;
        double available = startsLeftFor(load, own, ahead, admitted, isMostUrgent);
        if (load.isTableFull)
            result.acceptedOfOthers = isMostUrgent ? std::llround(kLeastUrgentShare * static_cast<double>(kWholeShare)) : 0;
        if (offered > available) {
            divideAmongTeams(demands, available, plan);
            result.accepted = toThousandths(available, offered);
        }
        result.accepted = std::min(result.accepted, result.acceptedOfOthers);
        admitted += std::min(offered, available);
    }
    return plan;
}

} // namespace crocuslever::cell
