#pragma once

#include "crocuslever/Core.h"

namespace crocuslever {

/// How many more of the team's tasks may start at this instance now: its grant minus the tasks
/// charged to it. 0 without a grant.
int availableGrant(const CoreState&, const TeamId&);
/// An estimate of the team's unused grant at a member, in tasks: its grant in the store minus the
/// running tasks of its last heartbeat and the tasks sent to it since. May be negative.
int availableGrantAt(const CoreState&, const MemberRow&, const TeamId&);
/// Counts a task as running at the member it is sent to, until the member's next heartbeat.
void countSentTask(MemberRow&, const TeamId&);
/// Adds `n` tasks to those charged to the team's grant here; -1 when a task ends.
void chargeTeam(CoreState&, const TeamId&, int n);
/// Records that a start was refused because the team's grant is used up.
void recordGrantShortage(CoreState&, const TeamId&, TimePoint now);
/// Adjusts this session's grants by compare-and-swap on the grant record: acquires what is wanted
/// and returns what is idle.
void runEscrow(CoreState&, TimePoint now, Actions&);
/// Applies the outcome of a write of the grant record; after a conflict it is soon repeated.
void handleGrantOutcome(CoreState&, const GrantPurpose&, bool committed, TimePoint now, Actions&);
/// Adopts the grant record from the store, unless `revision` is not newer than the known one.
void adoptGrants(CoreState&, const GrantRecord&, StoreRevision, TimePoint now);
/// The grant record with the grants of a taken-over shard's running tasks moved from the sessions
/// `from` to the session `to`. `moved` is the number of running tasks of each team.
GrantRecord moveGrants(const GrantRecord&, const std::vector<SessionId>& from, const SessionId& to, const std::map<TeamId, int>& moved);

} // namespace crocuslever
