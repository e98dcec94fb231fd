#pragma once

#include <string>

#include "crocuslever/Configuration.h"
#include "crocuslever/Error.h"

namespace crocuslever {

/// A newly generated key. Only its hash is stored.
struct NewKey {
    std::string text; ///< "ID.SECRET", to be given to the team.
    KeyHash hash;
};

/// Generates a key. Internal if the system provides no random numbers.
Result<NewKey> makeKey(const TeamId&);

// Changes of a configuration. Each is idempotent.

/// NotFound if there is no such team.
Result<Configuration> addKey(Configuration, const TeamId&, const KeyHash&);
/// NotFound if the team or the key is missing, unless `mayBeAbsent`.
Result<Configuration> withdrawKey(Configuration, const TeamId&, const std::string& keyId, bool mayBeAbsent);
/// Takes a failure domain out of service; one that is out already gets the new reason.
Result<Configuration> addDomainOutage(Configuration, const FailureDomainId&, const std::string& reason);
/// Returns a failure domain to service. NotFound if it is not out, unless `mayBeAbsent`.
Result<Configuration> removeDomainOutage(Configuration, const FailureDomainId&, bool mayBeAbsent);

} // namespace crocuslever
