#include "tests/support/UpstreamModel.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "src/codec/Encoding.h"

namespace crocuslever::testing {

using Json = nlohmann::json;

static constexpr TimePoint kNever = TimePoint::max();

namespace {

/// The simulation that the body of a task requests.
struct TaskScript {
    std::optional<Duration> runTime;
    bool fail { false };
    int exitStatus { 0 }; ///< 0: 200 on success, 500 on failure.
    std::string echo;
    std::optional<std::int64_t> measuredMilliCpu;
    std::optional<std::int64_t> measuredMemoryMb;
};

} // namespace

static std::optional<std::int64_t> integerField(const Json& json, const char* name)
{
    auto it = json.find(name);
    if (it == json.end() || !it->is_number_integer())
        return std::nullopt;
    return it->get<std::int64_t>();
}

static TaskScript parseScript(const std::string& body)
{
    TaskScript script;
    Json json = Json::parse(body, nullptr, false);
    if (!json.is_object())
        return script;
    if (std::optional<std::int64_t> n = integerField(json, "sleep_ms"))
        script.runTime = fromMilliseconds(*n);
    if (auto it = json.find("fail"); it != json.end() && it->is_boolean())
        script.fail = it->get<bool>();
    script.exitStatus = static_cast<int>(integerField(json, "exit_status").value_or(0));
    if (auto it = json.find("echo"); it != json.end() && it->is_string())
        script.echo = it->get<std::string>();
    script.measuredMilliCpu = integerField(json, "use_milli_cpu");
    script.measuredMemoryMb = integerField(json, "use_memory_mb");
    return script;
}

static TaskResult makeResult(const UpstreamStart& command, bool failAll)
{
    TaskScript script = parseScript(command.spec.body);
    bool succeeded = !script.fail && !failAll;
    int status = script.exitStatus != 0 ? script.exitStatus : (succeeded ? 200 : 500);
    // The answer depends on the request, so that tests detect answers that are swapped or truncated.
    return { succeeded, status, "answer:" + sha256Hex(command.spec.body) + ":" + script.echo };
}

UpstreamModel::UpstreamModel(UpstreamModelSettings settings)
    : m_settings(std::move(settings))
{
}

Epoch UpstreamModel::fencedEpoch(ShardIndex shard) const
{
    auto it = m_epochs.find(shard);
    return it != m_epochs.end() ? it->second : 0;
}

UpstreamOutcome UpstreamModel::check(ShardIndex shard, Epoch epoch, const IncarnationId& incarnation) const
{
    if (incarnation != m_settings.incarnation)
        return UpstreamOutcome::WrongIncarnation;
    return epoch < fencedEpoch(shard) ? UpstreamOutcome::StaleEpoch : UpstreamOutcome::Ok;
}

UpstreamFenceResult UpstreamModel::fence(const UpstreamFence& command, TimePoint now)
{
    advance(now);
    UpstreamFenceResult result;
    result.upstream = m_settings.id;
    result.shard = command.shard;
    result.epoch = command.epoch;
    result.incarnation = m_settings.incarnation;
    UpstreamStart subject;
    subject.shard = command.shard;
    subject.epoch = command.epoch;
    if (command.epoch < fencedEpoch(command.shard)) {
        result.outcome = UpstreamOutcome::StaleEpoch;
        record("refuse", subject, "stale_epoch");
        return result;
    }
    m_epochs[command.shard] = command.epoch;
    result.outcome = UpstreamOutcome::Ok;
    result.attempts = unacknowledged(now, true);
    record("fence", subject, command.owner.value());
    return result;
}

UpstreamStartAnswer UpstreamModel::start(const UpstreamStart& command, TimePoint now)
{
    advance(now);
    UpstreamOutcome outcome = check(command.shard, command.epoch, command.incarnation);
    // A higher epoch than the fenced one is refused, too: its owner must fence first.
    if (outcome == UpstreamOutcome::Ok && command.epoch != fencedEpoch(command.shard))
        outcome = UpstreamOutcome::StaleEpoch;
    if (outcome != UpstreamOutcome::Ok) {
        record("refuse", command, toString(outcome));
        return { outcome, status(command.attempt, now), toString(outcome) };
    }
    auto it = m_attempts.find(command.attempt);
    if (it == m_attempts.end())
        return startNew(command, now);
    const Attempt& known = it->second;
    if (known.state == AttemptState::NeverStarted)
        return { UpstreamOutcome::Refused, statusOf(known, now), "never_started" };
    if (known.acknowledged)
        return { UpstreamOutcome::Unknown, statusOf(known, now), "acknowledged" };
    return { UpstreamOutcome::Ok, statusOf(known, now), "" };
}

UpstreamStartAnswer UpstreamModel::refuse(const UpstreamStart& command, const char* event, std::string reason)
{
    record(event, command, reason);
    Attempt& tombstone = m_attempts[command.attempt];
    tombstone.command = command;
    return { UpstreamOutcome::Refused, statusOf(tombstone, TimePoint()), std::move(reason) };
}

UpstreamStartAnswer UpstreamModel::startNew(const UpstreamStart& command, TimePoint now)
{
    if (!(m_used + command.spec.resources).fitsIn(m_settings.capacity))
        return refuse(command, "overcommit", "no room");
    if (command.lease <= Duration::zero())
        return refuse(command, "refuse", "no lease");
    Attempt& attempt = m_attempts[command.attempt];
    attempt.command = command;
    run(attempt, now);
    advance(now);
    return { UpstreamOutcome::Ok, statusOf(attempt, now), "" };
}

void UpstreamModel::run(Attempt& attempt, TimePoint now)
{
    TaskScript script = parseScript(attempt.command.spec.body);
    bool isEndless = attempt.command.spec.kind == WorkKind::Service && !script.runTime;
    attempt.state = AttemptState::Running;
    attempt.leaseUntil = now + attempt.command.lease;
    attempt.endsAt = isEndless ? kNever : now + script.runTime.value_or(Duration::zero()) + m_behaviour.extraTime;
    attempt.result = makeResult(attempt.command, m_behaviour.failAll);
    attempt.measured = attempt.command.spec.resources;
    attempt.measured.milliCpu = script.measuredMilliCpu.value_or(attempt.measured.milliCpu);
    attempt.measured.memoryMb = script.measuredMemoryMb.value_or(attempt.measured.memoryMb);
    m_used = m_used + attempt.command.spec.resources;
    record("start", attempt.command, "");
}

void UpstreamModel::finish(Attempt& attempt, AttemptState state, const char* event, std::string reason)
{
    attempt.state = state;
    m_used = m_used - attempt.command.spec.resources;
    attempt.measured = { 0, 0, 0, 0 };
    if (state != AttemptState::Ended)
        attempt.result = {};
    record(event, attempt.command, std::move(reason), attempt.result);
}

void UpstreamModel::advance(TimePoint now)
{
    for (auto& [id, attempt] : m_attempts) {
        if (attempt.state != AttemptState::Running)
            continue;
        if (attempt.endsAt <= now && attempt.endsAt <= attempt.leaseUntil)
            finish(attempt, AttemptState::Ended, "end", attempt.result.succeeded ? "succeeded" : "failed");
        else if (attempt.leaseUntil <= now)
            finish(attempt, AttemptState::Stopped, "lapse", "lease");
    }
}

std::optional<TimePoint> UpstreamModel::nextChange() const
{
    std::optional<TimePoint> next;
    for (const auto& [id, attempt] : m_attempts) {
        if (attempt.state != AttemptState::Running)
            continue;
        TimePoint change = std::min(attempt.endsAt, attempt.leaseUntil);
        if (!next || change < *next)
            next = change;
    }
    return next;
}

static void acknowledge(TaskResult& result, bool& acknowledged)
{
    acknowledged = true;
    result = {};
}

UpstreamSyncResult UpstreamModel::sync(const UpstreamSync& command, TimePoint now)
{
    advance(now);
    UpstreamSyncResult result;
    result.upstream = m_settings.id;
    result.shard = command.shard;
    result.epoch = command.epoch;
    result.incarnation = m_settings.incarnation;
    result.outcome = check(command.shard, command.epoch, command.incarnation);
    if (result.outcome != UpstreamOutcome::Ok)
        return result;
    for (const AttemptId& id : command.acknowledge) {
        auto it = m_attempts.find(id);
        if (it != m_attempts.end() && it->second.state != AttemptState::Running)
            acknowledge(it->second.result, it->second.acknowledged);
    }
    result.attempts = unacknowledged(now, false);
    for (const AttemptId& id : command.renew) {
        auto it = m_attempts.find(id);
        if (it != m_attempts.end() && it->second.state == AttemptState::Running)
            it->second.leaseUntil = std::max(it->second.leaseUntil, now + command.lease);
        AttemptStatus renewed = status(id, now);
        bool isListed = renewed.state == AttemptState::Ended || renewed.state == AttemptState::Stopped;
        if (!isListed)
            result.attempts.push_back(renewed);
    }
    return result;
}

UpstreamStopResult UpstreamModel::stop(const UpstreamStop& command, TimePoint now)
{
    advance(now);
    UpstreamStopResult result;
    result.upstream = m_settings.id;
    result.attempt = command.attempt;
    result.outcome = check(command.shard, command.epoch, command.incarnation);
    if (result.outcome != UpstreamOutcome::Ok)
        return result;
    auto it = m_attempts.find(command.attempt);
    if (it == m_attempts.end() && command.mode != StopMode::Throttle) {
        // Leaves a tombstone, so that a start command still in flight is refused.
        it = m_attempts.emplace(command.attempt, Attempt()).first;
        it->second.command.attempt = command.attempt;
        it->second.command.shard = command.shard;
        it->second.command.epoch = command.epoch;
        record("stop", it->second.command, "never_started");
    } else if (it != m_attempts.end() && it->second.state == AttemptState::Running) {
        if (command.mode == StopMode::Throttle)
            throttle(it->second, now);
        else
            finish(it->second, AttemptState::Stopped, "stop", toString(command.mode));
    }
    result.status = status(command.attempt, now);
    return result;
}

void UpstreamModel::throttle(Attempt& attempt, TimePoint now)
{
    if (attempt.endsAt != kNever)
        attempt.endsAt += attempt.endsAt - now;
    attempt.measured.milliCpu /= 2;
    record("throttle", attempt.command, "");
}

AttemptStatus UpstreamModel::status(const AttemptId& id, TimePoint now) const
{
    auto it = m_attempts.find(id);
    if (it != m_attempts.end())
        return statusOf(it->second, now);
    AttemptStatus status;
    status.attempt = id;
    return status;
}

AttemptStatus UpstreamModel::statusOf(const Attempt& attempt, TimePoint now) const
{
    AttemptStatus status;
    status.attempt = attempt.command.attempt;
    status.job = attempt.command.job;
    status.team = attempt.command.team;
    status.state = attempt.state;
    status.resources = attempt.command.spec.resources;
    status.used = attempt.measured;
    if (attempt.state == AttemptState::Running)
        status.leaseLeft = attempt.leaseUntil - now;
    if (attempt.state == AttemptState::Ended)
        status.result = attempt.result;
    return status;
}

std::vector<AttemptStatus> UpstreamModel::unacknowledged(TimePoint now, bool withRunning) const
{
    std::vector<AttemptStatus> list;
    for (const auto& [id, attempt] : m_attempts) {
        bool isFinished = attempt.state == AttemptState::Ended || attempt.state == AttemptState::Stopped;
        if ((isFinished && !attempt.acknowledged) || (withRunning && attempt.state == AttemptState::Running))
            list.push_back(statusOf(attempt, now));
    }
    return list;
}

void UpstreamModel::record(const char* name, const UpstreamStart& command, std::string reason, TaskResult result)
{
    m_events.push_back({ name, command, std::move(reason), std::move(result) });
}

std::vector<UpstreamModelEvent> UpstreamModel::takeEvents() { return std::exchange(m_events, {}); }

} // namespace crocuslever::testing
