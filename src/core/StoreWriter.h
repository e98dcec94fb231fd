#pragma once

#include "crocuslever/Core.h"

namespace crocuslever {

/// Queues a transaction. The handler of its purpose is called with the outcome.
void enqueueWrite(CoreState&, StoreTransaction, WritePurpose);
/// Sends the next queued transaction, or resends the one whose outcome is unknown. At most one is
/// in flight.
void runStoreQueue(CoreState&, TimePoint now, Actions&);
/// Applies the store's answer to the transaction in flight; other answers are counted and ignored.
void handleTransactionResult(CoreState&, const StoreTransactionResult&, const Instant& now, Actions&);

} // namespace crocuslever
