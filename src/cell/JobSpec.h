#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "crocuslever/Comparable.h"
#include "crocuslever/Resources.h"
#include "crocuslever/Time.h"

namespace crocuslever::cell {

// Found by argument-dependent lookup for the value types of this namespace.
using crocuslever::operator==;
using crocuslever::operator!=;
using crocuslever::operator<;

/// Identical tasks of a job that become ready at the same time.
struct StepSpec {
    int count { 1 };
    Resources each; ///< Resources of one task; `slots` is unused.
    Duration estimate { 0 }; ///< The submitter's estimate of one task's run time; often far off.
    std::vector<int> after; ///< Indexes of earlier steps that must be done first, from 0.
    bool checkpoints { false }; ///< Tasks save checkpoints and can resume from them on another upstream.
    bool gang { false }; ///< All tasks run at the same time or not at all.
    bool colocate { false }; ///< Tasks on more than one rack run slower.
    bool duplicatesAllowed { false };
    bool isLongRunning { false }; ///< Tasks run until the job is cancelled.
    bool isBestEffort { false }; ///< Uses only processor time that other tasks leave idle.
    std::string requiredLabel; ///< Empty: any upstream.
    std::string dataRack; ///< Tasks run faster on this rack; empty: no preference.
    int maximumPerUpstream { 0 }; ///< Tasks of the step on one upstream; 0: no limit.
    std::string image; ///< Tasks with the same image are assumed to behave alike.
    Duration tailTarget { 0 }; ///< Objective for the tail latency that the tasks offer their users; 0: none.
    int maximumUnavailable { 0 }; ///< Tasks of the step that the scheduler may take down at a time.

    auto tie() const
    {
        return std::tie(count, each, estimate, after, checkpoints, gang, colocate, duplicatesAllowed, isLongRunning, isBestEffort,
            requiredLabel, dataRack, maximumPerUpstream, image, tailTarget, maximumUnavailable);
    }
};

/// A job as submitted.
struct JobSpec {
    std::string payload; ///< Opaque; passed to each task.
    std::vector<StepSpec> steps;
    int occurrences { 0 }; ///< How often the steps run; 0: once, without a due time.
    std::int64_t firstDueMs { 0 }; ///< Due time of the first occurrence, Unix.
    std::int64_t intervalMs { 0 }; ///< Between the due times of two occurrences.

    auto tie() const { return std::tie(payload, steps, occurrences, firstDueMs, intervalMs); }
};

/// Tasks of one occurrence of a job at most. Their progress fits into a value of the store.
constexpr std::int64_t kMaxTasksPerOccurrence = 10000;
constexpr int kMaxOccurrences = 100000;
constexpr std::int64_t kMaxIntervalMs = 10LL * 365 * 24 * 3600 * 1000; // ms; ten years

/// Why the cell can't serve a job like this, whatever its load; empty: it can.
std::string describeFault(const JobSpec&);

/// The stored record of a job, from its acceptance to its end.
struct JobRecord {
    std::string id;
    std::string route;
    std::string team;
    std::int64_t acceptedMs { 0 }; ///< Unix time.
    JobSpec spec;
    int attempts { 0 }; ///< Failed runs of a task after which the job fails; 0: those of its route.

    auto tie() const { return std::tie(id, route, team, acceptedMs, spec, attempts); }
};

/// Runs of a task whose upstream crashed, by number.
struct CrashedRuns {
    std::set<int> all;
    std::set<int> sudden; ///< Those whose upstream crashed right after their start.

    auto tie() const { return std::tie(all, sudden); }
};

inline bool operator==(const CrashedRuns& a, const CrashedRuns& b) { return a.tie() == b.tie(); }
inline bool operator<(const CrashedRuns& a, const CrashedRuns& b) { return a.tie() < b.tie(); }

/// The stored progress of one task.
struct TaskProgress {
    int occurrence { 0 };
    int step { 0 };
    int index { 0 };
    bool done { false };
    std::set<int> failedRuns; ///< For a gang, each member holds the failed runs of the gang.
    int lastRun { 0 }; ///< Highest run number known to be used.
    std::string checkpoint;
    CrashedRuns crashes;

    auto tie() const { return std::tie(occurrence, step, index, done, failedRuns, lastRun, checkpoint, crashes); }
};

/// Numbers of occurrences whose tasks are all done: those below `below`, and `others`.
struct CompletedOccurrences {
    int below { 0 };
    std::set<int> others;

    auto tie() const { return std::tie(below, others); }
};

/// The stored progress of a job, apart from its record.
struct JobProgress {
    std::vector<TaskProgress> tasks; ///< Of occurrences that are not complete.
    CompletedOccurrences completed; ///< Of a scheduled job.
};

enum class JobState { Pending,
    Running,
    Completed,
    Failed,
    Cancelled };

const char* toString(JobState);

} // namespace crocuslever::cell
