#pragma once

#include <memory>
#include <optional>

#include "Store.h"

namespace standin3 {

constexpr const char* kDirectory = "servers/";

/// What the workers have run, as they saw it.
struct RunNote {
    std::string task;
    int run { 0 };
    std::string worker;
    std::vector<std::string> labels; ///< Of the worker at the start.
    std::int64_t startedAt { 0 }; ///< By the record's clock.
    std::int64_t endedAt { -1 };
    std::string how; ///< Empty: it goes on.
};

class RunLog {
public:
    std::size_t begin(RunNote note)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_notes.push_back(std::move(note));
        return m_notes.size() - 1;
    }
    void end(std::size_t n, std::int64_t at, const std::string& how)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_notes[n].endedAt = at;
        m_notes[n].how = how;
    }
    std::vector<RunNote> notes() const
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        return m_notes;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<RunNote> m_notes;
};

struct WorkerSettings {
    std::string id;
    std::string service { "shopdesk" };
    std::string zone;
    std::vector<std::string> labels; ///< Kind and rack.
    std::int64_t milliCpu { 64000 };
    std::int64_t memoryMb { 262144 };
};

/// A worker. The text of a task's job says how long the task works: "work-ms=N".
class Worker {
public:
    Worker(Store& store, RunLog& log, Record& record, WorkerSettings settings)
        : m_store(store)
        , m_log(log)
        , m_record(record)
        , m_settings(std::move(settings))
        , m_port(freePort())
    {
    }

    ~Worker() { crash(); }

    const std::string& id() const { return m_settings.id; }

    /// Begins a lifetime. It registers first, and then answers calls.
    void start()
    {
        std::lock_guard<std::mutex> lock(m_life);
        {
            std::lock_guard<std::mutex> inner(m_mutex);
            m_stopped = false;
            m_born = std::max(unixMs(), m_born + 1);
            m_begin = Clock::now();
            m_fence = 0;
            m_lastEnd = 0;
            m_leaseMs = 0;
            m_seq = 0;
            m_runs.clear();
            m_shutOut.clear();
            m_ends.clear();
        }
        registerSelf();
        m_record.write("worker " + id() + " starts, labels " + Json(m_settings.labels).dump());
        m_server = std::make_unique<Server>(m_port, [this](const Request& request) { return handle(request); });
        m_ticker = std::thread([this] { tick(); });
    }

    /// Ends at once, with all that it runs and knows. Its entry stays until it is missed.
    void crash()
    {
        std::lock_guard<std::mutex> lock(m_life);
        if (!m_server)
            return;
        {
            std::lock_guard<std::mutex> inner(m_mutex);
            m_stopped = true;
            for (const auto& [task, run] : m_runs)
                m_log.end(run.note, m_record.now(), "lost");
            m_runs.clear();
        }
        m_changed.notify_all();
        m_server->stop();
        m_ticker.join();
        m_server.reset();
        m_record.write("worker " + id() + " has crashed");
    }

    /// Cuts the worker off from all machines, silently: calls neither reach it nor are answered. It works on.
    void setCutOff(bool isCutOff)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_isCutOff = isCutOff;
        m_record.write("worker " + id() + (isCutOff ? " is cut off, and runs on" : " is reached again"));
        m_changed.notify_all();
    }

    std::string address() const { return addressOf(m_port); }

    /// Announces that it will leave. It goes on to work.
    void drain()
    {
        m_isDraining = true;
        registerSelf();
    }

    /// Ends, and its entry with it.
    void leave()
    {
        crash();
        m_store.remove(kDirectory + id());
    }

    void setLabels(const std::vector<std::string>& labels) { m_settings.labels = labels; }
    std::size_t running()
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        return m_runs.size();
    }

private:
    static constexpr std::int64_t kLongestLeaseMs = 10000;
    static constexpr int kHeartbeatMs = 1500;
    static constexpr int kStopMs = 20;

    struct Run {
        int number { 0 };
        Clock::time_point end;
        bool isStopping { false };
        bool fails { false };
        std::size_t note { 0 };
    };
    struct End {
        std::int64_t number { 0 };
        std::string task;
        int run { 0 };
        std::string how;
    };

    std::int64_t clockMs() const { return 1000 + std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_begin).count(); }

    void registerSelf()
    {
        Json entry { { "service", m_settings.service }, { "address", addressOf(m_port) }, { "zone", m_settings.zone }, { "version", "1" }, { "slots", 8 }, { "state", m_isDraining ? "draining" : "ready" }, { "cold-left-ms", 0 }, { "seq", ++m_seq }, { "born", m_born }, { "labels", m_settings.labels },
            { "capacity", { { "cpu", m_settings.milliCpu }, { "mem-mb", m_settings.memoryMb }, { "gpu", 0 } } } };
        m_store.put(kDirectory + id(), entry.dump());
    }

    void tick()
    {
        Clock::time_point nextHeartbeat = Clock::now() + std::chrono::milliseconds(kHeartbeatMs);
        while (true) {
            sleepMs(2);
            std::unique_lock<std::mutex> lock(m_mutex);
            if (m_stopped)
                return;
            bool isOver = !m_runs.empty() && clockMs() > m_leaseMs;
            for (auto it = m_runs.begin(); it != m_runs.end();) {
                bool ends = isOver || Clock::now() >= it->second.end;
                std::string how = isOver ? "lapsed" : it->second.isStopping ? "stopped"
                    : it->second.fails                                      ? "failed"
                                                                            : "done";
                if (ends)
                    note(it->first, it->second, how);
                it = ends ? m_runs.erase(it) : std::next(it);
            }
            bool isCutOff = m_isCutOff;
            lock.unlock();
            if (Clock::now() >= nextHeartbeat) {
                nextHeartbeat += std::chrono::milliseconds(kHeartbeatMs);
                if (!isCutOff)
                    registerSelf();
            }
        }
    }

    void note(const std::string& task, const Run& run, const std::string& how)
    {
        m_ends.push_back({ ++m_lastEnd, task, run.number, how });
        m_shutOut[task] = std::max(m_shutOut[task], run.number);
        m_log.end(run.note, m_record.now(), how);
        m_record.write("worker " + id() + " ends " + task + " run " + std::to_string(run.number) + ": " + how);
        m_changed.notify_all();
    }

    Answer refuse(const char* reason) const { return { 409, Json { { "clock-ms", clockMs() }, { "reason", reason }, { "born", m_born } }.dump() }; }
    Answer agree() const { return { 200, Json { { "clock-ms", clockMs() }, { "born", m_born } }.dump() }; }

    Answer handle(const Request& request)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        if (isSilent(lock))
            return {};
        auto expected = request.headers.find("x-expect-instance");
        if (expected != request.headers.end() && expected->second != id())
            return { 421, "{}" };
        Json body = Json::parse(request.body, nullptr, false);
        if (!body.is_object())
            return { 400, "{}" };
        std::int64_t token = body.value("fencing-token", std::int64_t(0));
        if (token < m_fence)
            return refuse("fence");
        m_fence = token;
        std::int64_t until = body.value("until-ms", std::int64_t(0));
        if (request.path == "/-/hold")
            return hold(body, until, lock);
        if (request.path == "/-/run-start")
            return start(body, until);
        if (request.path == "/-/run-stop")
            return stop(body);
        if (request.path == "/-/pace")
            return agree();
        return { 404, "{}" };
    }

    /// True if a call is lost: the worker has ended, or was cut off. Returns once the connection may show it.
    bool isSilent(std::unique_lock<std::mutex>& lock)
    {
        bool wasCutOff = m_isCutOff;
        m_changed.wait(lock, [this] { return !m_isCutOff || m_stopped; });
        return wasCutOff || m_stopped;
    }

    void extend(std::int64_t until) { m_leaseMs = std::max(m_leaseMs, std::min(until, clockMs() + kLongestLeaseMs)); }

    Answer hold(const Json& body, std::int64_t until, std::unique_lock<std::mutex>& lock)
    {
        extend(until);
        std::int64_t acknowledged = body.value("ack-index", std::int64_t(0));
        while (!m_ends.empty() && m_ends.front().number <= acknowledged)
            m_ends.erase(m_ends.begin());
        int wait = std::min(2000, body.value("wait-ms", 0));
        if (wait > 0)
            m_changed.wait_for(lock, std::chrono::milliseconds(wait), [this] { return !m_ends.empty() || m_stopped || m_isCutOff; });
        if (isSilent(lock))
            return {};
        Json running = Json::array();
        for (const auto& [task, run] : m_runs)
            running.push_back({ task, run.number, "", 50, 0 });
        Json ended = Json::array();
        for (const End& it : m_ends) {
            if (ended.size() < 500)
                ended.push_back({ it.number, it.task, it.run, it.how, "" });
        }
        return { 200, Json { { "clock-ms", clockMs() }, { "born", m_born }, { "num-running", running }, { "ended", ended } }.dump() };
    }

    static int numberIn(const std::string& text, const std::string& name, int fallback)
    {
        std::size_t at = text.find(name + "=");
        return at == std::string::npos ? fallback : std::atoi(text.c_str() + at + name.size() + 1);
    }

    Answer start(const Json& body, std::int64_t until)
    {
        std::string task = body.at("task");
        std::string spec = body.at("spec");
        int number = body.at("run");
        auto known = m_runs.find(task);
        if (known != m_runs.end() && known->second.number == number)
            return agree();
        if (m_shutOut.count(task) > 0 && number <= m_shutOut[task])
            return refuse("old");
        if (until <= clockMs())
            return refuse("late");
        extend(until);
        Run run;
        run.number = number;
        run.end = Clock::now() + std::chrono::milliseconds(numberIn(spec, "work-ms", 500));
        run.fails = numberIn(spec, "fails", 0) > 0;
        run.note = m_log.begin({ task, number, id(), m_settings.labels, m_record.now(), -1, "" });
        m_runs[task] = run;
        m_record.write("worker " + id() + " starts " + task + " run " + std::to_string(number));
        return agree();
    }

    Answer stop(const Json& body)
    {
        std::string task = body.at("task");
        int number = body.at("run");
        auto it = m_runs.find(task);
        if (it != m_runs.end() && it->second.number <= number && !it->second.isStopping) {
            it->second.isStopping = true;
            it->second.end = std::min(it->second.end, Clock::now() + std::chrono::milliseconds(kStopMs));
        }
        m_shutOut[task] = std::max(m_shutOut[task], number);
        return agree();
    }

    Store& m_store;
    RunLog& m_log;
    Record& m_record;
    WorkerSettings m_settings;
    int m_port;
    std::mutex m_life; ///< Of start() and crash().
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopped { true };
    bool m_isCutOff { false };
    std::atomic<bool> m_isDraining { false };
    std::int64_t m_born { 0 };
    Clock::time_point m_begin;
    std::int64_t m_fence { 0 };
    std::int64_t m_leaseMs { 0 };
    std::int64_t m_lastEnd { 0 };
    std::int64_t m_seq { 0 };
    std::map<std::string, Run> m_runs;
    std::map<std::string, int> m_shutOut;
    std::vector<End> m_ends;
    std::unique_ptr<Server> m_server;
    std::thread m_ticker;
};

} // namespace standin3
