#include "tests/emulator/EmulatedUpstream.h"

#include <algorithm>
#include <sstream>

namespace crocuslever::cell::testing {

static constexpr Duration kCrashDelay = std::chrono::milliseconds(10); ///< From the start of a deadly task.
static constexpr Duration kStopTime = std::chrono::milliseconds(200);

std::string formatScript(const TaskScript& script)
{
    return "run=" + std::to_string(toMilliseconds(script.runTime)) + " fail=" + std::to_string(script.failures) + " gang=" + std::to_string(script.gang) + " saves=" + (script.saves ? "1" : "0") + " deadly=" + (script.isDeadly ? "1" : "0");
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
    }
    return script;
}

EmulatedUpstream::EmulatedUpstream(std::string id, std::int64_t bornMs, std::vector<RunRecord>& history, std::map<std::string, int>& failures)
    : m_id(std::move(id))
    , m_bornMs(bornMs)
    , m_history(history)
    , m_failures(failures)
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
    Duration worked = begun + (now - m_history[run.record].from);
    std::string checkpoint = run.saves && how == RunEnd::Stopped ? std::to_string(toMilliseconds(std::min(worked, run.work))) : "";
    m_ends.push_back({ { ++m_lastEnd, task, run.run, how, checkpoint }, run.record });
}

void EmulatedUpstream::advance(TimePoint now)
{
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
        result.running.push_back({ task, run.run, "", 50, 0 });
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

void EmulatedUpstream::crash(TimePoint now)
{
    for (const auto& [task, run] : m_runs)
        m_history[run.record].to = now;
    m_runs.clear();
    m_ends.clear();
}

} // namespace crocuslever::cell::testing
