#pragma once

#include <map>
#include <string>

#include "crocuslever/Counters.h"
#include "crocuslever/Time.h"

namespace crocuslever {

/// How an event loop spends its time, by part of its work, and how late its timer fires.
struct LoopLoad {
    std::map<std::string, Duration> spent; ///< By part, since the start of the process.
    TimePoint markedAt; ///< End of the latest part.
    Duration longestDelay { 0 }; ///< Of the timer, since the latest summary.
    std::map<std::string, Duration> summarized; ///< `spent` at the latest summary.
    TimePoint summarizedAt;
};

/// Attributes the time since the previous call to the part.
void markPart(LoopLoad&, const std::string& part, TimePoint now);
/// Records that the timer, which was due at `due`, fires at `now`.
void recordTimer(LoopLoad&, TimePoint due, TimePoint now);
/// The milliseconds spent on each part since the previous summary, most first, and the longest
/// delay of the timer; starts the next summary.
std::string summarizeLoad(LoopLoad&, TimePoint now);
/// Sets "loop_milliseconds_total{part}" and "loop_delay_milliseconds".
void setLoadGauges(const LoopLoad&, Counters&);

} // namespace crocuslever
