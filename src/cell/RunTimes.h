#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "src/cell/JobSpec.h"

namespace crocuslever::cell {

/// A run time, and by how much the submitter's estimate of it was off.
struct RunTimeSample {
    TimePoint at;
    double logRunTime { 0.0 }; ///< Natural logarithm of milliseconds.
    double logError { 0.0 }; ///< Logarithm of run time / estimate.
    bool hasEstimate { false };
};

/// Median and spread, the standard deviation as estimated from the median deviation.
struct LogSpread {
    double median { 0.0 };
    double spread { 0.0 };
    std::size_t count { 0 }; ///< Number of samples; 0: nothing is known.
};

/// What the runs of one route and image have shown.
struct RunTimeRow {
    std::deque<RunTimeSample> samples; ///< The latest, oldest first.
    LogSpread runTime;
    LogSpread error;
    bool isStale { false }; ///< Samples have come or gone since then.
};

/// Run times by route and image; the image is empty for steps that have none.
struct RunTimeTable {
    std::map<std::pair<std::string, std::string>, RunTimeRow> rows;
    std::int64_t version { 0 }; ///< Raised when expected run times change.
    TimePoint nextSummary;
};

/// Records the run time of a task that ended as done. Runs that were resumed, or whose start or end was not seen, must be left out.
void recordRunTime(RunTimeTable&, const std::string& route, const StepSpec&, Duration runTime, TimePoint now);

/// Drops old samples and brings expected run times up to date, a few times a second.
void summarizeRunTimes(RunTimeTable&, TimePoint now);

/// The submitter's estimate combined with what was learned; the estimate itself while little is known or estimates are right.
Duration expectedRunTime(const RunTimeTable&, const std::string& route, const StepSpec&);

/// Length of the longest chain of steps. `runTimes` has one entry for each step.
Duration criticalPath(const JobSpec&, const std::vector<Duration>& runTimes);

/// Expected times of one job, kept so that they are computed only after the table has changed.
struct ExpectedTimes {
    std::vector<Duration> steps; ///< Run time by step that is rarely exceeded; empty: not computed yet.
    Duration criticalPath { 0 }; ///< By the expected run times.
    std::int64_t version { 0 }; ///< Of the table.
};

void updateExpectedTimes(ExpectedTimes&, const RunTimeTable&, const std::string& route, const JobSpec&);

} // namespace crocuslever::cell
