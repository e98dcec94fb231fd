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

/// Like tasks of a job that become ready together.
struct StepSpec {
    int count { 1 };
    Resources each; ///< What one task takes; `slots` is unused.
    Duration estimate { 0 }; ///< The submitter's guess of one task's run time; often far off.
    std::vector<int> after; ///< Earlier steps that must be done first, counted from 0.
    bool checkpoints { false }; ///< Tasks save their progress and resume from it elsewhere.
    bool gang { false }; ///< All tasks work at the same time or not at all.
    bool colocate { false }; ///< Tasks on more than one rack run slower.
    bool duplicatesAllowed { false };
    bool lasting { false }; ///< Tasks run until the job is cancelled.
    bool fills { false }; ///< Takes what processor time other tasks leave over.
    std::string requiredLabel; ///< Empty: any upstream.
    std::string dataRack; ///< Tasks run faster on this rack; empty: anywhere alike.
    int mostPerUpstream { 0 }; ///< 0: no limit.
    std::string image; ///< Tasks of one image behave alike.
    Duration tailTarget { 0 }; ///< Bound on the tail of its own users' response times; 0: none.
    int mostUnavailable { 0 }; ///< Tasks of the step that the scheduler may take away at a time.

    auto tie() const
    {
        return std::tie(count, each, estimate, after, checkpoints, gang, colocate, duplicatesAllowed, lasting, fills,
            requiredLabel, dataRack, mostPerUpstream, image, tailTarget, mostUnavailable);
    }
};

/// What a submitter asks for.
struct JobSpec {
    std::string payload; ///< Handed to each task unread.
    std::vector<StepSpec> steps;
    int occurrences { 0 }; ///< Times that the steps run; 0: once, at once.
    std::int64_t firstDueMs { 0 }; ///< Of the first occurrence, Unix time.
    std::int64_t intervalMs { 0 };

    auto tie() const { return std::tie(payload, steps, occurrences, firstDueMs, intervalMs); }
};

/// A job as it is kept in the store from its acceptance to its end.
struct JobRecord {
    std::string id;
    std::string route;
    std::string team;
    std::int64_t acceptedMs { 0 }; ///< Unix time.
    JobSpec spec;

    auto tie() const { return std::tie(id, route, team, acceptedMs, spec); }
};

/// What the store keeps of one task beside the job itself.
struct TaskProgress {
    int occurrence { 0 };
    int step { 0 };
    int index { 0 };
    bool done { false };
    std::set<int> failedRuns; ///< A gang's stand with each of its members.
    int lastRun { 0 }; ///< Highest run number that is known to have been used.
    std::string checkpoint;

    auto tie() const { return std::tie(occurrence, step, index, done, failedRuns, lastRun, checkpoint); }
};

enum class JobState { Pending,
    Running,
    Completed,
    Failed,
    Cancelled };

const char* toString(JobState);

} // namespace crocuslever::cell
