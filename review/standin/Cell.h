#pragma once

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <memory>
#include <string>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <vector>

#include "Http.h"
#include "Record.h"
#include "Store.h"
#include "Worker.h"

namespace standin {

inline std::string freeAddress()
{
    int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = toSocketAddress("127.0.0.1:0");
    ::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address);
    socklen_t size = sizeof address;
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    ::close(socket);
    return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

/// One queue of the configuration.
struct Queue {
    std::string name;
    std::string prefix;
    int attempts { 4 };
    /// What the advice service takes for a call, and for each worker named in it; 0: the queue has no advice.
    double adviceMs { 0 };
    double adviceMsPerWorker { 0 };
};

inline std::string makeConfiguration(int version, const std::vector<Queue>& queues)
{
    Json routes = Json::array();
    for (const Queue& it : queues) {
        routes.push_back({ { "name", it.name }, { "hostname", "desk.example" }, { "prefix", it.prefix }, { "kind", "unsafe" }, { "timeout-ms", 3000 }, { "target-duration-ms", 3000 },
            { "priority", 1 }, { "service", "desk" }, { "attempts", it.attempts }, { "stretch", 4.0 }, { "public", false } });
    }
    for (std::size_t n = 0; n < queues.size(); ++n) {
        if (queues[n].adviceMs > 0)
            routes[n]["advice"] = { { "decide-ms", queues[n].adviceMs }, { "period-ms", queues[n].adviceMsPerWorker }, { "valid-ms", 1500 } };
    }
    Json services = { { { "name", "desk" }, { "health-path", "/health" }, { "max-conns", 64 }, { "protocol", "h1" }, { "tls", false }, { "cold-start-s", 0.0 }, { "cold-per-s", 0.0 }, { "enforces-capacity", false }, { "spare", false } } };
    Json tenants = { { { "name", "team" }, { "api-keys", { "key-of-the-team" } }, { "priority", 1 }, { "weight", 26 }, { "cap", { { "cpu", 0 }, { "mem-mb", 0 }, { "gpu", 0 } } } } };
    Json limits = { { "max-header-bytes", 16384 }, { "max-body-bytes", 262144 }, { "header-timeout-ms", 3000 }, { "idle-timeout-ms", 15000 } };
    return Json { { "version", version }, { "routes", routes }, { "services", services }, { "limits", limits }, { "tenants", tenants } }.dump();
}

/// One entry instance of the project, started as the deploy file says.
class Instance {
public:
    Instance(std::string name, std::string zone, std::string folder)
        : m_name(std::move(name))
        , m_zone(std::move(zone))
        , m_folder(std::move(folder))
    {
    }
    ~Instance() { kill(); }

    const std::string& advice() const { return m_advice; }
    const std::string& callers() const { return m_callers; }
    const std::string& peers() const { return m_peers; }
    const std::string& name() const { return m_name; }
    pid_t pid() const { return m_pid; }

    void writeSettings(const std::string& store, const std::string& seeds)
    {
        std::ofstream file(settingsFile());
        file << "instance: \"" << m_name << "\"\nfailure_domain: \"" << m_zone << "\"\n"
             << "listen:\n  callers: \"" << m_callers << "\"\n  readiness: \"" << m_readiness << "\"\n  metrics: \"" << m_metrics << "\"\n"
             << "peers:\n  listen: \"" << m_peers << "\"\n  seeds: [" << seeds << "]\n"
             << "store: \"" << store << "\"\nadvice: \"" << m_advice << "\"\nmachines: \"" << m_nobody << "\"\n"
             << "processor_share: 0.25\ndescriptors: 4100\n"
             << "upstreams:\n  longest_lease: \"10000ms\"\n  stop_time: \"900ms\"\n  drain_within: \"2000ms\"\n  gang_timeout: \"3000ms\"\n  remote_factor: 3\n"
             << "declarations:\n  in_force_within: \"2000ms\"\n  evacuate_within: \"5000ms\"\njobs:\n  keep_finished: \"120s\"\nstop:\n  grace: \"6s\"\n";
    }

    void start()
    {
        m_pid = ::fork();
        if (m_pid != 0)
            return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // Ends with this program, however that ends.
        std::string log = m_folder + "/" + m_name + ".log";
        int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(out, 1);
        ::dup2(out, 2);
        for (int fd = 3; fd < 1024; ++fd)
            ::close(fd);
        std::string settings = settingsFile();
        ::setenv("CROCUSLEVER_CONFIG", settings.c_str(), 1);
        ::execl("target/crocuslever-platformd", "target/crocuslever-platformd", "--settings", settings.c_str(), nullptr);
        ::_exit(127);
    }

    void kill()
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = 0;
    }

    /// True if the process has ended by itself.
    bool hasEnded() { return m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid; }

    /// True if the metrics of the instance say that it owns the cell.
    bool isOwner() const { return ("\n" + callHttp(m_metrics, "GET", "/metrics", { { "Host", "metrics" } }, "", 500).body).find("owner 1\n") != std::string::npos; }

    bool isReady() const { return callHttp(m_readiness, "GET", "/-/ready", { { "Host", "ready" } }, "", 500).status == 200; }

private:
    std::string settingsFile() const { return m_folder + "/" + m_name + ".yaml"; }

    std::string m_name;
    std::string m_zone;
    std::string m_folder;
    std::string m_callers { freeAddress() };
    std::string m_readiness { freeAddress() };
    std::string m_metrics { freeAddress() };
    std::string m_peers { freeAddress() };
    std::string m_advice { freeAddress() };
    std::string m_nobody { freeAddress() }; ///< Nothing listens here.
    pid_t m_pid { 0 };
};

/// A small deployment: the store, workers, entry instances, and a client of one team.
class Cell {
public:
    Cell(const std::string& recordFile, int instances, int workers)
        : record(recordFile)
        , runs(record)
        , m_storeAddress(freeAddress())
        , store(m_storeAddress)
    {
        char folder[] = "/tmp/crocuslever-review-XXXXXX";
        m_folder = ::mkdtemp(folder);
        const char* zones[] = { "a", "b", "c" };
        for (int n = 0; n < workers; ++n) {
            this->workers.push_back(std::make_unique<Worker>(store, runs, record, "w" + std::to_string(n), freeAddress(), zones[n % 3]));
            this->workers.back()->start();
        }
        std::string seeds;
        for (int n = 0; n < instances; ++n) {
            this->instances.push_back(std::make_unique<Instance>("edge-" + std::to_string(n), zones[n % 3], m_folder));
            seeds += (n > 0 ? ",\"" : "\"") + this->instances.back()->peers() + "\"";
        }
        for (auto& it : this->instances) {
            it->writeSettings(m_storeAddress, seeds);
            it->start();
        }
    }
    ~Cell()
    {
        instances.clear();
        std::filesystem::remove_all(m_folder);
    }

    void configure(int version, const std::vector<Queue>& queues)
    {
        store.put("op/config", makeConfiguration(version, queues));
        record.write("operator: configuration " + std::to_string(version) + " is confirmed, with " + std::to_string(queues.size()) + " queues");
    }

    /// Waits until every instance is ready; false after 20 s.
    bool awaitReady()
    {
        std::int64_t end = now() + 20000;
        while (now() < end) {
            std::size_t ready = 0;
            for (const auto& it : instances)
                ready += it->isReady();
            if (ready == instances.size())
                return true;
            sleep(100);
        }
        return false;
    }

    /// Null: none.
    Instance* findOwner()
    {
        for (auto& it : instances) {
            if (it->isOwner())
                return it.get();
        }
        return nullptr;
    }

    static void sleep(std::int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

    HttpAnswer call(const std::string& method, const std::string& path, const std::string& body, std::size_t instance, int timeoutMs = 3000)
    {
        const Instance& to = *instances[instance % instances.size()];
        std::map<std::string, std::string> headers { { "Host", "desk.example" }, { "Authorization", "Token key-of-the-team" }, { "X-Deadline-Ms", std::to_string(timeoutMs) }, { "Content-Type", "application/json" } };
        HttpAnswer answer = callHttp(to.callers(), method, path, headers, body, timeoutMs);
        record.write("client " + method + " " + path + " at " + to.name() + " -> " + std::to_string(answer.status) + " " + answer.body);
        return answer;
    }

    /// Hands a job in; after no answer, or one that leaves it open, again at the next instance. True once it is accepted.
    bool submit(const std::string& path, const Json& job)
    {
        for (std::size_t n = 0; n < 8; ++n) {
            int status = call("POST", path, job.dump(), n).status;
            if (status >= 200 && status < 300)
                return true;
            sleep(250);
        }
        return false;
    }

    /// The state that a client is shown; empty: none.
    std::string stateOf(const std::string& path, std::size_t instance = 0)
    {
        HttpAnswer answer = call("GET", path, "", instance);
        Json body = Json::parse(answer.body, nullptr, false);
        return answer.status == 200 && body.is_object() ? body.value("state", "") : "";
    }

    /// Waits for a start of the job's tasks beyond the first `known`; false after the time-out.
    bool awaitStart(const std::string& job, std::size_t known, std::int64_t timeoutMs, RunNote& found)
    {
        std::int64_t end = now() + timeoutMs;
        while (now() < end) {
            std::vector<RunNote> all = runs.runsOf(job);
            if (all.size() > known) {
                found = all[known];
                return true;
            }
            sleep(5);
        }
        return false;
    }

    Worker& workerOf(const RunNote& run)
    {
        for (auto& it : workers) {
            if (it->id() == run.worker)
                return *it;
        }
        throw std::runtime_error("no worker " + run.worker);
    }

    Record record;
    RunLog runs;

private:
    std::string m_folder;
    std::string m_storeAddress;

public:
    Store store;
    std::vector<std::unique_ptr<Worker>> workers;
    std::vector<std::unique_ptr<Instance>> instances;
};

/// True unless the environment asks for the same run without the disruption.
inline bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

} // namespace standin
