#pragma once

#include <map>
#include <string>
#include <vector>

#include "crocuslever/Core.h"

namespace crocuslever {

/// Added to every lease before it counts as lapsed. Covers clocks that run at different
/// rates, and a renewal still in transit when its sender gave up.
constexpr Duration kLeaseMargin = std::chrono::milliseconds(300);

/// Time from an attempt's start to the first sync that asks for its state.
constexpr Duration kFirstSyncAfter = std::chrono::milliseconds(50);

/// Applies a new version of the platform's instance list.
void handleUpstreamList(CoreState&, const UpstreamListUpdate&, TimePoint now, Actions&);
/// Sends the fences and syncs that are due to the upstreams of this instance's shards.
void runUpstreams(CoreState&, TimePoint now, Actions&);
void handleFenceResult(CoreState&, const UpstreamFenceResult&, TimePoint now, Actions&);
void handleStartResult(CoreState&, const UpstreamStartResult&, TimePoint now, Actions&);
void handleSyncResult(CoreState&, const UpstreamSyncResult&, TimePoint now, Actions&);
void handleStopResult(CoreState&, const UpstreamStopResult&, TimePoint now, Actions&);
/// Stops the attempt. One that was only reserved ends at once; else a stop is sent to the
/// upstream until its answer, or the lapse of the lease, ends the attempt. May erase the row.
void stopAttempt(CoreState&, AttemptRow&, StopMode, TimePoint now, Actions&);

/// True once every listed upstream of the shard has accepted this owner's epoch, or has
/// been unreachable for so long that all leases there have lapsed.
bool isShardFenced(const CoreState&, ShardIndex, TimePoint now);
/// Number of attempts charged on the shard's upstreams, by team.
std::map<TeamId, int> runningByTeam(const CoreState&, ShardIndex);

/// True if new work may start on the upstream now: it is in service and not quarantined.
bool acceptsWork(const CoreState&, const UpstreamRow&, TimePoint now);
/// True if the upstream is listed, reachable, not leaving, owned and fenced by this instance,
/// and its failure domain is in service. A probe needs no more than this.
bool isInService(const CoreState&, const UpstreamRow&, TimePoint now);
/// True if this instance owns the upstream, has fenced it at the current epoch and may call it.
bool mayCall(const CoreState&, const UpstreamRow&, TimePoint now);
/// An upper bound on any lease that an earlier owner may have granted, margin included.
Duration longestLease(const CoreState&);
/// True if the upstream left the list so long ago that every lease there has lapsed.
bool isUpstreamGone(const CoreState&, const UpstreamId&, TimePoint now);
/// Free capacity of all upstreams that accept work, for the heartbeat; `urgent` includes the
/// headroom for urgent work.
Resources freeRoom(const CoreState&, bool urgent, TimePoint now);

/// True shortly after a pause of this process: the messages it reads then may be as old as
/// the pause, and their senders may have retried elsewhere.
bool isStalled(const CoreState&, TimePoint now);

/// Counts a message that matches no request or state, and is therefore ignored.
void countIgnored(CoreState&, const std::string& kind);
/// The attempts in the table on this upstream.
std::vector<AttemptId> attemptsOn(const CoreState&, const UpstreamId&);
/// Exponential backoff with jitter after the given number of consecutive failures.
Duration retryBackoff(CoreState&, int failures);
/// When the upstream is next synced, after a successful call.
TimePoint nextSyncTime(CoreState&, const UpstreamRow&, TimePoint now);

/// Drops the fences and attempts of a shard that was lost or handed over. Urgent callers are
/// answered that the outcome is unknown.
void dropUpstreamState(CoreState&, ShardIndex, TimePoint now, Actions&);

} // namespace crocuslever
