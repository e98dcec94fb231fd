#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "crocuslever/Error.h"
#include "crocuslever/StoreProtocol.h"

namespace crocuslever {

// Bodies of the key-value service's JSON gateway (the published etcd v3 one):
// keys and values in base64, 64-bit numbers as strings, defaults left out.

/// The end of the range of keys that start with `prefix`.
std::string rangeEndOf(const std::string& prefix);

std::string encodeTransaction(const StoreTransaction&);
/// The outcome is Committed or Conflict; the ticket is left 0.
Result<StoreTransactionResult> decodeTransaction(const std::string& body);

/// One page of a range.
struct RangePage {
    std::string firstKey;
    std::string rangeEnd;
    StoreRevision revision { 0 }; ///< 0: the newest.
    int limit { 0 };
};

struct RangePageResult {
    StoreRevision revision { 0 };
    std::vector<StoreEntry> entries;
    bool more { false };
};

std::string encodeRange(const RangePage&);
Result<RangePageResult> decodeRange(const std::string& body);

struct LeaseAnswer {
    LeaseId lease { 0 };
    std::int64_t ttlSeconds { 0 }; ///< 0: the lease is gone.
};

std::string encodeLeaseGrant(std::int64_t ttlSeconds);
/// For a renewal or an end.
std::string encodeLease(LeaseId);
Result<LeaseAnswer> decodeLease(const std::string& body);

struct WatchAnswer {
    StoreRevision revision { 0 }; ///< Of the store when it was sent.
    bool created { false };
    bool cancelled { false };
    std::vector<StoreWatchEvents> events; ///< One for each revision, rising.
};

std::string encodeWatch(const StoreWatch&);
Result<WatchAnswer> decodeWatch(const std::string& line);

/// True if an error answer says that the lease is gone.
bool saysLeaseNotFound(const std::string& body);

} // namespace crocuslever
