// A scheduled job with many occurrences, all of them due much later.

#include "Cell.h"

static constexpr const char* kPrefix = "/plan/";
static constexpr int kMinutesOfFourWeeks = 40320;

/// True if a run of the job starts in time.
static bool isStarted(sim::Cell& cell, const std::string& job, std::int64_t timeoutMs)
{
    std::int64_t end = sim::steadyMs() + timeoutMs;
    while (sim::steadyMs() < end) {
        if (!cell.runsOf(job).empty())
            return true;
        sim::sleepMs(20);
    }
    return false;
}

int main(int, char** argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    sim::Cell cell(argv[1], 3, 6, 64000);
    if (!cell.start(sim::makeConfiguration(7, { { "plan", kPrefix, 1, 4, 3000 } })))
        return 2;
    sim::Json step { { "count", 1 }, { "cpu", 1000 }, { "mem-mb", 1000 }, { "estimate-ms", 1000 } };
    sim::Json plain { { "spec", "1000" }, { "steps", { step } } };
    std::string before = "00000000000000b1";
    if (!cell.submit(kPrefix + before, plain, 0) || !isStarted(cell, before, 5000))
        return 2;
    // Due each minute, from an hour from now on.
    sim::Json wide = step;
    wide["count"] = 48;
    sim::Json scheduled { { "spec", "1000" }, { "steps", { wide } }, { "max-runs", sim::hasTrouble() ? kMinutesOfFourWeeks : 10 }, { "first-run-ms", sim::wallMs() + 3600000 }, { "interval-ms", 60000 } };
    if (!cell.submit(kPrefix + std::string("00000000000000b2"), scheduled, 0)) {
        cell.record.note("check: the scheduled job was not accepted");
        return 0;
    }
    sim::sleepMs(5000);
    std::string after = "00000000000000b3";
    bool isAccepted = cell.submit(kPrefix + after, plain, 1);
    bool isServed = isAccepted && isStarted(cell, after, 30000);
    cell.stateOf(kPrefix + after, 1);
    int restarted = 0;
    int most = 0;
    std::lock_guard<std::mutex> lock(cell.processes);
    for (auto& it : cell.instances) {
        restarted += it->endedByItself() >= 3;
        most = std::max(most, it->endedByItself());
        cell.record.note("check: " + it->name() + " has ended by itself " + std::to_string(it->endedByItself()) + " times");
    }
    bool isFault = restarted >= 2;
    bool isLost = isAccepted && !isServed;
    cell.record.note(std::string("check: the plain job was ") + (isAccepted ? "accepted" : "not accepted") + (isServed ? " and started" : " and didn't start within 30 s, with 6 workers idle") + (isLost ? ": LOST is broken" : "") + (isFault ? "; processes of two machines or more have ended three times: Fault" : ""));
    return isFault || isLost ? 1 : 0;
}
