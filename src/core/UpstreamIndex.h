#pragma once

#include "crocuslever/Core.h"

namespace crocuslever {

// Indexes over the upstream table, so that neither a placement nor an idle tick
// looks at every upstream.

/// Slots that deferred work leaves free on an upstream with this many.
std::int64_t urgentHeadroom(const PolicyDefaults&, std::int64_t slots);

/// Brings the placement indexes up to date with the row's room and fence.
void indexUpstream(CoreState&, UpstreamRow&);
/// Replaces the row's description, which the indexes are keyed by.
void describeUpstream(CoreState&, UpstreamRow&, const UpstreamDescription&);
/// Brings every upstream up to date, after the headroom was changed.
void indexAllUpstreams(CoreState&);
/// Takes the row out of every index; it is about to be erased.
void unindexUpstream(CoreState&, UpstreamRow&);
/// The upstream needs a fence or sync at `at`, and not before.
void scheduleUpstream(CoreState&, UpstreamRow&, TimePoint at);
/// As scheduleUpstream, unless something is due sooner.
void hastenUpstream(CoreState&, UpstreamRow&, TimePoint at);
/// Counts a capacity in (+1) or out (-1) of the listed ones.
void countCapacity(CoreState&, const Resources& capacity, int n);

} // namespace crocuslever
