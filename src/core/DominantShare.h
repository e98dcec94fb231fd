#pragma once

#include <map>

#include "crocuslever/Core.h"

namespace crocuslever {

/// A team's weighted dominant share of the whole cell: the largest fraction that it uses of
/// any resource, divided by its share weight. The team with the lowest share is served first.
double dominantShare(const CoreState&, const TeamId&, TimePoint now);
/// The weighted dominant shares of all teams that are configured or use anything, computed in
/// one pass over the members' heartbeats.
std::map<TeamId, double> dominantShares(const CoreState&, TimePoint now);
/// The team's usage in the heartbeat, whose teams must be sorted by id; null if it has none.
const TeamUsage* findUsage(const Heartbeat&, const TeamId&);
/// Number of the team's running tasks in the whole fleet, by the last heartbeats.
int runningFleetWide(const CoreState&, const TeamId&);

} // namespace crocuslever
