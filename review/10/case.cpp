// A job with so many tasks that the record of its progress outgrows the store's largest value.

#include "Cell.h"

static constexpr const char* kPrefix = "/plan/";

namespace {

struct Counts {
    std::size_t started { 0 };
    std::size_t running { 0 };
    std::size_t done { 0 };
};

} // namespace

static Counts countRuns(sim::Cell& cell, const std::string& job)
{
    Counts counts;
    for (const sim::RunNote& run : cell.runsOf(job)) {
        ++counts.started;
        counts.running += run.endedAt == 0;
        counts.done += run.how == "done";
    }
    return counts;
}

/// How long nothing of the job has run on end, at most until all its tasks are done.
static std::int64_t measureIdle(sim::Cell& cell, const std::string& job, std::size_t tasks, std::int64_t forMs, Counts& counts)
{
    std::int64_t end = sim::steadyMs() + forMs;
    std::int64_t idleSince = sim::steadyMs();
    std::int64_t longest = 0;
    std::size_t started = 0;
    while (sim::steadyMs() < end) {
        counts = countRuns(cell, job);
        if (counts.done >= tasks)
            return longest;
        if (counts.running > 0 || counts.started > started)
            idleSince = sim::steadyMs();
        started = counts.started;
        longest = std::max(longest, sim::steadyMs() - idleSince);
        sim::sleepMs(200);
    }
    return longest;
}

int main(int, char** argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    sim::Cell cell(argv[1], 3, 6, 64000);
    if (!cell.start(sim::makeConfiguration(7, { { "plan", kPrefix, 1, 4, 3000 } })))
        return 2;
    std::size_t tasks = sim::hasTrouble() ? 200000 : 20000;
    sim::Json wide { { "count", tasks / 4 }, { "cpu", 50 }, { "mem-mb", 1 }, { "estimate-ms", 5 } };
    std::string large = "00000000000000d1";
    for (auto& it : cell.workers)
        it->setNoisy(false);
    if (!cell.submit(kPrefix + large, { { "spec", "5" }, { "steps", { wide, wide, wide, wide } } }, 0))
        return 2;
    // Until it is done, or nothing of it has run for long.
    Counts counts;
    std::int64_t idle = 0;
    std::int64_t end = sim::steadyMs() + 50000;
    while (sim::steadyMs() < end && counts.done < tasks && idle < 8000)
        idle = std::max(idle, measureIdle(cell, large, tasks, 10000, counts));
    cell.record.note("workers: of the large job " + std::to_string(counts.done) + " of " + std::to_string(tasks) + " tasks are done, " + std::to_string(counts.running) + " run; nothing of it ran for " + std::to_string(idle) + " ms on end; the store has refused " + std::to_string(cell.store.refusedAsTooLarge()) + " writes above value-bytes");
    for (auto& it : cell.workers)
        it->setNoisy(true);
    sim::Json first { { "count", 1 }, { "cpu", 1000 }, { "mem-mb", 1000 }, { "estimate-ms", 500 } };
    sim::Json second = first;
    second["after"] = { 0 };
    std::string plain = "00000000000000d2";
    if (!cell.submit(kPrefix + plain, { { "spec", "500" }, { "steps", { first, second } } }, 1))
        return 2;
    Counts plainCounts;
    std::int64_t plainIdle = measureIdle(cell, plain, 2, 25000, plainCounts);
    sim::sleepMs(1000);
    std::string state = cell.stateOf(kPrefix + plain, 1);
    cell.stateOf(kPrefix + large, 1);
    bool isLargeLost = counts.done < tasks && idle > 3000;
    bool isPlainLost = plainCounts.done < 2 && plainIdle > 3000;
    cell.record.note("check: the plain job of two steps has " + std::to_string(plainCounts.done) + " of 2 tasks done, nothing of it ran for " + std::to_string(plainIdle) + " ms on end with the workers idle, and it is shown as " + state + (isLargeLost || isPlainLost ? ": LOST is broken" : ""));
    return isLargeLost || isPlainLost ? 1 : 0;
}
