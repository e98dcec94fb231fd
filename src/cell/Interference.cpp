#include "src/cell/Interference.h"

#include <algorithm>

#include "src/cell/Ownership.h"
#include "src/cell/StoreCalls.h"
#include "src/cell/Upstreams.h"

namespace crocuslever::cell {

/// Upstreams report the tail of the last half second.
static constexpr Duration kTailWindow = std::chrono::milliseconds(500);
/// Polls may follow each other faster; readings then repeat most of what the previous one has shown.
static constexpr Duration kReadingInterval = std::chrono::milliseconds(400);
static constexpr Duration kRetryInterval = std::chrono::milliseconds(60);
/// After an answer that a repetition is unlikely to change, as of an upstream that knows no pace.
static constexpr Duration kRefusalBackoff = std::chrono::seconds(5);
/// An order without an answer is executed within this time, if at all.
static constexpr Duration kLateOrderTime = std::chrono::seconds(3);
/// Of runs that were adopted beside a serving run: halfway between what may be too fast and what may be too slow.
static constexpr int kAdoptedPace = 50; // percent

void describeInterference(RunRow& run, const StepSpec& step)
{
    run.image = step.image;
    run.isBestEffort = step.isBestEffort;
    run.tailTarget = step.isBestEffort ? Duration(0) : step.tailTarget;
}

static bool isServing(const RunRow& run) { return run.tailTarget > Duration(0); }

static bool isMixed(const UpstreamRow& upstream)
{
    auto serves = [](const auto& item) { return isServing(item.second); };
    auto isPaced = [](const auto& item) { return item.second.isBestEffort; };
    return std::any_of(upstream.runs.begin(), upstream.runs.end(), isPaced) && std::any_of(upstream.runs.begin(), upstream.runs.end(), serves);
}

Duration maxPollWait(const UpstreamRow& upstream) { return isMixed(upstream) ? kTailWindow : Duration::max(); }

static bool isActive(const RunRow& run) { return run.confirmed && !run.stopping; }

static InterferenceReading readRuns(const UpstreamRow& upstream)
{
    InterferenceReading reading;
    for (const auto& [name, run] : upstream.runs) {
        if (!isActive(run))
            continue;
        if (isServing(run))
            reading.serving.push_back({ run.image, static_cast<double>(run.gauge) / static_cast<double>(toMilliseconds(run.tailTarget)) });
        else if (run.isBestEffort)
            reading.paced.push_back({ run.image, run.pace });
    }
    return reading;
}

/// False while the tails still show another set of runs, or runs at other paces.
static bool isAttributable(const UpstreamRow& upstream, TimePoint now)
{
    return isSettled(upstream.pacing, now) && std::all_of(upstream.runs.begin(), upstream.runs.end(), [&upstream, now](const auto& item) {
        const RunRow& run = item.second;
        bool isConcerned = isServing(run) || run.isBestEffort;
        bool isSteady = isActive(run) && now - run.confirmedAt > 2 * kTailWindow;
        bool isAtPace = !run.isBestEffort || (run.paceOrder.isPaceKnown && run.pace == upstream.pacing.pace);
        return !isConcerned || (isSteady && isAtPace);
    });
}

static void learn(CellState& state, const UpstreamRow& upstream, const InterferenceReading& reading, TimePoint now, CellActions& actions)
{
    InterferenceState& interference = state.interference;
    for (const ImagePair& pair : learnPairs(interference.pairs, reading, now)) {
        constexpr double kPercent = 100.0;
        int percent = static_cast<int>(kPercent * estimateGrowth(interference.pairs, pair, now).value_or(0.0));
        logMessage(actions, LogLevel::Info, "interference.pair", upstream.entry.id, "", "image " + pair.second + " raises the tail of image " + pair.first + " by " + std::to_string(percent) + "% per run; placement keeps them apart");
        state.counters.add("interference_bad_pairs_total");
    }
    state.counters.set("interference_pairs", static_cast<std::int64_t>(interference.pairs.size()));
}

static bool isUnsettled(const RunRow& run)
{
    const PaceOrder& order = run.paceOrder;
    return run.isBestEffort && (!order.isPaceKnown || run.pace != order.wanted || order.ticket != 0 || order.repeatAt);
}

static void applyPace(CellState& state, UpstreamRow& upstream)
{
    for (auto& [name, run] : upstream.runs) {
        if (!run.isBestEffort)
            continue;
        run.paceOrder.wanted = upstream.pacing.pace;
        if (isUnsettled(run))
            state.interference.unsettled.insert({ upstream.entry.id, name });
    }
}

static bool hasUnknownPace(const UpstreamRow& upstream)
{
    return std::any_of(upstream.runs.begin(), upstream.runs.end(), [](const auto& item) { return !item.second.paceOrder.isPaceKnown; });
}

static double worstTailOf(const InterferenceReading& reading)
{
    double worst = 0.0;
    for (const ServingReading& it : reading.serving)
        worst = std::max(worst, it.tail);
    return worst;
}

void updateInterference(CellState& state, UpstreamRow& upstream, const Instant& now, CellActions& actions)
{
    InterferenceReading reading = readRuns(upstream);
    PaceControl& control = upstream.pacing;
    bool isConcerned = !reading.serving.empty() || !reading.paced.empty() || control.pace != PaceControl {}.pace;
    if (!isConcerned || now.steady < control.readAt + kReadingInterval)
        return;
    bool isFirst = control.readAt == TimePoint();
    control.readAt = now.steady;
    if (isAttributable(upstream, now.steady))
        learn(state, upstream, reading, now.steady, actions);
    int before = control.pace;
    if (isFirst && !reading.serving.empty() && hasUnknownPace(upstream)) {
        control.pace = kAdoptedPace;
        control.changedAt = now.steady;
    } else {
        control = decidePace(control, state.interference.pairs, reading, now.steady);
    }
    if (control.pace != before) {
        constexpr double kPercent = 100.0;
        std::string tail = std::to_string(static_cast<int>(kPercent * worstTailOf(reading)));
        logMessage(actions, LogLevel::Info, "interference.pace", upstream.entry.id, "", "pace of " + std::to_string(reading.paced.size()) + " best-effort runs " + std::to_string(before) + "% to " + std::to_string(control.pace) + "%; worst tail " + tail + "% of its target");
        state.counters.add("pace_changes_total");
    }
    applyPace(state, upstream);
}

bool wouldMeetBadPair(const InterferenceState& interference, const StepSpec& step, const UpstreamRow& upstream, TimePoint now)
{
    bool serves = step.tailTarget > Duration(0) && !step.isBestEffort;
    if (interference.pairs.empty() || step.image.empty() || (!serves && !step.isBestEffort))
        return false;
    return std::any_of(upstream.runs.begin(), upstream.runs.end(), [&](const auto& item) {
        const RunRow& run = item.second;
        bool isPair = serves ? run.isBestEffort : isServing(run);
        return isPair && isBadPair(interference.pairs, serves ? ImagePair(step.image, run.image) : ImagePair(run.image, step.image), now);
    });
}

static RunRow* findRun(CellState& state, const RunName& name)
{
    auto upstream = state.upstreams.find(name.first);
    if (upstream == state.upstreams.end())
        return nullptr;
    auto run = upstream->second.runs.find(name.second);
    return run == upstream->second.runs.end() ? nullptr : &run->second;
}

void handlePaceResult(CellState& state, const OrderResult& result, const Instant& now, CellActions& actions)
{
    auto it = state.interference.orders.find(result.ticket);
    if (it == state.interference.orders.end())
        return;
    RunName name = it->second;
    state.interference.orders.erase(it);
    if (result.outcome == OrderOutcome::Fenced) {
        loseOwnership(state, "upstream " + name.first + " has a higher fencing token", actions);
        return;
    }
    RunRow* run = findRun(state, name);
    if (!run || run->paceOrder.ticket != result.ticket)
        return;
    PaceOrder& order = run->paceOrder;
    order.ticket = 0;
    if (result.outcome == OrderOutcome::Ok) {
        run->pace = order.ordered;
        order.isPaceKnown = true;
        return;
    }
    state.counters.add("pace_order_failures_total");
    bool maySucceed = result.outcome == OrderOutcome::NoAnswer || result.outcome == OrderOutcome::NotSent || result.outcome == OrderOutcome::TemporarilyUnavailable;
    order.next = now.steady + (maySucceed ? kRetryInterval : kRefusalBackoff);
    if (result.outcome != OrderOutcome::NoAnswer)
        return;
    order.isPaceKnown = false;
    order.repeatAt = now.steady + kLateOrderTime;
}

static void sendPace(CellState& state, const RunName& name, RunRow& run, const UpstreamRow& upstream, CellActions& actions)
{
    PaceOrder& order = run.paceOrder;
    order.ordered = order.wanted;
    order.ticket = state.nextTicket++;
    state.interference.orders[order.ticket] = name;
    state.counters.add("pace_orders_total");
    actions.push_back(RunPace { order.ticket, targetOf(upstream), name.second, run.run, order.ordered, state.ownership.token });
}

void tickInterference(CellState& state, const Instant& now, CellActions& actions)
{
    std::set<RunName>& unsettled = state.interference.unsettled;
    if (unsettled.empty() || !mayIssueOrders(state, now.steady))
        return;
    for (auto it = unsettled.begin(); it != unsettled.end();) {
        RunRow* run = findRun(state, *it);
        if (!run || run->stopping || !isUnsettled(*run)) {
            it = unsettled.erase(it);
            continue;
        }
        PaceOrder& order = run->paceOrder;
        bool isRepeated = order.isPaceKnown && run->pace == order.wanted;
        TimePoint due = isRepeated ? *order.repeatAt : order.next;
        if (run->confirmed && order.ticket == 0 && now.steady >= due) {
            if (isRepeated)
                order.repeatAt.reset();
            sendPace(state, *it, *run, state.upstreams.at(it->first), actions);
        }
        ++it;
    }
}

} // namespace crocuslever::cell
