#pragma once

#include "src/cell/CellState.h"

namespace crocuslever::cell {

// Orders to upstreams, and the room that each run takes until its end is certain.

/// Orders the start of a run; takes its room.
void startRun(CellState&, UpstreamRow&, RunRow, const Instant& now, CellActions&);
/// Takes room for a run that an upstream lists.
void adoptRun(CellState&, UpstreamRow&, RunRow, const Instant& now);
/// Orders the stop of a run; its room stays taken.
void stopRun(CellState&, UpstreamRow&, const std::string& task, const Instant& now, CellActions&);
/// Stops all runs of a job.
void stopRunsOf(CellState&, const std::string& job, const Instant& now, CellActions&);
/// Stops all members of a gang.
void stopGang(CellState&, const TaskKey&, const Instant& now, CellActions&);
/// Gives the room back.
void removeRun(CellState&, UpstreamRow&, const std::string& task);
/// The same, and tells the task's job how the run ended.
void finishRun(CellState&, UpstreamRow&, const std::string& task, RunEnd, const std::string& checkpoint, const Instant& now, CellActions&);

void handleOrderResult(CellState&, const OrderResult&, const Instant& now, CellActions&);
/// Repeats orders that weren't answered.
void tickOrders(CellState&, const Instant& now, CellActions&);

} // namespace crocuslever::cell
