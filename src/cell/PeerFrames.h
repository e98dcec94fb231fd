#pragma once

#include "src/cell/CellState.h"

namespace crocuslever::cell {

// What frames between instances say of the processes that send and receive them. An address outlasts the process that
// listens on it: frames that wait for a process may reach the next one there.

/// The process to address at `address`: the one that was heard there last. 0: none was heard lately.
ProcessId processAt(const CellState&, const std::string& address);
/// Takes in that a message of the process has come from the address.
void noteProcess(CellState&, const std::string& address, ProcessId, TimePoint now);
/// Forgets the process at the address, which is being replaced by another one.
void forgetProcess(CellState&, const std::string& address);

/// Joins the frames for one process among the actions, which leave now, and names the processes in each.
void finishFrames(const CellState&, CellActions&);
/// Finishes the frames that leave at the end of this turn.
void tickFrames(CellState&, const Instant& now, CellActions&);

} // namespace crocuslever::cell
