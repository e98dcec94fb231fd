#include "../standin/Cell.h"

using namespace standin;

// The owner's process is killed, and starts again; one answer of the store to the new process is lost. It becomes owner
// before it has read a configuration. The first of a task's four attempts ends as failed meanwhile, and the job must go on
// with the second.

static constexpr std::int64_t kWorkMs = 1200;
static constexpr std::int64_t kKillAfterStartMs = 1000;
static constexpr std::int64_t kRestartDelayMs = 300;

int main(int, char** argv)
{
    Cell cell(argv[1], 3, 8);
    Queue plan { "r-plan", "/plan/", 4 };
    cell.configure(7, { plan });
    if (!cell.awaitReady())
        return kCouldNotRun;
    Cell::sleep(2000);
    std::string id = "5c0e7a21d94b36f8";
    std::string path = plan.prefix + id;
    Json job = { { "spec", std::to_string(kWorkMs) + " 1" }, { "steps", { { { "count", 1 }, { "cpu", 2000 }, { "mem-mb", 1024 }, { "estimate-ms", 1200 } } } } };
    RunNote run;
    if (!cell.submit(path, job) || !cell.awaitStart(id, 0, 10000, run))
        return kCouldNotRun;
    if (hasTrouble()) {
        Instance* owner = cell.findOwner();
        if (!owner)
            return kCouldNotRun;
        Cell::sleep(kKillAfterStartMs);
        cell.record.write("store: the answer to the next first reading of the configuration will be lost");
        cell.store.loseNextConfiguration();
        owner->kill();
        cell.record.write("platform: " + owner->name() + " is killed");
        Cell::sleep(kRestartDelayMs);
        owner->start();
        cell.record.write("platform: " + owner->name() + " is started again");
    }
    std::string state;
    for (std::int64_t end = now() + 30000; now() < end && state != "completed" && state != "failed"; Cell::sleep(500))
        state = cell.stateOf(path, 0);
    int failures = 0;
    for (const RunNote& it : cell.runs.runsOf(id))
        failures += it.how == "failed";
    bool isBroken = state == "failed" && failures < plan.attempts;
    cell.record.write("job " + id + ": shown as " + state + ", " + std::to_string(failures) + " of " + std::to_string(plan.attempts) + " attempts ended as failed" + (isBroken ? "; LOST is broken" : ""));
    if (isBroken)
        return kBroken;
    return state == "completed" ? kHeld : kCouldNotRun;
}
