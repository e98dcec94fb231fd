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

/// A comparison on a key's last change, or on its value.
struct ModelCompare {
    std::string key;
    std::optional<std::string> value; ///< If set, compares the value, else the revision.
    StoreRevision modRevision { 0 };
};

enum class ModelOperationKind {
    Put,
    Delete,
    Range,
};

/// `rangeEnd` empty means the single key.
struct ModelOperation {
    ModelOperationKind kind { ModelOperationKind::Put };
    std::string key;
    std::string rangeEnd;
    std::string value; ///< Put.
    LeaseId lease { 0 }; ///< Put.
    std::size_t limit { 0 }; ///< Range; 0: none.
    StoreRevision revision { 0 }; ///< Range; 0: the newest.
};

struct ModelOperationResult {
    ModelOperationKind kind { ModelOperationKind::Put };
    std::vector<StoreEntry> entries;
    bool more { false };
    std::size_t deleted { 0 };
};

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

/// The platform's key-value service as a plain value: revisions, transactions,
/// leases and the history that watches are served from. Time is an argument.
class StoreModel {
public:
    StoreRevision revision() const { return m_revision; }
    /// Everything below this revision is forgotten.
    StoreRevision compactedRevision() const { return m_compacted; }

    Result<ModelTransactionResult> transact(const ModelTransaction&);
    Result<ModelOperationResult> range(const ModelOperation&) const;

    LeaseId grantLease(std::int64_t ttlSeconds, TimePoint now);
    /// The seconds that the lease has again, or 0 if there is no such lease.
    std::int64_t keepLeaseAlive(LeaseId, TimePoint now);
    bool revokeLease(LeaseId);
    /// Ends every lease whose time is up, with its keys. Returns the leases.
    std::vector<LeaseId> expireLeases(TimePoint now);

    /// All changes from this revision on to keys in [key, rangeEnd), in order.
    std::vector<ModelChange> changesSince(StoreRevision, const std::string& key, const std::string& rangeEnd) const;
    void compact(StoreRevision);

private:
    struct Version {
        StoreRevision revision { 0 };
        std::optional<std::string> value; ///< None: deleted.
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
    bool holds(const ModelCompare&) const;
    std::optional<std::string> validate(const std::vector<ModelOperation>&) const;
    ModelOperationResult perform(const ModelOperation&, StoreRevision);
    std::size_t erase(const std::string& key, const std::string& rangeEnd, StoreRevision);
    void addVersion(const std::string& key, Version);
    std::vector<std::string> keysOf(LeaseId) const;

    StoreRevision m_revision { 1 };
    StoreRevision m_compacted { 0 };
    Keys m_keys; ///< Every version of every key, oldest first.
    std::vector<HistoryEntry> m_history;
    std::map<LeaseId, Lease> m_leases;
    LeaseId m_nextLease { 1000 };
};

/// True if `key` is in [first, rangeEnd); see ModelOperation.
bool isInRange(const std::string& key, const std::string& first, const std::string& rangeEnd);

} // namespace crocuslever::testing
