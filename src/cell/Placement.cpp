#include "src/cell/Placement.h"

#include <algorithm>

#include "src/cell/Advice.h"
#include "src/cell/Fit.h"
#include "src/cell/Jobs.h"
#include "src/cell/Ownership.h"
#include "src/cell/Preemption.h"
#include "src/cell/Runs.h"
#include "src/cell/StoreCalls.h"
#include "src/cell/Upstreams.h"

namespace crocuslever::cell {

static constexpr Duration kPassInterval = std::chrono::milliseconds(5);
/// Passes over a long queue cost more, and its jobs have to wait anyway.
static constexpr Duration kPassIntervalPerCandidate = std::chrono::microseconds(50);
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

/// True if tasks of the step may start on the upstream after the time `later`. Ignores room.
static bool acceptsTasksOf(const CellState& state, const Candidate& candidate, const UpstreamRow& upstream, TimePoint now, Duration later = Duration(0))
{
    if (!acceptsWork(state, upstream, now) || !isSuitable(specOf(candidate), *candidate.route, upstream))
        return false;
    return !candidate.route->advice || findTicket(rowOf(candidate), upstream, now + later);
}

static std::vector<Place> findPlaces(CellState& state, const Candidate& candidate, int most, const ReservedRoom& reservations, TimePoint now)
{
    const StepSpec& spec = specOf(candidate);
    std::vector<Place> places;
    state.examinedPairs += static_cast<std::int64_t>(state.upstreams.size());
    for (auto& [id, upstream] : state.upstreams) {
        Resources room = unreservedRoom(upstream, reservations);
        int fits = capPerUpstream(candidate, upstream, countFits(room, amountOf(spec), most));
        if (fits == 0 || !acceptsTasksOf(state, candidate, upstream, now))
            continue;
        bool isNear = spec.dataRack.empty() || spec.dataRack == upstream.entry.rack;
        places.push_back({ &upstream, fits, room.milliCpu - spec.each.milliCpu, isNear });
    }
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

static std::vector<TaskKey> waitingTasks(const Candidate& candidate, TimePoint now)
{
    std::vector<TaskKey> keys;
    const StepRow& row = rowOf(candidate);
    for (std::size_t i = 0; i < row.tasks.size(); ++i) {
        TaskKey key = candidate.step;
        key.index = static_cast<int>(i);
        if (row.tasks[i].phase == TaskPhase::Waiting && now >= row.tasks[i].notBefore)
            keys.push_back(key);
    }
    return keys;
}

/// Avoids the upstream of the latest run of a task that has failed, unless there is no other.
static Place* choosePlace(CellState& state, const TaskKey& key, std::vector<Place>& places)
{
    const TaskRow& task = *findTask(state, key);
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
static void preemptFor(CellState& state, const Candidate& candidate, int count, ReservedRoom& reservations, const Instant& now, CellActions& actions)
{
    StepRow& row = rowOf(candidate);
    if (!mayStartVictimSearch(candidate, reservations, now.steady)) {
        // Keeps the room that is being freed for this step until its next search.
        addReservations(reservations, row.reservations);
        return;
    }
    std::vector<PreemptionPlace> places;
    state.examinedPairs += static_cast<std::int64_t>(state.upstreams.size());
    for (auto& [id, upstream] : state.upstreams) {
        int most = capPerUpstream(candidate, upstream, count);
        // The ticket has to stay valid until the stopped runs have left.
        if (most > 0 && acceptsTasksOf(state, candidate, upstream, now.steady, state.settings.stopTime))
            places.push_back({ &upstream, most });
    }
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
static bool placeSingles(CellState& state, const Candidate& candidate, ReservedRoom& reservations, const Instant& now, CellActions& actions)
{
    std::vector<TaskKey> keys = waitingTasks(candidate, now.steady);
    int count = static_cast<int>(keys.size());
    int allowed = countAllowed(state, candidate, count, reservations, now, actions);
    if (allowed == 0)
        return true;
    std::vector<Place> places = findPlaces(state, candidate, allowed, reservations, now.steady);
    for (int i = 0; i < allowed; ++i) {
        Place* it = choosePlace(state, keys[i], places);
        if (!it) {
            // Room that was reserved for the tasks started above is available again, so search at once.
            if (i > 0)
                rowOf(candidate).nextPreemption = now.steady;
            preemptFor(state, candidate, allowed - i, reservations, now, actions);
            return false;
        }
        --it->fits;
        int run = findTask(state, keys[i])->run + 1;
        startTask(state, candidate, makeRun(state, candidate, keys[i], run, *it->upstream, now.steady), *it->upstream, now, actions);
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

static int nextGangRun(const StepRow& row)
{
    int run = 0;
    for (const TaskRow& task : row.tasks)
        run = std::max(run, task.run);
    return run + 1;
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
static bool placeGang(CellState& state, const Candidate& candidate, ReservedRoom& reservations, const Instant& now, CellActions& actions)
{
    StepRow& row = rowOf(candidate);
    int count = static_cast<int>(row.tasks.size());
    std::vector<TaskKey> keys = waitingTasks(candidate, now.steady);
    // A member of an earlier run has not ended yet, or is in backoff.
    if (static_cast<int>(keys.size()) < count)
        return true;
    if (countAllowed(state, candidate, count, reservations, now, actions) < count)
        return true;
    std::vector<Place> places = findPlaces(state, candidate, count, reservations, now.steady);
    std::vector<Place> rack = specOf(candidate).colocate ? findRack(places, count) : std::vector<Place>();
    if (!rack.empty())
        places = rack;
    int fits = 0;
    for (const Place& it : places)
        fits += it.fits;
    if (fits < count) {
        preemptFor(state, candidate, count, reservations, now, actions);
        return false;
    }
    int run = nextGangRun(row);
    std::string checkpoint = gangCheckpoint(row);
    // Using few upstreams lowers the chance that one of them fails and ends the gang.
    std::sort(places.begin(), places.end(), [](const Place& a, const Place& b) { return a.fits > b.fits; });
    std::size_t next = 0;
    for (const TaskKey& key : keys) {
        while (places[next].fits == 0)
            ++next;
        --places[next].fits;
        RunRow it = makeRun(state, candidate, key, run, *places[next].upstream, now.steady);
        it.checkpoint = checkpoint;
        startTask(state, candidate, it, *places[next].upstream, now, actions);
    }
    return true;
}

namespace {

/// Upper bound on the room that any upstream can offer, by priority. Skips candidates that fit nowhere.
class LargestRoom {
public:
    LargestRoom(const CellState& state, TimePoint now)
        : m_state(state)
        , m_now(now)
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
        for (const auto& [id, upstream] : m_state.upstreams) {
            if (acceptsWork(m_state, upstream, m_now))
                largest = maximum(largest, roomOf(upstream));
        }
        return largest;
    }

    const Resources& afterPreemption(int priority)
    {
        auto it = m_afterPreemption.find(priority);
        if (it == m_afterPreemption.end())
            it = m_afterPreemption.emplace(priority, find([priority](const UpstreamRow& upstream) { return roomAfterPreemption(upstream, priority); })).first;
        return it->second;
    }

    const CellState& m_state;
    TimePoint m_now;
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

void tickPlacement(CellState& state, const Instant& now, CellActions& actions)
{
    bool isDue = state.placementDue ? now.steady >= state.nextPlacement : now.steady >= state.nextPlacement + kIdlePassInterval;
    if (!isDue || !mayIssueOrders(state, now.steady) || !state.policy || state.stopping)
        return;
    state.placementDue = false;
    state.counters.add("placement_passes_total");
    std::vector<Candidate> candidates = collectCandidates(state, now);
    state.nextPlacement = now.steady + kPassInterval + kPassIntervalPerCandidate * static_cast<std::int64_t>(candidates.size());
    ReservedRoom reservations;
    LargestRoom largest(state, now.steady);
    std::set<int> saturated; ///< Priorities for which all instances are at their limit of questions.
    renewReservations(candidates, reservations, now.steady);
    for (const Candidate& candidate : candidates) {
        removeReservations(reservations, rowOf(candidate).reservations);
        if (!largest.mayFit(candidate))
            continue;
        bool isGang = specOf(candidate).gang;
        bool isPlaced = isGang ? placeGang(state, candidate, reservations, now, actions) : placeSingles(state, candidate, reservations, now, actions);
        reserveLimitFor(state, candidate, reservations, now.steady);
        if (isPlaced || !candidate.route->advice || saturated.count(candidate.priority) > 0)
            continue;
        if (!askForAdvice(state, *candidate.route, candidate.step, candidate.timeliness == Timeliness::InTime, now, actions))
            saturated.insert(candidate.priority);
    }
}

} // namespace crocuslever::cell
