#include "tests/support/StoreModel.h"

#include <algorithm>
#include <set>
#include <utility>

namespace crocuslever::testing {

// The real service refuses transactions with more compares or operations.
static constexpr std::size_t kMaximumOperations = 128;

static Error makeError(ErrorCode code, const std::string& message)
{
    return Error { code, "store.model", "", message };
}

bool isInRange(const std::string& key, const std::string& first, const std::string& rangeEnd)
{
    if (rangeEnd.empty())
        return key == first;
    static const std::string kUnboundedEnd(1, '\0');
    return key >= first && (rangeEnd == kUnboundedEnd || key < rangeEnd);
}

const StoreModel::Version* StoreModel::find(const std::string& key, StoreRevision revision) const
{
    auto it = m_keys.find(key);
    if (it == m_keys.end())
        return nullptr;
    const Version* found = nullptr;
    for (const Version& version : it->second) {
        if (version.revision <= revision)
            found = &version;
    }
    return found && found->value ? found : nullptr;
}

bool StoreModel::holds(const ModelCompare& compare) const
{
    const Version* version = find(compare.key, m_revision);
    if (compare.value)
        return version && version->value == compare.value;
    return (version ? version->revision : 0) == compare.modRevision;
}

std::optional<std::string> StoreModel::validate(const std::vector<ModelOperation>& operations) const
{
    std::set<std::string> changed;
    if (operations.size() > kMaximumOperations)
        return "etcdserver: too many operations in txn request";
    for (const ModelOperation& operation : operations) {
        if (operation.kind == ModelOperationKind::Range)
            continue;
        if (!changed.insert(operation.key).second)
            return "etcdserver: duplicate key given in txn request";
        if (operation.lease != 0 && m_leases.count(operation.lease) == 0)
            return "etcdserver: requested lease not found";
    }
    return std::nullopt;
}

Result<ModelTransactionResult> StoreModel::transact(const ModelTransaction& transaction)
{
    bool succeeded = std::all_of(transaction.compares.begin(), transaction.compares.end(),
        [this](const ModelCompare& compare) { return holds(compare); });
    const std::vector<ModelOperation>& operations = succeeded ? transaction.success : transaction.failure;
    std::optional<std::string> problem = validate(operations);
    if (!problem && transaction.compares.size() > kMaximumOperations)
        problem = "etcdserver: too many operations in txn request";
    if (problem)
        return makeError(ErrorCode::InvalidInput, *problem);
    ModelTransactionResult result;
    result.succeeded = succeeded;
    StoreRevision next = m_revision + 1;
    for (const ModelOperation& operation : operations)
        result.results.push_back(perform(operation, next));
    result.revision = m_revision;
    return result;
}

ModelOperationResult StoreModel::perform(const ModelOperation& operation, StoreRevision next)
{
    ModelOperationResult result;
    result.kind = operation.kind;
    switch (operation.kind) {
    case ModelOperationKind::Put:
        addVersion(operation.key, { next, operation.value, operation.lease });
        break;
    case ModelOperationKind::Delete:
        result.deleted = erase(operation.key, operation.rangeEnd, next);
        break;
    case ModelOperationKind::Range:
        if (Result<ModelOperationResult> read = range(operation))
            return read.value();
        break;
    }
    return result;
}

std::size_t StoreModel::erase(const std::string& key, const std::string& rangeEnd, StoreRevision next)
{
    std::vector<std::string> keys;
    for (const auto& [name, versions] : m_keys) {
        if (isInRange(name, key, rangeEnd) && versions.back().value)
            keys.push_back(name);
    }
    for (const std::string& name : keys)
        addVersion(name, { next, std::nullopt, 0 });
    return keys.size();
}

void StoreModel::addVersion(const std::string& key, Version version)
{
    m_revision = version.revision;
    m_history.push_back({ version.revision, key });
    m_keys[key].push_back(std::move(version));
}

Result<ModelOperationResult> StoreModel::range(const ModelOperation& operation) const
{
    StoreRevision at = operation.revision == 0 ? m_revision : operation.revision;
    if (at > m_revision)
        return makeError(ErrorCode::InvalidInput, "etcdserver: mvcc: required revision is a future revision");
    if (at < m_compacted)
        return makeError(ErrorCode::InvalidInput, "etcdserver: mvcc: required revision has been compacted");
    ModelOperationResult result;
    result.kind = ModelOperationKind::Range;
    for (auto it = m_keys.lower_bound(operation.key); it != m_keys.end() && isInRange(it->first, operation.key, operation.rangeEnd); ++it) {
        const Version* version = find(it->first, at);
        if (!version)
            continue;
        if (operation.limit != 0 && result.entries.size() == operation.limit) {
            result.more = true;
            break;
        }
        result.entries.push_back({ it->first, *version->value, version->revision });
    }
    return result;
}

LeaseId StoreModel::grantLease(std::int64_t ttlSeconds, TimePoint now)
{
    LeaseId id = m_nextLease++;
    m_leases[id] = { ttlSeconds, now + std::chrono::seconds(ttlSeconds) };
    return id;
}

std::int64_t StoreModel::keepLeaseAlive(LeaseId id, TimePoint now)
{
    expireLeases(now);
    auto it = m_leases.find(id);
    if (it == m_leases.end())
        return 0;
    it->second.deadline = now + std::chrono::seconds(it->second.ttlSeconds);
    return it->second.ttlSeconds;
}

std::vector<std::string> StoreModel::keysOf(LeaseId id) const
{
    std::vector<std::string> keys;
    for (const auto& [key, versions] : m_keys) {
        if (versions.back().value && versions.back().lease == id)
            keys.push_back(key);
    }
    return keys;
}

bool StoreModel::revokeLease(LeaseId id)
{
    if (m_leases.erase(id) == 0)
        return false;
    StoreRevision next = m_revision + 1;
    for (const std::string& key : keysOf(id))
        addVersion(key, { next, std::nullopt, 0 });
    return true;
}

std::vector<LeaseId> StoreModel::expireLeases(TimePoint now)
{
    std::vector<LeaseId> expired;
    for (const auto& [id, lease] : m_leases) {
        if (lease.deadline <= now)
            expired.push_back(id);
    }
    for (LeaseId id : expired)
        revokeLease(id);
    return expired;
}

std::vector<ModelChange> StoreModel::changesSince(StoreRevision first, const std::string& key, const std::string& rangeEnd) const
{
    std::vector<ModelChange> changes;
    auto isBefore = [](const HistoryEntry& entry, StoreRevision revision) { return entry.revision < revision; };
    for (auto it = std::lower_bound(m_history.begin(), m_history.end(), first, isBefore); it != m_history.end(); ++it) {
        if (!isInRange(it->key, key, rangeEnd))
            continue;
        const Version* version = find(it->key, it->revision);
        StoreEntry entry { it->key, version ? *version->value : "", it->revision };
        changes.push_back({ std::move(entry), version == nullptr });
    }
    return changes;
}

void StoreModel::compact(StoreRevision revision)
{
    m_compacted = std::min(revision, m_revision);
    for (auto it = m_keys.begin(); it != m_keys.end();) {
        std::vector<Version>& versions = it->second;
        // Keeps the newest version at or below the revision, since reads at the revision return it.
        while (versions.size() > 1 && versions[1].revision <= m_compacted)
            versions.erase(versions.begin());
        bool isGone = versions.size() == 1 && !versions[0].value && versions[0].revision <= m_compacted;
        it = isGone ? m_keys.erase(it) : std::next(it);
    }
    auto isOld = [this](const HistoryEntry& entry) { return entry.revision < m_compacted; };
    m_history.erase(std::remove_if(m_history.begin(), m_history.end(), isOld), m_history.end());
}

} // namespace crocuslever::testing
