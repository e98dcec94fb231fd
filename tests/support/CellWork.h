#pragma once

#include <string>

#include "crocuslever/CallerProtocol.h"
#include "crocuslever/Configuration.h"

namespace crocuslever::testing {

// The one team of the tests on a hand-driven cell, and the work that it hands in.

inline const TeamId kTeam("shopfloor");
inline const std::string kKey = "k1.secret";

Configuration makeConfiguration(std::uint64_t revision, int upperLimit);
/// A batch job that runs for so long.
JobSubmission makeJob(const std::string& id, bool idempotent, int sleepMs);
/// An idempotent urgent request that runs for so long.
UrgentRequest makeLookup(int sleepMs);

} // namespace crocuslever::testing
