#pragma once

#include "src/cell/CellState.h"

namespace crocuslever::cell {

/// Takes over a full reading of the job queue.
void applyQueue(CellState&, const StoreReply&, const Instant& now, CellActions&);
/// Watches the queue for jobs and cancellations.
void watchQueue(CellState&, const Instant& now, CellActions&);

/// Notice from an instance that it has stored a job or a cancellation.
struct QueueNotice {
    StoreEntry entry;
    std::int64_t token { 0 }; ///< Fencing token of the owner that it is addressed to.
    std::int64_t sentMs { 0 }; ///< Unix time.
};

/// Applies a notice before the queue watch delivers the entry. Stale notices are ignored.
void handleQueueNotice(CellState&, const QueueNotice&, const Instant& now, CellActions&);

} // namespace crocuslever::cell
