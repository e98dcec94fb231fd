#include "src/core/UpstreamHealth.h"

#include <algorithm>
#include <cmath>

#include "src/core/Peers.h"

namespace crocuslever {

constexpr Duration kScoreHalfLife = std::chrono::seconds(60);
constexpr double kQuarantineScore = 2.5; ///< Failure score at which an upstream is quarantined, in failed jobs.
constexpr double kRepeatWeight = 0.5; ///< Score of a failed job whose team and service already failed there.
constexpr std::size_t kMaximumCountedFailures = 16;
constexpr Duration kFirstProbeDelay = std::chrono::seconds(15);
constexpr Duration kMaximumProbeDelay = std::chrono::minutes(5);
constexpr int kProbationSuccesses = 3; ///< Successes on probation after which an upstream is in good health.

static void decayScore(UpstreamRow& row, TimePoint now)
{
    double halves = std::chrono::duration<double>(now - row.scoreUpdatedAt) / std::chrono::duration<double>(kScoreHalfLife);
    row.failureScore *= std::exp2(-std::max(halves, 0.0));
    row.scoreUpdatedAt = now;
}

static void quarantine(CoreState& state, UpstreamRow& row, TimePoint now, Actions& actions)
{
    row.health = UpstreamHealth::Quarantined;
    row.probeDelay = std::clamp<Duration>(row.probeDelay * 2, kFirstProbeDelay, kMaximumProbeDelay);
    row.probeAfter = now + row.probeDelay;
    state.upstreams.quarantined.insert(row.description.id);
    state.counters.add("upstream_quarantines_total");
    logTo(actions, LogLevel::Warning, "health", "quarantined: its tasks fail while other upstreams succeed; only probes run there", row.description.id.value());
}

static void recordSuccess(CoreState& state, UpstreamRow& row, TimePoint now, Actions& actions)
{
    state.upstreams.lastSuccess = now;
    row.failureScore = 0;
    row.countedFailures.clear();
    if (row.health == UpstreamHealth::Quarantined) {
        row.health = UpstreamHealth::Probation;
        row.probationSuccesses = 0;
        state.upstreams.quarantined.erase(row.description.id);
        logTo(actions, LogLevel::Info, "health", "probe succeeded; on probation with one attempt at a time", row.description.id.value());
        return;
    }
    if (row.health == UpstreamHealth::Probation && ++row.probationSuccesses >= kProbationSuccesses) {
        row.health = UpstreamHealth::Good;
        row.probeDelay = Duration(0);
    }
}

/// A job that fails on a second upstream is at fault itself: its failures no longer count
/// against any upstream.
static void clearFailures(CoreState& state, const JobId& job)
{
    for (auto& [id, row] : state.upstreams) {
        auto it = std::find_if(row.countedFailures.begin(), row.countedFailures.end(), [&](const CountedFailure& failure) { return failure.job == job; });
        if (it == row.countedFailures.end())
            continue;
        row.failureScore = std::max(0.0, row.failureScore - it->weight);
        row.countedFailures.erase(it);
    }
}

static bool hasCountedFailure(const UpstreamRow& row, const JobId& job)
{
    if (job.isEmpty())
        return false;
    return std::any_of(row.countedFailures.begin(), row.countedFailures.end(), [&](const CountedFailure& failure) { return failure.job == job; });
}

static void countFailure(UpstreamRow& row, const AttemptRow& attempt, TimePoint now)
{
    if (row.countedFailures.empty())
        row.failingSince = now;
    std::string source = attempt.team.value() + "/" + attempt.service;
    bool isRepeat = std::any_of(row.countedFailures.begin(), row.countedFailures.end(), [&](const CountedFailure& b) { return b.source == source; });
    double weight = isRepeat ? kRepeatWeight : 1;
    row.failureScore += weight;
    if (row.countedFailures.size() < kMaximumCountedFailures)
        row.countedFailures.push_back({ attempt.job, source, weight });
}

static void recordFailure(CoreState& state, UpstreamRow& row, const AttemptRow& attempt, TimePoint now, Actions& actions)
{
    if (row.health != UpstreamHealth::Good) {
        // Only one attempt runs there at a time, so its failure is enough to quarantine again.
        quarantine(state, row, now, actions);
        return;
    }
    if (attempt.failedElsewhere) {
        clearFailures(state, attempt.job);
        return;
    }
    if (hasCountedFailure(row, attempt.job))
        return;
    countFailure(row, attempt, now);
    // If nothing has succeeded anywhere since its first failure, the fault isn't the upstream's.
    if (row.failureScore >= kQuarantineScore && state.upstreams.lastSuccess > row.failingSince)
        quarantine(state, row, now, actions);
}

void recordOutcome(CoreState& state, UpstreamRow& row, const AttemptRow& attempt, bool succeeded, TimePoint now, Actions& actions)
{
    decayScore(row, now);
    if (succeeded)
        recordSuccess(state, row, now, actions);
    else
        recordFailure(state, row, attempt, now, actions);
}

} // namespace crocuslever
