#pragma once

#include "src/cell/CellState.h"

namespace crocuslever::cell {

// Asynchronous calls to the store. Each continuation runs exactly once, with
// StoreStatus::NoAnswer if the store does not answer.

void readKey(CellState&, const std::string& key, StoreContinuation, CellActions&);
void listKeys(CellState&, const std::string& prefix, StoreContinuation, CellActions&);
/// Reads all entries of a listing; use listKeys() for OwnKeys.
void readListing(CellState&, Listing, StoreContinuation, CellActions&);
/// Asks whether the configuration last changed at the revision; see ConfigurationCheck.
void checkConfiguration(CellState&, StoreRevision, StoreContinuation, CellActions&);
/// Applies the change if all its conditions hold; else the status is Conflict.
void sendChange(CellState&, StoreChange, StoreContinuation, CellActions&);
/// Waits up to `wait` for changes below `prefix` after the revision. Returns the ticket of the call.
Ticket awaitChanges(CellState&, const std::string& prefix, StoreRevision, Duration wait, StoreContinuation, CellActions&);
/// Advances the position after a successful answer to a wait.
void advanceWatch(WatchPosition&, const StoreReply&, TimePoint now);
void grantLease(CellState&, Duration timeToLive, StoreContinuation, CellActions&);
void renewLease(CellState&, LeaseId, StoreContinuation, CellActions&);

/// Runs the continuation of the call that the reply belongs to.
void completeStoreCall(CellState&, const StoreReply&, const Instant& now, CellActions&);
/// Updates the reachability of the store from a direct reply, then completes the call.
void handleStoreReply(CellState&, const StoreReply&, const Instant& now, CellActions&);

/// False after several consecutive store calls were refused or got no answer.
bool isStoreReachable(const CellState&);

/// Appends a log line. `peer` and `job` may be empty.
void logMessage(CellActions&, LogLevel, const std::string& step, const std::string& peer, const std::string& job, const std::string& message);

/// A pseudo-random number below `n` from the seed in the state; 0 if `n` is 0.
std::uint64_t randomBelow(CellState&, std::uint64_t n);

} // namespace crocuslever::cell
