// A worker is cut off as jobs start on it, and starts again behind the cut under its id.

#include "Cell.h"

static constexpr const char* kPrefix = "/plan/";
static constexpr std::int64_t kCutMs = 5500;

/// Pairs of runs of one task that went on at the same time, on workers that were up.
static int countOverlaps(sim::Cell& cell, const std::string& job)
{
    std::map<std::string, std::vector<sim::RunNote>> byTask;
    for (const sim::RunNote& run : cell.runsOf(job))
        byTask[run.task].push_back(run);
    int overlaps = 0;
    for (const auto& [task, runs] : byTask) {
        for (std::size_t i = 0; i + 1 < runs.size(); ++i) {
            bool isOver = runs[i].endedAt != 0 && runs[i].endedAt <= runs[i + 1].startedAt;
            overlaps += !isOver;
            if (!isOver)
                cell.record.note("check: " + task + " runs on " + runs[i].worker + " as run " + std::to_string(runs[i].run) + " and on " + runs[i + 1].worker + " as run " + std::to_string(runs[i + 1].run) + " at the same time");
        }
    }
    return overlaps;
}

int main(int, char** argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    sim::Cell cell(argv[1], 3, 8, 64000);
    sim::Worker& worker = *cell.workers.front();
    worker.setCapacity(60000);
    if (!cell.start(sim::makeConfiguration(7, { { "plan", kPrefix, 1, 4, 3000 } })))
        return 2;
    sim::Json step { { "count", 60 }, { "cpu", 500 }, { "mem-mb", 500 }, { "estimate-ms", 300 } };
    sim::Json job { { "spec", "300" }, { "steps", { step } } };
    std::vector<std::string> ids { "00000000000000e1", "00000000000000e2" };
    std::int64_t begin = sim::steadyMs();
    if (sim::hasTrouble())
        worker.cut();
    for (const std::string& id : ids) {
        if (!cell.submit(kPrefix + id, job, 0))
            return 2;
    }
    if (sim::hasTrouble()) {
        sim::sleepMs(begin + 2000 - sim::steadyMs());
        worker.rebirth();
        sim::sleepMs(begin + kCutMs - sim::steadyMs());
        worker.heal();
    }
    sim::sleepMs(8000);
    int overlaps = 0;
    for (const std::string& id : ids) {
        overlaps += countOverlaps(cell, id);
        cell.stateOf(kPrefix + id, 1);
    }
    cell.record.note("check: " + std::to_string(overlaps) + " tasks had two runs at the same time" + (overlaps > 0 ? ": TWICE is broken" : ""));
    return overlaps > 0 ? 1 : 0;
}
