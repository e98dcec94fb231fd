#include "src/control/ConfigurationChanges.h"

#include <algorithm>
#include <openssl/rand.h>
#include <vector>

namespace crocuslever {

static Error makeError(ErrorCode code, const std::string& step, const std::string& message) { return { code, step, "", message }; }

static Result<std::string> randomHex(std::size_t bytes)
{
    static const char* const kDigits = "0123456789abcdef";
    std::vector<unsigned char> buf(bytes);
    if (RAND_bytes(buf.data(), static_cast<int>(buf.size())) != 1)
        return makeError(ErrorCode::Internal, "key.new", "the system's random number generator failed");
    std::string hex;
    for (unsigned char byte : buf) {
        hex += kDigits[byte >> 4];
        hex += kDigits[byte & 15];
    }
    return hex;
}

// Keys are sent in an HTTP header and their id ends at the first dot, so the id must contain neither
// dots nor characters that a header can't hold. Ids of keys for other team names start with "key".
static std::string keyIdPrefix(const TeamId& team)
{
    static const char* const kAllowedCharacters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
    bool isValid = team.value().find_first_not_of(kAllowedCharacters) == std::string::npos;
    return isValid ? team.value() : "key";
}

Result<NewKey> makeKey(const TeamId& team)
{
    constexpr std::size_t kIdBytes = 4;
    constexpr std::size_t kSaltBytes = 16;
    constexpr std::size_t kSecretBytes = 32;
    Result<std::string> id = randomHex(kIdBytes);
    Result<std::string> salt = randomHex(kSaltBytes);
    Result<std::string> secret = randomHex(kSecretBytes);
    if (id.has_error() || salt.has_error() || secret.has_error())
        return makeError(ErrorCode::Internal, "key.new", "the system's random number generator failed");
    NewKey key;
    key.hash = { keyIdPrefix(team) + "-" + id.value(), salt.value(), hashKeySecret(salt.value(), secret.value()) };
    key.text = key.hash.id + "." + secret.value();
    return key;
}

static Team* findTeam(Configuration& configuration, const TeamId& id)
{
    auto it = std::find_if(configuration.teams.begin(), configuration.teams.end(), [&](const Team& team) { return team.id == id; });
    return it == configuration.teams.end() ? nullptr : &*it;
}

Result<Configuration> addKey(Configuration configuration, const TeamId& id, const KeyHash& key)
{
    Team* team = findTeam(configuration, id);
    if (!team)
        return makeError(ErrorCode::NotFound, "key.new", "no team \"" + id.value() + "\" in the configuration");
    if (std::find(team->keys.begin(), team->keys.end(), key) == team->keys.end())
        team->keys.push_back(key);
    return configuration;
}

Result<Configuration> withdrawKey(Configuration configuration, const TeamId& id, const std::string& keyId, bool mayBeAbsent)
{
    Team* team = findTeam(configuration, id);
    if (!team && !mayBeAbsent)
        return makeError(ErrorCode::NotFound, "key.withdraw", "no team \"" + id.value() + "\" in the configuration");
    if (!team)
        return configuration;
    auto it = std::remove_if(team->keys.begin(), team->keys.end(), [&](const KeyHash& key) { return key.id == keyId; });
    if (it == team->keys.end() && !mayBeAbsent)
        return makeError(ErrorCode::NotFound, "key.withdraw", "team \"" + id.value() + "\" has no key \"" + keyId + "\"");
    team->keys.erase(it, team->keys.end());
    return configuration;
}

Result<Configuration> addDomainOutage(Configuration configuration, const FailureDomainId& domain, const std::string& reason)
{
    std::vector<DomainOutage>& out = configuration.domainsOut;
    auto it = std::find_if(out.begin(), out.end(), [&](const DomainOutage& outage) { return outage.domain == domain; });
    if (it == out.end())
        out.push_back({ domain, reason });
    else
        it->reason = reason;
    return configuration;
}

Result<Configuration> removeDomainOutage(Configuration configuration, const FailureDomainId& domain, bool mayBeAbsent)
{
    std::vector<DomainOutage>& out = configuration.domainsOut;
    auto it = std::remove_if(out.begin(), out.end(), [&](const DomainOutage& outage) { return outage.domain == domain; });
    if (it == out.end() && !mayBeAbsent)
        return makeError(ErrorCode::NotFound, "domain.in", "domain \"" + domain.value() + "\" is not out");
    out.erase(it, out.end());
    return configuration;
}

} // namespace crocuslever
