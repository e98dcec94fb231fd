#include "src/cell/Preemption.h"

#include <algorithm>

#include "src/cell/Ask.h"
#include "src/cell/Fit.h"
#include "src/cell/Runs.h"

namespace crocuslever::cell {

/// Work that has only just begun would be stopped again and again.
static constexpr Duration kLeastRun = std::chrono::milliseconds(400);

namespace {

/// A run that may be stopped.
struct Victim {
    std::string name;
    int priority { 0 };
    TimePoint startedAt;
    Resources amount;
};

/// What is to be stopped on one upstream.
struct PreemptionPlan {
    UpstreamRow* upstream { nullptr };
    std::vector<Victim> victims;
};

} // namespace

static Resources stoppingRoom(const UpstreamRow& upstream)
{
    Resources sum;
    for (const auto& [name, run] : upstream.runs) {
        if (run.stopping)
            sum = sum + run.amount;
    }
    return sum;
}

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
    return minimum(room, room + stoppingRoom(upstream) - it->second);
}

static bool mayPreempt(const RunRow& run, int priority)
{
    return run.resumes && run.priority > priority;
}

Resources roomAfterPreemption(const UpstreamRow& upstream, int priority)
{
    Resources room = roomOn(upstream);
    for (const auto& [name, run] : upstream.runs) {
        if (run.stopping || mayPreempt(run, priority))
            room = room + run.amount;
    }
    return room;
}

/// Least urgent first, then what was started last.
static std::vector<Victim> findVictims(const UpstreamRow& upstream, int priority, TimePoint now)
{
    std::vector<Victim> victims;
    for (const auto& [name, run] : upstream.runs) {
        bool isSettled = run.confirmed && !run.stopping && now - run.startedAt >= kLeastRun;
        if (isSettled && mayPreempt(run, priority))
            victims.push_back({ name, run.priority, run.startedAt, run.amount });
    }
    std::sort(victims.begin(), victims.end(), [](const Victim& a, const Victim& b) {
        return std::tie(b.priority, b.startedAt, a.name) < std::tie(a.priority, a.startedAt, b.name);
    });
    return victims;
}

/// Takes what stops under way will free. The number of tasks that are left.
static int promiseFreedRoom(PromisedRoom& promised, const std::vector<PreemptionPlace>& places, const RoomRequest& request)
{
    int left = request.count;
    for (const PreemptionPlace& it : places) {
        Resources room = roomOn(*it.upstream) + stoppingRoom(*it.upstream) - promisedOf(promised, *it.upstream);
        int fits = countFits(room, request.each, std::min(left, it.most));
        for (int n = 0; n < fits; ++n)
            promised.amounts[it.upstream->life] = promisedOf(promised, *it.upstream) + request.each;
        left -= fits;
    }
    return left;
}

/// Victims on one upstream for up to `most` tasks; promises their room.
static int planOn(const PreemptionPlace& place, const RoomRequest& request, int most, PromisedRoom& promised, PreemptionPlan& plan, TimePoint now)
{
    UpstreamRow& upstream = *place.upstream;
    Resources room = roomOn(upstream) + stoppingRoom(upstream) - promisedOf(promised, upstream);
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
        plan.victims.insert(plan.victims.end(), chosen.begin(), chosen.end());
        chosen.clear();
        ++planned;
    }
    return planned;
}

static void stopVictims(CellState& state, const std::vector<PreemptionPlan>& plans, const RoomRequest& request, const Instant& now, CellActions& actions)
{
    for (const PreemptionPlan& plan : plans) {
        for (const Victim& victim : plan.victims) {
            note(actions, LogLevel::Info, "task.preempt", plan.upstream->entry.id, request.job, victim.name + " of priority " + std::to_string(victim.priority) + " is stopped for priority " + std::to_string(request.priority));
            state.counters.add("tasks_preempted_total");
            stopRun(state, *plan.upstream, victim.name, now, actions);
        }
    }
}

void makeRoom(CellState& state, PromisedRoom& promised, const std::vector<PreemptionPlace>& places, const RoomRequest& request, const Instant& now, CellActions& actions)
{
    PromisedRoom before = promised;
    int left = promiseFreedRoom(promised, places, request);
    std::vector<PreemptionPlan> plans;
    for (const PreemptionPlace& it : places) {
        if (left == 0)
            break;
        PreemptionPlan plan { it.upstream, {} };
        left -= planOn(it, request, left, promised, plan, now.steady);
        plans.push_back(std::move(plan));
    }
    if (left > 0 && request.allOrNone) {
        promised = std::move(before);
        return;
    }
    stopVictims(state, plans, request, now, actions);
}

} // namespace crocuslever::cell
