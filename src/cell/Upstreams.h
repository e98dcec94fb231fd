#pragma once

#include "src/cell/CellState.h"

namespace crocuslever::cell {

// The owner's view of the upstreams: which there are, what runs on each, and
// for how long. An upstream's own lists are the truth; everything that may run
// takes room here until its end is certain.

/// Reads the directory, looks at each upstream, and repeats orders without an answer.
void tickUpstreams(CellState&, const Instant& now, CellActions&);

void handleDirectory(CellState&, const StoreReply&, const Instant& now, CellActions&);
void handlePoll(CellState&, const LookResult&, const Instant& now, CellActions&);

/// Adds an upstream that a predecessor may have placed work on.
void addEarlierUpstream(CellState&, const UpstreamTarget&, TimePoint now);

UpstreamTarget targetOf(const UpstreamRow&);

/// True if new work may go there, room aside.
bool acceptsWork(const CellState&, const UpstreamRow&, TimePoint now);

/// Where its clock will be at the end of a run lease given now; 0 if its clock isn't known.
std::int64_t leaseUntil(const CellState&, const UpstreamRow&, TimePoint now);
/// Remembers that a lease until then was sent.
void extendLease(UpstreamRow&, std::int64_t untilMs);

/// What a task of the step takes of an upstream's room and its team's limit.
Resources amountOf(const StepSpec&);

} // namespace crocuslever::cell
