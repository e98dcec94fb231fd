#include "tests/emulator/EmulatedDeclarations.h"

namespace crocuslever::cell::testing {

static constexpr const char* kPolicyKey = "policy";
static const std::string kEvacuatedPrefix = "evacuated/";

std::optional<Declaration> EmulatedDeclarations::decode(const StoreEntry& entry) const
{
    if (entry.key != kPolicyKey)
        return EvacuatedDomain { entry.key.substr(kEvacuatedPrefix.size()) };
    std::shared_ptr<FleetPolicy> copy = std::make_shared<FleetPolicy>(policy);
    indexRoutes(*copy);
    return copy;
}

StoreReply EmulatedDeclarations::check(const ConfigurationCheck& call)
{
    if (policy.version != m_recordedVersion) {
        m_recordedVersion = policy.version;
        ++m_revision;
    }
    StoreReply reply;
    reply.ticket = call.ticket;
    reply.status = call.revision == m_revision ? StoreStatus::Ok : StoreStatus::Conflict;
    if (reply.status == StoreStatus::Conflict) {
        ++m_configurationsRead;
        reply.entries.push_back({ kPolicyKey, std::to_string(policy.version), m_revision });
    }
    return reply;
}

StoreReply EmulatedDeclarations::listEvacuations() const
{
    StoreReply reply;
    reply.revision = m_revision;
    for (const std::string& domain : evacuated)
        reply.entries.push_back({ kEvacuatedPrefix + domain, "", 0 });
    return reply;
}

} // namespace crocuslever::cell::testing
