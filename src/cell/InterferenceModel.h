#pragma once

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "crocuslever/Comparable.h"
#include "crocuslever/Time.h"

namespace crocuslever::cell {

// How best-effort tasks disturb serving tasks: what is learned by pairs of images, and the pace that follows from it.
// Free of the cell's state; the present time is an argument.

/// Decayed samples of the logarithm of a tail relative to its target.
struct TailSamples {
    double weight { 0.0 }; ///< Number of samples, older ones counting less.
    double sum { 0.0 };
    double squares { 0.0 };
    double exposure { 0.0 }; ///< Sum of the best-effort runs beside the task, each counted by its pace (1: full speed).
    TimePoint at; ///< Latest sample.
    bool isBad { false }; ///< The pair is known to be bad.
};

/// Image of the serving task, and of the best-effort task beside it; the latter is empty if there was none.
using ImagePair = std::pair<std::string, std::string>;
using LearnedPairs = std::map<ImagePair, TailSamples>;

/// A serving run, as its upstream last listed it.
struct ServingReading {
    std::string image;
    double tail { 0.0 }; ///< Relative to its target.
};

/// A best-effort run.
struct PacedReading {
    std::string image;
    int pace { 100 }; ///< Percent of full speed.
};

/// What an upstream's runs showed in one poll.
struct InterferenceReading {
    std::vector<ServingReading> serving;
    std::vector<PacedReading> paced;
};

/// How the runs of an upstream are paced. One pace applies to all best-effort runs of the upstream that are slowed.
struct PaceControl {
    int pace { 100 };
    TimePoint changedAt; ///< When the pace was last changed; TimePoint(): never.
    TimePoint readAt; ///< When the runs were last read; TimePoint(): never.
    int ceiling { 0 }; ///< A pace at which a tail was over its target; 0: none is known.
    TimePoint ceilingUntil; ///< Expiry of `ceiling`.
    int clearReadings { 0 }; ///< Consecutive readings well below all targets.
    int uselessReadings { 0 }; ///< Consecutive readings over a target at pace 0.
    std::optional<TimePoint> overSince; ///< First reading of the present run of readings over a target.
    TimePoint releasedUntil; ///< Pacing didn't help, and isn't tried again before.

    auto tie() const { return std::tie(pace, changedAt, readAt, ceiling, ceilingUntil, clearReadings, uselessReadings, overSince, releasedUntil); }
};

/// Adds the tails of a reading to what is known of their pairs. Returns the pairs that are newly known to be bad.
std::vector<ImagePair> learnPairs(LearnedPairs&, const InterferenceReading&, TimePoint now);

/// Growth of the tail per best-effort run of the pair at full speed, as a share of the tail alone; 0: too small to matter;
/// unset: not known well enough.
std::optional<double> estimateGrowth(const LearnedPairs&, const ImagePair&, TimePoint now);
/// True if the pair is known to be bad.
bool isBadPair(const LearnedPairs&, const ImagePair&, TimePoint now);

/// True if a reading shows only the effect of the present pace.
bool isSettled(const PaceControl&, TimePoint now);

/// The control after the reading, with the pace to apply. `changedAt` is set if the pace differs.
PaceControl decidePace(PaceControl, const LearnedPairs&, const InterferenceReading&, TimePoint now);

} // namespace crocuslever::cell
