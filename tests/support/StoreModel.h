#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "crocuslever/Error.h"
#include "crocuslever/StoreProtocol.h"
#include "crocuslever/Time.h"

namespace crocuslever::testing {

/// A condition on a key's value, or on the revision of its last change.
struct ModelCompare {
    std::string key;
    std::optional<std::string> value; ///< Compared if set; otherwise modRevision is.
    StoreRevision modRevision { 0 }; ///< 0: the key doesn't exist.
};

enum class ModelOperationKind {
    Put,
    Delete,
    Range,
};

/// An operation on the keys in [key, rangeEnd). An empty `rangeEnd` means `key` alone, and a single
/// zero byte all keys from `key` on.
struct ModelOperation {
    ModelOperationKind kind { ModelOperationKind::Put };
    std::string key;
    std::string rangeEnd;
    std::string value; ///< Used by Put.
    LeaseId lease { 0 }; ///< Used by Put; 0: no lease.
    std::size_t limit { 0 }; ///< Most entries that Range returns; 0: no limit.
    StoreRevision revision { 0 }; ///< Revision that Range reads at; 0: the newest.
};

struct ModelOperationResult {
    ModelOperationKind kind { ModelOperationKind::Put };
    std::vector<StoreEntry> entries; ///< Result of Range.
    bool more { false }; ///< Range stopped at its limit.
    std::size_t deleted { 0 }; ///< Number of keys that Delete removed.
};

/// Executes `success` if all compares hold, else `failure`.
struct ModelTransaction {
    std::vector<ModelCompare> compares;
    std::vector<ModelOperation> success;
    std::vector<ModelOperation> failure;
};

struct ModelTransactionResult {
    StoreRevision revision { 0 };
    bool succeeded { false };
    std::vector<ModelOperationResult> results;
};

struct ModelChange {
    StoreEntry entry;
    bool deleted { false };
};

/// A model of the platform's key-value service, with revisions, transactions, leases and the history
/// that watches read. It has no clock: callers pass the time.
class StoreModel {
public:
    StoreRevision revision() const { return m_revision; }
    /// Revisions below this one can't be read any more.
    StoreRevision compactedRevision() const { return m_compacted; }

    /// Fails without a change if the service would refuse an operation.
    Result<ModelTransactionResult> transact(const ModelTransaction&);
    /// Fails if the revision is compacted or in the future.
    Result<ModelOperationResult> range(const ModelOperation&) const;

    LeaseId grantLease(std::int64_t ttlSeconds, TimePoint now);
    /// Renews a lease and returns its TTL in seconds; 0 if there is no such lease.
    std::int64_t keepLeaseAlive(LeaseId, TimePoint now);
    /// Ends a lease and deletes its keys; false if there is no such lease.
    bool revokeLease(LeaseId);
    /// Revokes all leases whose deadline has passed, and returns them.
    std::vector<LeaseId> expireLeases(TimePoint now);

    /// All changes to keys in [key, rangeEnd) from this revision on, in order.
    std::vector<ModelChange> changesSince(StoreRevision, const std::string& key, const std::string& rangeEnd) const;
    /// Drops versions and history that reads and watches from this revision on don't need.
    void compact(StoreRevision);

private:
    struct Version {
        StoreRevision revision { 0 };
        std::optional<std::string> value; ///< Empty: the key was deleted.
        LeaseId lease { 0 };
    };
    struct Lease {
        std::int64_t ttlSeconds { 0 };
        TimePoint deadline;
    };
    struct HistoryEntry {
        StoreRevision revision { 0 };
        std::string key;
    };
    using Keys = std::map<std::string, std::vector<Version>>;

    const Version* find(const std::string& key, StoreRevision) const;
    /// Whether the compare is true at the newest revision.
    bool holds(const ModelCompare&) const;
    /// The service's error message if it would refuse the operations; nothing if they are valid.
    std::optional<std::string> validate(const std::vector<ModelOperation>&) const;
    ModelOperationResult perform(const ModelOperation&, StoreRevision);
    std::size_t erase(const std::string& key, const std::string& rangeEnd, StoreRevision);
    void addVersion(const std::string& key, Version);
    std::vector<std::string> keysOf(LeaseId) const;

    StoreRevision m_revision { 1 };
    StoreRevision m_compacted { 0 };
    Keys m_keys; ///< The versions of each key since the compaction, oldest first.
    std::vector<HistoryEntry> m_history;
    std::map<LeaseId, Lease> m_leases;
    LeaseId m_nextLease { 1000 };
};

/// True if `key` is in [first, rangeEnd), with the special ends of ModelOperation.
bool isInRange(const std::string& key, const std::string& first, const std::string& rangeEnd);

} // namespace crocuslever::testing
