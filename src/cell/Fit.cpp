#include "src/cell/Fit.h"

#include <algorithm>

namespace crocuslever::cell {

bool isResumable(const StepSpec& step)
{
    return step.checkpoints && !step.gang && !step.isLongRunning && !step.isBestEffort;
}

Resources roomOn(const UpstreamRow& upstream) { return upstream.entry.capacity - upstream.use.used; }

static int countFits(std::int64_t room, std::int64_t each, int most)
{
    if (each <= 0)
        return most;
    if (room < each)
        return 0;
    return static_cast<int>(std::min<std::int64_t>(room / each, most));
}

int countFits(const Resources& room, const Resources& each, int most)
{
    int n = countFits(room.milliCpu, each.milliCpu, most);
    n = countFits(room.memoryMb, each.memoryMb, n);
    return countFits(room.accelerators, each.accelerators, n);
}

/// Like countFits() below a limit, where 0 means no limit.
static int countWithin(std::int64_t limit, std::int64_t used, std::int64_t each, int most)
{
    return limit <= 0 ? most : countFits(limit - used, each, most);
}

int countWithinLimit(const CellState& state, const std::string& team, const Resources& reserved, const Resources& each, int most)
{
    if (!state.configuration.value)
        return 0;
    auto it = state.configuration.value->teams.find(team);
    if (it == state.configuration.value->teams.end())
        return most;
    auto use = state.teamUse.find(team);
    auto unseen = state.ownership.unseenUse.find(team);
    Resources used = reserved + (use == state.teamUse.end() ? Resources {} : use->second.used);
    if (unseen != state.ownership.unseenUse.end())
        used = used + unseen->second;
    const Resources& limit = it->second.limit;
    int n = countWithin(limit.milliCpu, used.milliCpu, each.milliCpu, most);
    n = countWithin(limit.memoryMb, used.memoryMb, each.memoryMb, n);
    return countWithin(limit.accelerators, used.accelerators, each.accelerators, n);
}

bool isWithinHalfOfLimit(const CellState& state, const std::string& team, const Resources& each, int count)
{
    auto it = state.configuration.value->teams.find(team);
    if (it == state.configuration.value->teams.end())
        return true;
    const Resources& limit = it->second.limit;
    auto isWithin = [count](std::int64_t of, std::int64_t amount) { return of <= 0 || 2 * amount * count <= of; };
    return isWithin(limit.milliCpu, each.milliCpu) && isWithin(limit.memoryMb, each.memoryMb) && isWithin(limit.accelerators, each.accelerators);
}

bool isSuitable(const StepSpec& step, const Route& route, const UpstreamRow& upstream)
{
    if (upstream.entry.service != route.service)
        return false;
    const std::vector<std::string>& labels = upstream.entry.labels;
    return step.requiredLabel.empty() || std::find(labels.begin(), labels.end(), step.requiredLabel) != labels.end();
}

} // namespace crocuslever::cell
