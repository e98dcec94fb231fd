#include "tests/emulator/EmulatedUpstream.h"

#include <algorithm>
#include <sstream>

namespace crocuslever::cell::testing {

static constexpr Duration kCrashDelay = std::chrono::milliseconds(10); ///< From the start of a deadly task.
static constexpr Duration kTailWindow = std::chrono::milliseconds(500);
static constexpr double kFullPace = 100.0; // percent
static constexpr Duration kStopTime = std::chrono::milliseconds(200);

std::string formatScript(const TaskScript& script)
{
    return "run=" + std::to_string(toMilliseconds(script.runTime)) + " fail=" + std::to_string(script.failures) + " gang=" + std::to_string(script.gang) + " saves=" + (script.saves ? "1" : "0") + " deadly=" + (script.isDeadly ? "1" : "0") + " image=" + std::to_string(script.image) + " tail=" + std::to_string(script.tail) + " target=" + std::to_string(script.target) + " idle=" + (script.isBestEffort ? "1" : "0");
}

TaskScript parseScript(const std::string& payload)
{
    TaskScript script;
    std::istringstream words(payload);
    std::string word;
    while (words >> word) {
        std::size_t sign = word.find('=');
        std::string name = word.substr(0, sign);
        int value = std::atoi(word.c_str() + sign + 1);
        if (name == "run")
            script.runTime = fromMilliseconds(value);
        else if (name == "fail")
            script.failures = value;
        else if (name == "gang")
            script.gang = value;
        else if (name == "saves")
            script.saves = value != 0;
        else if (name == "deadly")
            script.isDeadly = value != 0;
        else if (name == "image")
            script.image = value;
        else if (name == "tail")
            script.tail = value;
        else if (name == "target")
            script.target = value;
        else if (name == "idle")
            script.isBestEffort = value != 0;
    }
    return script;
}

EmulatedUpstream::EmulatedUpstream(std::string id, std::int64_t bornMs, std::vector<RunRecord>& history, std::map<std::string, int>& failures, const EmulatedInterference& interference)
    : m_id(std::move(id))
    , m_bornMs(bornMs)
    , m_history(history)
    , m_failures(failures)
    , m_interference(interference)
{
}

bool EmulatedUpstream::passesFence(std::int64_t token)
{
    if (token < m_token)
        return false;
    m_token = token;
    return true;
}

void EmulatedUpstream::end(const std::string& task, RunEnd how, TimePoint now)
{
    Run run = m_runs.at(task);
    m_runs.erase(task);
    m_latest[task] = std::max(m_latest[task], run.run);
    m_history[run.record].to = now;
    m_history[run.record].how = how;
    Duration begun = run.work - run.workLeft;
    Duration worked = begun + m_history[run.record].worked;
    std::string checkpoint = run.saves && how == RunEnd::Stopped ? std::to_string(toMilliseconds(std::min(worked, run.work))) : "";
    m_ends.push_back({ { ++m_lastEnd, task, run.run, how, checkpoint }, run.record });
}

double EmulatedUpstream::tailOf(const Run& run) const
{
    double growth = 1.0;
    for (const auto& [task, it] : m_runs) {
        auto coefficient = m_interference.coefficients.find({ run.script.image, it.script.image });
        if (it.script.isBestEffort && coefficient != m_interference.coefficients.end())
            growth += coefficient->second * it.pace / kFullPace;
    }
    return static_cast<double>(run.script.tail) * m_interference.load * growth;
}

/// The worst tail of the window stands for a high percentile.
std::int64_t EmulatedUpstream::gaugeOf(const Run& run) const
{
    double worst = 0.0;
    for (const auto& [at, tail] : run.tails)
        worst = std::max(worst, tail);
    return static_cast<std::int64_t>(worst);
}

/// Accounts for a time in which no run was started, ended or paced.
void EmulatedUpstream::record(Run& run, Duration time)
{
    RunRecord& record = m_history[run.record];
    record.worked += time * run.pace / static_cast<int>(kFullPace);
    if (run.script.tail == 0)
        return;
    double tail = tailOf(run);
    double target = static_cast<double>(run.script.target);
    bool isOver = tail > target;
    bool isHelpless = isOver && static_cast<double>(run.script.tail) * m_interference.load <= target;
    record.overTarget += isOver ? time : Duration(0);
    record.helpless = isHelpless ? record.helpless + time : Duration(0);
    record.longestHelpless = std::max(record.longestHelpless, record.helpless);
    run.tails.emplace_back(m_advancedAt + time, tail);
    while (run.tails.front().first < m_advancedAt + time - kTailWindow)
        run.tails.pop_front();
}

void EmulatedUpstream::advance(TimePoint now)
{
    for (auto& [task, run] : m_runs)
        record(run, now - m_advancedAt);
    m_advancedAt = now;
    bool isLeaseExpired = clockMs(now) >= m_leaseUntilMs;
    std::vector<std::string> over;
    for (const auto& [task, run] : m_runs) {
        if (isLeaseExpired || run.endsAt <= now)
            over.push_back(task);
    }
    for (const std::string& task : over) {
        const Run& run = m_runs.at(task);
        RunEnd how = run.stopping ? RunEnd::Stopped : run.fails ? RunEnd::Failed
                                                                : RunEnd::Done;
        if (how == RunEnd::Failed && !isLeaseExpired)
            ++m_failures[task];
        end(task, isLeaseExpired ? RunEnd::LeaseExpired : how, now);
    }
}

PollResult EmulatedUpstream::poll(const UpstreamPoll& call, TimePoint now)
{
    advance(now);
    PollResult result;
    result.clockMs = clockMs(now);
    result.bornMs = m_bornMs;
    if (!passesFence(call.token)) {
        result.outcome = OrderOutcome::Fenced;
        return result;
    }
    result.outcome = OrderOutcome::Ok;
    m_leaseUntilMs = std::max(m_leaseUntilMs, call.leaseUntilMs);
    for (const End& it : m_ends) {
        if (it.listing.number <= call.acknowledged)
            m_history[it.record].acknowledged = true;
    }
    m_ends.erase(std::remove_if(m_ends.begin(), m_ends.end(), [&call](const End& it) { return it.listing.number <= call.acknowledged; }), m_ends.end());
    for (const auto& [task, run] : m_runs)
        result.running.push_back({ task, run.run, "", 50, gaugeOf(run) });
    for (const End& it : m_ends)
        result.ended.push_back(it.listing);
    return result;
}

OrderOutcome EmulatedUpstream::start(const RunStart& order, TimePoint now)
{
    advance(now);
    if (!passesFence(order.token))
        return OrderOutcome::Fenced;
    auto it = m_runs.find(order.task);
    if (it != m_runs.end() && it->second.run == order.run)
        return OrderOutcome::Ok;
    auto latest = m_latest.find(order.task);
    if (it != m_runs.end() || (latest != m_latest.end() && order.run <= latest->second))
        return OrderOutcome::Stale;
    if (order.leaseUntilMs <= clockMs(now))
        return OrderOutcome::TooLate;
    m_leaseUntilMs = std::max(m_leaseUntilMs, order.leaseUntilMs);
    TaskScript script = parseScript(order.payload);
    Run run;
    run.run = order.run;
    run.fails = m_failures[order.task] < script.failures;
    run.saves = script.saves;
    run.work = script.runTime;
    run.workLeft = script.runTime - fromMilliseconds(std::atoi(order.checkpoint.c_str()));
    run.endsAt = now + run.workLeft;
    run.record = m_history.size();
    run.script = script;
    m_history.push_back({ order.task, order.run, m_id, now, TimePoint::max(), std::nullopt, false });
    m_runs[order.task] = run;
    if (script.isDeadly)
        m_crashAt = std::min(m_crashAt, now + kCrashDelay);
    return OrderOutcome::Ok;
}

OrderOutcome EmulatedUpstream::stop(const RunStop& order, TimePoint now)
{
    advance(now);
    if (!passesFence(order.token))
        return OrderOutcome::Fenced;
    auto it = m_runs.find(order.task);
    if (it == m_runs.end() || it->second.run != order.run) {
        m_latest[order.task] = std::max(m_latest[order.task], order.run);
        return OrderOutcome::Ok;
    }
    it->second.stopping = true;
    it->second.endsAt = std::min(it->second.endsAt, now + kStopTime);
    return OrderOutcome::Ok;
}

OrderOutcome EmulatedUpstream::pace(const RunPace& order, TimePoint now)
{
    advance(now);
    if (!passesFence(order.token))
        return OrderOutcome::Fenced;
    auto it = m_runs.find(order.task);
    if (it == m_runs.end() || it->second.run != order.run)
        return OrderOutcome::Stale;
    Run& run = it->second;
    run.pace = order.percent;
    if (run.stopping)
        return OrderOutcome::Ok;
    Duration left = run.workLeft - m_history[run.record].worked;
    run.endsAt = run.pace > 0 ? now + left * static_cast<int>(kFullPace) / run.pace : TimePoint::max();
    return OrderOutcome::Ok;
}

std::optional<int> EmulatedUpstream::paceOf(const std::string& task) const
{
    auto it = m_runs.find(task);
    return it == m_runs.end() ? std::nullopt : std::optional<int>(it->second.pace);
}

void EmulatedUpstream::crash(TimePoint now)
{
    for (const auto& [task, run] : m_runs)
        m_history[run.record].to = now;
    m_runs.clear();
    m_ends.clear();
}

} // namespace crocuslever::cell::testing
