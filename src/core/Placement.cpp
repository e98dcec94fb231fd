// Each kind of work has its own placement policy. Every policy walks an index in its order
// of preference and checks each row itself, so that an outdated index can make a placement
// less than ideal but never overcommits an upstream.

#include "src/core/Placement.h"

#include <algorithm>

#include "src/core/Guards.h"
#include "src/core/Session.h"
#include "src/core/UpstreamIndex.h"
#include "src/core/UpstreamLifecycle.h"

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
    return request.resources.fitsIn(room) || !isEnabled(Guard::RoomCheck);
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

/// The emptiest suitable upstream of the rack.
static std::optional<UpstreamId> findInRack(const CoreState& state, const RackUsage& rack, const PlacementRequest& request, TimePoint now)
{
    const auto& order = rack.byDeferredSlots;
    for (auto it = order.rbegin(); it != order.rend() && it->first >= request.resources.slots; ++it) {
        if (isSuitable(state, state.upstreams.at(it->second), request, now))
            return it->second;
    }
    return std::nullopt;
}

namespace {

/// The best upstream of one failure domain.
struct SpreadChoice {
    UpstreamId upstream;
    std::int64_t rackUsed { 0 }; ///< Used fraction of its rack, in millionths.
};

} // namespace

static std::optional<SpreadChoice> findInDomain(const CoreState& state, const FailureDomainId& domain, const PlacementRequest& request, TimePoint now)
{
    for (const auto& [used, rack] : state.upstreams.racksByUse.at(domain)) {
        std::optional<UpstreamId> found = findInRack(state, state.upstreams.racks.at({ domain, rack }), request, now);
        if (found)
            return SpreadChoice { *found, used };
    }
    return std::nullopt;
}

/// An upstream in the least used rack with room, among the domains to avoid or among the others.
static std::optional<UpstreamId> findSpread(const CoreState& state, const PlacementRequest& request, bool inAvoided, TimePoint now)
{
    std::optional<SpreadChoice> best;
    for (const auto& [domain, racks] : state.upstreams.racksByUse) {
        if (contains(request.avoidDomains, domain) != inAvoided)
            continue;
        std::optional<SpreadChoice> choice = findInDomain(state, domain, request, now);
        if (choice && (!best || choice->rackUsed < best->rackUsed))
            best = choice;
    }
    return best ? std::optional<UpstreamId>(best->upstream) : std::nullopt;
}

static std::optional<UpstreamId> findSpread(const CoreState& state, const PlacementRequest& request, TimePoint now)
{
    std::optional<UpstreamId> preferred = findSpread(state, request, false, now);
    return preferred ? preferred : findSpread(state, request, true, now);
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

static RefusalReason refusalReason(const CoreState& state, const PlacementRequest& request, TimePoint now)
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
        return { std::nullopt, refusalReason(state, request, now) };
    return { upstream, RefusalReason::None };
}

bool neverFits(const CoreState& state, const Resources& resources)
{
    return neverFits(state, WorkKind::Urgent, resources);
}

bool neverFits(const CoreState& state, WorkKind kind, const Resources& resources)
{
    // Without any listed upstream, the sizes in the cell are unknown.
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
