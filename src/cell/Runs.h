#pragma once

#include "src/cell/CellState.h"

namespace crocuslever::cell {

// Start and stop orders to upstreams, and the accounting of the room that runs hold
// until their end is confirmed.

/// Reserves room for a run and sends the start order.
void startRun(CellState&, UpstreamRow&, RunRow, const Instant& now, CellActions&);
/// Reserves room for a run that an upstream lists and this owner has not started.
void adoptRun(CellState&, UpstreamRow&, RunRow, const Instant& now);
/// Sends a stop order for a run, unless it is stopping already. Its room stays reserved until it has ended.
void stopRun(CellState&, UpstreamRow&, const std::string& task, const Instant& now, CellActions&);
/// Stops all runs of a job.
void stopRunsOf(CellState&, const std::string& job, const Instant& now, CellActions&);
/// Stops all runs of the gang that the task belongs to.
void stopGang(CellState&, const TaskKey&, const Instant& now, CellActions&);
/// Number of a run that starts now: above `latest`, and above all that earlier owners may have used.
int nextRunNumber(const CellState&, int latest);

/// Forgets a run and releases its room.
void removeRun(CellState&, UpstreamRow&, const std::string& task);
/// Removes a run and applies its end to the task's job.
void finishRun(CellState&, UpstreamRow&, const std::string& task, RunEnd, const std::string& checkpoint, const Instant& now, CellActions&);

void handleOrderResult(CellState&, const OrderResult&, const Instant& now, CellActions&);
/// Resends orders whose retry time has come.
void tickOrders(CellState&, const Instant& now, CellActions&);

} // namespace crocuslever::cell
