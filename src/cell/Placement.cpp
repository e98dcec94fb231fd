#include "src/cell/Placement.h"

#include <algorithm>

#include "src/cell/Advice.h"
#include "src/cell/Candidate.h"
#include "src/cell/Declarations.h"
#include "src/cell/Fit.h"
#include "src/cell/Interference.h"
#include "src/cell/Jobs.h"
#include "src/cell/LargestRoom.h"
#include "src/cell/Occurrences.h"
#include "src/cell/Ownership.h"
#include "src/cell/Place.h"
#include "src/cell/PlacementPass.h"
#include "src/cell/Preemption.h"
#include "src/cell/Runs.h"
#include "src/cell/StoreCalls.h"
#include "src/cell/UnseenUse.h"
#include "src/cell/Upstreams.h"

namespace crocuslever::cell {

static constexpr Duration kPassInterval = std::chrono::milliseconds(5);
/// Most of the owner's processor time that passes may take. Everything else on the owner waits for a pass.
static constexpr double kMaxPassShare = 0.2;
/// Processor time that a pass takes on a whole core, for each waiting step and for each pair of step and upstream.
static constexpr std::chrono::nanoseconds kCostPerCandidate { 2000 };
static constexpr std::chrono::nanoseconds kCostPerPair { 40 };
/// Looking at an upstream at the start of a pass takes as long as this many pairs.
static constexpr std::int64_t kPairsPerUpstream = 5;
static constexpr std::int64_t kMilliCpuPerCore = 1000;
/// Passes also run without an event: occurrences become due, backoffs end and tickets expire.
static constexpr Duration kIdlePassInterval = std::chrono::milliseconds(50);
/// Between two searches for runs that a step may preempt; the result does not change sooner.
static constexpr Duration kPreemptionInterval = std::chrono::milliseconds(50);
/// While the cell stays full, repeated preemption of a task costs more than it gains.
static constexpr int kMaxPreemptionsPerTask = 1;
/// A search visits all runs, so a backlog of searches would take all of the owner's time.
static constexpr int kMaxVictimSearchesPerPass = 8;
/// With more waiting jobs than this, most of which find the cell full, most passes are for the most urgent class only. The
/// others can wait a little longer, and would take the processor time that urgent jobs need.
static constexpr std::size_t kMaxJobsPerUrgentPass = 64;
static constexpr Duration kFullPassInterval = std::chrono::milliseconds(40);
/// The orders of one pass are sent in one turn of the event loop, which must not take long. A step is started whole, and the
/// next pass follows sooner.
static constexpr std::int64_t kMaxStartsPerPass = 80;
/// Of these, starts of jobs that are late anyway, while the owner is saturated. They would delay what can still be in time.
static constexpr std::int64_t kMaxLateStartsPerPass = 8;
static constexpr int kPauseDivisor = 4; ///< Of the pause after a pass that was cut short.
/// Allows for a stop order that has to be resent.
static constexpr Duration kReservationSlack = std::chrono::milliseconds(200);
/// On/off interval of a limit reservation, and how long it outlasts the wait for the limit.
static constexpr Duration kLimitReserve = std::chrono::seconds(2);

static RunRow makeRun(CellState& state, const Candidate& candidate, const TaskKey& key, int run, const UpstreamRow& upstream, TimePoint now)
{
    RunRow row;
    row.task = key;
    row.run = run;
    row.amount = amountOf(specOf(candidate));
    row.team = candidate.job->record.team;
    row.payload = candidate.job->record.spec.payload;
    row.priority = candidate.priority;
    row.isPreemptible = isResumable(specOf(candidate)) && findTask(state, key)->preemptions < kMaxPreemptionsPerTask;
    row.checkpoint = findTask(state, key)->checkpoint;
    describeInterference(row, specOf(candidate));
    const std::string* ticket = candidate.route->advice ? findTicket(rowOf(candidate), upstream, now) : nullptr;
    if (ticket)
        row.advice = *ticket;
    return row;
}

static void startTask(CellState& state, const Candidate& candidate, const RunRow& run, UpstreamRow& upstream, const Instant& now, CellActions& actions)
{
    std::string age = std::to_string(now.wallMs - candidate.job->record.acceptedMs);
    std::string room = std::to_string(roomOn(upstream).milliCpu);
    logMessage(actions, LogLevel::Info, "task.start", upstream.entry.id, candidate.job->record.id, formatTaskKey(run.task) + " run " + std::to_string(run.run) + " ordered at job age " + age + " ms, free before start " + room + " mcpu");
    startRun(state, upstream, run, now, actions);
}

static TaskKey keyOf(const Candidate& candidate, int index)
{
    TaskKey key = candidate.step;
    key.index = index;
    return key;
}

/// Limits the searches for runs to preempt, by step and by pass; each of them visits all runs.
static bool mayStartVictimSearch(const Candidate& candidate, ReservedRoom& reservations, TimePoint now)
{
    StepRow& row = rowOf(candidate);
    if (!candidate.mayPreempt || now < row.nextPreemption || reservations.victimSearches >= kMaxVictimSearchesPerPass)
        return false;
    ++reservations.victimSearches;
    row.nextPreemption = now + kPreemptionInterval;
    return true;
}

static RoomRequest makeRoomRequest(const Candidate& candidate, int count)
{
    const JobRecord& record = candidate.job->record;
    return { record.id, record.team, amountOf(specOf(candidate)), count, candidate.priority, specOf(candidate).gang };
}

/// Makes room for `count` tasks of the candidate by preemption if it can still meet its objective.
static void preemptFor(CellState& state, const Candidate& candidate, int count, PlacementPass& pass, const Instant& now, CellActions& actions)
{
    StepRow& row = rowOf(candidate);
    ReservedRoom& reservations = pass.reservations;
    if (!mayStartVictimSearch(candidate, reservations, now.steady)) {
        // Keeps the room that is being freed for this step until its next search.
        addReservations(reservations, row.reservations);
        return;
    }
    // The ticket has to stay valid until the stopped runs have left.
    std::vector<PreemptionPlace> places = findPreemptionPlaces(state, candidate, count, pass, now.steady + state.settings.stopTime);
    row.reservedUntil = now.steady + state.settings.stopTime + kReservationSlack;
    row.reservations = makeRoom(state, reservations, places, makeRoomRequest(candidate, count), now, actions);
}

static void recordLimited(StepRow& row, TimePoint now)
{
    if (!row.limitedSince)
        row.limitedSince = now;
    row.lastLimitedAt = now;
}

/// Number of tasks that the team's limit allows now. Stops less urgent runs of the team for the rest.
static int countAllowed(CellState& state, const Candidate& candidate, int count, ReservedRoom& reservations, const Instant& now, CellActions& actions)
{
    const std::string& team = candidate.job->record.team;
    int allowed = countWithinLimit(state, team, reservedForTeam(reservations, team), amountOf(specOf(candidate)), count);
    if (allowed < count && candidate.mayPreempt)
        recordLimited(rowOf(candidate), now.steady);
    if (allowed < count && mayStartVictimSearch(candidate, reservations, now.steady))
        makeRoomBelowLimit(state, reservations, makeRoomRequest(candidate, count), now, actions);
    return allowed;
}

/// Reserves a share of the team's limit for a step that waits for it. Otherwise
/// later candidates of the team would take each freed share before a gang has its
/// tickets. A step that needs more than half of the limit drops its reservation in
/// every other interval of kLimitReserve, so that the team's other steps do not starve.
static void reserveLimitFor(const CellState& state, const Candidate& candidate, ReservedRoom& reservations, TimePoint now)
{
    StepRow& row = rowOf(candidate);
    if (row.limitedSince && now - row.lastLimitedAt > kLimitReserve)
        row.limitedSince.reset();
    if (row.waiting == 0 || !candidate.mayPreempt || !row.limitedSince)
        return;
    RoomRequest request = makeRoomRequest(candidate, row.waiting);
    bool isOffInterval = (now - *row.limitedSince) / kLimitReserve % 2 == 1;
    if (!isOffInterval || isWithinHalfOfLimit(state, request.team, request.each, request.count))
        reserveLimit(reservations, request);
}

/// Starts as many tasks as there is room for. Returns false if tasks that the team's limit allows are left.
static bool placeSingles(CellState& state, const Candidate& candidate, PlacementPass& pass, const Instant& now, CellActions& actions)
{
    std::vector<int> indexes = waitingTasks(candidate, pass.lossesKnownUntil, now.steady);
    int count = static_cast<int>(indexes.size());
    int allowed = countAllowed(state, candidate, count, pass.reservations, now, actions);
    if (allowed == 0)
        return true;
    std::vector<Place> places = findPlaces(state, candidate, allowed, pass, now.steady);
    for (int i = 0; i < allowed; ++i) {
        const TaskRow& task = rowOf(candidate).tasks[indexes[i]];
        Place* it = choosePlace(task, places);
        if (!it) {
            // Room that was reserved for the tasks started above is available again, so search at once.
            if (i > 0)
                rowOf(candidate).nextPreemption = now.steady;
            preemptFor(state, candidate, allowed - i, pass, now, actions);
            return false;
        }
        --it->fits;
        RunRow run = makeRun(state, candidate, keyOf(candidate, indexes[i]), nextRunNumber(state, task.highestRun), *it->upstream, now.steady);
        startTask(state, candidate, run, *it->upstream, now, actions);
    }
    return true;
}

static int latestRun(const StepRow& row)
{
    int run = 0;
    for (const TaskRow& task : row.tasks)
        run = std::max(run, task.highestRun);
    return run;
}

/// The checkpoint of any member is valid for the whole gang.
static std::string gangCheckpoint(const StepRow& row)
{
    for (const TaskRow& task : row.tasks) {
        if (!task.checkpoint.empty())
            return task.checkpoint;
    }
    return {};
}

/// Starts all members of the gang or none. Returns false if there was no room.
static bool placeGang(CellState& state, const Candidate& candidate, PlacementPass& pass, const Instant& now, CellActions& actions)
{
    StepRow& row = rowOf(candidate);
    int count = static_cast<int>(row.tasks.size());
    std::vector<int> indexes = waitingTasks(candidate, pass.lossesKnownUntil, now.steady);
    // A member of an earlier run has not ended yet, or is in backoff.
    if (static_cast<int>(indexes.size()) < count)
        return true;
    if (countAllowed(state, candidate, count, pass.reservations, now, actions) < count)
        return true;
    std::vector<Place> places = findPlaces(state, candidate, count, pass, now.steady);
    std::vector<Place> rack = specOf(candidate).colocate ? findRack(places, count) : std::vector<Place>();
    if (!rack.empty())
        places = rack;
    int fits = 0;
    for (const Place& it : places)
        fits += it.fits;
    if (fits < count) {
        preemptFor(state, candidate, count, pass, now, actions);
        return false;
    }
    int run = nextRunNumber(state, latestRun(row));
    std::string checkpoint = gangCheckpoint(row);
    // Using few upstreams lowers the chance that one of them fails and ends the gang.
    std::sort(places.begin(), places.end(), [](const Place& a, const Place& b) { return a.fits > b.fits; });
    std::size_t next = 0;
    for (int index : indexes) {
        while (places[next].fits == 0)
            ++next;
        --places[next].fits;
        RunRow it = makeRun(state, candidate, keyOf(candidate, index), run, *places[next].upstream, now.steady);
        it.checkpoint = checkpoint;
        startTask(state, candidate, it, *places[next].upstream, now, actions);
    }
    return true;
}

/// Carries the reservations of all candidates into this pass, since earlier candidates must not use
/// room that is being freed for later ones.
static void renewReservations(const std::vector<Candidate>& candidates, ReservedRoom& reservations, TimePoint now)
{
    for (const Candidate& candidate : candidates) {
        StepRow& row = rowOf(candidate);
        if (!candidate.mayPreempt || now >= row.reservedUntil)
            row.reservations.clear();
        addReservations(reservations, row.reservations);
    }
}

static void findOpenUpstreams(CellState& state, TimePoint now, PlacementPass& pass)
{
    state.examinedPairs += kPairsPerUpstream * static_cast<std::int64_t>(state.upstreams.size());
    for (auto& [id, upstream] : state.upstreams) {
        if (!acceptsWork(state, upstream, now))
            continue;
        pass.open.push_back(&upstream);
        pass.byIncarnation.emplace_back(upstream.incarnation, &upstream);
    }
    std::sort(pass.byIncarnation.begin(), pass.byIncarnation.end());
}

/// The pause until the next pass, which keeps the share of passes below kMaxPassShare however many steps wait.
static Duration pauseAfter(const CellState& state, std::size_t candidates, std::int64_t pairs)
{
    std::chrono::nanoseconds cost = kCostPerCandidate * static_cast<std::int64_t>(candidates) + kCostPerPair * pairs;
    std::int64_t milliCpu = state.settings.milliCpu > 0 ? state.settings.milliCpu : kMilliCpuPerCore;
    double pause = static_cast<double>(cost.count()) * kMilliCpuPerCore / static_cast<double>(milliCpu) / kMaxPassShare;
    return std::max(kPassInterval, std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::nano>(pause)));
}

/// Makes what questions for advice share, once in a pass that has any.
static void preparePassForAdvice(CellState& state, PlacementPass& pass, TimePoint now)
{
    pass.advisers = findAdvisers(state, now);
    pass.byRoom = rankByRoom(pass.open);
}

static void placeCandidate(CellState& state, const Candidate& candidate, PlacementPass& pass, const Instant& now, CellActions& actions)
{
    bool isGang = specOf(candidate).gang;
    bool isPlaced = isGang ? placeGang(state, candidate, pass, now, actions) : placeSingles(state, candidate, pass, now, actions);
    reserveLimitFor(state, candidate, pass.reservations, now.steady);
    if (isPlaced || !candidate.route->advice || pass.saturated.count(candidate.priority) > 0)
        return;
    if (!pass.advisers)
        preparePassForAdvice(state, pass, now.steady);
    AdviceNeed need { candidate.route, candidate.step, candidate.mayPreempt };
    if (!askForAdvice(state, need, pass.byRoom, *pass.advisers, now, actions))
        pass.saturated.insert(candidate.priority);
}

/// Logs the first pass, and the end of the passes, whose inputs are older than their bounds as the store is away.
static void logOutagePasses(CellState& state, TimePoint now, CellActions& actions)
{
    bool isWithoutStore = !isConfigurationCurrent(state, now);
    if (isWithoutStore == state.ownership.startsWithoutStore)
        return;
    state.ownership.startsWithoutStore = isWithoutStore;
    std::string ages = "configuration last confirmed " + describeAge(state.configuration.confirmation, now) + ", ownership " + describeAge(state.membership.listing, now);
    logMessage(actions, LogLevel::Info, "placement", "", "", std::string(isWithoutStore ? "starts tasks although the store is away from the fleet; " : "the configuration is current again; ") + ages);
}

void tickPlacement(CellState& state, const Instant& now, CellActions& actions)
{
    bool isDue = state.placementDue ? now.steady >= state.nextPlacement : now.steady >= state.nextPlacement + kIdlePassInterval;
    if (!isDue || state.stopping || !mayIssueOrders(state, now.steady))
        return;
    if (!mayStartTasks(state, now.steady)) {
        state.counters.add("placement_passes_held_total");
        state.nextPlacement = now.steady + kPassInterval;
        return;
    }
    logOutagePasses(state, now.steady, actions);
    state.placementDue = false;
    state.counters.add("placement_passes_total");
    std::int64_t pairsBefore = state.examinedPairs;
    openDueOccurrences(state, now);
    updateUnseenUse(state, now.wallMs);
    bool onlyUrgent = now.steady < state.nextFullPlacement && state.waitingJobs.size() > kMaxJobsPerUrgentPass;
    if (!onlyUrgent)
        state.nextFullPlacement = now.steady + kFullPassInterval;
    std::vector<Candidate> candidates = collectCandidates(state, onlyUrgent, now);
    PlacementPass pass;
    // While the store is away from the fleet there can't be a successor.
    pass.lossesKnownUntil = isStoreAwayFromFleet(state, now.steady) ? now.steady : state.membership.listing.at;
    if (!candidates.empty())
        findOpenUpstreams(state, now.steady, pass);
    LargestRoom largest = findLargestRoom(pass.open);
    renewReservations(candidates, pass.reservations, now.steady);
    std::int64_t startsBefore = state.counters.get("task_starts_total");
    bool isCutShort = false;
    std::int64_t startsInTime = 0;
    for (const Candidate& candidate : candidates) {
        std::int64_t starts = state.counters.get("task_starts_total") - startsBefore;
        if (candidate.timeliness == Timeliness::InTime)
            startsInTime = starts;
        else if (isSaturated(state.loop) && starts - startsInTime >= kMaxLateStartsPerPass)
            break;
        if (starts >= kMaxStartsPerPass) {
            state.placementDue = true;
            isCutShort = true;
            break;
        }
        removeReservations(pass.reservations, rowOf(candidate).reservations);
        if (mayFit(largest, pass.open, candidate))
            placeCandidate(state, candidate, pass, now, actions);
    }
    Duration pause = pauseAfter(state, candidates.size(), state.examinedPairs - pairsBefore);
    state.nextPlacement = now.steady + (isCutShort ? std::max(kPassInterval, pause / kPauseDivisor) : pause);
}

} // namespace crocuslever::cell
