#include "src/cell/Preemption.h"

#include <algorithm>

#include "src/cell/Fit.h"
#include "src/cell/Jobs.h"
#include "src/cell/Runs.h"
#include "src/cell/StoreCalls.h"

namespace crocuslever::cell {

/// Without a minimum run time, runs that have just started could be stopped again and again.
static constexpr Duration kMinRunTime = std::chrono::milliseconds(400);

namespace {

/// A run that may be stopped.
struct Victim {
    UpstreamRow* upstream { nullptr };
    std::string name;
    std::string team;
    int priority { 0 };
    TimePoint startedAt;
    Resources amount;
};

} // namespace

static Resources reservedOn(const ReservedRoom& reservations, const UpstreamRow& upstream)
{
    auto it = reservations.amounts.find(upstream.incarnation);
    return it == reservations.amounts.end() ? Resources {} : it->second;
}

Resources unreservedRoom(const UpstreamRow& upstream, const ReservedRoom& reservations)
{
    Resources room = roomOn(upstream);
    auto it = reservations.amounts.find(upstream.incarnation);
    if (it == reservations.amounts.end())
        return room;
    return minimum(room, room + upstream.use.stopping - it->second);
}

static bool mayPreempt(const RunRow& run, int priority)
{
    return run.isPreemptible && run.priority > priority;
}

/// What the runs that are being stopped, and those that this priority may preempt, hold.
static Resources freeable(const RoomUse& use, int priority)
{
    Resources sum = use.stopping;
    for (auto it = use.preemptible.upper_bound(priority); it != use.preemptible.end(); ++it)
        sum = sum + it->second;
    return sum;
}

Resources roomAfterPreemption(const UpstreamRow& upstream, int priority) { return roomOn(upstream) + freeable(upstream.use, priority); }

/// `team`: only runs of this team; null: of all.
static void addVictims(UpstreamRow& upstream, int priority, const std::string* team, TimePoint now, std::vector<Victim>& victims)
{
    for (const auto& [name, run] : upstream.runs) {
        if (team && run.team != *team)
            continue;
        bool mayStop = run.confirmed && !run.stopping && now - run.startedAt >= kMinRunTime;
        if (mayStop && mayPreempt(run, priority))
            victims.push_back({ &upstream, name, run.team, run.priority, run.startedAt, run.amount });
    }
}

/// Least urgent first, then the most recently started.
static void sortVictims(std::vector<Victim>& victims)
{
    std::sort(victims.begin(), victims.end(), [](const Victim& a, const Victim& b) {
        return std::tie(b.priority, b.startedAt, a.name) < std::tie(a.priority, a.startedAt, b.name);
    });
}

static std::vector<Victim> findVictims(UpstreamRow& upstream, int priority, TimePoint now)
{
    std::vector<Victim> victims;
    addVictims(upstream, priority, nullptr, now, victims);
    sortVictims(victims);
    return victims;
}

/// Reserves room that stops in progress will free. Returns the number of tasks without room.
static int reserveFreedRoom(ReservedRoom& reservations, const std::vector<PreemptionPlace>& places, const RoomRequest& request)
{
    int left = request.count;
    for (const PreemptionPlace& it : places) {
        Resources room = roomOn(*it.upstream) + it.upstream->use.stopping - reservedOn(reservations, *it.upstream);
        int fits = countFits(room, request.each, std::min(left, it.most));
        for (int n = 0; n < fits; ++n)
            reservations.amounts[it.upstream->incarnation] = reservedOn(reservations, *it.upstream) + request.each;
        left -= fits;
    }
    return left;
}

/// Adds victims on one upstream to the plan and reserves their room, for up to `most` tasks.
/// Returns the number of tasks that get room.
static int planVictimsOn(const PreemptionPlace& place, const RoomRequest& request, int most, ReservedRoom& reservations, std::vector<Victim>& plan, TimePoint now)
{
    UpstreamRow& upstream = *place.upstream;
    Resources room = roomOn(upstream) + upstream.use.stopping - reservedOn(reservations, upstream);
    int planned = 0;
    std::vector<Victim> chosen;
    for (const Victim& victim : findVictims(upstream, request.priority, now)) {
        if (planned >= std::min(most, place.most))
            break;
        room = room + victim.amount;
        chosen.push_back(victim);
        if (countFits(room, request.each, 1) == 0)
            continue;
        room = room - request.each;
        reservations.amounts[upstream.incarnation] = reservedOn(reservations, upstream) + request.each;
        plan.insert(plan.end(), chosen.begin(), chosen.end());
        chosen.clear();
        ++planned;
    }
    return planned;
}

static void stopVictims(CellState& state, const std::vector<Victim>& victims, const RoomRequest& request, const std::string& why, const Instant& now, CellActions& actions)
{
    std::string reason = " preempted for priority " + std::to_string(request.priority) + ": " + why;
    for (const Victim& victim : victims) {
        std::string message = victim.name;
        message += " with priority ";
        message += std::to_string(victim.priority);
        message += reason;
        logMessage(actions, LogLevel::Info, "task.preempt", victim.upstream->entry.id, request.job, message);
        state.counters.add("tasks_preempted_total");
        TaskRow* task = findTask(state, victim.upstream->runs.at(victim.name).task);
        if (task)
            ++task->preemptions;
        stopRun(state, *victim.upstream, victim.name, now, actions);
    }
}

std::map<UpstreamIncarnation, Resources> makeRoom(CellState& state, ReservedRoom& reservations, const std::vector<PreemptionPlace>& places, const RoomRequest& request, const Instant& now, CellActions& actions)
{
    ReservedRoom all = reservations;
    int left = reserveFreedRoom(all, places, request);
    std::vector<Victim> plan;
    for (const PreemptionPlace& it : places) {
        if (left == 0)
            break;
        left -= planVictimsOn(it, request, left, all, plan, now.steady);
    }
    if (left > 0 && request.allOrNone)
        return {};
    stopVictims(state, plan, request, "upstreams are full", now, actions);
    std::map<UpstreamIncarnation, Resources> added;
    for (const auto& [incarnation, amount] : all.amounts) {
        Resources more = amount - reservations.amounts[incarnation];
        if (more != Resources {})
            added[incarnation] = more;
    }
    reservations = std::move(all);
    return added;
}

void addReservations(ReservedRoom& reservations, const std::map<UpstreamIncarnation, Resources>& amounts)
{
    for (const auto& [incarnation, amount] : amounts)
        reservations.amounts[incarnation] = reservations.amounts[incarnation] + amount;
}

void removeReservations(ReservedRoom& reservations, const std::map<UpstreamIncarnation, Resources>& amounts)
{
    for (const auto& [incarnation, amount] : amounts)
        reservations.amounts[incarnation] = reservations.amounts[incarnation] - amount;
}

static Resources scale(const Resources& each, int count)
{
    return { each.milliCpu * count, each.memoryMb * count, each.accelerators * count, each.slots * count };
}

Resources reservedForTeam(const ReservedRoom& reservations, const std::string& team)
{
    auto it = reservations.byTeam.find(team);
    return it == reservations.byTeam.end() ? Resources {} : it->second;
}

void reserveLimit(ReservedRoom& reservations, const RoomRequest& request)
{
    Resources& amount = reservations.byTeam[request.team];
    amount = amount + scale(request.each, request.count);
}

void makeRoomBelowLimit(CellState& state, const ReservedRoom& reservations, const RoomRequest& request, const Instant& now, CellActions& actions)
{
    auto use = state.teamUse.find(request.team);
    if (use == state.teamUse.end())
        return;
    Resources reserved = reservedForTeam(reservations, request.team);
    Resources freed = use->second.stopping;
    auto countWith = [&](const Resources& room) { return countWithinLimit(state, request.team, reserved - room, request.each, request.count); };
    int most = countWith(freeable(use->second, request.priority));
    bool isUseless = most <= countWith(freed) || (request.allOrNone && most < request.count);
    if (isUseless)
        return;
    std::vector<Victim> victims;
    for (auto& [id, upstream] : state.upstreams)
        addVictims(upstream, request.priority, &request.team, now.steady, victims);
    state.examinedPairs += static_cast<std::int64_t>(state.upstreams.size());
    sortVictims(victims);
    std::vector<Victim> plan;
    auto isEnough = [&] { return countWith(freed) == request.count; };
    for (const Victim& victim : victims) {
        if (isEnough())
            break;
        freed = freed + victim.amount;
        plan.push_back(victim);
    }
    if (isEnough() || !request.allOrNone)
        stopVictims(state, plan, request, "the team's limit is reached", now, actions);
}

} // namespace crocuslever::cell
