#pragma once

#include "src/cell/CellState.h"

namespace crocuslever::cell {

// Best-effort tasks that disturb serving tasks on their upstream. The owner learns from polls which images do, slows
// best-effort runs beside a serving run that is over its target, and keeps known bad pairs apart.

/// Copies what pacing needs to know of the step.
void describeInterference(RunRow&, const StepSpec&);

/// Longest wait of a poll: shorter where serving and best-effort runs meet, as their readings must be recent.
Duration maxPollWait(const UpstreamRow&);

/// Learns from the runs that a poll has just listed, and decides their pace.
void updateInterference(CellState&, UpstreamRow&, const Instant& now, CellActions&);

/// True if a task of the step and a run on the upstream are a known bad pair.
bool wouldMeetBadPair(const InterferenceState&, const StepSpec&, const UpstreamRow&, TimePoint now);

/// Handles the answer to a pace order; ignores other tickets.
void handlePaceResult(CellState&, const OrderResult&, const Instant& now, CellActions&);

/// Sends pace orders.
void tickInterference(CellState&, const Instant& now, CellActions&);

} // namespace crocuslever::cell
