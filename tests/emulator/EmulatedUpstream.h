#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "src/cell/Messages.h"

namespace crocuslever::cell::testing {

/// How a task of the emulator behaves: "run=800 fail=2" runs for 800 ms and
/// fails twice before it succeeds; "fail=99" always fails. Steps with `gang`
/// are told by "gang=4", the number of members.
struct TaskScript {
    Duration runTime { std::chrono::milliseconds(500) };
    int failures { 0 };
    int gang { 0 };
    bool saves { false }; ///< "saves=1": work that is stopped goes on from there in the next run.
};

std::string formatScript(const TaskScript&);
TaskScript parseScript(const std::string& payload);

/// What an upstream of the emulator has begun or ended, for the checker.
struct RunRecord {
    std::string task;
    int run { 0 };
    std::string upstream;
    TimePoint from;
    TimePoint to; ///< Of a run that still goes on: the maximum.
    std::optional<RunEnd> how;
    bool acknowledged { false };
};

/// One life of an upstream: runs, leases, fence and ends, without any failure
/// of its own. Time is an argument.
class EmulatedUpstream {
public:
    EmulatedUpstream(std::string id, std::int64_t bornMs, std::vector<RunRecord>& history, std::map<std::string, int>& failures);

    LookResult poll(const UpstreamLook&, TimePoint now);
    OrderOutcome start(const RunStart&, TimePoint now);
    OrderOutcome stop(const RunStop&, TimePoint now);
    /// Ends what is over by now.
    void advance(TimePoint now);
    /// It loses everything.
    void crash(TimePoint now);

    bool hasEnds() const { return !m_ends.empty(); }
    std::int64_t bornMs() const { return m_bornMs; }
    std::int64_t clockMs(TimePoint now) const { return toMilliseconds(now.time_since_epoch()) - kClockOffsetMs; }
    std::size_t running() const { return m_runs.size(); }

private:
    static constexpr std::int64_t kClockOffsetMs = 777;

    struct Run {
        int run { 0 };
        TimePoint endsAt;
        bool fails { false };
        bool stopping { false };
        bool saves { false };
        Duration workLeft { 0 }; ///< At its start, and in all.
        Duration work { 0 };
        std::size_t record { 0 }; ///< In the history.
    };

    bool passesFence(std::int64_t token);
    void end(const std::string& task, RunEnd, TimePoint now);

    std::string m_id;
    std::int64_t m_bornMs;
    std::vector<RunRecord>& m_history;
    std::map<std::string, int>& m_failures; ///< Of each task, on any upstream.
    std::int64_t m_token { 0 };
    std::int64_t m_leaseUntilMs { 0 };
    std::map<std::string, Run> m_runs;
    std::map<std::string, int> m_latest; ///< Highest run ended or shut out, by task.
    struct End {
        EndListing listing;
        std::size_t record { 0 };
    };
    std::vector<End> m_ends;
    std::int64_t m_lastEnd { 0 };
};

} // namespace crocuslever::cell::testing
