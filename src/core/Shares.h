#pragma once

#include <map>

#include "crocuslever/Core.h"

namespace crocuslever {

/// A team's weighted dominant share of the whole cell: its largest fraction of
/// any resource over its share weight. The team with the lowest goes first.
double dominantShare(const CoreState&, const TeamId&, TimePoint now);
/// The shares of all teams that use or declare anything, in one pass over the
/// members' heartbeats.
std::map<TeamId, double> dominantShares(const CoreState&, TimePoint now);
/// What the heartbeat says of the team, whose teams stand in order of id; null if nothing.
const TeamUsage* findUsage(const Heartbeat&, const TeamId&);
/// Fleet-wide running tasks of the team, by the last heartbeats.
int runningFleetWide(const CoreState&, const TeamId&);

} // namespace crocuslever
