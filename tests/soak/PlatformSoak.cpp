// Plays series of faults against real processes of the platform's daemon, and checks what callers and workers saw.

#include <atomic>
#include <cstdio>
#include <iostream>
#include <tclap/CmdLine.h>
#include <thread>

#include "tests/soak/SoakCell.h"

using namespace crocuslever::soak;

namespace {

constexpr std::int64_t kSubmitIntervalMs = 40;
constexpr std::int64_t kLookupIntervalMs = 400;
constexpr std::int64_t kSettlingMs = 2000;
constexpr std::int64_t kDrainMs = 45000; ///< Accepted jobs have to end within this time after the last fault.
constexpr std::size_t kClients = 4;

/// The jobs of one client, which hands them in and asks for their states.
struct Client {
    std::size_t number { 0 };
    std::uint64_t seed { 0 };
    std::vector<JobNote> jobs;
};

} // namespace

static std::string makeId(const Client& client)
{
    char text[17];
    std::snprintf(text, sizeof text, "%04zx%04llx%08zx", client.number, static_cast<unsigned long long>(client.seed & 0xffff), client.jobs.size() + 1);
    return text;
}

static void submit(SoakCell& cell, Client& client, std::mt19937_64& random)
{
    JobNote job;
    job.id = makeId(client);
    job.attempts = kAttempts;
    std::string work = std::to_string(200 + random() % 1800);
    std::string failures = std::to_string(random() % 4 == 0 ? random() % kAttempts : 0);
    standin::Json step { { "count", 1 + random() % 3 }, { "cpu", 1000 }, { "mem-mb", 256 }, { "estimate-ms", 1000 } };
    standin::Json body { { "spec", work + " " + failures }, { "steps", { step } } };
    int status = cell.call("POST", kQueuePath + job.id, body.dump(), random()).status;
    job.isAccepted = status >= 200 && status < 300;
    client.jobs.push_back(job);
}

static bool hasEnded(const JobNote& job) { return job.lastState == "completed" || job.lastState == "failed"; }

static void lookUp(SoakCell& cell, JobNote& job, std::mt19937_64& random)
{
    standin::HttpAnswer answer = cell.call("GET", kQueuePath + job.id, "", random());
    standin::Json body = standin::Json::parse(answer.body, nullptr, false);
    if (answer.status != 200 || !body.is_object())
        return;
    job.lastState = body.value("state", "");
    if (job.lastState == "completed" && job.completedAt == 0)
        job.completedAt = standin::now();
}

static void lookUpOpenJobs(SoakCell& cell, Client& client, std::mt19937_64& random)
{
    for (JobNote& job : client.jobs) {
        if (job.isAccepted && !hasEnded(job))
            lookUp(cell, job, random);
    }
}

/// Hands in jobs until `isOver`, and then waits for those that were accepted.
static void runClient(SoakCell& cell, Client& client, const std::atomic<bool>& isOver)
{
    std::mt19937_64 random(client.seed * kClients + client.number);
    std::int64_t nextLookup = standin::now();
    while (!isOver) {
        submit(cell, client, random);
        if (standin::now() >= nextLookup) {
            lookUpOpenJobs(cell, client, random);
            nextLookup = standin::now() + kLookupIntervalMs;
        }
        standin::Cell::sleep(kSubmitIntervalMs);
    }
    std::int64_t end = standin::now() + kDrainMs;
    auto isOpen = [](const JobNote& job) { return job.isAccepted && !hasEnded(job); };
    while (standin::now() < end && std::any_of(client.jobs.begin(), client.jobs.end(), isOpen)) {
        lookUpOpenJobs(cell, client, random);
        standin::Cell::sleep(kLookupIntervalMs);
    }
    // Whether an end that was shown is shown still.
    for (JobNote& job : client.jobs) {
        if (job.isAccepted)
            lookUp(cell, job, random);
    }
}

static void pause(std::mt19937_64& random, std::int64_t least, std::int64_t most)
{
    standin::Cell::sleep(least + static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(most - least)));
}

/// The store is away, with its leases paused or running out; workers crash meanwhile, and the owner is killed.
static void playOutage(SoakCell& cell, std::mt19937_64& random)
{
    bool pausesLeases = random() % 2 == 0;
    cell.note(std::string("the store is away, leases ") + (pausesLeases ? "pause" : "go on"));
    cell.gate().setAway(true, pausesLeases);
    pause(random, 2000, 3500);
    cell.crashWorkers(2);
    pause(random, 200, 800);
    if (random() % 2 == 0)
        cell.restartOwner();
    cell.note("the store is back");
    cell.gate().setAway(false, false);
    pause(random, 1500, 4000);
    cell.reviveWorkers();
}

/// The owner is killed twice in quick succession, while a third of the changes in the store are not answered.
static void playKills(SoakCell& cell, std::mt19937_64& random)
{
    cell.note("a third of the store's changes are not answered");
    cell.gate().setLostAnswers(0.33);
    pause(random, 500, 1500);
    cell.restartOwner();
    pause(random, 300, 1800);
    cell.restartOwner();
    pause(random, 2000, 3000);
    cell.gate().setLostAnswers(0);
    cell.note("all changes are answered again");
}

static void playFaults(SoakCell& cell, std::uint64_t seed, std::int64_t seconds)
{
    std::mt19937_64 random(seed);
    std::int64_t end = standin::now() + seconds * 1000;
    standin::Cell::sleep(kSettlingMs);
    while (standin::now() < end) {
        if (random() % 2 == 0)
            playOutage(cell, random);
        else
            playKills(cell, random);
        pause(random, 500, 3000);
    }
}

/// Returns the number of broken rules; -1: it could not be played.
static int play(const std::string& program, const std::string& folder, std::uint64_t seed, std::int64_t seconds)
{
    SoakCell cell(program, folder, seed);
    if (!cell.awaitReady()) {
        std::cout << "the instances are not ready" << std::endl;
        return -1;
    }
    std::atomic<bool> isOver { false };
    std::vector<Client> clients(kClients);
    std::vector<std::thread> threads;
    for (std::size_t n = 0; n < kClients; ++n) {
        clients[n].number = n;
        clients[n].seed = seed;
        threads.emplace_back([&cell, &isOver, &client = clients[n]] { runClient(cell, client, isOver); });
    }
    playFaults(cell, seed, seconds);
    isOver = true;
    for (std::thread& it : threads)
        it.join();
    std::vector<JobNote> jobs;
    for (const Client& client : clients)
        jobs.insert(jobs.end(), client.jobs.begin(), client.jobs.end());
    std::vector<std::string> broken = findBrokenRules(jobs, cell.runs(), cell.crashes());
    if (cell.endedInstances() > 0)
        broken.push_back("FAULT: instances have ended by themselves");
    for (const std::string& line : broken)
        std::cout << line << '\n';
    auto isAccepted = [](const JobNote& job) { return job.isAccepted; };
    std::cout << "seed " << seed << ": " << std::count_if(jobs.begin(), jobs.end(), isAccepted) << " jobs accepted, " << cell.runs().size() << " runs, " << broken.size() << " rules broken" << std::endl;
    return static_cast<int>(broken.size());
}

int main(int argc, char** argv)
{
    TCLAP::CmdLine command("Plays faults against real processes of the platform's daemon", ' ', CROCUSLEVER_VERSION);
    TCLAP::ValueArg<std::string> program("p", "program", "The daemon, a file named crocuslever-platformd", true, "", "FILE", command);
    TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "Seed of faults and clients", false, 1, "N", command);
    TCLAP::ValueArg<std::int64_t> seconds("t", "seconds", "How long faults are played, s", false, 30, "N", command);
    command.parse(argc, argv);
    char pattern[] = "/tmp/crocuslever-soak-XXXXXX";
    std::string folder = ::mkdtemp(pattern);
    int broken = play(program.getValue(), folder, seed.getValue(), seconds.getValue());
    if (broken == 0)
        std::filesystem::remove_all(folder);
    else
        std::cout << "logs and record: " << folder << std::endl;
    return broken == 0 ? 0 : 1;
}
