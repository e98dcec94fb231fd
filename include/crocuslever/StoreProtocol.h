#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "crocuslever/Comparable.h"
#include "crocuslever/Ids.h"
#include "crocuslever/Time.h"

namespace crocuslever {

/// A lease in the platform's key-value service; 0 is none.
using LeaseId = std::int64_t;
/// Matches a result with the command that asked for it.
using Ticket = std::uint64_t;

struct StoreEntry {
    std::string key;
    std::string value;
    StoreRevision modRevision { 0 };

    auto tie() const { return std::tie(key, value, modRevision); }
};

/// Holds when the key was last modified at just this revision; 0: doesn't exist.
struct StoreCompare {
    std::string key;
    StoreRevision modRevision { 0 };

    auto tie() const { return std::tie(key, modRevision); }
};

/// Holds when the key has just this value.
struct StoreValueCompare {
    std::string key;
    std::string value;

    auto tie() const { return std::tie(key, value); }
};

struct StorePut {
    std::string key;
    std::string value;
    LeaseId lease { 0 }; ///< The key is deleted when this lease ends.

    auto tie() const { return std::tie(key, value, lease); }
};

// Commands: what the core asks of the store.

/// All comparisons hold and all changes are made, or nothing is changed. On a
/// failed comparison `readOnConflict` is read in the same step.
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

struct StoreLeaseGrant {
    Ticket ticket { 0 };
    std::int64_t ttlSeconds { 0 };
};

struct StoreLeaseKeepAlive {
    Ticket ticket { 0 };
    LeaseId lease { 0 };
};

struct StoreLeaseRevoke {
    LeaseId lease { 0 };
};

/// Keeps one watch on every key that starts with `prefix`, from `fromRevision`
/// on; replaces an earlier watch. The edge opens it anew after a break, and
/// reports StoreWatchLost where events may have been missed.
struct StoreWatch {
    std::string prefix;
    StoreRevision fromRevision { 0 };
};

// Results: what the store edge reports to the core.

enum class StoreOutcome {
    Committed, ///< Known to have taken effect.
    Conflict, ///< Known not to have: a comparison failed.
    Unknown, ///< No answer, or none in time: it may take effect, even later.
};

const char* toString(StoreOutcome);

struct StoreTransactionResult {
    Ticket ticket { 0 };
    StoreOutcome outcome { StoreOutcome::Unknown };
    StoreRevision revision { 0 }; ///< Of the change, when committed.
    std::vector<StoreEntry> read; ///< Of `readOnConflict`: those keys that exist.
};

struct StoreRangeResult {
    Ticket ticket { 0 };
    bool ok { false };
    StoreRevision revision { 0 }; ///< The one at which it was read.
    std::vector<StoreEntry> entries;
};

struct StoreLeaseResult {
    Ticket ticket { 0 };
    bool ok { false }; ///< False: no answer, or an error.
    bool expired { false }; ///< The store says that the lease is gone.
    LeaseId lease { 0 };
    TimePoint sentAt; ///< When the request left; validity counts from here.
};

struct StoreWatchEvents {
    StoreRevision revision { 0 };
    std::vector<StoreEntry> puts;
    std::vector<std::string> deletes;
};

/// Events may have been missed: read all anew.
struct StoreWatchLost { };

} // namespace crocuslever
