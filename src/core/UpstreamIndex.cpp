// Each row stores the keys under which it is indexed, so that its index entries can be
// removed after the values that they were computed from have changed.

#include "src/core/UpstreamIndex.h"

namespace crocuslever {

std::int64_t urgentHeadroom(const PolicyDefaults& policy, std::int64_t slots)
{
    constexpr std::int64_t kWholePercent = 100;
    return (slots * policy.urgentHeadroomPercent + kWholePercent - 1) / kWholePercent;
}

static std::int64_t inMillionths(std::int64_t part, std::int64_t whole)
{
    constexpr std::int64_t kMillionths = 1000000;
    return whole > 0 ? part * kMillionths / whole : 0;
}

/// Adds the row to its rack's usage (n = 1) or removes it (n = -1).
static void updateRackUsage(CoreState& state, const UpstreamRow& row, int n)
{
    const UpstreamDescription& description = row.description;
    std::set<std::pair<std::int64_t, RackId>>& order = state.upstreams.racksByUse[description.domain];
    RackUsage& rack = state.upstreams.racks[{ description.domain, description.rack }];
    order.erase({ rack.usedFraction, description.rack });
    rack.reserved += n * row.indexedReserved;
    rack.slots += n * row.indexedSlots;
    rack.usedFraction = inMillionths(rack.reserved, rack.slots);
    if (n > 0)
        rack.byDeferredSlots.emplace(row.deferredSlots, description.id);
    else
        rack.byDeferredSlots.erase({ row.deferredSlots, description.id });
    if (rack.byDeferredSlots.empty())
        state.upstreams.racks.erase({ description.domain, description.rack });
    else
        order.emplace(rack.usedFraction, description.rack);
    if (order.empty())
        state.upstreams.racksByUse.erase(description.domain);
}

static void removeFromIndexes(CoreState& state, UpstreamRow& row)
{
    if (!row.indexed)
        return;
    state.upstreams.byFreeFraction.erase({ row.freeFraction, row.description.id });
    state.upstreams.byDeferredSlots.erase({ row.deferredSlots, row.description.id });
    updateRackUsage(state, row, -1);
    row.indexed = false;
}

static void addToIndexes(CoreState& state, UpstreamRow& row)
{
    std::int64_t slots = row.description.capacity.slots;
    std::int64_t n = slots - row.reserved.slots;
    row.freeFraction = inMillionths(n, slots);
    row.deferredSlots = n - urgentHeadroom(state.configuration.current->defaults, slots);
    row.indexedReserved = row.reserved.slots;
    row.indexedSlots = slots;
    state.upstreams.byFreeFraction.emplace(row.freeFraction, row.description.id);
    state.upstreams.byDeferredSlots.emplace(row.deferredSlots, row.description.id);
    updateRackUsage(state, row, 1);
    row.indexed = true;
}

void indexUpstream(CoreState& state, UpstreamRow& row)
{
    removeFromIndexes(state, row);
    if (row.fenced)
        addToIndexes(state, row);
}

void updateUpstreamDescription(CoreState& state, UpstreamRow& row, const UpstreamDescription& description)
{
    removeFromIndexes(state, row);
    row.description = description;
    indexUpstream(state, row);
}

void indexAllUpstreams(CoreState& state)
{
    for (auto& [id, row] : state.upstreams) {
        if (row.indexed)
            indexUpstream(state, row);
    }
}

void unindexUpstream(CoreState& state, UpstreamRow& row)
{
    removeFromIndexes(state, row);
    state.upstreams.due.erase({ row.dueAt, row.description.id });
    state.upstreams.byShard[row.shard].erase(row.description.id);
    state.upstreams.quarantined.erase(row.description.id);
}

void scheduleUpstream(CoreState& state, UpstreamRow& row, TimePoint at)
{
    state.upstreams.due.erase({ row.dueAt, row.description.id });
    row.dueAt = at;
    state.upstreams.due.emplace(at, row.description.id);
}

void scheduleUpstreamBy(CoreState& state, UpstreamRow& row, TimePoint at)
{
    bool isDue = state.upstreams.due.count({ row.dueAt, row.description.id }) != 0;
    if (!isDue || row.dueAt > at)
        scheduleUpstream(state, row, at);
}

void adjustCapacityCount(CoreState& state, const Resources& capacity, int n)
{
    int& count = state.upstreams.capacities[capacity];
    count += n;
    if (count == 0)
        state.upstreams.capacities.erase(capacity);
}

} // namespace crocuslever
