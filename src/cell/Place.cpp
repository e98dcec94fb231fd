#include "src/cell/Place.h"

#include <algorithm>

#include "src/cell/Fit.h"
#include "src/cell/Interference.h"
#include "src/cell/Upstreams.h"

namespace crocuslever::cell {

static int countOnUpstream(const UpstreamRow& upstream, const TaskKey& step)
{
    return static_cast<int>(std::count_if(upstream.runs.begin(), upstream.runs.end(), [&step](const auto& item) {
        const TaskKey& key = item.second.task;
        return key.job == step.job && key.occurrence == step.occurrence && key.step == step.step;
    }));
}

static int capPerUpstream(const Candidate& candidate, const UpstreamRow& upstream, int n)
{
    const StepSpec& spec = specOf(candidate);
    if (n > 0 && spec.maximumPerUpstream > 0)
        n = std::min(n, spec.maximumPerUpstream - countOnUpstream(upstream, candidate.step));
    return std::max(n, 0);
}

/// Null: the upstream does not accept work, or has another incarnation by now.
static UpstreamRow* findOpen(const PlacementPass& pass, UpstreamIncarnation incarnation)
{
    auto it = std::lower_bound(pass.byIncarnation.begin(), pass.byIncarnation.end(), incarnation, [](const auto& item, UpstreamIncarnation wanted) { return item.first < wanted; });
    return it != pass.byIncarnation.end() && it->first == incarnation ? it->second : nullptr;
}

/// Visits the open upstreams on which tasks of the step may start at that time. Ignores room.
/// Steps that need tickets have few such upstreams, and only those are examined.
template <typename Visit>
static void visitPlaces(CellState& state, const Candidate& candidate, const PlacementPass& pass, TimePoint at, Visit visit)
{
    const StepSpec& spec = specOf(candidate);
    if (!candidate.route->advice) {
        state.examinedPairs += static_cast<std::int64_t>(pass.open.size());
        for (UpstreamRow* upstream : pass.open) {
            if (isSuitable(spec, *candidate.route, *upstream))
                visit(*upstream);
        }
        return;
    }
    const StepAdvice& advice = rowOf(candidate).advice;
    state.examinedPairs += static_cast<std::int64_t>(advice.good.size());
    for (const auto& [incarnation, grant] : advice.good) {
        UpstreamRow* upstream = isValidAt(grant, at) ? findOpen(pass, incarnation) : nullptr;
        if (upstream && isSuitable(spec, *candidate.route, *upstream))
            visit(*upstream);
    }
}

/// Sorts the first `n` places. Best fit: keeps large free areas for large tasks.
static void sortPlaces(std::vector<Place>& places, std::size_t n)
{
    auto end = places.begin() + static_cast<std::ptrdiff_t>(std::min(n, places.size()));
    std::partial_sort(places.begin(), end, places.end(), [](const Place& a, const Place& b) {
        return std::make_tuple(a.hasBadPair, !a.isNearData, a.leftMilliCpu, a.upstream->incarnation) < std::make_tuple(b.hasBadPair, !b.isNearData, b.leftMilliCpu, b.upstream->incarnation);
    });
}

std::vector<Place> findPlaces(CellState& state, const Candidate& candidate, int most, const PlacementPass& pass, TimePoint now)
{
    const StepSpec& spec = specOf(candidate);
    Resources each = amountOf(spec);
    std::vector<Place> places;
    visitPlaces(state, candidate, pass, now, [&](UpstreamRow& upstream) {
        if (countFits(roomOn(upstream), each, 1) == 0)
            return;
        Resources room = unreservedRoom(upstream, pass.reservations);
        int fits = capPerUpstream(candidate, upstream, countFits(room, each, most));
        if (fits == 0)
            return;
        bool isNear = spec.dataRack.empty() || spec.dataRack == upstream.entry.rack;
        places.push_back({ &upstream, fits, room.milliCpu - spec.each.milliCpu, isNear, wouldMeetBadPair(state.interference, spec, upstream, now) });
    });
    sortPlaces(places, spec.gang ? places.size() : static_cast<std::size_t>(most) + 1);
    return places;
}

Place* choosePlace(const TaskRow& task, std::vector<Place>& places)
{
    Place* fallback = nullptr;
    for (Place& it : places) {
        if (it.fits <= 0)
            continue;
        if (task.failedRuns.empty() || it.upstream->entry.id != task.upstream)
            return &it;
        fallback = &it;
    }
    return fallback;
}

std::vector<Place> findRack(const std::vector<Place>& places, int count)
{
    std::map<std::string, int> fits;
    for (const Place& it : places)
        fits[it.upstream->entry.rack] += it.fits;
    for (const auto& [name, n] : fits) {
        const std::string& rack = name;
        if (n < count)
            continue;
        std::vector<Place> chosen;
        std::copy_if(places.begin(), places.end(), std::back_inserter(chosen), [&rack](const Place& it) { return it.upstream->entry.rack == rack; });
        return chosen;
    }
    return {};
}

std::vector<PreemptionPlace> findPreemptionPlaces(CellState& state, const Candidate& candidate, int count, const PlacementPass& pass, TimePoint at)
{
    std::vector<PreemptionPlace> places;
    Resources each = amountOf(specOf(candidate));
    visitPlaces(state, candidate, pass, at, [&](UpstreamRow& upstream) {
        if (countFits(roomAfterPreemption(upstream, candidate.priority), each, 1) == 0)
            return;
        int most = capPerUpstream(candidate, upstream, count);
        if (most > 0)
            places.push_back({ &upstream, most });
    });
    return places;
}

} // namespace crocuslever::cell
