#pragma once

#include "crocuslever/Core.h"

namespace crocuslever {

// Indexes over the upstream table, so that neither a placement nor an idle tick has to
// visit every upstream.

/// Number of slots that deferred work may not use on an upstream with `slots` slots; rounded up.
std::int64_t urgentHeadroom(const PolicyDefaults&, std::int64_t slots);

/// Updates the placement indexes after a change of the row's reservations or fence.
void indexUpstream(CoreState&, UpstreamRow&);
/// Replaces the row's description and updates the indexes, whose keys depend on it.
void updateUpstreamDescription(CoreState&, UpstreamRow&, const UpstreamDescription&);
/// Updates the indexes for all upstreams, after a change of the headroom.
void indexAllUpstreams(CoreState&);
/// Removes the row from all indexes, before it is erased.
void unindexUpstream(CoreState&, UpstreamRow&);
/// Schedules the upstream's next fence or sync at `at`; replaces any earlier schedule.
void scheduleUpstream(CoreState&, UpstreamRow&, TimePoint at);
/// Schedules the upstream's next fence or sync at `at`, unless it is already due sooner.
void scheduleUpstreamBy(CoreState&, UpstreamRow&, TimePoint at);
/// Adds (n = 1) or removes (n = -1) one listed upstream of this capacity.
void adjustCapacityCount(CoreState&, const Resources& capacity, int n);

} // namespace crocuslever
