#pragma once

#include "crocuslever/Core.h"

namespace crocuslever {

/// Queues a change; its purpose's system learns the outcome.
void enqueueWrite(CoreState&, StoreTransaction, WritePurpose);
/// Sends the next transaction, or an unanswered one again.
void runStoreQueue(CoreState&, TimePoint now, Actions&);
void handleTransactionResult(CoreState&, const StoreTransactionResult&, const Instant& now, Actions&);

} // namespace crocuslever
