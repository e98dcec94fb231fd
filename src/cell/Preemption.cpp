#include "src/cell/Preemption.h"

#include <algorithm>

#include "src/cell/Ask.h"
#include "src/cell/Fit.h"
#include "src/cell/Jobs.h"
#include "src/cell/Runs.h"

namespace crocuslever::cell {

/// Work that has only just begun would be stopped again and again.
static constexpr Duration kLeastRun = std::chrono::milliseconds(400);

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

static Resources promisedOf(const PromisedRoom& promised, const UpstreamRow& upstream)
{
    auto it = promised.amounts.find(upstream.life);
    return it == promised.amounts.end() ? Resources {} : it->second;
}

static Resources minimum(const Resources& a, const Resources& b)
{
    return a + b - maximum(a, b);
}

Resources unpromisedRoom(const UpstreamRow& upstream, const PromisedRoom& promised)
{
    Resources room = roomOn(upstream);
    auto it = promised.amounts.find(upstream.life);
    if (it == promised.amounts.end())
        return room;
    return minimum(room, room + upstream.stopping - it->second);
}

static bool mayPreempt(const RunRow& run, int priority)
{
    return run.resumes && run.priority > priority;
}

Resources roomAfterPreemption(const UpstreamRow& upstream, int priority)
{
    Resources room = roomOn(upstream) + upstream.stopping;
    for (auto it = upstream.resumable.upper_bound(priority); it != upstream.resumable.end(); ++it)
        room = room + it->second;
    return room;
}

static void addVictims(UpstreamRow& upstream, int priority, TimePoint now, std::vector<Victim>& victims)
{
    for (const auto& [name, run] : upstream.runs) {
        bool isSettled = run.confirmed && !run.stopping && now - run.startedAt >= kLeastRun;
        if (isSettled && mayPreempt(run, priority))
            victims.push_back({ &upstream, name, run.team, run.priority, run.startedAt, run.amount });
    }
}

/// Least urgent first, then what was started last.
static void sortVictims(std::vector<Victim>& victims)
{
    std::sort(victims.begin(), victims.end(), [](const Victim& a, const Victim& b) {
        return std::tie(b.priority, b.startedAt, a.name) < std::tie(a.priority, a.startedAt, b.name);
    });
}

static std::vector<Victim> findVictims(UpstreamRow& upstream, int priority, TimePoint now)
{
    std::vector<Victim> victims;
    addVictims(upstream, priority, now, victims);
    sortVictims(victims);
    return victims;
}

/// Takes what stops under way will free. The number of tasks that are left.
static int promiseFreedRoom(PromisedRoom& promised, const std::vector<PreemptionPlace>& places, const RoomRequest& request)
{
    int left = request.count;
    for (const PreemptionPlace& it : places) {
        Resources room = roomOn(*it.upstream) + it.upstream->stopping - promisedOf(promised, *it.upstream);
        int fits = countFits(room, request.each, std::min(left, it.most));
        for (int n = 0; n < fits; ++n)
            promised.amounts[it.upstream->life] = promisedOf(promised, *it.upstream) + request.each;
        left -= fits;
    }
    return left;
}

/// Victims on one upstream for up to `most` tasks; promises their room.
static int planOn(const PreemptionPlace& place, const RoomRequest& request, int most, PromisedRoom& promised, std::vector<Victim>& plan, TimePoint now)
{
    UpstreamRow& upstream = *place.upstream;
    Resources room = roomOn(upstream) + upstream.stopping - promisedOf(promised, upstream);
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
        promised.amounts[upstream.life] = promisedOf(promised, upstream) + request.each;
        plan.insert(plan.end(), chosen.begin(), chosen.end());
        chosen.clear();
        ++planned;
    }
    return planned;
}

static void stopVictims(CellState& state, const std::vector<Victim>& victims, const RoomRequest& request, const std::string& why, const Instant& now, CellActions& actions)
{
    std::string reason = " is stopped for priority " + std::to_string(request.priority) + ": " + why;
    for (const Victim& victim : victims) {
        std::string message = victim.name;
        message += " of priority ";
        message += std::to_string(victim.priority);
        message += reason;
        note(actions, LogLevel::Info, "task.preempt", victim.upstream->entry.id, request.job, message);
        state.counters.add("tasks_preempted_total");
        TaskRow* task = findTask(state, victim.upstream->runs.at(victim.name).task);
        if (task)
            ++task->preemptions;
        stopRun(state, *victim.upstream, victim.name, now, actions);
    }
}

std::map<LifeId, Resources> makeRoom(CellState& state, PromisedRoom& promised, const std::vector<PreemptionPlace>& places, const RoomRequest& request, const Instant& now, CellActions& actions)
{
    PromisedRoom all = promised;
    int left = promiseFreedRoom(all, places, request);
    std::vector<Victim> plan;
    for (const PreemptionPlace& it : places) {
        if (left == 0)
            break;
        left -= planOn(it, request, left, all, plan, now.steady);
    }
    if (left > 0 && request.allOrNone)
        return {};
    stopVictims(state, plan, request, "no room", now, actions);
    std::map<LifeId, Resources> added;
    for (const auto& [life, amount] : all.amounts) {
        Resources more = amount - promised.amounts[life];
        if (more != Resources {})
            added[life] = more;
    }
    promised = std::move(all);
    return added;
}

void promiseAgain(PromisedRoom& promised, const std::map<LifeId, Resources>& amounts)
{
    for (const auto& [life, amount] : amounts)
        promised.amounts[life] = promised.amounts[life] + amount;
}

void withdrawPromise(PromisedRoom& promised, const std::map<LifeId, Resources>& amounts)
{
    for (const auto& [life, amount] : amounts)
        promised.amounts[life] = promised.amounts[life] - amount;
}

static Resources timesCount(const Resources& each, int count)
{
    return { each.milliCpu * count, each.memoryMb * count, each.accelerators * count, each.slots * count };
}

Resources promisedToTeam(const PromisedRoom& promised, const std::string& team)
{
    auto it = promised.ofTeams.find(team);
    return it == promised.ofTeams.end() ? Resources {} : it->second;
}

void reserveLimit(PromisedRoom& promised, const RoomRequest& request)
{
    Resources& amount = promised.ofTeams[request.team];
    amount = amount + timesCount(request.each, request.count);
}

/// What runs of the team take that are being stopped.
static Resources stoppingOf(const UpstreamRow& upstream, const std::string& team)
{
    Resources sum;
    for (const auto& [name, run] : upstream.runs) {
        if (run.stopping && run.team == team)
            sum = sum + run.amount;
    }
    return sum;
}

void makeRoomBelowLimit(CellState& state, const PromisedRoom& promised, const RoomRequest& request, const Instant& now, CellActions& actions)
{
    Resources freed;
    std::vector<Victim> victims;
    for (auto& [id, upstream] : state.upstreams) {
        addVictims(upstream, request.priority, now.steady, victims);
        freed = freed + stoppingOf(upstream, request.team);
    }
    auto isOther = [&request](const Victim& it) { return it.team != request.team; };
    victims.erase(std::remove_if(victims.begin(), victims.end(), isOther), victims.end());
    sortVictims(victims);
    std::vector<Victim> plan;
    Resources reserved = promisedToTeam(promised, request.team);
    auto isEnough = [&] { return countWithinLimit(state, request.team, reserved - freed, request.each, request.count) == request.count; };
    for (const Victim& victim : victims) {
        if (isEnough())
            break;
        freed = freed + victim.amount;
        plan.push_back(victim);
    }
    if (isEnough() || !request.allOrNone)
        stopVictims(state, plan, request, "its team's limit is reached", now, actions);
}

} // namespace crocuslever::cell
