#pragma once

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>

#include "Worker.h"

namespace standin3 {

constexpr rlim_t kDescriptors = 4100; ///< Of a machine.

/// Exit statuses of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

/// Thrown when the case can't be played.
struct CouldNotRun : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// False: the same is done without the disruption.
inline bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

/// A process of the daemon, started with the command of the deploy file.
class Instance {
public:
    Instance(std::string name, std::string zone, std::string folder)
        : m_name(std::move(name))
        , m_zone(std::move(zone))
        , m_folder(std::move(folder))
        , m_callers(freePort())
        , m_ready(freePort())
        , m_metrics(freePort())
        , m_peers(freePort())
    {
    }

    ~Instance() { kill(SIGKILL); }

    const std::string& name() const { return m_name; }
    int callers() const { return m_callers; }
    std::string peers() const { return addressOf(m_peers); }
    pid_t pid() const { return m_pid; }

    /// The template of the deploy file, filled in as the platform does for a small deployment.
    void writeSettings(const std::string& store, const std::vector<std::string>& seeds)
    {
        std::ofstream out(settingsFile());
        out << "instance: \"" << m_name << "\"\nfailure_domain: \"" << m_zone << "\"\nlisten:\n  callers: \"" << addressOf(m_callers) << "\"\n  readiness: \"" << addressOf(m_ready) << "\"\n  metrics: \"" << addressOf(m_metrics) << "\"\npeers:\n  listen: \"" << peers() << "\"\n  seeds: [";
        for (std::size_t n = 0; n < seeds.size(); ++n)
            out << (n > 0 ? "," : "") << '"' << seeds[n] << '"';
        out << "]\nstore: \"" << store << "\"\nadvice: \"" << addressOf(freePort()) << "\"\nmachines: \"" << addressOf(freePort()) << "\"\n"
            << "features: \"base,drain,config,cost,recover,sched,tenants,quota,places,platform,advice,upkeep,sharing\"\nprocessor_share: \"0.25\"\ndescriptors: \"4100\"\nmemory_mb: \"260\"\n"
            << "upstreams:\n  longest_lease: \"10000ms\"\n  stop_time: \"400ms\"\n  drain_within: \"2000ms\"\n  gang_timeout: \"3000ms\"\n  remote_factor: \"2\"\n"
            << "declarations:\n  in_force_within: \"2000ms\"\n  evacuate_within: \"5000ms\"\njobs:\n  keep_finished: \"120s\"\nstop:\n  grace: \"6s\"\n";
    }

    void start()
    {
        std::string log = m_folder + "/" + m_name + ".log";
        std::string settings = settingsFile();
        m_pid = ::fork();
        if (m_pid != 0)
            return;
        // Of the descriptors of a machine, 200 are reserved for files.
        rlimit descriptors { kDescriptors - 200, kDescriptors - 200 };
        ::setrlimit(RLIMIT_NOFILE, &descriptors);
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // No process outlives the case.
        int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(fd, 1);
        ::dup2(fd, 2);
        ::execl("target/crocuslever-platformd", "crocuslever-platformd", "--settings", settings.c_str(), static_cast<char*>(nullptr));
        ::_exit(127);
    }

    /// Sends a signal. Waits for the end of a process that is killed.
    void kill(int signal)
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, signal);
        if (signal != SIGKILL)
            return;
        ::waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }

    /// True if the process has ended by itself.
    bool hasEnded()
    {
        if (m_pid <= 0 || ::waitpid(m_pid, nullptr, WNOHANG) != m_pid)
            return false;
        m_pid = -1;
        return true;
    }

    bool isReady() const
    {
        Client client(m_ready);
        return client.call("GET", "/-/ready", "Host: ready\r\n", "", 300).status == 200;
    }

    /// As its metrics say.
    bool isOwner() const
    {
        Client client(m_metrics);
        return client.call("GET", "/metrics", "Host: metrics\r\n", "", 300).body.find("owner 1\n") != std::string::npos;
    }

    std::int64_t memoryKb() const
    {
        std::ifstream in("/proc/" + std::to_string(m_pid) + "/status");
        for (std::string line; std::getline(in, line);) {
            if (line.compare(0, 6, "VmRSS:") == 0)
                return std::atoll(line.c_str() + 6);
        }
        return 0;
    }

private:
    std::string settingsFile() const { return m_folder + "/" + m_name + ".yaml"; }

    std::string m_name;
    std::string m_zone;
    std::string m_folder;
    int m_callers;
    int m_ready;
    int m_metrics;
    int m_peers;
    pid_t m_pid { -1 };
};

/// A queue of the configuration.
struct Queue {
    std::string name;
    std::string prefix; ///< "/lohu930/"
    std::string service { "shopdesk" };
    int priority { 0 };
    int attempts { 4 };
};

constexpr const char* kQueueHost = "desk.example";
constexpr const char* kKey = "key-of-the-team";
constexpr const char* kOtherKey = "key-of-the-other-team";

inline std::string makeConfiguration(int version, const std::vector<Queue>& queues)
{
    Json routes = Json::array();
    for (const Queue& it : queues)
        routes.push_back({ { "name", it.name }, { "hostname", kQueueHost }, { "prefix", it.prefix }, { "service", it.service }, { "priority", it.priority }, { "attempts", it.attempts }, { "stretch", 2.0 }, { "target-duration-ms", 1000 }, { "public", false } });
    Json tenants = Json::array();
    for (const auto& [name, key] : { std::make_pair("team", kKey), std::make_pair("other-team", kOtherKey) })
        tenants.push_back({ { "name", name }, { "api-keys", { key } }, { "weight", 1 }, { "cap", { { "cpu", 0 }, { "mem-mb", 0 }, { "gpu", 0 } } } });
    Json services = Json::array();
    services.push_back({ { "name", "shopdesk" }, { "enforces-capacity", false } });
    return Json { { "version", version }, { "routes", routes }, { "services", services }, { "tenants", tenants }, { "limits", { { "max-body-bytes", 262144 } } } }.dump();
}

/// Entry instances as processes, with stand-ins for the store and the workers.
class Cell {
public:
    /// `folder`: for settings and logs; `record`: the file of the record.
    Cell(const std::string& folder, const std::string& recordFile)
        : record(recordFile)
        , store(freePort())
        , m_folder(folder)
    {
        static const char* const kZones[] = { "kumasi-a", "kumasi-b", "kumasi-c" };
        for (int n = 0; n < 3; ++n)
            instances.push_back(std::make_unique<Instance>("edge-" + std::to_string(n + 1), kZones[n], folder));
    }

    ~Cell()
    {
        instances.clear();
        workers.clear();
    }

    Worker& addWorker(WorkerSettings settings)
    {
        workers.push_back(std::make_unique<Worker>(store, runs, record, std::move(settings)));
        workers.back()->start();
        return *workers.back();
    }

    void configure(int version, const std::vector<Queue>& queues)
    {
        store.put("op/config", makeConfiguration(version, queues));
        record.write("operator: configuration " + std::to_string(version) + " is confirmed");
    }

    /// Starts all instances, and waits until they are ready and one of them gives orders.
    void start()
    {
        std::vector<std::string> seeds;
        for (const auto& it : instances)
            seeds.push_back(it->peers());
        for (const auto& it : instances) {
            it->writeSettings(store.address(), seeds);
            it->start();
        }
        awaitReady();
    }

    void awaitReady()
    {
        for (int n = 0; n < 200; ++n, sleepMs(100)) {
            bool ready = std::all_of(instances.begin(), instances.end(), [](const auto& it) { return it->isReady(); });
            if (ready && findOwner())
                return;
        }
        throw CouldNotRun("the instances don't become ready");
    }

    Instance* findOwner()
    {
        for (const auto& it : instances) {
            if (it->isOwner())
                return it.get();
        }
        return nullptr;
    }

    Answer call(Client& client, const std::string& at, const std::string& method, const std::string& path, const std::string& body = "", int timeoutMs = 3000, const char* key = kKey)
    {
        std::string headers = std::string("Host: ") + kQueueHost + "\r\nAuthorization: Token " + key + "\r\nContent-Type: application/json\r\nX-Deadline-Ms: " + std::to_string(timeoutMs) + "\r\n";
        Answer answer = client.call(method, path, headers, body, timeoutMs);
        record.write("client " + method + " " + path + " at " + at + " -> " + std::to_string(answer.status) + " " + answer.body.substr(0, 120));
        return answer;
    }

    Answer call(Instance& at, const std::string& method, const std::string& path, const std::string& body = "", int timeoutMs = 3000, const char* key = kKey)
    {
        Client client(at.callers());
        return call(client, at.name(), method, path, body, timeoutMs, key);
    }

    /// Sends the job, as often as a client does, until it is accepted. The attempts go to the instances in turn.
    bool submit(const std::string& path, const std::string& body)
    {
        for (int n = 0; n < 5; ++n, sleepMs(300)) {
            if (call(*instances[static_cast<std::size_t>(n) % instances.size()], "POST", path, body).status == 200)
                return true;
        }
        return false;
    }

    /// The state that the instance shows; empty: none.
    std::string stateOf(Instance& at, const std::string& path) { return stateIn(call(at, "GET", path)); }

    static std::string stateIn(const Answer& answer)
    {
        Json body = Json::parse(answer.body, nullptr, false);
        return answer.status == 200 && body.is_object() ? body.value("state", std::string()) : std::string();
    }

    Record record;
    RunLog runs;
    Store store;
    std::vector<std::unique_ptr<Worker>> workers;
    std::vector<std::unique_ptr<Instance>> instances;

private:
    std::string m_folder;
};

/// The id of the Nth job of a kind.
inline std::string jobId(unsigned kind, unsigned n)
{
    char text[32];
    std::snprintf(text, sizeof text, "%08x%08x", kind, n);
    return text;
}

/// A job of one step.
inline std::string makeJob(const std::string& spec, int count, int milliCpu, Json step = Json::object())
{
    step["count"] = count;
    step["cpu"] = milliCpu;
    step["mem-mb"] = 256;
    if (!step.contains("estimate-ms"))
        step["estimate-ms"] = 500;
    Json steps = Json::array();
    steps.push_back(step);
    return Json { { "spec", spec }, { "steps", steps } }.dump();
}

using Play = int (*)(Cell&);

/// Plays a case: `program FOLDER RECORD`.
inline int playCase(int argc, char** argv, Play play)
{
    if (argc != 3)
        return kCouldNotRun;
    std::signal(SIGPIPE, SIG_IGN);
    Cell cell(argv[1], argv[2]);
    try {
        int result = play(cell);
        cell.record.write(result == kBroken ? "verdict: the rule is broken" : "verdict: the rule held");
        return result;
    } catch (const std::exception& e) {
        cell.record.write(std::string("verdict: could not run: ") + e.what());
        return kCouldNotRun;
    }
}

} // namespace standin3
