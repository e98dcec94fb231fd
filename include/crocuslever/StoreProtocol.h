#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "crocuslever/Comparable.h"
#include "crocuslever/Ids.h"
#include "crocuslever/Time.h"

namespace crocuslever {

/// A lease in the platform's key-value service; 0: no lease.
using LeaseId = std::int64_t;
/// Correlates a result with its command.
using Ticket = std::uint64_t;

struct StoreEntry {
    std::string key;
    std::string value;
    StoreRevision modRevision { 0 };

    auto tie() const { return std::tie(key, value, modRevision); }
};

/// True if the key's modification revision equals `modRevision`; 0: the key must not exist.
struct StoreCompare {
    std::string key;
    StoreRevision modRevision { 0 };

    auto tie() const { return std::tie(key, modRevision); }
};

/// True if the key has exactly this value.
struct StoreValueCompare {
    std::string key;
    std::string value;

    auto tie() const { return std::tie(key, value); }
};

struct StorePut {
    std::string key;
    std::string value;
    LeaseId lease { 0 }; ///< The key is deleted when this lease ends; 0: the key stays.

    auto tie() const { return std::tie(key, value, lease); }
};

// Commands from the core to the store.

/// Makes all changes atomically if all comparisons are true, and none otherwise. If one
/// is false, the keys of `readOnConflict` are read in the same step.
struct StoreTransaction {
    Ticket ticket { 0 };
    std::vector<StoreCompare> compares;
    std::vector<StoreValueCompare> valueCompares;
    std::vector<StorePut> puts;
    std::vector<std::string> deletes; ///< Single keys.
    std::vector<std::string> readOnConflict; ///< Single keys.
};

/// Reads every key that starts with `prefix`, in pages, at one revision.
struct StoreRange {
    Ticket ticket { 0 };
    std::string prefix;
};

/// Requests a new lease.
struct StoreLeaseGrant {
    Ticket ticket { 0 };
    std::int64_t ttlSeconds { 0 };
};

/// Renews a lease for its full time to live.
struct StoreLeaseKeepAlive {
    Ticket ticket { 0 };
    LeaseId lease { 0 };
};

/// Ends a lease at once, which deletes its keys. Not answered.
struct StoreLeaseRevoke {
    LeaseId lease { 0 };
};

/// Watches every key that starts with `prefix`, from `fromRevision` on. Replaces any
/// earlier watch: there is only one. The store edge reopens a broken watch, and reports
/// StoreWatchLost if events may have been missed.
struct StoreWatch {
    std::string prefix;
    StoreRevision fromRevision { 0 };
};

// Results from the store edge to the core.

enum class StoreOutcome {
    Committed, ///< The transaction took effect.
    Conflict, ///< A comparison was false; nothing was changed.
    Unknown, ///< No answer in time: it may have taken effect, or may still do so.
};

const char* toString(StoreOutcome);

struct StoreTransactionResult {
    Ticket ticket { 0 };
    StoreOutcome outcome { StoreOutcome::Unknown };
    StoreRevision revision { 0 }; ///< Revision of the change; only if committed.
    std::vector<StoreEntry> read; ///< The keys of `readOnConflict` that exist; only on a conflict.
};

struct StoreRangeResult {
    Ticket ticket { 0 };
    bool ok { false };
    StoreRevision revision { 0 }; ///< Revision at which all entries were read.
    std::vector<StoreEntry> entries;
};

struct StoreLeaseResult {
    Ticket ticket { 0 };
    bool ok { false }; ///< False: the store didn't answer, or returned an error.
    bool expired { false }; ///< The store reported that the lease no longer exists.
    LeaseId lease { 0 };
    TimePoint sentAt; ///< When the request was sent; the lease's validity counts from then.
};

/// Changes to watched keys.
struct StoreWatchEvents {
    StoreRevision revision { 0 };
    std::vector<StoreEntry> puts;
    std::vector<std::string> deletes;
};

/// Events may have been missed; all watched keys must be read again.
struct StoreWatchLost { };

} // namespace crocuslever
