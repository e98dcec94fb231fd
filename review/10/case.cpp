// A machine freezes as it gets a job; the client gives the job up and cancels it at another machine.

#include "Cell.h"

static constexpr const char* kPrefix = "/plan/";
static constexpr std::int64_t kFreezeMs = 4000;
static constexpr std::int64_t kPatienceMs = 300; ///< The client leaves after this.
static constexpr std::int64_t kCancelMs = 3000; ///< `cancel_ms`.

int main(int, char** argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    sim::Cell cell(argv[1], 3, 6, 64000);
    if (!cell.start(sim::makeConfiguration(7, { { "plan", kPrefix, 1, 4, 3000 } })))
        return 2;
    sim::Json step { { "count", 2 }, { "cpu", 1000 }, { "mem-mb", 1000 }, { "estimate-ms", 2000 } };
    sim::Json job { { "spec", "2000" }, { "steps", { step } } };
    std::string path = kPrefix + std::string("00000000000000f1");
    // An instance other than the owner.
    std::size_t frozen = 0;
    for (std::size_t n = 0; n < cell.instances.size(); ++n) {
        if (!cell.instances[n]->isOwner())
            frozen = n;
    }
    sim::Instance& machine = *cell.instances[frozen];
    std::int64_t thawAt = sim::steadyMs() + kFreezeMs;
    if (sim::hasTrouble()) {
        ::kill(machine.pid(), SIGSTOP);
        cell.record.note(machine.name() + " freezes");
    }
    sim::Answer submitted = cell.send("POST", path, job.dump(), frozen, true, kPatienceMs);
    int cancelled = cell.send("DELETE", path, "", frozen + 1).status;
    std::int64_t cancelledAt = sim::steadyMs();
    if (sim::hasTrouble()) {
        sim::sleepMs(thawAt - sim::steadyMs());
        ::kill(machine.pid(), SIGCONT);
        cell.record.note(machine.name() + " goes on after " + std::to_string(kFreezeMs) + " ms");
    }
    bool isAcknowledged = cancelled == 410 || (cancelled >= 200 && cancelled < 300);
    if (!isAcknowledged)
        return 2;
    sim::sleepMs(6000);
    int late = 0;
    for (const sim::RunNote& run : cell.runsOf(path.substr(std::string(kPrefix).size())))
        late += run.startedAt > cancelledAt + kCancelMs;
    cell.send("GET", path, "", frozen + 1);
    cell.record.note("check: the submission was answered with " + std::to_string(submitted.status) + " (0: not at all), the cancelling with " + std::to_string(cancelled) + "; " + std::to_string(late) + " tasks of the job were started more than " + std::to_string(kCancelMs) + " ms after that" + (late > 0 ? ": UNASKED is broken" : ""));
    return late > 0 ? 1 : 0;
}
