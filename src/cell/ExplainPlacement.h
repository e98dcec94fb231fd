#pragma once

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "src/cell/CellState.h"
#include "src/cell/TeamShares.h"

namespace crocuslever::cell {

// Tells operators whether the cell would accept a job now, and where its tasks could start. Nothing is sent and no state
// is changed.

/// A job that is not submitted.
struct ExplainRequest {
    std::string host;
    std::string path; ///< Of the submission, with or without the job id.
    std::string key; ///< Empty: none.
    std::string team; ///< Used instead of a key; empty: the key's.
    std::optional<JobSpec> spec; ///< Unset: the specification can't be read.
    std::string specFault; ///< Why not.

    auto tie() const { return std::tie(host, path, key, team, spec, specFault); }
};

/// Why an upstream can't run a task of a step now. An upstream counts for the first that applies, in this order.
enum class LeftOut {
    OutdatedEntry, ///< The directory still shows an earlier incarnation.
    OtherService,
    MissingLabel,
    Unlisted, ///< Not in the latest reading of the directory, or replaced.
    Draining,
    Evacuated,
    NotAnswering, ///< Not fenced by this owner yet, or its polls fail or list unknown runs.
    BackingOff,
    NoProcessor,
    NoMemory,
    NoAccelerators,
    Reserved, ///< Its room is being freed for other steps.
};

const char* toString(LeftOut);

/// An upstream that a task may start on.
struct PlaceChoice {
    std::string upstream;
    std::string domain;
    int fits { 0 }; ///< Number of tasks that fit.
    std::int64_t leftMilliCpu { 0 }; ///< Free processor share after one task was placed.
    bool isNearData { false };

    auto tie() const { return std::tie(upstream, domain, fits, leftMilliCpu, isNearData); }
};

struct StepExplanation {
    int tasks { 0 };
    bool gang { false }; ///< All tasks start together or not at all.
    bool waitsForSteps { false }; ///< Earlier steps must be done first.
    int withinLimit { 0 }; ///< Number of tasks that the team's limit allows now.
    int upstreams { 0 }; ///< All that are known.
    int fitNow { 0 }; ///< Upstreams with room for a task; `upstreams` less those left out.
    int tasksFitNow { 0 }; ///< Tasks that these have room for.
    int fitAfterPreemption { 0 }; ///< Upstreams with room once all runs that the job may preempt have left.
    int adviceNeeded { 0 }; ///< Of `fitNow`, those that can only be used once the advice service has named them.
    std::map<LeftOut, int> leftOut; ///< Number of upstreams by reason.
    std::vector<PlaceChoice> choices; ///< The first ones, in the order of placement.

    auto tie() const { return std::tie(tasks, gang, waitsForSteps, withinLimit, upstreams, fitNow, tasksFitNow, fitAfterPreemption, adviceNeeded, leftOut, choices); }
};

/// What the cell would answer to the submission.
enum class PlacementDecision {
    Accepted,
    DependsOnId, ///< Part of the jobs like this are turned away, by their ids, and the path has none.
    Overloaded, ///< Turned away, as the cell has more work than it can serve in time.
    NoRoute,
    Unauthorized,
    Malformed,
    Refused, ///< The configuration or the store is out of reach.
};

const char* toString(PlacementDecision);

struct PlacementExplanation {
    PlacementDecision decision { PlacementDecision::Accepted };
    std::string reason; ///< Of any other decision than Accepted.
    std::string route;
    std::string team; ///< Empty: the job has none.
    int priority { 0 };
    std::int64_t acceptedOfClass { 0 }; ///< Thousandths.
    std::int64_t acceptedOfTeam { 0 }; ///< Thousandths of what the team offers on the route.
    std::optional<Duration> expectedWait; ///< Of its class; unset: not known.
    TeamShare share; ///< As if the job was waiting.
    bool startsHeld { false }; ///< The owner starts no tasks now, as what it knows is too old.
    std::int64_t jobsWaiting { 0 }; ///< All jobs with waiting tasks. Those ahead of the job may take the room first.
    std::vector<StepExplanation> steps; ///< The first steps of the job; none if it is refused by configuration.
    std::int64_t stepsOmitted { 0 }; ///< Number of further steps.

    auto tie() const
    {
        return std::tie(decision, reason, route, team, priority, acceptedOfClass, acceptedOfTeam, expectedWait, share, startsHeld, jobsWaiting, steps, stepsOmitted);
    }
};

/// To be asked of the owner of the cell: others know no upstreams.
PlacementExplanation explainPlacement(const CellState&, const ExplainRequest&, const Instant& now);

} // namespace crocuslever::cell
