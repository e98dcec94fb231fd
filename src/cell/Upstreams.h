#pragma once

#include "src/cell/CellState.h"

namespace crocuslever::cell {

// The owner's view of the upstreams, their runs and the run leases. An upstream's
// own listing is authoritative; a run that may exist holds room here until its
// end is confirmed.

/// Keeps the directory current, polls each upstream, and ends runs whose leases have expired.
void tickUpstreams(CellState&, const Instant& now, CellActions&);

void handlePoll(CellState&, const PollResult&, const Instant& now, CellActions&);

UpstreamTarget targetOf(const UpstreamRow&);

/// True if the directory entry is that of the present incarnation. Service, labels, place, capacity and draining are known
/// from it alone.
bool isDescribed(const UpstreamRow&);
/// True if neither the directory nor the operators keep new runs off the upstream.
bool isOpen(const CellState&, const UpstreamRow&);
/// True if this owner may start tasks now: it may issue orders, and what it knows of the upstreams and the
/// declarations is recent enough.
bool mayStartTasks(const CellState&, TimePoint now);
/// True if new runs may be placed on the upstream. Ignores room.
bool acceptsWork(const CellState&, const UpstreamRow&, TimePoint now);

/// When a run lease given at `from` has certainly expired, even if the upstream's clock is slow.
TimePoint leaseEndAfter(TimePoint from, Duration lease);
/// Expiry of a run lease given now, in ms on the upstream's clock; 0 if that clock is not known.
std::int64_t leaseUntil(const CellState&, const UpstreamRow&, TimePoint now);
/// Records that a lease until `untilMs` on the upstream's clock was sent.
void extendLease(UpstreamRow&, std::int64_t untilMs);

/// Resources that a task of the step is charged on its upstream and against its team's limit.
Resources amountOf(const StepSpec&);

} // namespace crocuslever::cell
