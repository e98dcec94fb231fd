#pragma once

#include <map>
#include <string>

#include "crocuslever/Counters.h"
#include "crocuslever/Time.h"

namespace crocuslever {

/// How an event loop spends its time, by part of its work, and how late its turns begin.
struct LoopLoad {
    std::map<std::string, Duration> spent; ///< By part, since the start of the process.
    TimePoint markedAt; ///< End of the latest part.
    int turns { 0 }; ///< Since the latest summary, as the delays.
    Duration longestDelay { 0 }; ///< Of a turn.
    Duration totalDelay { 0 }; ///< Of all turns.
    std::map<std::string, Duration> summarized; ///< `spent` at the latest summary.
    TimePoint summarizedAt;
};

/// Attributes the time since the previous call to the part.
void markPart(LoopLoad&, const std::string& part, TimePoint now);
/// Records that the turn that was due at `due` begins at `now`.
void recordTurn(LoopLoad&, TimePoint due, TimePoint now);
/// The milliseconds spent on each part since the previous summary, most first, and the delays of the
/// turns; starts the next summary.
std::string summarizeLoad(LoopLoad&, TimePoint now);
/// Sets "loop_milliseconds_total{part}" and "loop_delay_milliseconds".
void setLoadGauges(const LoopLoad&, Counters&);

} // namespace crocuslever
