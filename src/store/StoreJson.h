#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "crocuslever/Error.h"
#include "crocuslever/StoreProtocol.h"

namespace crocuslever {

// Request and response bodies of the key-value service, in the format of the etcd v3 JSON gateway:
// keys and values in base64, 64-bit numbers as strings, members with default values omitted.

/// Returns the exclusive end of the key range that starts with `prefix`; "\0" if it is unbounded.
std::string rangeEndOf(const std::string& prefix);

std::string encodeTransaction(const StoreTransaction&);
/// The outcome is Committed or Conflict; the ticket is 0 and set by the caller.
Result<StoreTransactionResult> decodeTransaction(const std::string& body);

/// Request for one page of a range.
struct RangePageRequest {
    std::string firstKey; ///< Inclusive.
    std::string rangeEnd; ///< Exclusive.
    StoreRevision revision { 0 }; ///< 0 reads the latest revision.
    int limit { 0 }; ///< Maximum number of keys.
};

struct RangePageResult {
    StoreRevision revision { 0 };
    std::vector<StoreEntry> entries;
    bool more { false }; ///< Keys remain after this page.
};

std::string encodeRange(const RangePageRequest&);
Result<RangePageResult> decodeRange(const std::string& body);

struct LeaseAnswer {
    LeaseId lease { 0 };
    std::int64_t ttlSeconds { 0 }; ///< 0 if the lease has expired.
};

std::string encodeLeaseGrant(std::int64_t ttlSeconds);
/// Encodes a keep-alive or revoke request.
std::string encodeLeaseRequest(LeaseId);
Result<LeaseAnswer> decodeLease(const std::string& body);

struct WatchAnswer {
    StoreRevision revision { 0 }; ///< The store's revision when it sent the answer.
    bool created { false }; ///< First answer of a watch.
    bool cancelled { false }; ///< The store has ended the watch.
    std::vector<StoreWatchEvents> events; ///< One per revision, in ascending order.
};

std::string encodeWatch(const StoreWatch&);
Result<WatchAnswer> decodeWatch(const std::string& line);

/// True if an error body carries the gRPC status NOT_FOUND, which means that the lease doesn't exist.
bool isLeaseNotFound(const std::string& body);

} // namespace crocuslever
