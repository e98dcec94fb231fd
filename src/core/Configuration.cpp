#include "crocuslever/Configuration.h"

#include <algorithm>
#include <openssl/crypto.h>

#include "src/codec/Encoding.h"

namespace crocuslever {

const Team* Configuration::findTeam(const TeamId& id) const
{
    auto it = std::find_if(teams.begin(), teams.end(), [&](const Team& team) { return team.id == id; });
    return it == teams.end() ? nullptr : &*it;
}

bool Configuration::isDomainOut(const FailureDomainId& domain) const
{
    return std::any_of(domainsOut.begin(), domainsOut.end(), [&](const DomainOutage& out) { return out.domain == domain; });
}

static bool appliesTo(const PolicyException& exception, const TeamId& team, WorkKind kind)
{
    if (exception.team && *exception.team != team)
        return false;
    return !exception.kind || *exception.kind == kind;
}

static void applyException(PolicyDefaults& policy, const PolicyException& exception)
{
    policy.taskResources = exception.taskResources.value_or(policy.taskResources);
    policy.maximumAttempts = exception.maximumAttempts.value_or(policy.maximumAttempts);
    policy.urgentDeadline = exception.urgentDeadline.value_or(policy.urgentDeadline);
    policy.maximumQueuedJobs = exception.maximumQueuedJobs.value_or(policy.maximumQueuedJobs);
    policy.maximumBodyBytes = exception.maximumBodyBytes.value_or(policy.maximumBodyBytes);
}

PolicyDefaults effectivePolicy(const Configuration& configuration, const TeamId& team, WorkKind kind)
{
    PolicyDefaults policy = configuration.defaults;
    for (const PolicyException& exception : configuration.exceptions) {
        if (appliesTo(exception, team, kind))
            applyException(policy, exception);
    }
    return policy;
}

std::string hashKeySecret(const std::string& salt, const std::string& secret)
{
    return sha256Hex(salt + ":" + secret);
}

static bool equalInConstantTime(const std::string& a, const std::string& b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::optional<TeamId> authenticate(const Configuration& configuration, const std::string& key)
{
    std::size_t dot = key.find('.');
    if (dot == std::string::npos)
        return std::nullopt;
    std::string id = key.substr(0, dot);
    std::string secret = key.substr(dot + 1);
    for (const Team& team : configuration.teams) {
        for (const KeyHash& known : team.keys) {
            if (known.id == id && equalInConstantTime(known.hash, hashKeySecret(known.salt, secret)))
                return team.id;
        }
    }
    return std::nullopt;
}

} // namespace crocuslever
