#pragma once

#include <condition_variable>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <memory>
#include <optional>
#include <set>
#include <signal.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>

#include "Http.h"

/// Stand-ins of the platform's store, of workers and of the platform that runs the instances, after PROTOCOL.md and DEPLOY.md.
namespace sim {

/// What happened, with milliseconds since the start.
class Record {
public:
    explicit Record(const std::string& file)
        : m_out(file)
        , m_start(steadyMs())
    {
    }

    void note(const std::string& text)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_out << std::setw(7) << steadyMs() - m_start << " ms  " << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
    std::int64_t m_start;
};

inline std::string encodeBase64(const std::string& in)
{
    static const char* kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < in.size(); i += 3) {
        unsigned n = 0;
        for (std::size_t k = 0; k < 3; ++k)
            n = n << 8 | (i + k < in.size() ? static_cast<unsigned char>(in[i + k]) : 0);
        for (std::size_t k = 0; k < 4; ++k)
            out += i + k > in.size() ? '=' : kDigits[n >> (18 - 6 * k) & 63];
    }
    return out;
}

inline std::string decodeBase64(const std::string& in)
{
    std::string out;
    unsigned n = 0;
    int bits = 0;
    for (char c : in) {
        int digit = c >= 'A' && c <= 'Z' ? c - 'A' : c >= 'a' && c <= 'z' ? c - 'a' + 26
            : c >= '0' && c <= '9'                                        ? c - '0' + 52
            : c == '+'                                                    ? 62
            : c == '/'                                                    ? 63
                                                                          : -1;
        if (digit < 0)
            continue;
        n = n << 6 | static_cast<unsigned>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            out += static_cast<char>(n >> bits & 255);
        }
    }
    return out;
}

/// The platform's metadata store.
class Store {
public:
    static constexpr std::size_t kValueBytes = 1048576; ///< `value-bytes` of the settings.

    explicit Store(const std::string& address)
        : m_address(address)
        , m_server(address, [this](const Request& request) { return handle(request); })
        , m_expiry([this] { expireLeases(); })
    {
    }

    ~Store()
    {
        m_stopped = true;
        m_changed.notify_all();
        m_expiry.join();
        m_server.stop();
    }

    const std::string& address() const { return m_address; }
    bool isOpen() const { return m_server.isOpen(); }

    /// Writes as the operator or a worker does.
    std::int64_t put(const std::string& key, const std::string& value)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        ++m_revision;
        write(key, value, 0);
        m_changed.notify_all();
        return m_revision;
    }

    void remove(const std::string& key)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        ++m_revision;
        erase(key);
        m_changed.notify_all();
    }

    /// Says for a transaction how long after its arrival it is carried out, in ms, without an answer. 0: at once, and answered.
    std::function<std::int64_t(const std::string& body)> delayOf;

    /// Number of transactions that were refused since a value was larger than `value-bytes`.
    int refusedAsTooLarge() const { return m_tooLarge; }

private:
    struct Item {
        std::string value; ///< In base64.
        std::int64_t revision { 0 };
        std::int64_t created { 0 };
        std::int64_t lease { 0 };
    };

    struct Lease {
        std::int64_t ttlMs { 0 };
        std::int64_t endsAt { 0 };
        std::set<std::string> keys;
    };

    static Json encode(const std::string& key, const Item& item)
    {
        return { { "key", key }, { "value", item.value }, { "revision", item.revision }, { "created", item.created }, { "lease", item.lease } };
    }

    void writeEncoded(const std::string& key, const std::string& value, std::int64_t lease)
    {
        Item& item = m_items[key];
        if (item.lease != 0 && m_leases.count(item.lease) > 0)
            m_leases[item.lease].keys.erase(key);
        item.value = value;
        item.revision = m_revision;
        if (item.created == 0)
            item.created = m_revision;
        item.lease = lease;
        if (lease != 0)
            m_leases[lease].keys.insert(key);
        m_events.push_back(encode(key, item));
    }

    void write(const std::string& key, const std::string& value, std::int64_t lease) { writeEncoded(key, encodeBase64(value), lease); }

    void erase(const std::string& key)
    {
        if (m_items.erase(key) > 0)
            m_events.push_back({ { "key", key }, { "revision", m_revision }, { "deleted", true } });
    }

    Answer handle(const Request& request)
    {
        if (request.path == "/-/kv-watch")
            return watch(request);
        std::int64_t delay = request.path == "/-/kv-txn" && delayOf ? delayOf(request.body) : 0;
        if (delay > 0) {
            sleepMs(delay);
            std::lock_guard<std::mutex> lock(m_mutex);
            change(Json::parse(request.body));
            return { 0, "" };
        }
        std::lock_guard<std::mutex> lock(m_mutex);
        if (request.path == "/-/kv-key")
            return readKey(request);
        if (request.path == "/-/kv-range")
            return readRange(request);
        if (request.path == "/-/kv-txn")
            return change(Json::parse(request.body));
        if (request.path == "/-/kv-lease")
            return grant(Json::parse(request.body));
        const std::string keep = "/-/kv-keep/";
        const std::string end = "/-/kv-lease-end/";
        if (request.path.compare(0, keep.size(), keep) == 0)
            return renew(std::stoll(request.path.substr(keep.size())));
        if (request.path.compare(0, end.size(), end) == 0) {
            endLease(std::stoll(request.path.substr(end.size())));
            return { 200, "{}" };
        }
        return { 404, "{}" };
    }

    static std::string valueOf(const Request& request, const std::string& name)
    {
        auto it = request.query.find(name);
        return it == request.query.end() ? std::string() : it->second;
    }

    Answer readKey(const Request& request)
    {
        std::string key = valueOf(request, "key");
        auto it = m_items.find(key);
        if (it == m_items.end())
            return { 404, "{}" };
        Json body = encode(key, it->second);
        body["current-rev"] = m_revision;
        return { 200, body.dump() };
    }

    Answer readRange(const Request& request)
    {
        constexpr std::size_t kPage = 500;
        std::string prefix = valueOf(request, "prefix");
        std::string after = valueOf(request, "after");
        Json body { { "items", Json::array() }, { "has-more", false }, { "current-rev", m_revision } };
        std::size_t bytes = 0;
        for (auto it = after.empty() ? m_items.lower_bound(prefix) : m_items.upper_bound(after); it != m_items.end(); ++it) {
            if (it->first.compare(0, prefix.size(), prefix) != 0)
                break;
            if (body["items"].size() >= kPage || bytes > kValueBytes) {
                body["has-more"] = true;
                break;
            }
            body["items"].push_back(encode(it->first, it->second));
            bytes += it->second.value.size();
        }
        return { 200, body.dump() };
    }

    Answer watch(const Request& request)
    {
        std::string prefix = valueOf(request, "prefix");
        std::int64_t after = std::stoll(valueOf(request, "after"));
        std::int64_t deadline = steadyMs() + std::stoll(valueOf(request, "wait-ms"));
        std::unique_lock<std::mutex> lock(m_mutex);
        for (;;) {
            Json events = Json::array();
            for (auto it = m_events.rbegin(); it != m_events.rend() && (*it)["revision"].get<std::int64_t>() > after; ++it) {
                if ((*it)["key"].get<std::string>().compare(0, prefix.size(), prefix) == 0)
                    events.insert(events.begin(), *it);
            }
            std::int64_t left = deadline - steadyMs();
            if (!events.empty() || left <= 0 || m_stopped)
                return { 200, Json { { "events", events }, { "current-rev", m_revision } }.dump() };
            m_changed.wait_for(lock, std::chrono::milliseconds(std::min<std::int64_t>(left, 200)));
        }
    }

    Answer change(const Json& body)
    {
        bool holds = true;
        Json items = Json::array();
        for (const Json& row : body.value("expected", Json::array())) {
            std::string key = row["key"];
            auto it = m_items.find(key);
            std::int64_t revision = it == m_items.end() ? 0 : it->second.revision;
            holds = holds && revision == row["revision"].get<std::int64_t>();
            if (it != m_items.end())
                items.push_back(encode(key, it->second));
        }
        if (!holds)
            return { 412, Json { { "items", items } }.dump() };
        for (const Json& row : body.value("writes", Json::array())) {
            std::int64_t lease = row.value("lease", std::int64_t(0));
            if (lease != 0 && m_leases.count(lease) == 0)
                return { 404, "{}" };
            if (row["value"].get_ref<const std::string&>().size() / 4 * 3 > kValueBytes + 2) {
                ++m_tooLarge;
                return { 400, "{}" };
            }
        }
        bool changes = !body.value("writes", Json::array()).empty() || !body.value("deletes", Json::array()).empty();
        if (changes)
            ++m_revision;
        for (const Json& row : body.value("writes", Json::array()))
            writeEncoded(row["key"], row["value"], row.value("lease", std::int64_t(0)));
        for (const Json& key : body.value("deletes", Json::array()))
            erase(key);
        m_changed.notify_all();
        return { 200, Json { { "revision", m_revision } }.dump() };
    }

    Answer grant(const Json& body)
    {
        std::int64_t id = ++m_lastLease;
        std::int64_t ttl = std::max<std::int64_t>(1000, body["ttl-ms"].get<std::int64_t>());
        m_leases[id] = { ttl, steadyMs() + ttl, {} };
        return { 200, Json { { "lease", id }, { "ttl-ms", ttl } }.dump() };
    }

    Answer renew(std::int64_t id)
    {
        auto it = m_leases.find(id);
        if (it == m_leases.end())
            return { 404, "{}" };
        it->second.endsAt = steadyMs() + it->second.ttlMs;
        return { 200, Json { { "lease", id }, { "ttl-ms", it->second.ttlMs } }.dump() };
    }

    void endLease(std::int64_t id)
    {
        auto it = m_leases.find(id);
        if (it == m_leases.end())
            return;
        std::set<std::string> keys = it->second.keys;
        m_leases.erase(it);
        ++m_revision;
        for (const std::string& key : keys)
            erase(key);
        m_changed.notify_all();
    }

    void expireLeases()
    {
        while (!m_stopped) {
            sleepMs(50);
            std::lock_guard<std::mutex> lock(m_mutex);
            std::vector<std::int64_t> over;
            for (const auto& [id, lease] : m_leases) {
                if (steadyMs() > lease.endsAt)
                    over.push_back(id);
            }
            for (std::int64_t id : over)
                endLease(id);
        }
    }

    std::string m_address;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::deque<Json> m_events;
    std::map<std::int64_t, Lease> m_leases;
    std::int64_t m_revision { 1 };
    std::int64_t m_lastLease { 0 };
    std::atomic<int> m_tooLarge { 0 };
    std::atomic<bool> m_stopped { false };
    Server m_server;
    std::thread m_expiry;
};

/// A run, as a worker sees it.
struct RunNote {
    std::string worker; ///< Id of the worker's lifetime.
    std::string task;
    int run { 0 };
    std::int64_t startedAt { 0 };
    std::int64_t endedAt { 0 }; ///< 0: runs on.
    std::string how; ///< "lost": the worker crashed.
};

/// A worker. `spec` of a job is the work of each task in milliseconds; a task that lasts goes on.
class Worker {
public:
    Worker(Store& store, Record& record, const std::string& zone, const std::string& rack, std::int64_t milliCpu)
        : m_store(store)
        , m_record(record)
        , m_address(freeAddress())
        , m_zone(zone)
        , m_rack(rack)
        , m_milliCpu(milliCpu)
    {
    }

    ~Worker()
    {
        m_isNoisy = false;
        if (m_server)
            crash(false);
    }

    /// Begins a lifetime with a new id at the same address.
    bool start()
    {
        static std::atomic<int> lives { 0 };
        std::lock_guard<std::mutex> lock(m_mutex);
        m_id = "i-" + std::to_string(1000 + ++lives);
        m_running.clear();
        beginLife();
        m_isUp = true;
        m_server = std::make_unique<Server>(m_address, [this](const Request& request) { return handle(request); });
        m_thread = std::thread([this] { work(); });
        m_record.note("worker " + m_id + " starts at " + m_address);
        return m_server->isOpen();
    }

    /// The process ends without a word; its entry stays until the store has missed three pings.
    void crash(bool isNoted = true)
    {
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            m_isUp = false;
            for (auto& [task, run] : m_running)
                finish(task, run, "lost");
            m_running.clear();
            m_changed.notify_all();
        }
        if (isNoted)
            m_record.note("worker " + m_id + " crashes");
        m_server->stop();
        m_thread.join();
        m_server.reset();
        m_forgetAt = steadyMs() + 3 * kPingMs;
        m_forgotten = m_id;
    }

    /// Nothing reaches the worker or leaves it until heal().
    void cut()
    {
        m_isCut = true;
        m_server->setDeaf(true);
        m_record.note("worker " + m_id + " is cut off");
    }

    void heal()
    {
        m_isCut = false;
        m_server->setDeaf(false);
        m_record.note("worker " + m_id + " is reachable again");
    }

    /// The worker crashes behind a cut and starts again under its id; it knows nothing of before.
    void rebirth()
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        for (auto& [task, run] : m_running)
            finish(task, run, "lost");
        m_running.clear();
        beginLife();
        m_record.note("worker " + m_id + " crashes and starts again under its id");
    }

    /// While it hangs, the worker does nothing of what it is sent, and answers nothing.
    void setHanging(bool hangs)
    {
        m_hangs = hangs;
        m_record.note("worker " + m_id + (hangs ? " hangs" : " answers again"));
    }

    /// Removes the entry of a crashed lifetime once it has been silent for three ping intervals.
    void expireEntry()
    {
        if (!m_forgotten.empty() && steadyMs() > m_forgetAt) {
            m_store.remove("servers/" + m_forgotten);
            m_forgotten.clear();
        }
        if (m_isCut && m_hasEntry && steadyMs() > m_pingedAt + 3 * kPingMs) {
            m_store.remove("servers/" + m_id);
            m_hasEntry = false;
        }
    }

    std::string id()
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        return m_id;
    }

    void setCapacity(std::int64_t milliCpu) { m_milliCpu = milliCpu; }

    /// Whether runs are written into the record.
    void setNoisy(bool isNoisy) { m_isNoisy = isNoisy; }

    std::vector<RunNote> runs()
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        return m_notes;
    }

private:
    static constexpr std::int64_t kPingMs = 1500; ///< `heartbeat-ms`.
    static constexpr std::int64_t kLongestLeaseMs = 10000; ///< `hold-max-ms`.

    struct Run {
        int run { 0 };
        std::int64_t endsAt { 0 };
        std::size_t note { 0 };
    };

    void beginLife()
    {
        m_born = wallMs();
        m_bornSteady = steadyMs();
        m_token = 0;
        m_lastEnd = 0;
        m_acknowledged = 0;
        m_leaseUntil = 0;
        m_ended.clear();
        m_highest.clear();
    }

    std::int64_t clock() const { return steadyMs() - m_bornSteady; }

    void finish(const std::string& task, const Run& run, const std::string& how)
    {
        m_notes[run.note].endedAt = steadyMs();
        m_notes[run.note].how = how;
        if (m_isNoisy)
            m_record.note("worker " + m_id + ": " + task + " run " + std::to_string(run.run) + " ends: " + how);
        if (how != "lost")
            m_ended.push_back({ { "n", ++m_lastEnd }, { "row", Json::array({ m_lastEnd, task, run.run, how, "" }) } });
    }

    void work()
    {
        std::int64_t nextPing = 0;
        int seq = 0;
        std::unique_lock<std::mutex> lock(m_mutex);
        while (m_isUp) {
            if (steadyMs() >= nextPing && !m_isCut) {
                m_pingedAt = steadyMs();
                m_hasEntry = true;
                nextPing = steadyMs() + kPingMs;
                Json entry { { "service", "desk" }, { "address", m_address }, { "zone", m_zone }, { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "cold-left-ms", 0 }, { "capacity", { { "cpu", m_milliCpu }, { "mem-mb", 262144 }, { "gpu", 0 } } }, { "labels", { "a", m_rack } }, { "clock-ms", clock() }, { "seq", ++seq }, { "born", m_born } };
                std::string key = "servers/" + m_id;
                lock.unlock();
                m_store.put(key, entry.dump());
                lock.lock();
                continue;
            }
            bool isLapsed = clock() > m_leaseUntil;
            for (auto it = m_running.begin(); it != m_running.end();) {
                bool isDone = steadyMs() >= it->second.endsAt;
                if (!isDone && !isLapsed) {
                    ++it;
                    continue;
                }
                finish(it->first, it->second, isLapsed ? "lapsed" : "done");
                it = m_running.erase(it);
                m_changed.notify_all();
            }
            lock.unlock();
            sleepMs(2);
            lock.lock();
        }
    }

    Answer reply(Json body, int status = 200)
    {
        body["clock-ms"] = clock();
        body["born"] = m_born;
        return { status, body.dump() };
    }

    Answer refuse(const std::string& reason) { return reply({ { "reason", reason } }, 409); }

    void extend(std::int64_t untilMs) { m_leaseUntil = std::max(m_leaseUntil, std::min(untilMs, clock() + kLongestLeaseMs)); }

    Answer handle(const Request& request)
    {
        if (m_isCut || m_hangs) {
            while ((m_isCut || m_hangs) && m_isUp)
                sleepMs(5);
            return { 0, "" };
        }
        if (request.path == "/health")
            return { 200, "{}" };
        std::unique_lock<std::mutex> lock(m_mutex);
        auto wanted = request.headers.find("x-expect-instance");
        if (!m_isUp)
            return { 0, "" };
        if (wanted != request.headers.end() && wanted->second != m_id)
            return { 421, "{}" };
        Json body = Json::parse(request.body);
        std::int64_t token = body.value("fencing-token", std::int64_t(0));
        if (token < m_token)
            return refuse("fence");
        m_token = token;
        if (request.path == "/-/run-start")
            return startRun(body);
        if (request.path == "/-/run-stop")
            return stopRun(body);
        if (request.path == "/-/hold")
            return hold(body, lock);
        return { 404, "{}" };
    }

    Answer startRun(const Json& body)
    {
        std::string task = body["task"];
        int number = body["run"];
        auto it = m_running.find(task);
        if (it != m_running.end() && it->second.run == number)
            return reply({});
        extend(body["until-ms"]);
        if (it != m_running.end() || number <= m_highest[task])
            return refuse("old");
        if (clock() > body["until-ms"].get<std::int64_t>())
            return refuse("late");
        std::int64_t work = std::atoll(body["spec"].get<std::string>().c_str());
        m_notes.push_back({ m_id, task, number, steadyMs(), 0, "" });
        m_running[task] = { number, steadyMs() + work, m_notes.size() - 1 };
        if (m_isNoisy)
            m_record.note("worker " + m_id + ": " + task + " run " + std::to_string(number) + " starts");
        return reply({});
    }

    Answer stopRun(const Json& body)
    {
        std::string task = body["task"];
        int number = body["run"];
        m_highest[task] = std::max(m_highest[task], number);
        auto it = m_running.find(task);
        if (it != m_running.end() && it->second.run <= number) {
            finish(task, it->second, "stopped");
            m_running.erase(it);
            m_changed.notify_all();
        }
        return reply({});
    }

    Answer hold(const Json& body, std::unique_lock<std::mutex>& lock)
    {
        if (body.contains("until-ms"))
            extend(body["until-ms"]);
        m_acknowledged = std::max(m_acknowledged, body.value("ack-index", std::int64_t(0)));
        while (!m_ended.empty() && m_ended.front()["n"].get<std::int64_t>() <= m_acknowledged)
            m_ended.pop_front();
        std::int64_t deadline = steadyMs() + body.value("wait-ms", std::int64_t(0));
        while (m_isUp && m_ended.empty() && steadyMs() < deadline)
            m_changed.wait_for(lock, std::chrono::milliseconds(std::max<std::int64_t>(1, deadline - steadyMs())));
        if (!m_isUp || m_isCut || m_hangs)
            return { 0, "" };
        Json lists { { "num-running", Json::array() }, { "ended", Json::array() } };
        for (const auto& [task, run] : m_running)
            lists["num-running"].push_back({ task, run.run, "", 50, 0 });
        for (std::size_t i = 0; i < m_ended.size() && i < 500; ++i)
            lists["ended"].push_back(m_ended[i]["row"]);
        return reply(lists);
    }

    Store& m_store;
    Record& m_record;
    std::string m_address;
    std::string m_zone;
    std::string m_rack;
    std::int64_t m_milliCpu;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::string m_id;
    std::int64_t m_born { 0 };
    std::int64_t m_bornSteady { 0 };
    std::int64_t m_token { 0 };
    std::int64_t m_lastEnd { 0 };
    std::int64_t m_acknowledged { 0 };
    std::int64_t m_leaseUntil { 0 };
    std::atomic<bool> m_isUp { false };
    std::atomic<bool> m_isCut { false };
    std::atomic<bool> m_hangs { false };
    std::atomic<bool> m_hasEntry { false };
    std::atomic<std::int64_t> m_pingedAt { 0 };
    std::atomic<bool> m_isNoisy { true };
    std::map<std::string, Run> m_running;
    std::deque<Json> m_ended;
    std::map<std::string, int> m_highest; ///< Highest number of a run that was stopped or ended here.
    std::vector<RunNote> m_notes; ///< Of all lifetimes.
    std::string m_forgotten;
    std::int64_t m_forgetAt { 0 };
    std::unique_ptr<Server> m_server;
    std::thread m_thread;
};

/// A machine with one process of the system, started as the deploy file says.
class Instance {
public:
    Instance(Record& record, const std::string& folder, const std::string& name, const std::string& zone)
        : m_record(record)
        , m_folder(folder)
        , m_name(name)
        , m_zone(zone)
    {
    }

    ~Instance()
    {
        if (m_pid > 0)
            kill(SIGKILL);
    }

    const std::string& name() const { return m_name; }
    const std::string& front() const { return m_front; }
    const std::string& control() const { return m_control; }
    pid_t pid() const { return m_pid; }
    int endedByItself() const { return m_endedByItself; }

    void writeSettings(const std::string& store, const std::vector<std::string>& seeds)
    {
        std::ifstream in("deploy/settings.yaml");
        std::stringstream text;
        text << in.rdbuf();
        std::string out = text.str();
        std::string list;
        for (const std::string& seed : seeds)
            list += (list.empty() ? "\"" : ",\"") + seed + "\"";
        replace(out, "{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", list);
        std::map<std::string, std::string> values { { "node", m_name }, { "zone", m_zone }, { "listen.front", m_front }, { "listen.ready", m_ready }, { "ip", m_metrics.substr(0, m_metrics.find(':')) }, { "port-range.1", m_metrics.substr(m_metrics.find(':') + 1) }, { "listen.control", m_control }, { "platform.address", store }, { "advice", m_unused }, { "cloud.address", m_unused }, { "limits.cpu-share", "0.25" }, { "limits.max-fds", "4100" }, { "bounds.hold-max-ms", "10000" }, { "bounds.stop-ms", "400" }, { "bounds.drain-ms", "2000" }, { "bounds.gang-timeout-ms", "3000" }, { "bounds.remote-factor", "2" }, { "bounds.config-deadline-ms", "2000" }, { "bounds.evacuate-ms", "5000" }, { "bounds.status_s", "120" }, { "bounds.grace-s", "6" } };
        for (const auto& [name, value] : values)
            replace(out, "{{" + name + "}}", value);
        std::ofstream(settingsFile()) << out;
    }

    void start()
    {
        std::string file = settingsFile();
        std::string log = m_folder + "/" + m_name + ".log";
        std::string variable = "CROCUSLEVER_CONFIG=" + file;
        pid_t pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // Should the case itself be ended.
            int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(fd, 1);
            ::dup2(fd, 2);
            ::putenv(variable.data());
            ::execl("target/crocuslever-platformd", "target/crocuslever-platformd", "--settings", file.c_str(), nullptr);
            ::_exit(127);
        }
        m_pid = pid;
        m_record.note(m_name + " starts");
    }

    void kill(int signal)
    {
        ::kill(m_pid, signal);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = 0;
    }

    /// Resident memory of the process in MB; 0: it has ended.
    std::int64_t memoryMb()
    {
        if (m_pid <= 0)
            return 0;
        std::ifstream in("/proc/" + std::to_string(m_pid) + "/statm");
        std::int64_t pages = 0;
        std::int64_t resident = 0;
        in >> pages >> resident;
        return resident * ::sysconf(_SC_PAGESIZE) / 1048576;
    }

    /// What the platform does all the time: it kills a process above its memory limit, and starts one that has ended again.
    void supervise(std::int64_t limitMb)
    {
        if (m_pid <= 0) {
            if (steadyMs() >= m_restartAt)
                start();
            return;
        }
        int status = 0;
        bool hasEnded = ::waitpid(m_pid, &status, WNOHANG) == m_pid;
        std::int64_t used = hasEnded ? 0 : memoryMb();
        if (!hasEnded && used <= limitMb)
            return;
        if (!hasEnded)
            kill(SIGKILL);
        m_pid = 0;
        ++m_endedByItself;
        m_restartAt = steadyMs() + 500;
        m_record.note(m_name + (hasEnded ? " has ended by itself, status " + std::to_string(status) : " is killed by the platform: it holds " + std::to_string(used) + " MB, the limit is " + std::to_string(limitMb) + " MB"));
    }

    /// By the metrics of the settings.
    bool isOwner() { return call(m_metrics, "GET", "/metrics", { { "Host", "x" } }, "", 500).body.find("owner 1\n") != std::string::npos; }

    bool isReady() { return call(m_ready, "GET", "/-/ready", { { "Host", "x" } }, "", 500).status == 200; }

private:
    std::string settingsFile() const { return m_folder + "/" + m_name + ".yaml"; }

    static void replace(std::string& text, const std::string& from, const std::string& to)
    {
        for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size()))
            text.replace(at, from.size(), to);
    }

    Record& m_record;
    std::string m_folder;
    std::string m_name;
    std::string m_zone;
    std::string m_front { freeAddress() };
    std::string m_ready { freeAddress() };
    std::string m_control { freeAddress() };
    std::string m_metrics { freeAddress() };
    std::string m_unused { freeAddress() };
    pid_t m_pid { 0 };
    int m_endedByItself { 0 };
    std::int64_t m_restartAt { 0 };
};

/// A queue of the configuration.
struct Queue {
    std::string name;
    std::string prefix;
    int priority { 1 };
    int attempts { 4 };
    int timeoutMs { 3000 };
};

inline std::string makeConfiguration(int version, const std::vector<Queue>& queues)
{
    Json routes = Json::array();
    for (const Queue& it : queues)
        routes.push_back({ { "name", it.name }, { "hostname", "desk.example" }, { "prefix", it.prefix }, { "kind", "unsafe" }, { "timeout-ms", it.timeoutMs }, { "target-duration-ms", 1000 }, { "priority", it.priority }, { "service", "desk" }, { "attempts", it.attempts }, { "stretch", 2.2 }, { "public", false } });
    Json service { { "name", "desk" }, { "health-path", "/health" }, { "max-conns", 64 }, { "protocol", "h1" }, { "tls", false }, { "cold-start-s", 0.0 }, { "cold-per-s", 0.0 }, { "enforces-capacity", false }, { "spare", false } };
    Json tenant { { "name", "team" }, { "api-keys", { "key-of-the-team" } }, { "weight", 1 }, { "cap", { { "cpu", 0 }, { "mem-mb", 0 }, { "gpu", 0 } } } };
    Json limits { { "max-header-bytes", 16384 }, { "max-body-bytes", 262144 }, { "header-timeout-ms", 3000 }, { "idle-timeout-ms", 15000 } };
    return Json { { "version", version }, { "routes", routes }, { "services", { service } }, { "limits", limits }, { "tenants", { tenant } } }.dump();
}

/// A small deployment: a store, workers and instances in three zones.
class Cell {
public:
    static constexpr std::int64_t kMemoryMb = 260; ///< `memory-mb` of the settings.

    Cell(const std::string& folder, std::size_t instances, std::size_t workers, std::int64_t milliCpu)
        : record(folder + "/record.txt")
        , store(freeAddress())
    {
        char pattern[] = "/tmp/crocus-review-XXXXXX";
        m_temporary = ::mkdtemp(pattern);
        const char* zones[] = { "zone-a", "zone-b", "zone-c" };
        for (std::size_t n = 0; n < workers; ++n)
            this->workers.push_back(std::make_unique<Worker>(store, record, zones[n % 3], "r" + std::to_string(n % 3) + "-1", milliCpu));
        std::vector<std::string> seeds;
        for (std::size_t n = 0; n < instances; ++n) {
            this->instances.push_back(std::make_unique<Instance>(record, m_temporary, "edge-" + std::to_string(n + 1), zones[n % 3]));
            if (n < 3)
                seeds.push_back(this->instances.back()->control());
        }
        for (auto& it : this->instances)
            it->writeSettings(store.address(), seeds);
    }

    ~Cell()
    {
        m_stopped = true;
        if (m_supervisor.joinable())
            m_supervisor.join();
        instances.clear();
        workers.clear();
        if (!std::getenv("KEEP"))
            std::system(("rm -rf " + m_temporary).c_str());
    }

    /// Starts all and waits until every instance is ready; false: the case can't run.
    bool start(const std::string& configuration)
    {
        store.put("op/config", configuration);
        bool isOpen = store.isOpen();
        for (auto& it : workers)
            isOpen = it->start() && isOpen;
        for (auto& it : instances)
            it->start();
        m_supervisor = std::thread([this] { supervise(); });
        std::int64_t end = steadyMs() + 20000;
        while (isOpen && steadyMs() < end) {
            {
                std::lock_guard<std::mutex> lock(processes);
                isOpen = std::none_of(instances.begin(), instances.end(), [](auto& it) { return it->endedByItself() > 0; });
            }
            if (isOpen && std::all_of(instances.begin(), instances.end(), [](auto& it) { return it->isReady(); })) {
                sleepMs(3000);
                return true;
            }
            sleepMs(100);
        }
        record.note("the instances are not ready; the case can't run");
        return false;
    }

    Answer send(const std::string& method, const std::string& path, const std::string& body, std::size_t instance, bool isNoted = true, std::int64_t timeoutMs = 3000)
    {
        std::map<std::string, std::string> headers { { "Host", "desk.example" }, { "Authorization", "Token key-of-the-team" }, { "X-Deadline-Ms", "3000" }, { "Content-Type", "application/json" } };
        Instance& to = *instances[instance % instances.size()];
        Answer answer = call(to.front(), method, path, headers, body, timeoutMs);
        if (isNoted)
            record.note("client: " + method + " " + path + (body.empty() ? "" : " " + body) + " at " + to.name() + " -> " + std::to_string(answer.status) + " " + answer.body);
        return answer;
    }

    /// Hands a job in as clients do: again, at another node, after no answer or a refusal.
    bool submit(const std::string& path, const Json& job, std::size_t instance)
    {
        for (int attempt = 0; attempt < 5; ++attempt) {
            int status = send("POST", path, job.dump(), instance + attempt).status;
            if (status >= 200 && status < 300)
                return true;
            sleepMs(300);
        }
        return false;
    }

    std::string stateOf(const std::string& path, std::size_t instance, bool isNoted = true)
    {
        Answer answer = send("GET", path, "", instance, isNoted);
        Json body = Json::parse(answer.body, nullptr, false);
        return answer.status == 200 && body.is_object() ? body.value("state", "") : std::to_string(answer.status);
    }

    /// Runs of the job so far, on all workers, in the order of their starts.
    std::vector<RunNote> runsOf(const std::string& job)
    {
        std::vector<RunNote> all;
        for (auto& it : workers) {
            for (const RunNote& run : it->runs()) {
                if (run.task.compare(0, job.size(), job) == 0)
                    all.push_back(run);
            }
        }
        std::sort(all.begin(), all.end(), [](const RunNote& a, const RunNote& b) { return a.startedAt < b.startedAt; });
        return all;
    }

    /// Changes of the supervised instances by a case must hold this.
    std::mutex processes;
    Record record;
    Store store;
    std::vector<std::unique_ptr<Worker>> workers;
    std::vector<std::unique_ptr<Instance>> instances;

private:
    void supervise()
    {
        while (!m_stopped) {
            {
                std::lock_guard<std::mutex> lock(processes);
                for (auto& it : instances)
                    it->supervise(kMemoryMb);
            }
            for (auto& it : workers)
                it->expireEntry();
            sleepMs(20);
        }
    }

    std::string m_temporary;
    std::atomic<bool> m_stopped { false };
    std::thread m_supervisor;
};

/// False with TROUBLE=0: the case is played without the disruption.
inline bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

} // namespace sim
