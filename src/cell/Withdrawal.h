#pragma once

#include "src/cell/CellState.h"

namespace crocuslever::cell {

// A cancellation may overtake the submission of its job: in an instance that is paused, or in a store that carries a change out
// late. It then leaves a withdrawal under the key of the job's end, which each submission requires to be absent. Withdrawals
// are attached to leases that nobody renews, so that they go away by themselves.

/// Stores a withdrawal unless the job is stored or has ended, which the status Conflict says. Any other status but Ok: to be
/// tried again.
void storeWithdrawal(CellState&, const std::string& jobId, const Instant& now, const StoreContinuation&, CellActions&);
/// True if the reply shows that the job was withdrawn.
bool isWithdrawn(const StoreReply&, const std::string& jobId);

} // namespace crocuslever::cell
