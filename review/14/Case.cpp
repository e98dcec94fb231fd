#include <atomic>

#include "../standin-3/Cell.h"

// Callers ask for two jobs through one instance: one that is completed and one that runs. In each round the owner of the cell
// freezes for about half a second, and the instance that the callers ask is killed in that time and starts again.

using namespace standin3;

static constexpr int kRounds = 5;
static constexpr int kClients = 80;
static constexpr int kPauseMs = 1500;
static constexpr int kRestartDelayMs = 200;

static const std::string kPrefix = "/plan/";

/// Clients that ask for one job at the same time, each on its own connection. Returns how often it was shown as completed.
static int ask(Cell& cell, Instance& at, const std::string& path)
{
    std::atomic<int> shown { 0 };
    std::vector<std::thread> clients;
    for (int n = 0; n < kClients; ++n) {
        clients.emplace_back([&] {
            if (cell.stateOf(at, path) == "completed")
                ++shown;
        });
    }
    for (std::thread& it : clients)
        it.join();
    return shown;
}

static void awaitState(Cell& cell, const std::string& path, const std::string& state)
{
    for (int n = 0; n < 100; ++n, sleepMs(100)) {
        if (cell.stateOf(*cell.instances[0], path) == state)
            return;
    }
    throw CouldNotRun(path + " does not become " + state);
}

static Instance& findEntry(Cell& cell)
{
    Instance* owner = cell.findOwner();
    for (const auto& it : cell.instances) {
        if (it.get() != owner)
            return *it;
    }
    throw CouldNotRun("there is no other instance");
}

static void awaitReady(Instance& instance)
{
    for (int n = 0; n < 500 && !instance.isReady(); ++n)
        sleepMs(10);
}

/// Returns how often the job that runs was shown as completed.
static int playRound(Cell& cell, const std::string& finished, const std::string& running)
{
    Instance* owner = cell.findOwner();
    if (!owner)
        throw CouldNotRun("there is no owner");
    Instance& entry = findEntry(cell);
    bool trouble = hasTrouble();
    if (trouble) {
        cell.record.write(owner->name() + ", which owns the cell, freezes");
        owner->kill(SIGSTOP);
    }
    std::thread early([&] { ask(cell, entry, finished); });
    sleepMs(100);
    if (trouble) {
        cell.record.write(entry.name() + " is killed, and starts again");
        entry.kill(SIGKILL);
        sleepMs(kRestartDelayMs);
        entry.start();
    }
    early.join();
    awaitReady(entry);
    std::thread wake([&] {
        sleepMs(60);
        if (!trouble)
            return;
        owner->kill(SIGCONT);
        cell.record.write(owner->name() + " goes on");
    });
    int wrong = ask(cell, entry, running);
    wake.join();
    return wrong;
}

/// Starts the instance anew, as in a rolling restart.
static void restart(Cell& cell, Instance& entry)
{
    cell.record.write(entry.name() + " is restarted");
    entry.kill(SIGKILL);
    sleepMs(kRestartDelayMs);
    entry.start();
    awaitReady(entry);
    sleepMs(kPauseMs);
}

static int play(Cell& cell)
{
    for (int n = 0; n < 2; ++n)
        cell.addWorker({ "w-" + std::to_string(n + 1), "shopdesk", "kumasi-a", { "a", "r1-1" } });
    cell.configure(7, { { "plan", kPrefix } });
    cell.start();
    std::string finished = kPrefix + jobId(1, 1);
    std::string running = kPrefix + jobId(2, 1);
    if (!cell.submit(finished, makeJob("work-ms=200", 1, 1000)) || !cell.submit(running, makeJob("work-ms=300000", 1, 1000)))
        throw CouldNotRun("the jobs are not accepted");
    awaitState(cell, finished, "completed");
    awaitState(cell, running, "running");
    int wrong = 0;
    for (int n = 0; n < kRounds; ++n) {
        if (n > 0 && hasTrouble())
            restart(cell, findEntry(cell));
        wrong += playRound(cell, finished, running);
        sleepMs(kPauseMs);
        cell.awaitReady();
    }
    bool runsOn = false;
    for (const RunNote& it : cell.runs.notes())
        runsOn = runsOn || (it.task.find(jobId(2, 1)) == 0 && it.how.empty());
    cell.record.write("the job that runs was shown as completed " + std::to_string(wrong) + " times; its task " + (runsOn ? "is still at work" : "is not at work"));
    return wrong > 0 && runsOn ? kBroken : kHeld;
}

int main(int argc, char** argv) { return playCase(argc, argv, play); }
