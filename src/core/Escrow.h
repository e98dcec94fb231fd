#pragma once

#include "crocuslever/Core.h"

namespace crocuslever {

/// How many more of the team's tasks may start at this instance now.
int teamRoom(const CoreState&, const TeamId&);
/// What is known here of the team's room at a member: its grant in the store less
/// what its last heartbeat said, and what has been sent there since.
int grantRoomAt(const CoreState&, const MemberRow&, const TeamId&);
/// Counts a task sent to a member until its next heartbeat.
void noteSentTo(MemberRow&, const TeamId&);
/// Counts a task of the team that starts to hold room here (or ceases to, -1).
void chargeTeam(CoreState&, const TeamId&, int n);
/// Notes that a start was refused for want of a grant.
void wantGrant(CoreState&, const TeamId&, TimePoint now);
/// Moves grants by compare-and-swap: takes what is wanted, gives back what is idle.
void runEscrow(CoreState&, TimePoint now, Actions&);
void handleGrantOutcome(CoreState&, const GrantPurpose&, bool committed, TimePoint now, Actions&);
/// Adopts the grant record as seen in the store.
void adoptGrants(CoreState&, const GrantRecord&, StoreRevision, TimePoint now);
/// The record after `session`'s running tasks on a taken-over shard have been
/// moved to this session: `moved` is how many of each team.
GrantRecord moveGrants(const GrantRecord&, const std::vector<SessionId>& from, const SessionId& to, const std::map<TeamId, int>& moved);

} // namespace crocuslever
