#pragma once

#include <string>

#include "crocuslever/Configuration.h"
#include "crocuslever/Error.h"

namespace crocuslever {

/// A key just made. Only its hash is ever stored.
struct NewKey {
    std::string text; ///< "ID.SECRET", for the team.
    KeyHash hash;
};

/// From the system's random numbers.
Result<NewKey> makeKey(const TeamId&);

// Single changes. Each may be made twice with the effect of one.

Result<Configuration> addKey(Configuration, const TeamId&, const KeyHash&);
/// `mayBeGone`: a key that isn't there is no error.
Result<Configuration> withdrawKey(Configuration, const TeamId&, const std::string& keyId, bool mayBeAbsent);
/// A domain that is out already gets the new reason.
Result<Configuration> addDomainOutage(Configuration, const FailureDomainId&, const std::string& reason);
/// `mayBeIn`: a domain that isn't out is no error.
Result<Configuration> removeDomainOutage(Configuration, const FailureDomainId&, bool mayBeAbsent);

} // namespace crocuslever
