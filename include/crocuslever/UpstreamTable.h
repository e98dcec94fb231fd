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
    Quarantined, ///< Failed tasks while other upstreams succeeded; gets only probes until one succeeds.
    Probation, ///< A probe has succeeded; gets one attempt at a time.
};

const char* toString(UpstreamHealth);

/// A failed job that counts towards an upstream's failure score.
struct CountedFailure {
    JobId job;
    std::string source; ///< Team and service: "team/service".
    double weight { 0 }; ///< Amount added to the failure score.
};

/// An upstream on the platform's list, or recently on it. Only the owner of its shard
/// maintains the fence, reservation and health fields.
struct UpstreamRow {
    UpstreamDescription description;
    ShardIndex shard { 0 };
    bool listed { true }; ///< False: no longer on the list; kept until nothing can run there.
    TimePoint unlistedAt; ///< When it was last found missing from the list.
    bool reachable { true }; ///< The last call was answered.

    bool fenced { false }; ///< It has accepted this owner's epoch, `fencedEpoch`.
    Epoch fencedEpoch { 0 };
    bool fenceInFlight { false };
    TimePoint nextFence;
    int failedCalls { 0 }; ///< Consecutive failed calls; sets the retry backoff.
    Epoch rejectedEpoch { 0 }; ///< Epoch that it rejected as stale: the shard has a newer owner.
    IncarnationId incarnation;

    Resources reserved { 0, 0, 0, 0 }; ///< Sum of the amounts charged for its attempts.
    int openCalls { 0 }; ///< Connections in use by this instance.

    bool syncInFlight { false };
    TimePoint nextSync;
    TimePoint lastAnswer;
    std::vector<AttemptId> toAcknowledge; ///< Ended attempts to acknowledge with the next sync.
    std::size_t acknowledgesSent { 0 }; ///< Number of them, from the front, in the sync in flight.
    TimePoint callSentAt; ///< When the fence or sync in flight was sent.

    UpstreamHealth health { UpstreamHealth::Good };
    double failureScore { 0 }; ///< Exponentially decaying count of failed jobs; reset by a success.
    TimePoint probeAfter; ///< Earliest time of the next probe; only while quarantined.
    Duration probeDelay { 0 }; ///< Doubled by each failed probe.
    TimePoint scoreUpdatedAt; ///< Time to which the score has been decayed.
    TimePoint failingSince; ///< First failure since the last success.
    std::vector<CountedFailure> countedFailures; ///< Failures counted since the last success.
    int probationSuccesses { 0 };

    // Keys of the row's entries in the indexes.
    TimePoint dueAt;
    bool indexed { false };
    std::int64_t freeFraction { 0 }; ///< Free slots, in millionths of all its slots.
    std::int64_t deferredSlots { 0 }; ///< Free slots, less the headroom for urgent work.
    std::int64_t indexedReserved { 0 }; ///< Reserved slots as counted in the rack's usage.
    std::int64_t indexedSlots { 0 }; ///< Total slots as counted in the rack's usage.
};

/// Slot usage of the upstreams of one rack that this instance has fenced.
struct RackUsage {
    std::int64_t reserved { 0 };
    std::int64_t slots { 0 };
    std::int64_t usedFraction { 0 }; ///< Reserved slots, in millionths of all slots; the key in `racksByUse`.
    std::set<std::pair<std::int64_t, UpstreamId>> byDeferredSlots;
};

/// Upstreams by id, with the indexes that UpstreamIndex.h maintains.
struct UpstreamTable : std::map<UpstreamId, UpstreamRow> {
    bool listReceived { false }; ///< The platform's list has been received at least once.
    TimePoint listReceivedAt; ///< When it was first received.
    std::array<std::set<UpstreamId>, kShardCount> byShard;
    std::array<Epoch, kShardCount> scheduledEpoch {}; ///< Epoch for which each shard was scheduled; 0: not.
    std::set<std::pair<TimePoint, UpstreamId>> due; ///< When each upstream next needs a fence or sync.
    std::set<std::pair<std::int64_t, UpstreamId>> byFreeFraction; ///< Fenced upstreams.
    std::set<std::pair<std::int64_t, UpstreamId>> byDeferredSlots; ///< Fenced upstreams.
    std::set<UpstreamId> quarantined;
    std::map<std::pair<FailureDomainId, RackId>, RackUsage> racks;
    std::map<FailureDomainId, std::set<std::pair<std::int64_t, RackId>>> racksByUse; ///< Racks by used fraction.
    std::map<Resources, int> capacities; ///< Number of listed upstreams with each capacity.
    std::uint64_t indexedRevision { 0 }; ///< Configuration revision that the indexes reflect.
    TimePoint lastSuccess; ///< Last success of any task on an upstream of this instance.
    TimePoint lastTickAt; ///< Time of the previous tick.
    TimePoint stalledUntil; ///< After a pause of the process, no urgent work starts before this time.
};

} // namespace crocuslever
