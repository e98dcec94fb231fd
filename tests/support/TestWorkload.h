#pragma once

#include <string>

#include "crocuslever/CallerProtocol.h"
#include "crocuslever/Configuration.h"

namespace crocuslever::testing {

// The team, configuration and requests that the tests of simulated cores share.

inline const TeamId kTeam("shopfloor");
inline const std::string kKey = "k1.secret";

/// A configuration with kTeam alone, which may run `upperLimit` tasks at a time.
Configuration makeConfiguration(std::uint64_t revision, int upperLimit);
/// A batch job with this idempotency id that runs for `sleepMs` ms.
JobSubmission makeJob(const std::string& id, bool idempotent, int sleepMs);
/// An idempotent urgent request that runs for `sleepMs` ms.
UrgentRequest makeUrgentRequest(int sleepMs);

} // namespace crocuslever::testing
