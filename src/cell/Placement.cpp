#include "src/cell/Placement.h"

#include <algorithm>

#include "src/cell/Advice.h"
#include "src/cell/Fit.h"
#include "src/cell/Jobs.h"
#include "src/cell/Ownership.h"
#include "src/cell/PlacementPass.h"
#include "src/cell/Preemption.h"
#include "src/cell/Runs.h"
#include "src/cell/StoreCalls.h"
#include "src/cell/Upstreams.h"

namespace crocuslever::cell {

static constexpr Duration kPassInterval = std::chrono::milliseconds(5);
/// Most of the owner's processor time that passes may take. Everything else on the owner waits for a pass.
static constexpr double kMaxPassShare = 0.2;
/// Processor time that a pass takes on a whole core, for each waiting step and for each pair of step and upstream.
static constexpr std::chrono::nanoseconds kCostPerCandidate { 2000 };
static constexpr std::chrono::nanoseconds kCostPerPair { 40 };
static constexpr std::int64_t kMilliCpuPerCore = 1000;
/// Passes also run without an event: occurrences become due, backoffs end and tickets expire.
static constexpr Duration kIdlePassInterval = std::chrono::milliseconds(50);
/// Between two searches for runs that a step may preempt; the result does not change sooner.
static constexpr Duration kPreemptionInterval = std::chrono::milliseconds(50);
/// While the cell stays full, repeated preemption of a task costs more than it gains.
static constexpr int kMaxPreemptionsPerTask = 1;
/// A search visits all runs, so a backlog of searches would take all of the owner's time.
static constexpr int kMaxVictimSearchesPerPass = 8;
/// Allows for a stop order that has to be resent.
static constexpr Duration kReservationSlack = std::chrono::milliseconds(200);
/// On/off interval of a limit reservation, and how long it outlasts the wait for the limit.
static constexpr Duration kLimitReserve = std::chrono::seconds(2);
/// A job older than this many times its objective is of no use to its submitter.
static constexpr double kMaxObjectiveMultiple = 3.0;

namespace {

/// Whether a job that starts now can meet its objective. The order is that of placement.
enum class Timeliness {
    InTime, ///< It can still meet its objective.
    Late,
    Useless, ///< Too late to be of any use.
};

/// A step with tasks to place, and its sort key.
struct Candidate {
    JobRow* job { nullptr };
    const Route* route { nullptr };
    TaskKey step; ///< `index` is unused.
    Timeliness timeliness { Timeliness::InTime };
    int priority { 0 };
    std::int64_t acceptedMs { 0 };

    bool operator<(const Candidate& other) const
    {
        return std::tie(timeliness, priority, acceptedMs, step) < std::tie(other.timeliness, other.priority, other.acceptedMs, other.step);
    }
};

/// An upstream with room for tasks of a step.
struct Place {
    UpstreamRow* upstream { nullptr };
    int fits { 0 }; ///< Number of tasks that fit.
    std::int64_t leftMilliCpu { 0 }; ///< Free processor share after one task was placed.
    bool isNearData { false };
};

} // namespace

static StepRow& rowOf(const Candidate& candidate)
{
    return candidate.job->occurrences[candidate.step.occurrence].steps[candidate.step.step];
}

static const StepSpec& specOf(const Candidate& candidate) { return specOf(*candidate.job, candidate.step); }

/// Late jobs go last: in a full cell they would otherwise make every job behind
/// them late as well.
static Timeliness classifyTimeliness(const JobRow& job, const Route& route, std::int64_t wallMs)
{
    if (job.record.spec.occurrences > 0)
        return Timeliness::InTime;
    double criticalPathMs = static_cast<double>(toMilliseconds(job.estimatedCriticalPath));
    double objectiveMs = route.stretch * criticalPathMs + static_cast<double>(toMilliseconds(route.targetDuration));
    double ageMs = static_cast<double>(wallMs - job.record.acceptedMs);
    if (ageMs > kMaxObjectiveMultiple * objectiveMs)
        return Timeliness::Useless;
    return job.hasStarted || ageMs + criticalPathMs <= objectiveMs ? Timeliness::InTime : Timeliness::Late;
}

/// True if an earlier owner may have started tasks of the job on an upstream that was not polled yet.
static bool mayHaveUnknownRun(const CellState& state, const JobRow& job)
{
    return !state.ownership.areEarlierRunsKnown && job.revision <= state.ownership.epochRevision;
}

static void addCandidates(const CellState& state, JobRow& job, const Instant& now, std::vector<Candidate>& all)
{
    const Route* route = findRouteByName(*state.policy, job.record.route);
    if (!route || job.ended || mayHaveUnknownRun(state, job))
        return;
    Timeliness timeliness = classifyTimeliness(job, *route, now.wallMs);
    for (std::size_t k = 0; k < job.occurrences.size(); ++k) {
        std::vector<StepRow>& steps = job.occurrences[k].steps;
        for (std::size_t s = 0; s < steps.size(); ++s) {
            int occurrence = static_cast<int>(k);
            int step = static_cast<int>(s);
            if (steps[s].waiting > 0 && isStepReady(state, job, occurrence, step, now.wallMs))
                all.push_back({ &job, route, { job.record.id, occurrence, step, 0 }, timeliness, route->priority, job.record.acceptedMs });
        }
    }
}

static std::vector<Candidate> collectCandidates(CellState& state, const Instant& now)
{
    std::vector<Candidate> all;
    for (const std::string& id : state.waitingJobs)
        addCandidates(state, *findJob(state, id), now, all);
    std::sort(all.begin(), all.end());
    return all;
}

static int countOnUpstream(const UpstreamRow& upstream, const TaskKey& step)
{
    return static_cast<int>(std::count_if(upstream.runs.begin(), upstream.runs.end(), [&step](const auto& item) {
        const TaskKey& key = item.second.task;
        return key.job == step.job && key.occurrence == step.occurrence && key.step == step.step;
    }));
}

static int capPerUpstream(const Candidate& candidate, const UpstreamRow& upstream, int n)
{
    const StepSpec& spec = specOf(candidate);
    if (n > 0 && spec.maximumPerUpstream > 0)
        n = std::min(n, spec.maximumPerUpstream - countOnUpstream(upstream, candidate.step));
    return std::max(n, 0);
}

/// Visits the open upstreams on which tasks of the step may start at that time. Ignores room.
/// Steps that need tickets have few such upstreams, and only those are examined.
template <typename Visit>
static void visitPlaces(CellState& state, const Candidate& candidate, const PlacementPass& pass, TimePoint at, Visit visit)
{
    const StepSpec& spec = specOf(candidate);
    if (!candidate.route->advice) {
        state.examinedPairs += static_cast<std::int64_t>(pass.open.size());
        for (UpstreamRow* upstream : pass.open) {
            if (isSuitable(spec, *candidate.route, *upstream))
                visit(*upstream);
        }
        return;
    }
    const StepAdvice& advice = rowOf(candidate).advice;
    state.examinedPairs += static_cast<std::int64_t>(advice.good.size());
    for (const auto& [incarnation, grant] : advice.good) {
        auto it = isValidAt(grant, at) ? pass.byIncarnation.find(incarnation) : pass.byIncarnation.end();
        if (it != pass.byIncarnation.end() && isSuitable(spec, *candidate.route, *it->second))
            visit(*it->second);
    }
}

static std::vector<Place> findPlaces(CellState& state, const Candidate& candidate, int most, const PlacementPass& pass, TimePoint now)
{
    const StepSpec& spec = specOf(candidate);
    Resources each = amountOf(spec);
    std::vector<Place> places;
    visitPlaces(state, candidate, pass, now, [&](UpstreamRow& upstream) {
        if (countFits(roomOn(upstream), each, 1) == 0)
            return;
        Resources room = unreservedRoom(upstream, pass.reservations);
        int fits = capPerUpstream(candidate, upstream, countFits(room, each, most));
        if (fits == 0)
            return;
        bool isNear = spec.dataRack.empty() || spec.dataRack == upstream.entry.rack;
        places.push_back({ &upstream, fits, room.milliCpu - spec.each.milliCpu, isNear });
    });
    // Best fit: keeps large free areas for large tasks.
    std::sort(places.begin(), places.end(), [](const Place& a, const Place& b) {
        return std::make_tuple(!a.isNearData, a.leftMilliCpu, a.upstream->incarnation) < std::make_tuple(!b.isNearData, b.leftMilliCpu, b.upstream->incarnation);
    });
    return places;
}

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

/// Indexes of the step's tasks that may start now.
static std::vector<int> waitingTasks(const Candidate& candidate, TimePoint now)
{
    std::vector<int> indexes;
    const StepRow& row = rowOf(candidate);
    for (std::size_t i = 0; i < row.tasks.size(); ++i) {
        if (row.tasks[i].phase == TaskPhase::Waiting && now >= row.tasks[i].notBefore)
            indexes.push_back(static_cast<int>(i));
    }
    return indexes;
}

static TaskKey keyOf(const Candidate& candidate, int index)
{
    TaskKey key = candidate.step;
    key.index = index;
    return key;
}

/// Avoids the upstream of the latest run of a task that has failed, unless there is no other.
static Place* choosePlace(const TaskRow& task, std::vector<Place>& places)
{
    Place* fallback = nullptr;
    for (Place& it : places) {
        if (it.fits <= 0)
            continue;
        if (task.failedRuns.empty() || it.upstream->entry.id != task.upstream)
            return &it;
        fallback = &it;
    }
    return fallback;
}

/// Limits the searches for runs to preempt, by step and by pass; each of them visits all runs.
static bool mayStartVictimSearch(const Candidate& candidate, ReservedRoom& reservations, TimePoint now)
{
    StepRow& row = rowOf(candidate);
    if (candidate.timeliness != Timeliness::InTime || now < row.nextPreemption || reservations.victimSearches >= kMaxVictimSearchesPerPass)
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
    std::vector<PreemptionPlace> places;
    Resources each = amountOf(specOf(candidate));
    // The ticket has to stay valid until the stopped runs have left.
    visitPlaces(state, candidate, pass, now.steady + state.settings.stopTime, [&](UpstreamRow& upstream) {
        if (countFits(roomAfterPreemption(upstream, candidate.priority), each, 1) == 0)
            return;
        int most = capPerUpstream(candidate, upstream, count);
        if (most > 0)
            places.push_back({ &upstream, most });
    });
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
    if (allowed < count && candidate.timeliness == Timeliness::InTime)
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
    if (row.waiting == 0 || candidate.timeliness != Timeliness::InTime || !row.limitedSince)
        return;
    RoomRequest request = makeRoomRequest(candidate, row.waiting);
    bool isOffInterval = (now - *row.limitedSince) / kLimitReserve % 2 == 1;
    if (!isOffInterval || isWithinHalfOfLimit(state, request.team, request.each, request.count))
        reserveLimit(reservations, request);
}

/// Starts as many tasks as there is room for. Returns false if tasks that the team's limit allows are left.
static bool placeSingles(CellState& state, const Candidate& candidate, PlacementPass& pass, const Instant& now, CellActions& actions)
{
    std::vector<int> indexes = waitingTasks(candidate, now.steady);
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
        RunRow run = makeRun(state, candidate, keyOf(candidate, indexes[i]), nextRunNumber(state, task.run), *it->upstream, now.steady);
        startTask(state, candidate, run, *it->upstream, now, actions);
    }
    return true;
}

/// The places of a rack that fits all `count` tasks; empty if there is none.
static std::vector<Place> findRack(const std::vector<Place>& places, int count)
{
    std::map<std::string, int> fits;
    for (const Place& it : places)
        fits[it.upstream->entry.rack] += it.fits;
    for (const auto& [name, n] : fits) {
        const std::string& rack = name;
        if (n < count)
            continue;
        std::vector<Place> chosen;
        std::copy_if(places.begin(), places.end(), std::back_inserter(chosen), [&rack](const Place& it) { return it.upstream->entry.rack == rack; });
        return chosen;
    }
    return {};
}

static int latestRun(const StepRow& row)
{
    int run = 0;
    for (const TaskRow& task : row.tasks)
        run = std::max(run, task.run);
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
    std::vector<int> indexes = waitingTasks(candidate, now.steady);
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

namespace {

/// Upper bound on the room that any upstream can offer, by priority. Skips candidates that fit nowhere.
class LargestRoom {
public:
    explicit LargestRoom(const std::vector<UpstreamRow*>& open)
        : m_open(open)
        , m_free(find([](const UpstreamRow& upstream) { return roomOn(upstream); }))
    {
    }

    bool mayFit(const Candidate& candidate)
    {
        Resources each = amountOf(specOf(candidate));
        if (each.fitsIn(m_free))
            return true;
        return candidate.timeliness == Timeliness::InTime && each.fitsIn(afterPreemption(candidate.priority));
    }

private:
    template <typename Room>
    Resources find(Room roomOf) const
    {
        Resources largest;
        for (const UpstreamRow* upstream : m_open)
            largest = maximum(largest, roomOf(*upstream));
        return largest;
    }

    const Resources& afterPreemption(int priority)
    {
        auto it = m_afterPreemption.find(priority);
        if (it == m_afterPreemption.end())
            it = m_afterPreemption.emplace(priority, find([priority](const UpstreamRow& upstream) { return roomAfterPreemption(upstream, priority); })).first;
        return it->second;
    }

    const std::vector<UpstreamRow*>& m_open;
    Resources m_free;
    std::map<int, Resources> m_afterPreemption;
};

} // namespace

/// Carries the reservations of all candidates into this pass, since earlier candidates must not use
/// room that is being freed for later ones.
static void renewReservations(const std::vector<Candidate>& candidates, ReservedRoom& reservations, TimePoint now)
{
    for (const Candidate& candidate : candidates) {
        StepRow& row = rowOf(candidate);
        if (candidate.timeliness != Timeliness::InTime || now >= row.reservedUntil)
            row.reservations.clear();
        addReservations(reservations, row.reservations);
    }
}

static void findOpenUpstreams(CellState& state, TimePoint now, PlacementPass& pass)
{
    for (auto& [id, upstream] : state.upstreams) {
        if (!acceptsWork(state, upstream, now))
            continue;
        pass.open.push_back(&upstream);
        pass.byIncarnation.emplace(upstream.incarnation, &upstream);
    }
}

/// The pause until the next pass, which keeps the share of passes below kMaxPassShare however many steps wait.
static Duration pauseAfter(const CellState& state, std::size_t candidates, std::int64_t pairs)
{
    std::chrono::nanoseconds cost = kCostPerCandidate * static_cast<std::int64_t>(candidates) + kCostPerPair * pairs;
    std::int64_t milliCpu = state.settings.milliCpu > 0 ? state.settings.milliCpu : kMilliCpuPerCore;
    double pause = static_cast<double>(cost.count()) * kMilliCpuPerCore / static_cast<double>(milliCpu) / kMaxPassShare;
    return std::max(kPassInterval, std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::nano>(pause)));
}

static void placeCandidate(CellState& state, const Candidate& candidate, PlacementPass& pass, const Instant& now, CellActions& actions)
{
    bool isGang = specOf(candidate).gang;
    bool isPlaced = isGang ? placeGang(state, candidate, pass, now, actions) : placeSingles(state, candidate, pass, now, actions);
    reserveLimitFor(state, candidate, pass.reservations, now.steady);
    if (isPlaced || !candidate.route->advice || pass.saturated.count(candidate.priority) > 0)
        return;
    if (!pass.advisers)
        pass.advisers = findAdvisers(state, now.steady);
    AdviceNeed need { candidate.route, candidate.step, candidate.timeliness == Timeliness::InTime };
    if (!askForAdvice(state, need, pass.open, *pass.advisers, now, actions))
        pass.saturated.insert(candidate.priority);
}

void tickPlacement(CellState& state, const Instant& now, CellActions& actions)
{
    bool isDue = state.placementDue ? now.steady >= state.nextPlacement : now.steady >= state.nextPlacement + kIdlePassInterval;
    if (!isDue || !mayIssueOrders(state, now.steady) || !state.policy || state.stopping)
        return;
    state.placementDue = false;
    state.counters.add("placement_passes_total");
    std::int64_t pairsBefore = state.examinedPairs;
    std::vector<Candidate> candidates = collectCandidates(state, now);
    PlacementPass pass;
    if (!candidates.empty())
        findOpenUpstreams(state, now.steady, pass);
    LargestRoom largest(pass.open);
    renewReservations(candidates, pass.reservations, now.steady);
    for (const Candidate& candidate : candidates) {
        removeReservations(pass.reservations, rowOf(candidate).reservations);
        if (largest.mayFit(candidate))
            placeCandidate(state, candidate, pass, now, actions);
    }
    state.nextPlacement = now.steady + pauseAfter(state, candidates.size(), state.examinedPairs - pairsBefore);
}

} // namespace crocuslever::cell
