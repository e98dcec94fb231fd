#include "../standin-3/Cell.h"

// Tasks need a worker of kind "b". A worker of that kind crashes, and starts again under its id and at its address as one of
// kind "a". It registers before it answers calls.

using namespace standin3;

static constexpr int kRounds = 4;
static constexpr int kJobs = 8;
static constexpr int kTasksPerJob = 20;
static constexpr int kDownMs = 1500;
static constexpr int kPauseMs = 4000;

static const std::string kPrefix = "/plan/";
static const char* const kNeeded = "b";

static WorkerSettings workerOf(int n, const char* kind)
{
    WorkerSettings settings;
    settings.id = "w-" + std::to_string(n);
    settings.zone = "kumasi-a";
    settings.labels = { kind, "r1-" + std::to_string(n) };
    return settings;
}

static int countStartsWithoutLabel(const Cell& cell)
{
    int count = 0;
    for (const RunNote& it : cell.runs.notes())
        count += std::find(it.labels.begin(), it.labels.end(), kNeeded) == it.labels.end();
    return count;
}

static void submitJobs(Cell& cell, unsigned round)
{
    for (unsigned n = 0; n < kJobs; ++n) {
        std::string body = makeJob("work-ms=1500", kTasksPerJob, 30000, { { "required-label", kNeeded }, { "estimate-ms", 1500 } });
        if (!cell.submit(kPrefix + jobId(round + 1, n), body))
            throw CouldNotRun("a job is not accepted");
    }
}

static int play(Cell& cell)
{
    std::vector<Worker*> needed;
    for (int n = 1; n <= kRounds + 4; ++n)
        needed.push_back(&cell.addWorker(workerOf(n, kNeeded)));
    for (int n = kRounds + 5; n <= kRounds + 12; ++n)
        cell.addWorker(workerOf(n, "a"));
    cell.configure(7, { { "plan", kPrefix } });
    cell.start();
    for (int round = 0; round < kRounds; ++round) {
        submitJobs(cell, static_cast<unsigned>(round));
        sleepMs(1000);
        if (hasTrouble()) {
            Worker& worker = *needed[static_cast<std::size_t>(round)];
            worker.crash();
            sleepMs(kDownMs);
            worker.setLabels({ "a", "r1-" + std::to_string(round + 1) });
            worker.start();
        }
        sleepMs(kPauseMs);
    }
    int wrong = countStartsWithoutLabel(cell);
    cell.record.write(std::to_string(wrong) + " of " + std::to_string(cell.runs.notes().size()) + " starts were on a worker without the label");
    return wrong > 0 ? kBroken : kHeld;
}

int main(int argc, char** argv) { return playCase(argc, argv, play); }
