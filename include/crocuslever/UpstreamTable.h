#pragma once

#include <map>
#include <set>
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

/// An upstream of the list. Reservation fields are kept by the shard's owner alone.
struct UpstreamRow {
    UpstreamDescription description;
    ShardIndex shard { 0 };
    bool listed { true }; ///< False: gone from the list, kept while attempts remain.

    bool fenced { false }; ///< It accepted this owner's epoch.
    Epoch fencedEpoch { 0 };
    bool fenceInFlight { false };
    TimePoint nextFence;
    IncarnationId incarnation;

    Resources reserved; ///< Sum over its attempts in the table.
    int openCalls { 0 }; ///< Connections in use by this instance.

    bool syncInFlight { false };
    TimePoint nextSync;
    TimePoint lastAnswer;
    std::vector<AttemptId> toAcknowledge;

    UpstreamHealth health { UpstreamHealth::Good };
    double failureScore { 0 }; ///< Decaying count of failures less successes.
    TimePoint probeAfter;
};

using UpstreamTable = std::map<UpstreamId, UpstreamRow>;

} // namespace crocuslever
