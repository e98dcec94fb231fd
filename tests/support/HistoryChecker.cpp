#include "tests/support/HistoryChecker.h"

#include <algorithm>
#include <set>

namespace crocuslever::testing {

const char* toString(Invariant invariant)
{
    switch (invariant) {
    case Invariant::NoOvercommit:
        return "no overcommit";
    case Invariant::NoConcurrentAttempts:
        return "no concurrent attempts";
    case Invariant::KeyAuthorization:
        return "key authorization";
    case Invariant::TeamLimit:
        return "team limit";
    case Invariant::NoStartInOutageDomain:
        return "no start in a domain out of service";
    case Invariant::AnswerMatchesRequest:
        return "answer matches request";
    case Invariant::NotRunNeverStarted:
        return "not_run work never starts";
    case Invariant::StartedAtMostOnce:
        return "started at most once";
    case Invariant::NoStartOnLeavingUpstream:
        return "no start on a leaving upstream";
    case Invariant::GracefulShutdown:
        return "graceful shutdown";
    case Invariant::ConfigurationConverges:
        return "configuration converges";
    }
    return "unknown";
}

using Violations = std::vector<Violation>;

static bool isStart(const HistoryEvent& event)
{
    return event.source == HistorySource::Upstream && event.name == "start";
}

static bool isEndOfAttempt(const HistoryEvent& event)
{
    return event.source == HistorySource::Upstream && (event.name == "end" || event.name == "stop" || event.name == "lapse");
}

static bool isScenarioEvent(const HistoryEvent& event, const char* name)
{
    return event.source == HistorySource::Scenario && event.name == name;
}

static bool isConfigurationChange(const HistoryEvent& event)
{
    return event.source == HistorySource::Operator && event.name == "apply";
}

static bool isCallerEvent(const HistoryEvent& event, const char* name)
{
    return event.source == HistorySource::Caller && event.name == name;
}

/// Identifies a piece of work: by the job id, or for an urgent request by its team and body.
static std::string workKey(const HistoryEvent& event)
{
    return event.job.isEmpty() ? event.team.value() + "/" + event.bodySha256 : event.job.value();
}

namespace {

/// The running attempts while a history is replayed event by event.
class RunningAttempts {
public:
    void apply(const HistoryEvent&);
    const std::map<AttemptId, HistoryEvent>& attempts() const { return m_attempts; }
    Resources usedAt(const UpstreamId&) const;
    int countOf(const TeamId&) const;
    int countOfWork(const std::string& work) const;

private:
    void removeOtherIncarnations(const UpstreamId&, const IncarnationId& keep);

    std::map<AttemptId, HistoryEvent> m_attempts;
};

void RunningAttempts::removeOtherIncarnations(const UpstreamId& upstream, const IncarnationId& keep)
{
    // The attempts of earlier incarnations ended with the restart.
    for (auto it = m_attempts.begin(); it != m_attempts.end();) {
        bool isGone = it->second.upstream == upstream && it->second.incarnation != keep;
        it = isGone ? m_attempts.erase(it) : std::next(it);
    }
}

void RunningAttempts::apply(const HistoryEvent& event)
{
    if (isScenarioEvent(event, "upstream_killed"))
        removeOtherIncarnations(event.upstream, IncarnationId());
    if (event.source == HistorySource::Upstream)
        removeOtherIncarnations(event.upstream, event.incarnation);
    if (isStart(event))
        m_attempts[event.attempt] = event;
    else if (isEndOfAttempt(event))
        m_attempts.erase(event.attempt);
}

Resources RunningAttempts::usedAt(const UpstreamId& upstream) const
{
    Resources used { 0, 0, 0, 0 };
    for (const auto& [id, attempt] : m_attempts) {
        if (attempt.upstream == upstream)
            used = used + attempt.resources;
    }
    return used;
}

int RunningAttempts::countOf(const TeamId& team) const
{
    return static_cast<int>(std::count_if(m_attempts.begin(), m_attempts.end(),
        [&](const std::pair<const AttemptId, HistoryEvent>& entry) { return entry.second.team == team; }));
}

int RunningAttempts::countOfWork(const std::string& work) const
{
    return static_cast<int>(std::count_if(m_attempts.begin(), m_attempts.end(),
        [&](const std::pair<const AttemptId, HistoryEvent>& entry) { return workKey(entry.second) == work; }));
}

} // namespace

static void addViolation(Violations& violations, Invariant invariant, const HistoryEvent& event, std::string text)
{
    violations.push_back({ invariant, event.t, std::move(text) });
}

static std::map<UpstreamId, HistoryEvent::Upstream> collectUpstreams(const History& history)
{
    std::map<UpstreamId, HistoryEvent::Upstream> upstreams;
    for (const HistoryEvent& event : history) {
        for (const HistoryEvent::Upstream& upstream : event.upstreams)
            upstreams[upstream.id] = upstream;
    }
    return upstreams;
}

static void checkOvercommit(const History& history, Violations& violations)
{
    std::map<UpstreamId, HistoryEvent::Upstream> upstreams = collectUpstreams(history);
    RunningAttempts running;
    for (const HistoryEvent& event : history) {
        running.apply(event);
        if (event.source == HistorySource::Upstream && event.name == "overcommit")
            addViolation(violations, Invariant::NoOvercommit, event, event.upstream.value() + " received a start or connection beyond its capacity");
        auto it = upstreams.find(event.upstream);
        if (!isStart(event) || it == upstreams.end())
            continue;
        if (!running.usedAt(event.upstream).fitsIn(it->second.capacity))
            addViolation(violations, Invariant::NoOvercommit, event, event.upstream.value() + " runs attempts beyond its capacity");
    }
}

/// The number of tasks of each job, as its caller submitted it.
static std::map<std::string, int> taskCounts(const History& history)
{
    std::map<std::string, int> countByCall;
    std::map<std::string, int> countByWork;
    for (const HistoryEvent& event : history) {
        if (isCallerEvent(event, "send"))
            countByCall[event.call] = event.tasks;
        else if (isCallerEvent(event, "answer") && !event.job.isEmpty())
            countByWork[event.job.value()] = std::max(countByWork[event.job.value()], countByCall[event.call]);
    }
    return countByWork;
}

static int taskCountOf(const std::map<std::string, int>& counts, const std::string& work)
{
    auto it = counts.find(work);
    return it == counts.end() ? 1 : std::max(1, it->second);
}

static void checkConcurrentAttempts(const History& history, Violations& violations)
{
    std::map<std::string, int> counts = taskCounts(history);
    RunningAttempts running;
    for (const HistoryEvent& event : history) {
        running.apply(event);
        if (!isStart(event))
            continue;
        std::string work = workKey(event);
        if (running.countOfWork(work) > taskCountOf(counts, work))
            addViolation(violations, Invariant::NoConcurrentAttempts, event, work + " has more running attempts than tasks after a start on " + event.upstream.value());
    }
}

static void checkStartedOnce(const History& history, Violations& violations)
{
    std::map<std::string, int> counts = taskCounts(history);
    std::map<std::string, int> starts;
    for (const HistoryEvent& event : history) {
        if (!isStart(event) || event.idempotent)
            continue;
        std::string work = workKey(event);
        if (++starts[work] > taskCountOf(counts, work))
            addViolation(violations, Invariant::StartedAtMostOnce, event, work + " is not idempotent but was started again on " + event.upstream.value());
    }
}

/// A call of a caller, and its answer.
struct Call {
    std::string id;
    std::int64_t sentAt { 0 };
    std::string outcome; ///< Empty: not answered.
};

/// All calls that ask for work, by the work.
static std::map<std::string, std::vector<Call>> collectCalls(const History& history)
{
    std::map<std::string, std::string> outcomes;
    for (const HistoryEvent& event : history) {
        if (isCallerEvent(event, "answer"))
            outcomes[event.call] = event.outcome;
    }
    std::map<std::string, std::vector<Call>> calls;
    for (const HistoryEvent& event : history) {
        bool isForWork = event.kind != "result";
        if (isCallerEvent(event, "send") && isForWork)
            calls[event.team.value() + "/" + event.bodySha256].push_back({ event.call, event.t, outcomes[event.call] });
    }
    return calls;
}

/// An answer speaks of its own call. Work that the caller has sent in several calls may start if one of
/// those sent before the start was answered otherwise.
static void checkNotRun(const History& history, Violations& violations)
{
    std::map<std::string, std::vector<Call>> calls = collectCalls(history);
    for (const HistoryEvent& event : history) {
        auto it = isStart(event) ? calls.find(event.team.value() + "/" + event.bodySha256) : calls.end();
        if (it == calls.end())
            continue;
        const Call* refused = nullptr;
        bool mayStart = false;
        for (const Call& call : it->second) {
            if (call.outcome == "not_run")
                refused = &call;
            else
                mayStart = mayStart || call.sentAt <= event.t;
        }
        if (refused && !mayStart)
            addViolation(violations, Invariant::NotRunNeverStarted, event, "call " + refused->id + " was answered not_run, but its work started on " + event.upstream.value());
    }
}

/// Returns the highest limit that an instance may still apply to this start: the latest one, or one
/// that was replaced so recently that not every instance need have the change. -1: no limit was
/// declared.
static int highestAllowedLimit(const std::vector<const HistoryEvent*>& changes, const HistoryEvent& start, const HistoryLimits& limits)
{
    int limit = -1;
    for (auto it = changes.rbegin(); it != changes.rend(); ++it) {
        auto found = (*it)->limits.find(start.team);
        if (found != (*it)->limits.end())
            limit = std::max(limit, found->second);
        if ((*it)->t + limits.changeEffectTimeout.count() < start.t)
            break;
    }
    return limit;
}

static void checkTeamLimit(const History& history, const HistoryLimits& limits, Violations& violations)
{
    std::vector<const HistoryEvent*> changes;
    RunningAttempts running;
    for (const HistoryEvent& event : history) {
        running.apply(event);
        if (isConfigurationChange(event))
            changes.push_back(&event);
        if (!isStart(event))
            continue;
        int limit = highestAllowedLimit(changes, event, limits);
        int count = running.countOf(event.team);
        if (limit >= 0 && count > limit)
            addViolation(violations, Invariant::TeamLimit, event, event.team.value() + " runs " + std::to_string(count) + " attempts, above its limit of " + std::to_string(limit));
    }
}

/// Updates the domains out of service and the time at which each was taken out. A later change that
/// keeps a domain out doesn't change its time.
static void updateOutages(std::map<FailureDomainId, HistoryTime>& out, const HistoryEvent& change)
{
    std::map<FailureDomainId, HistoryTime> next;
    for (const FailureDomainId& domain : change.domainsOut) {
        auto it = out.find(domain);
        next[domain] = it == out.end() ? change.t : it->second;
    }
    out = std::move(next);
}

static void checkOutages(const History& history, const HistoryLimits& limits, Violations& violations)
{
    std::map<UpstreamId, HistoryEvent::Upstream> upstreams = collectUpstreams(history);
    std::map<FailureDomainId, HistoryTime> out;
    for (const HistoryEvent& event : history) {
        if (isConfigurationChange(event))
            updateOutages(out, event);
        auto upstream = upstreams.find(event.upstream);
        if (!isStart(event) || upstream == upstreams.end())
            continue;
        auto it = out.find(upstream->second.domain);
        if (it != out.end() && event.t > it->second + limits.changeEffectTimeout.count())
            addViolation(violations, Invariant::NoStartInOutageDomain, event, "start on " + event.upstream.value() + " in the out-of-service domain " + it->first.value());
    }
}

static void checkLeaving(const History& history, const HistoryLimits& limits, Violations& violations)
{
    std::map<UpstreamId, HistoryTime> leaving;
    for (const HistoryEvent& event : history) {
        for (const HistoryEvent::Upstream& upstream : event.upstreams) {
            if (upstream.leaving)
                leaving.emplace(upstream.id, event.t);
            else
                leaving.erase(upstream.id);
        }
        auto it = leaving.find(event.upstream);
        if (isStart(event) && it != leaving.end() && event.t > it->second + limits.changeEffectTimeout.count())
            addViolation(violations, Invariant::NoStartOnLeavingUpstream, event, "start on the leaving upstream " + event.upstream.value());
    }
}

static bool wasAccepted(const HistoryEvent& answer) { return answer.outcome == "done" || answer.outcome == "accepted"; }

static void checkWithdrawnKeys(const History& history, const HistoryLimits& limits, Violations& violations)
{
    std::map<std::string, HistoryTime> withdrawn;
    std::map<std::string, HistoryEvent> sends;
    for (const HistoryEvent& event : history) {
        if (isConfigurationChange(event)) {
            for (const std::string& key : event.withdrawnKeys)
                withdrawn.emplace(key, event.t);
        }
        if (isCallerEvent(event, "send"))
            sends[event.call] = event;
        if (!isCallerEvent(event, "answer") || !wasAccepted(event) || sends.count(event.call) == 0)
            continue;
        const HistoryEvent& send = sends[event.call];
        auto it = withdrawn.find(send.key);
        if (it != withdrawn.end() && send.t > it->second + limits.changeEffectTimeout.count())
            addViolation(violations, Invariant::KeyAuthorization, event, "call " + event.call + " was accepted with the withdrawn key " + send.key);
    }
}

static void checkStartTeams(const History& history, Violations& violations)
{
    std::map<std::string, std::set<TeamId>> senders;
    for (const HistoryEvent& event : history) {
        if (isCallerEvent(event, "send"))
            senders[event.bodySha256].insert(event.team);
    }
    for (const HistoryEvent& event : history) {
        auto it = senders.find(event.bodySha256);
        if (isStart(event) && it != senders.end() && it->second.count(event.team) == 0)
            addViolation(violations, Invariant::KeyAuthorization, event, "work submitted with another team's key started for " + event.team.value());
    }
}

static void checkAnswers(const History& history, Violations& violations)
{
    for (const HistoryEvent& event : history) {
        if (isCallerEvent(event, "answer") && event.bodyOk && !*event.bodyOk)
            addViolation(violations, Invariant::AnswerMatchesRequest, event, "call " + event.call + " received an answer that doesn't match its request");
    }
}

static void checkGracefulStops(const History& history, Violations& violations)
{
    // Only graceful shutdowns are checked: a killed process drops the calls that it had open.
    std::set<InstanceId> stopping;
    for (const HistoryEvent& event : history) {
        if (isScenarioEvent(event, "terminate"))
            stopping.insert(event.instance);
        else if (isScenarioEvent(event, "started") || isScenarioEvent(event, "killed"))
            stopping.erase(event.instance);
        if (stopping.count(event.instance) == 0)
            continue;
        if (isCallerEvent(event, "answer") && event.outcome == "cut")
            addViolation(violations, Invariant::GracefulShutdown, event, "call " + event.call + " was cut off by the shutdown of " + event.instance.value());
        if (isScenarioEvent(event, "exited") && event.exitStatus != 0)
            addViolation(violations, Invariant::GracefulShutdown, event, event.instance.value() + " exited with status " + std::to_string(event.exitStatus));
    }
}

static void checkRevisionsMonotonic(const History& history, Violations& violations)
{
    std::map<InstanceId, std::uint64_t> revisions;
    for (const HistoryEvent& event : history) {
        if (isScenarioEvent(event, "started"))
            revisions.erase(event.instance);
        if (event.source != HistorySource::Instance || event.name != "configuration")
            continue;
        std::uint64_t& highest = revisions[event.instance];
        if (event.revision < highest)
            addViolation(violations, Invariant::ConfigurationConverges, event, event.instance.value() + " returned to the older revision " + std::to_string(event.revision));
        highest = std::max(highest, event.revision);
    }
}

static bool isFault(const HistoryEvent& event)
{
    static const std::set<std::string> kFaults = { "terminate", "killed", "frozen", "isolated" };
    return event.source == HistorySource::Scenario && kFaults.count(event.name) != 0;
}

static bool isRecovery(const HistoryEvent& event)
{
    static const std::set<std::string> kRecoveries = { "started", "thawed", "joined" };
    return event.source == HistorySource::Scenario && kRecoveries.count(event.name) != 0;
}

/// Returns the instances that ran without a fault from `from` to `to`.
static std::set<InstanceId> findUndisturbedInstances(const History& history, HistoryTime from, HistoryTime to)
{
    std::set<InstanceId> running;
    for (const HistoryEvent& event : history) {
        if (event.t > to)
            break;
        if (isFault(event))
            running.erase(event.instance);
        else if (isRecovery(event) && event.t <= from)
            running.insert(event.instance);
    }
    return running;
}

/// Returns the highest revision that the instance had logged by the time `t`.
static std::uint64_t revisionAt(const History& history, const InstanceId& instance, HistoryTime t)
{
    std::uint64_t revision = 0;
    for (const HistoryEvent& event : history) {
        if (event.t > t)
            break;
        if (event.source == HistorySource::Instance && event.name == "configuration" && event.instance == instance)
            revision = std::max(revision, event.revision);
    }
    return revision;
}

static void checkRevisionConvergence(const History& history, const HistoryLimits& limits, Violations& violations)
{
    if (history.empty())
        return;
    for (const HistoryEvent& change : history) {
        HistoryTime deadline = change.t + limits.convergenceTimeout.count();
        if (!isConfigurationChange(change))
            continue;
        for (const InstanceId& instance : findUndisturbedInstances(history, change.t, deadline)) {
            // If the history ends before the deadline, the instance must have the revision by its end.
            if (revisionAt(history, instance, deadline) < change.revision)
                addViolation(violations, Invariant::ConfigurationConverges, change, "revision " + std::to_string(change.revision) + " was not applied in time by " + instance.value());
        }
    }
}

std::vector<Violation> checkHistory(const History& history, const HistoryLimits& limits)
{
    Violations violations;
    checkOvercommit(history, violations);
    checkConcurrentAttempts(history, violations);
    checkWithdrawnKeys(history, limits, violations);
    checkStartTeams(history, violations);
    checkTeamLimit(history, limits, violations);
    checkOutages(history, limits, violations);
    checkAnswers(history, violations);
    checkNotRun(history, violations);
    checkStartedOnce(history, violations);
    checkLeaving(history, limits, violations);
    checkGracefulStops(history, violations);
    checkRevisionsMonotonic(history, violations);
    checkRevisionConvergence(history, limits, violations);
    return violations;
}

std::string describe(const std::vector<Violation>& violations)
{
    std::string text;
    for (const Violation& violation : violations)
        text += std::string(toString(violation.invariant)) + " at " + std::to_string(violation.t) + ": " + violation.text + "\n";
    return text;
}

} // namespace crocuslever::testing
