#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/cell/Messages.h"

namespace crocuslever::cell::testing {

/// Behaviour of an emulated task, passed as the job's payload: "run=800 fail=2"
/// runs for 800 ms and fails twice before it succeeds; "fail=99" always fails;
/// "gang=4" is the number of members of a gang.
struct TaskScript {
    Duration runTime { std::chrono::milliseconds(500) };
    int failures { 0 };
    int gang { 0 };
    bool saves { false }; ///< "saves=1": a stopped task resumes from its checkpoint.
    bool isDeadly { false }; ///< "deadly=1": it crashes each upstream that starts it.
    int image { 0 }; ///< Number of the image; 0: none.
    std::int64_t tail { 0 }; ///< Tail latency alone, in ms; 0: the task serves no users.
    std::int64_t target { 0 }; ///< Objective for the tail, in ms.
    bool isBestEffort { false }; ///< "idle=1": it disturbs serving tasks, and its pace can be set.
};

std::string formatScript(const TaskScript&);
TaskScript parseScript(const std::string& payload);

/// How best-effort tasks disturb serving tasks on all upstreams.
struct EmulatedInterference {
    /// Growth of the tail for each best-effort run at full speed, by image of the serving and of the best-effort task.
    std::map<std::pair<int, int>, double> coefficients;
    double load { 1.0 }; ///< Factor on the tails of all serving tasks.
};

/// A run in the history of all upstreams, for the rule checker.
struct RunRecord {
    std::string task;
    int run { 0 };
    std::string upstream;
    TimePoint from;
    TimePoint to; ///< TimePoint::max() while the run goes on.
    std::optional<RunEnd> how;
    bool acknowledged { false };
    Duration worked { 0 }; ///< Time at full speed that the run's work so far took.
    Duration overTarget { 0 }; ///< Time that a serving run's tail was over its target.
    Duration helpless { 0 }; ///< Present stretch of it in which pacing would have brought the tail below the target.
    Duration longestHelpless { 0 };
};

/// One incarnation of an upstream: its runs, lease, fencing token and run ends.
/// It injects no failures itself. The caller passes the time.
class EmulatedUpstream {
public:
    EmulatedUpstream(std::string id, std::int64_t bornMs, std::vector<RunRecord>& history, std::map<std::string, int>& failures, const EmulatedInterference& interference);

    PollResult poll(const UpstreamPoll&, TimePoint now);
    OrderOutcome start(const RunStart&, TimePoint now);
    OrderOutcome stop(const RunStop&, TimePoint now);
    OrderOutcome pace(const RunPace&, TimePoint now);
    /// Ends the runs that are complete, stopped or out of lease at `now`.
    void advance(TimePoint now);
    /// True if a task has crashed the upstream by `now`.
    bool hasCrashed(TimePoint now) const { return m_crashAt <= now; }
    /// Drops all runs and unacknowledged ends.
    void crash(TimePoint now);

    bool hasEnds() const { return !m_ends.empty(); }
    std::int64_t token() const { return m_token; }
    std::int64_t bornMs() const { return m_bornMs; }
    std::int64_t clockMs(TimePoint now) const { return toMilliseconds(now.time_since_epoch()) - kClockOffsetMs; }
    std::size_t running() const { return m_runs.size(); }
    /// Pace of the task's run, in percent; unset: it doesn't run here.
    std::optional<int> paceOf(const std::string& task) const;

private:
    static constexpr std::int64_t kClockOffsetMs = 777;

    struct Run {
        int run { 0 };
        TimePoint endsAt;
        bool fails { false };
        bool stopping { false };
        bool saves { false };
        Duration workLeft { 0 }; ///< Remaining work at the start of the run.
        Duration work { 0 }; ///< Total work of the task.
        std::size_t record { 0 }; ///< Index in the history.
        TaskScript script;
        int pace { 100 };
        std::deque<std::pair<TimePoint, double>> tails; ///< Of the last half second, in ms.
    };

    double tailOf(const Run&) const;
    std::int64_t gaugeOf(const Run&) const;
    void record(Run&, Duration);
    bool passesFence(std::int64_t token);
    void end(const std::string& task, RunEnd, TimePoint now);

    std::string m_id;
    std::int64_t m_bornMs;
    std::vector<RunRecord>& m_history;
    std::map<std::string, int>& m_failures; ///< Failed runs of each task on all upstreams.
    const EmulatedInterference& m_interference;
    TimePoint m_advancedAt;
    std::int64_t m_token { 0 };
    std::int64_t m_leaseUntilMs { 0 };
    std::map<std::string, Run> m_runs;
    std::map<std::string, int> m_latest; ///< Highest run that has ended or was stopped before its start, by task.
    struct End {
        EndListing listing;
        std::size_t record { 0 };
    };
    std::vector<End> m_ends;
    std::int64_t m_lastEnd { 0 };
    TimePoint m_crashAt { TimePoint::max() };
};

} // namespace crocuslever::cell::testing
