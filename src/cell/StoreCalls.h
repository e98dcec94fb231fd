#pragma once

#include "src/cell/CellState.h"

namespace crocuslever::cell {

// Sends a call to the store and remembers what to do with the reply. Every
// call is answered in the end, with NoAnswer if the store says nothing.

void readKey(CellState&, const std::string& key, StoreContinuation, CellActions&);
void listKeys(CellState&, const std::string& prefix, StoreContinuation, CellActions&);
void readListing(CellState&, Listing, StoreContinuation, CellActions&);
void sendChange(CellState&, StoreChange, StoreContinuation, CellActions&);
Ticket awaitChanges(CellState&, const std::string& prefix, StoreRevision, Duration wait, StoreContinuation, CellActions&);
void grantLease(CellState&, Duration timeToLive, StoreContinuation, CellActions&);
void renewLease(CellState&, LeaseId, StoreContinuation, CellActions&);

/// Hands a reply to whoever asked.
void completeStoreCall(CellState&, const StoreReply&, const Instant& now, CellActions&);
/// The same, and judges by it whether the store can be reached.
void handleStoreReply(CellState&, const StoreReply&, const Instant& now, CellActions&);

/// True while recent calls to the store were answered.
bool isStoreReachable(const CellState&);

/// A line for the log. `job` may be empty.
void logMessage(CellActions&, LogLevel, const std::string& step, const std::string& peer, const std::string& job, const std::string& message);

/// A random number below `n`, from the state's seed.
std::uint64_t randomBelow(CellState&, std::uint64_t n);

} // namespace crocuslever::cell
