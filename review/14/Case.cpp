#include "../standin-3/Cell.h"

// Jobs of two queues are accepted. While they run, a new configuration removes the route of one queue.

using namespace standin3;

static constexpr int kJobs = 5;
static constexpr int kTasks = 4;
static constexpr int kCatchUpMs = 20000; ///< A multiple of the 3 s for which a job may have nothing running.

static const std::string kKeptPrefix = "/plan/";
static const std::string kRemovedPrefix = "/check/";
static constexpr unsigned kKeptJobs = 1;
static constexpr unsigned kRemovedJobs = 2;

/// Two steps of two seconds, one after the other.
static std::string makeChain()
{
    Json first { { "count", kTasks }, { "cpu", 1000 }, { "mem-mb", 256 }, { "estimate-ms", 2000 } };
    Json second = first;
    second["after"] = { 0 };
    Json steps = Json::array();
    steps.push_back(first);
    steps.push_back(second);
    return Json { { "spec", "work-ms=2000" }, { "steps", steps } }.dump();
}

static void submitAll(Cell& cell, const std::string& prefix, unsigned kind)
{
    for (unsigned n = 0; n < kJobs; ++n) {
        if (!cell.submit(prefix + jobId(kind, n), makeChain()))
            throw CouldNotRun("a job is not accepted");
    }
}

/// Tasks of the jobs of that kind that have ended as done.
static int countDone(const Cell& cell, unsigned kind)
{
    std::string begin = jobId(kind, 0).substr(0, 8);
    std::vector<RunNote> notes = cell.runs.notes();
    return static_cast<int>(std::count_if(notes.begin(), notes.end(), [&begin](const RunNote& it) { return it.task.compare(0, begin.size(), begin) == 0 && it.how == "done"; }));
}

static int play(Cell& cell)
{
    constexpr int kOwed = kJobs * kTasks * 2;
    for (int n = 0; n < 6; ++n)
        cell.addWorker({ "w-" + std::to_string(n + 1), "shopdesk", "kumasi-a", { "a", "r1-1" } });
    Queue kept { "plan", kKeptPrefix };
    Queue removed { "check", kRemovedPrefix };
    cell.configure(7, { kept, removed });
    cell.start();
    submitAll(cell, kKeptPrefix, kKeptJobs);
    submitAll(cell, kRemovedPrefix, kRemovedJobs);
    sleepMs(500);
    if (hasTrouble())
        cell.configure(9, { kept });
    sleepMs(kCatchUpMs);
    int done = countDone(cell, kRemovedJobs);
    cell.record.write("tasks done " + std::to_string(kCatchUpMs) + " ms after the change: queue kept " + std::to_string(countDone(cell, kKeptJobs)) + ", queue removed " + std::to_string(done) + ", of " + std::to_string(kOwed) + " each; all workers are idle");
    cell.call(*cell.instances[0], "GET", kRemovedPrefix + jobId(kRemovedJobs, 0));
    return done < kOwed ? kBroken : kHeld;
}

int main(int argc, char** argv) { return playCase(argc, argv, play); }
