#include "src/cell/ExplainPlacement.h"

#include <algorithm>

#include "src/cell/Admission.h"
#include "src/cell/Declarations.h"
#include "src/cell/Entry.h"
#include "src/cell/Fit.h"
#include "src/cell/Preemption.h"
#include "src/cell/StoreCalls.h"
#include "src/cell/Upstreams.h"

namespace crocuslever::cell {

/// Steps that are explained. The owner does nothing else meanwhile, and each step looks at all upstreams.
static constexpr std::size_t kMaxSteps = 64;
static constexpr std::size_t kMaxChoices = 5; ///< For each step.
static constexpr const char* kAnyId = "0000000000000000"; ///< Stands for the id of a path without one.

const char* toString(LeftOut reason)
{
    switch (reason) {
    case LeftOut::OutdatedEntry:
        return "outdated_entry";
    case LeftOut::OtherService:
        return "other_service";
    case LeftOut::MissingLabel:
        return "missing_label";
    case LeftOut::Unlisted:
        return "unlisted";
    case LeftOut::Draining:
        return "draining";
    case LeftOut::Evacuated:
        return "evacuated";
    case LeftOut::NotAnswering:
        return "not_answering";
    case LeftOut::BackingOff:
        return "backing_off";
    case LeftOut::NoProcessor:
        return "no_processor";
    case LeftOut::NoMemory:
        return "no_memory";
    case LeftOut::NoAccelerators:
        return "no_accelerators";
    case LeftOut::Reserved:
        return "reserved";
    }
    return "unknown";
}

const char* toString(PlacementDecision decision)
{
    switch (decision) {
    case PlacementDecision::Accepted:
        return "accepted";
    case PlacementDecision::DependsOnId:
        return "depends_on_id";
    case PlacementDecision::Overloaded:
        return "overloaded";
    case PlacementDecision::NoRoute:
        return "no_route";
    case PlacementDecision::Unauthorized:
        return "unauthorized";
    case PlacementDecision::Malformed:
        return "malformed";
    case PlacementDecision::Refused:
        return "refused";
    }
    return "unknown";
}

// Acceptance.

static PlacementDecision decisionOf(EntryOutcome outcome)
{
    switch (outcome) {
    case EntryOutcome::NoRoute:
        return PlacementDecision::NoRoute;
    case EntryOutcome::Unauthorized:
        return PlacementDecision::Unauthorized;
    case EntryOutcome::Malformed:
        return PlacementDecision::Malformed;
    default:
        return PlacementDecision::Refused;
    }
}

static void decide(PlacementExplanation& explanation, PlacementDecision decision, const std::string& reason)
{
    explanation.decision = decision;
    explanation.reason = reason;
}

/// True if the path is that of a route, without a job id.
static bool isWithoutId(const CellState& state, const ExplainRequest& request)
{
    const Route* route = state.configuration.value ? findRoute(*state.configuration.value, request.host, request.path) : nullptr;
    return route && request.path.size() == route->prefix.size();
}

/// The submission as a caller of that team would make it. A team that has no keys can't.
static EntryRow makeSubmission(const CellState& state, const ExplainRequest& request)
{
    EntryRow row;
    row.call.verb = Verb::Submit;
    row.call.host = request.host;
    row.call.path = request.path + (isWithoutId(state, request) ? kAnyId : "");
    row.call.key = request.key;
    row.call.spec = request.spec;
    if (!request.team.empty() && state.configuration.value) {
        auto team = state.configuration.value->teams.find(request.team);
        bool hasKey = team != state.configuration.value->teams.end() && !team->second.keys.empty();
        row.call.key = hasKey ? *team->second.keys.begin() : std::string();
    }
    return row;
}

/// Decides what doesn't depend on the load, in the order in which the cell does. False: it is refused.
static bool checkConfiguration(const CellState& state, const ExplainRequest& request, EntryRow& row, const Instant& now, PlacementExplanation& explanation)
{
    std::optional<EntryReply> fault = checkCall(state, row);
    bool isUndecided = state.configuration.value && !isConfigurationCurrent(state, now.steady);
    if (isUndecided)
        decide(explanation, PlacementDecision::Refused, "the configuration was last confirmed " + describeAge(state.configuration.confirmation, now.steady));
    else if (fault && fault->outcome == EntryOutcome::Malformed && !request.spec && !request.specFault.empty())
        decide(explanation, PlacementDecision::Malformed, request.specFault);
    else if (fault)
        decide(explanation, decisionOf(fault->outcome), fault->reason);
    else if (!request.team.empty() && row.team != request.team)
        decide(explanation, PlacementDecision::Unauthorized, "no team of this name has a key");
    else if (!isStoreReachable(state))
        decide(explanation, PlacementDecision::Refused, "the store is out of reach");
    return explanation.decision == PlacementDecision::Accepted;
}

static void checkLoad(const CellState& state, const Route& route, const EntryRow& row, bool hasId, TimePoint now, PlacementExplanation& explanation)
{
    std::string accepted = std::to_string(explanation.acceptedOfTeam) + " thousandths of such jobs are accepted";
    bool isPartial = explanation.acceptedOfTeam > 0 && explanation.acceptedOfTeam < kWholeShare;
    if (!hasId && isPartial)
        decide(explanation, PlacementDecision::DependsOnId, accepted + ", by their ids");
    else if (isTurnedAway(state, route, row.team, row.jobId, now) && !(hasId && lookUpJob(state, row.jobId)))
        decide(explanation, PlacementDecision::Overloaded, "the cell has more work than it can serve in time: " + accepted);
}

static TeamShare shareOf(const CellState& state, const std::string& team)
{
    std::set<std::string> waiting { team };
    for (const std::string& id : state.waitingJobs)
        waiting.insert(state.jobs.at(id).record.team);
    return computeTeamShares(*state.configuration.value, state.teamUse, waiting, totalCapacity(state)).at(team);
}

// Placement.

/// Room that is being freed for the steps that wait, as the next placement pass takes it over.
static ReservedRoom collectReservations(const CellState& state, TimePoint now)
{
    ReservedRoom reservations;
    for (const std::string& id : state.waitingJobs) {
        for (const auto& [occurrence, row] : state.jobs.at(id).occurrences) {
            for (const StepRow& step : row.steps) {
                if (now < step.reservedUntil)
                    addReservations(reservations, step.reservations);
            }
        }
    }
    return reservations;
}

/// Why no run may be placed on the upstream, whatever its room; unset: it may.
static std::optional<LeftOut> findObstacle(const CellState& state, const StepSpec& step, const Route& route, const UpstreamRow& upstream, TimePoint now)
{
    if (upstream.listed && !isDescribed(upstream))
        return LeftOut::OutdatedEntry;
    if (upstream.entry.service != route.service)
        return LeftOut::OtherService;
    if (!isSuitable(step, route, upstream))
        return LeftOut::MissingLabel;
    if (!upstream.listed || upstream.isReplaced)
        return LeftOut::Unlisted;
    if (upstream.entry.draining)
        return LeftOut::Draining;
    if (!isOpen(state, upstream))
        return LeftOut::Evacuated;
    if (now < upstream.backoffUntil)
        return LeftOut::BackingOff;
    if (!acceptsWork(state, upstream, now))
        return LeftOut::NotAnswering;
    return std::nullopt;
}

/// Why a task doesn't fit; unset: it does.
static std::optional<LeftOut> findShortage(const Resources& each, const Resources& room, const Resources& unreserved)
{
    if (countFits({ room.milliCpu, 0, 0, 0 }, { each.milliCpu, 0, 0, 0 }, 1) == 0)
        return LeftOut::NoProcessor;
    if (countFits({ 0, room.memoryMb, 0, 0 }, { 0, each.memoryMb, 0, 0 }, 1) == 0)
        return LeftOut::NoMemory;
    if (countFits(room, each, 1) == 0)
        return LeftOut::NoAccelerators;
    if (countFits(unreserved, each, 1) == 0)
        return LeftOut::Reserved;
    return std::nullopt;
}

namespace {

struct RankedChoice {
    PlaceChoice choice;
    UpstreamIncarnation incarnation { 0 };

    /// The order of findPlaces().
    bool operator<(const RankedChoice& other) const
    {
        return std::make_tuple(!choice.isNearData, choice.leftMilliCpu, incarnation) < std::make_tuple(!other.choice.isNearData, other.choice.leftMilliCpu, other.incarnation);
    }
};

} // namespace

static RankedChoice makeChoice(const StepSpec& step, const UpstreamRow& upstream, const Resources& room)
{
    int fits = countFits(room, amountOf(step), step.count);
    if (step.maximumPerUpstream > 0)
        fits = std::min(fits, step.maximumPerUpstream);
    bool isNear = step.dataRack.empty() || step.dataRack == upstream.entry.rack;
    return { { upstream.entry.id, upstream.entry.domain, fits, room.milliCpu - step.each.milliCpu, isNear }, upstream.incarnation };
}

static StepExplanation explainStep(const CellState& state, const StepSpec& step, const Route& route, const std::string& team, const ReservedRoom& reservations, TimePoint now)
{
    StepExplanation explanation;
    Resources each = amountOf(step);
    explanation.tasks = step.count;
    explanation.gang = step.gang;
    explanation.waitsForSteps = !step.after.empty();
    explanation.withinLimit = countWithinLimit(state, team, {}, each, step.count);
    explanation.upstreams = static_cast<int>(state.upstreams.size());
    std::vector<RankedChoice> ranked;
    for (const auto& [id, upstream] : state.upstreams) {
        std::optional<LeftOut> obstacle = findObstacle(state, step, route, upstream, now);
        if (!obstacle) {
            explanation.fitAfterPreemption += countFits(roomAfterPreemption(upstream, route.priority), each, 1);
            Resources room = unreservedRoom(upstream, reservations);
            obstacle = findShortage(each, roomOn(upstream), room);
            if (!obstacle)
                ranked.push_back(makeChoice(step, upstream, room));
        }
        if (obstacle)
            ++explanation.leftOut[*obstacle];
    }
    explanation.fitNow = static_cast<int>(ranked.size());
    explanation.adviceNeeded = route.advice ? explanation.fitNow : 0;
    std::sort(ranked.begin(), ranked.end());
    for (const RankedChoice& it : ranked) {
        explanation.tasksFitNow = std::min(step.count, explanation.tasksFitNow + it.choice.fits);
        if (explanation.choices.size() < kMaxChoices)
            explanation.choices.push_back(it.choice);
    }
    return explanation;
}

PlacementExplanation explainPlacement(const CellState& state, const ExplainRequest& request, const Instant& now)
{
    PlacementExplanation explanation;
    EntryRow row = makeSubmission(state, request);
    if (!checkConfiguration(state, request, row, now, explanation))
        return explanation;
    const Route& route = *findRouteByName(*state.configuration.value, row.route);
    explanation.route = route.name;
    explanation.team = row.team;
    explanation.priority = route.priority;
    explanation.acceptedOfClass = acceptedOfClass(state, route.priority, now.steady);
    explanation.acceptedOfTeam = acceptedOfTeam(state, route, row.team, now.steady);
    explanation.expectedWait = expectedWait(state, route.priority, now.steady);
    explanation.share = shareOf(state, row.team);
    explanation.startsHeld = !mayStartTasks(state, now.steady);
    explanation.jobsWaiting = static_cast<std::int64_t>(state.waitingJobs.size());
    checkLoad(state, route, row, !isWithoutId(state, request), now.steady, explanation);
    ReservedRoom reservations = collectReservations(state, now.steady);
    const std::vector<StepSpec>& steps = request.spec->steps;
    for (std::size_t n = 0; n < std::min(steps.size(), kMaxSteps); ++n)
        explanation.steps.push_back(explainStep(state, steps[n], route, row.team, reservations, now.steady));
    explanation.stepsOmitted = static_cast<std::int64_t>(steps.size() - explanation.steps.size());
    return explanation;
}

} // namespace crocuslever::cell
