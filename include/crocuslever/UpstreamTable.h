#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "crocuslever/Ids.h"
#include "crocuslever/Resources.h"
#include "crocuslever/Time.h"
#include "crocuslever/UpstreamProtocol.h"

namespace crocuslever {

enum class UpstreamHealth {
    Good,
    Quarantined, ///< Fails what succeeds elsewhere: no new work until a probe succeeds.
    Probation, ///< Let back with one attempt at a time.
};

const char* toString(UpstreamHealth);

/// A failed job that counts against an upstream.
struct Blame {
    JobId job;
    std::string source; ///< Team and service.
    double weight { 0 };
};

/// An upstream of the list. Reservation fields are kept by the shard's owner alone.
struct UpstreamRow {
    UpstreamDescription description;
    ShardIndex shard { 0 };
    bool listed { true }; ///< False: gone from the list, kept while attempts remain.
    TimePoint vanishedAt; ///< When it was last found missing from the list.
    bool reachable { true }; ///< Its last answer came.

    bool fenced { false }; ///< It accepted this owner's epoch.
    Epoch fencedEpoch { 0 };
    bool fenceInFlight { false };
    TimePoint nextFence;
    int silences { 0 }; ///< Calls without an answer, in a row.
    Epoch staleEpoch { 0 }; ///< It refused this epoch: the shard has another owner by now.
    IncarnationId incarnation;

    Resources reserved { 0, 0, 0, 0 }; ///< Sum over its attempts in the table.
    int openCalls { 0 }; ///< Connections in use by this instance.

    bool syncInFlight { false };
    TimePoint nextSync;
    TimePoint lastAnswer;
    std::vector<AttemptId> toAcknowledge;
    std::size_t acknowledgesSent { 0 }; ///< How many of them the sync in flight carries.
    TimePoint callSince; ///< When the fence or sync in flight left.

    UpstreamHealth health { UpstreamHealth::Good };
    double failureScore { 0 }; ///< Decaying count of failures less successes.
    TimePoint probeAfter;
    Duration probeDelay { 0 }; ///< Doubles with each failed probe.
    TimePoint scoreAt; ///< When the score was last brought up to date.
    TimePoint failingSince; ///< First failure since the last success.
    std::vector<Blame> blames; ///< Since the last success.
    int probationSuccesses { 0 };

    // Its entries in the indexes.
    TimePoint dueAt;
    bool indexed { false };
    std::int64_t freeFraction { 0 }; ///< Free slots, in millionths of its slots.
    std::int64_t deferredSlots { 0 }; ///< Free slots above the headroom for urgent work.
    std::int64_t indexedReserved { 0 }; ///< Slots as counted in its rack's usage.
    std::int64_t indexedSlots { 0 };
};

/// Slots of one rack's upstreams that this instance has fenced.
struct RackUsage {
    std::int64_t reserved { 0 };
    std::int64_t slots { 0 };
    std::int64_t usedFraction { 0 }; ///< In millionths; its key in `racksByUse`.
    std::set<std::pair<std::int64_t, UpstreamId>> byDeferredSlots;
};

/// Upstreams by id, with the indexes kept by UpstreamIndex.h.
struct UpstreamTable : std::map<UpstreamId, UpstreamRow> {
    bool listKnown { false }; ///< The platform's list has been seen.
    TimePoint listKnownSince;
    std::array<std::set<UpstreamId>, kShardCount> byShard;
    std::array<Epoch, kShardCount> scheduledEpoch {}; ///< For which the shard's upstreams were scheduled.
    std::set<std::pair<TimePoint, UpstreamId>> due; ///< When each next needs a fence or sync.
    std::set<std::pair<std::int64_t, UpstreamId>> byFreeFraction; ///< Fenced ones.
    std::set<std::pair<std::int64_t, UpstreamId>> byDeferredSlots; ///< Fenced ones.
    std::set<UpstreamId> quarantined;
    std::map<std::pair<FailureDomainId, RackId>, RackUsage> racks;
    std::map<FailureDomainId, std::set<std::pair<std::int64_t, RackId>>> racksByUse;
    std::map<Resources, int> capacities; ///< How many listed upstreams have each.
    std::uint64_t seenRevision { 0 }; ///< Configuration that the indexes follow.
    TimePoint lastSuccess; ///< Of any task on an own upstream.
    TimePoint lastRun; ///< Of the previous tick.
    TimePoint stalledUntil; ///< No urgent work before this: the process was paused.
};

} // namespace crocuslever
