// Each kind of work has a policy of its own. All of them walk an index in the
// policy's order and check the rows themselves, so that an index which lags
// behind a row costs order, never room.

#include "src/core/Placement.h"

#include <algorithm>

#include "src/core/Guards.h"
#include "src/core/Session.h"
#include "src/core/UpstreamIndex.h"
#include "src/core/Upstreams.h"

namespace crocuslever {

template <typename T>
static bool contains(const std::vector<T>& values, const T& value)
{
    return std::find(values.begin(), values.end(), value) != values.end();
}

static bool hasRoom(const CoreState& state, const UpstreamRow& row, const PlacementRequest& request)
{
    Resources room = row.description.capacity - row.reserved;
    if (request.kind != WorkKind::Urgent)
        room.slots -= urgentHeadroom(state.configuration.current->defaults, row.description.capacity.slots);
    return request.resources.fitsIn(room) || !isOn(Guard::RoomCheck);
}

static bool isSuitable(const CoreState& state, const UpstreamRow& row, const PlacementRequest& request, TimePoint now)
{
    if (!hasRoom(state, row, request))
        return false;
    if (row.health == UpstreamHealth::Probation && row.reserved.slots > 0)
        return false;
    return !contains(request.avoid, row.description.id) && acceptsWork(state, row, now);
}

static std::optional<UpstreamId> findEmptiest(const CoreState& state, const PlacementRequest& request, TimePoint now)
{
    const auto& order = state.upstreams.byFreeFraction;
    for (auto it = order.rbegin(); it != order.rend() && it->first > 0; ++it) {
        if (isSuitable(state, state.upstreams.at(it->second), request, now))
            return it->second;
    }
    return std::nullopt;
}

static std::optional<UpstreamId> findBestFit(const CoreState& state, const PlacementRequest& request, TimePoint now)
{
    const auto& order = state.upstreams.byDeferredSlots;
    for (auto it = order.lower_bound({ request.resources.slots, UpstreamId() }); it != order.end(); ++it) {
        if (isSuitable(state, state.upstreams.at(it->second), request, now))
            return it->second;
    }
    return std::nullopt;
}

namespace {

/// The lower, the better for work that is spread.
struct SpreadRank {
    bool avoidedDomain { false };
    double rackUsed { 0 };
    std::int64_t slotsTaken { 0 };

    auto tie() const { return std::tie(avoidedDomain, rackUsed, slotsTaken); }
};

} // namespace

static double rackUsed(const CoreState& state, const UpstreamRow& row)
{
    auto it = state.upstreams.racks.find({ row.description.domain, row.description.rack });
    if (it == state.upstreams.racks.end() || it->second.slots == 0)
        return 0;
    return static_cast<double>(it->second.reserved) / static_cast<double>(it->second.slots);
}

static std::optional<UpstreamId> findSpread(const CoreState& state, const PlacementRequest& request, TimePoint now)
{
    const auto& order = state.upstreams.byDeferredSlots;
    std::optional<UpstreamId> best;
    SpreadRank bestRank;
    for (auto it = order.lower_bound({ request.resources.slots, UpstreamId() }); it != order.end(); ++it) {
        const UpstreamRow& row = state.upstreams.at(it->second);
        SpreadRank rank { contains(request.avoidDomains, row.description.domain), rackUsed(state, row), row.reserved.slots };
        if ((best && !(rank < bestRank)) || !isSuitable(state, row, request, now))
            continue;
        best = it->second;
        bestRank = rank;
    }
    return best;
}

static std::optional<UpstreamId> findProbeTarget(const CoreState& state, const PlacementRequest& request, TimePoint now)
{
    for (const UpstreamId& id : state.upstreams.quarantined) {
        const UpstreamRow& row = state.upstreams.at(id);
        bool isDue = now >= row.probeAfter && row.reserved.slots == 0;
        if (isDue && hasRoom(state, row, request) && isInService(state, row, now) && !contains(request.avoid, id))
            return id;
    }
    return std::nullopt;
}

static std::optional<UpstreamId> findByPolicy(const CoreState& state, const PlacementRequest& request, TimePoint now)
{
    switch (request.kind) {
    case WorkKind::Urgent:
        return findEmptiest(state, request, now);
    case WorkKind::Batch:
        return findBestFit(state, request, now);
    case WorkKind::Gang:
    case WorkKind::Service:
        return findSpread(state, request, now);
    }
    return std::nullopt;
}

static RefusalReason reasonForNone(const CoreState& state, const PlacementRequest& request, TimePoint now)
{
    if (!isSessionValid(state, now))
        return RefusalReason::NotValid;
    return neverFits(state, request.kind, request.resources) ? RefusalReason::NeverFits : RefusalReason::Overloaded;
}

PlacementDecision placeTask(const CoreState& state, const PlacementRequest& request, TimePoint now)
{
    std::optional<UpstreamId> upstream;
    if (request.probe)
        upstream = findProbeTarget(state, request, now);
    if (!upstream)
        upstream = findByPolicy(state, request, now);
    if (!upstream)
        return { std::nullopt, reasonForNone(state, request, now) };
    return { upstream, RefusalReason::None };
}

bool neverFits(const CoreState& state, const Resources& resources)
{
    return neverFits(state, WorkKind::Urgent, resources);
}

bool neverFits(const CoreState& state, WorkKind kind, const Resources& resources)
{
    // An empty list says nothing about the cell's sizes.
    if (state.upstreams.capacities.empty())
        return false;
    for (const auto& [capacity, n] : state.upstreams.capacities) {
        Resources room = capacity;
        if (kind != WorkKind::Urgent)
            room.slots -= urgentHeadroom(state.configuration.current->defaults, capacity.slots);
        if (resources.fitsIn(room))
            return false;
    }
    return true;
}

} // namespace crocuslever
