#pragma once

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "Http.h"
#include "Record.h"
#include "Store.h"

namespace standin {

/// One run as the workers saw it.
struct RunNote {
    std::string task;
    int run { 0 };
    std::string worker;
    std::int64_t startedAt { 0 };
    std::int64_t endedAt { 0 }; ///< 0: it goes on, or its worker crashed.
    std::string how;
};

/// All runs on all workers.
class RunLog {
public:
    explicit RunLog(Record& record)
        : m_record(record)
    {
    }

    /// Returns how many times the task has been started, with this time.
    int start(const std::string& task, int run, const std::string& worker)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_record.write("worker " + worker + " starts " + task + " run " + std::to_string(run));
        m_runs.push_back({ task, run, worker, now(), 0, "" });
        int count = 0;
        for (const RunNote& it : m_runs)
            count += it.task == task;
        return count;
    }

    void end(const std::string& task, int run, const std::string& worker, const std::string& how)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_record.write("worker " + worker + " ends " + task + " run " + std::to_string(run) + " as " + how);
        for (RunNote& it : m_runs) {
            if (it.task == task && it.run == run && it.worker == worker && it.endedAt == 0) {
                it.endedAt = now();
                it.how = how;
            }
        }
    }

    std::vector<RunNote> runsOf(const std::string& job)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        std::vector<RunNote> found;
        for (const RunNote& it : m_runs) {
            if (it.task.compare(0, job.size(), job) == 0)
                found.push_back(it);
        }
        return found;
    }

private:
    Record& m_record;
    std::mutex m_mutex;
    std::vector<RunNote> m_runs;
};

/// A worker that runs tasks by waiting. The text of a job says how: "WORK-MS FAILURES", where the first FAILURES runs of
/// each task fail. WORK-MS 0: until it is stopped.
class Worker {
public:
    Worker(Store& store, RunLog& log, Record& record, std::string id, std::string address, std::string zone)
        : m_store(store)
        , m_log(log)
        , m_record(record)
        , m_id(std::move(id))
        , m_address(std::move(address))
        , m_zone(std::move(zone))
        , m_server(m_address, [this](const HttpRequest& request) { return handle(request); })
    {
        m_clock = std::thread([this] { runClock(); });
    }
    ~Worker()
    {
        crash();
        m_isStopping = true;
        m_clock.join();
    }

    const std::string& id() const { return m_id; }

    /// Begins a new lifetime, which knows nothing of the one before.
    void start()
    {
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            m_life = {};
            m_life.born = unixMs();
            m_life.startedAt = now();
            m_isUp = true;
        }
        m_server.open();
        announce();
        m_record.write("worker " + m_id + " is up, born " + std::to_string(m_life.born));
    }

    /// Ends the lifetime without a word.
    void crash()
    {
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            if (!m_isUp)
                return;
            m_isUp = false;
        }
        m_ended.notify_all();
        m_server.close();
        m_record.write("worker " + m_id + " crashes");
    }

private:
    struct Run {
        int number { 0 };
        std::int64_t endsAt { 0 }; ///< 0: never by itself.
        std::string how;
    };
    struct End {
        std::int64_t number { 0 };
        std::string task;
        int run { 0 };
        std::string how;
    };
    struct Life {
        std::int64_t born { 0 };
        std::int64_t startedAt { 0 };
        std::int64_t fence { 0 };
        std::int64_t leaseEnd { 0 }; ///< On the worker's clock.
        std::int64_t lastEnd { 0 };
        std::map<std::string, Run> runs;
        std::map<std::string, int> highestOver; ///< Highest run that was stopped or has ended, by task.
        std::vector<End> ended;
    };

    void announce()
    {
        Json entry = { { "service", "desk" }, { "address", m_address }, { "zone", m_zone }, { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "cold-left-ms", 0 },
            { "capacity", { { "cpu", 32000 }, { "mem-mb", 65536 }, { "gpu", 0 } } }, { "labels", { "a", "r1-1" } }, { "clock-ms", clock() }, { "seq", ++m_sequence }, { "born", m_life.born } };
        m_store.put("servers/" + m_id, entry.dump());
    }

    std::int64_t clock() const { return now() - m_life.startedAt; }

    HttpAnswer answer(int status, Json body = Json::object())
    {
        body["clock-ms"] = clock();
        body["born"] = m_life.born;
        return { status, body.dump() };
    }

    std::optional<HttpAnswer> handle(const HttpRequest& request)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        if (!m_isUp)
            return std::nullopt;
        auto expected = request.headers.find("x-expect-instance");
        if (expected != request.headers.end() && expected->second != m_id)
            return answer(421);
        Json body = request.body.empty() ? Json::object() : Json::parse(request.body);
        std::int64_t token = body.value("fencing-token", std::int64_t(0));
        if (token < m_life.fence)
            return answer(409, { { "reason", "fence" } });
        m_life.fence = token;
        if (request.path == "/-/run-start")
            return startRun(body);
        if (request.path == "/-/run-stop")
            return stopRun(body);
        if (request.path == "/-/hold")
            return hold(body, lock);
        return answer(404);
    }

    void extendLease(const Json& body)
    {
        constexpr std::int64_t kLongestLeaseMs = 10000;
        m_life.leaseEnd = std::max(m_life.leaseEnd, std::min(body.value("until-ms", std::int64_t(0)), clock() + kLongestLeaseMs));
    }

    HttpAnswer startRun(const Json& body)
    {
        std::string task = body["task"];
        int number = body["run"];
        auto it = m_life.runs.find(task);
        if (it != m_life.runs.end() && it->second.number == number)
            return answer(200);
        extendLease(body);
        if (it != m_life.runs.end() || number <= m_life.highestOver[task])
            return answer(409, { { "reason", "old" } });
        if (body["until-ms"] <= clock())
            return answer(409, { { "reason", "late" } });
        int workMs = 0;
        int failures = 0;
        std::sscanf(body["spec"].get<std::string>().c_str(), "%d %d", &workMs, &failures);
        int count = m_log.start(task, number, m_id);
        m_life.runs[task] = { number, workMs == 0 ? 0 : now() + workMs, count <= failures ? "failed" : "done" };
        return answer(200);
    }

    HttpAnswer stopRun(const Json& body)
    {
        std::string task = body["task"];
        int number = body["run"];
        auto it = m_life.runs.find(task);
        if (it != m_life.runs.end() && it->second.number == number)
            endRun(task, "stopped");
        m_life.highestOver[task] = std::max(m_life.highestOver[task], number);
        return answer(200);
    }

    HttpAnswer hold(const Json& body, std::unique_lock<std::mutex>& lock)
    {
        extendLease(body);
        std::int64_t acknowledged = body.value("ack-index", std::int64_t(0));
        while (!m_life.ended.empty() && m_life.ended.front().number <= acknowledged)
            m_life.ended.erase(m_life.ended.begin());
        std::int64_t wait = body.value("wait-ms", std::int64_t(0));
        std::int64_t born = m_life.born;
        m_ended.wait_for(lock, std::chrono::milliseconds(wait), [&] { return !m_life.ended.empty() || !m_isUp || m_life.born != born; });
        Json running = Json::array();
        for (const auto& [task, run] : m_life.runs)
            running.push_back({ task, run.number, "", 50, 0 });
        Json ended = Json::array();
        for (const End& it : m_life.ended)
            ended.push_back({ it.number, it.task, it.run, it.how, "" });
        return answer(200, { { "num-running", running }, { "ended", ended } });
    }

    void endRun(const std::string& task, const std::string& how)
    {
        Run run = m_life.runs[task];
        m_life.runs.erase(task);
        m_life.highestOver[task] = std::max(m_life.highestOver[task], run.number);
        m_life.ended.push_back({ ++m_life.lastEnd, task, run.number, how });
        m_log.end(task, run.number, m_id, how);
        m_ended.notify_all();
    }

    void runClock()
    {
        constexpr std::int64_t kHeartbeatMs = 1500;
        std::int64_t announcedAt = now();
        while (!m_isStopping) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
            std::lock_guard<std::mutex> lock(m_mutex);
            if (!m_isUp)
                continue;
            std::map<std::string, std::string> over;
            for (const auto& [task, run] : m_life.runs) {
                if (run.endsAt != 0 && now() >= run.endsAt)
                    over[task] = run.how;
                else if (clock() > m_life.leaseEnd)
                    over[task] = "lapsed";
            }
            for (const auto& [task, how] : over)
                endRun(task, how);
            if (now() - announcedAt >= kHeartbeatMs) {
                announcedAt = now();
                announce();
            }
        }
    }

    Store& m_store;
    RunLog& m_log;
    Record& m_record;
    std::string m_id;
    std::string m_address;
    std::string m_zone;
    std::int64_t m_sequence { 0 };
    std::mutex m_mutex;
    std::condition_variable m_ended;
    Life m_life;
    bool m_isUp { false };
    std::atomic<bool> m_isStopping { false };
    std::thread m_clock;
    HttpServer m_server;
};

} // namespace standin
