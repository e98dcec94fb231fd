#include "tests/emulator/EmulatedDeclarations.h"

namespace crocuslever::cell::testing {

static constexpr const char* kPolicyKey = "policy";
static const std::string kEvacuatedPrefix = "evacuated/";

std::vector<StoreEntry> EmulatedDeclarations::entries() const
{
    std::vector<StoreEntry> all { { kPolicyKey, std::to_string(policy.version), 0 } };
    for (const std::string& domain : evacuated)
        all.push_back({ kEvacuatedPrefix + domain, "", 0 });
    return all;
}

std::optional<Declaration> EmulatedDeclarations::decode(const StoreEntry& entry) const
{
    if (entry.key != kPolicyKey)
        return EvacuatedDomain { entry.key.substr(kEvacuatedPrefix.size()) };
    std::shared_ptr<FleetPolicy> copy = std::make_shared<FleetPolicy>(policy);
    indexRoutes(*copy);
    return copy;
}

void EmulatedDeclarations::recordChanges()
{
    std::map<std::string, StoreEntry> current;
    for (const StoreEntry& entry : entries())
        current[entry.key] = entry;
    for (const auto& [key, entry] : current) {
        auto it = m_recorded.find(key);
        if (it == m_recorded.end() || it->second.value != entry.value)
            m_changes.push_back({ ++m_revision, entry, false });
    }
    for (const auto& [key, entry] : m_recorded) {
        if (current.count(key) == 0)
            m_changes.push_back({ ++m_revision, entry, true });
    }
    m_recorded = std::move(current);
}

StoreReply EmulatedDeclarations::list()
{
    recordChanges();
    ++m_configurationsRead;
    StoreReply reply;
    reply.status = StoreStatus::Ok;
    reply.revision = m_revision;
    reply.entries = entries();
    return reply;
}

StoreReply EmulatedDeclarations::changesAfter(StoreRevision revision)
{
    recordChanges();
    StoreReply reply;
    reply.status = revision < m_historyStart ? StoreStatus::HistoryLost : StoreStatus::Ok;
    reply.revision = m_revision;
    if (m_isDeaf || reply.status != StoreStatus::Ok)
        return reply;
    for (const Change& change : m_changes) {
        if (change.revision <= revision)
            continue;
        m_configurationsRead += change.entry.key == kPolicyKey ? 1 : 0;
        if (change.isDeleted)
            reply.deleted.push_back(change.entry.key);
        else
            reply.entries.push_back(change.entry);
    }
    return reply;
}

void EmulatedDeclarations::forgetHistory()
{
    recordChanges();
    m_historyStart = m_revision;
    m_changes.clear();
}

} // namespace crocuslever::cell::testing
