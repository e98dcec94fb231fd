#pragma once

#include <condition_variable>
#include <map>
#include <nlohmann/json.hpp>
#include <vector>

#include "Http.h"
#include "Record.h"

namespace standin3 {

using Json = nlohmann::json;

inline std::string toBase64(const std::string& in)
{
    static const char* kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < in.size(); i += 3) {
        unsigned value = 0;
        for (std::size_t k = 0; k < 3; ++k)
            value = (value << 8) | (i + k < in.size() ? static_cast<unsigned char>(in[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            out += i + k <= in.size() ? kDigits[(value >> (18 - 6 * k)) & 63U] : '=';
    }
    return out;
}

/// The platform's metadata store. It loses nothing and answers at once.
class Store {
public:
    explicit Store(int port)
        : m_server(port, [this](const Request& request) { return handle(request); })
        , m_sweeper([this] { sweep(); })
    {
    }

    ~Store()
    {
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            m_stopped = true;
        }
        m_changed.notify_all();
        m_sweeper.join();
        m_server.stop();
    }

    std::string address() const { return addressOf(m_server.port()); }

    /// Writes as the operator or a worker does.
    void put(const std::string& key, const std::string& value)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        write(key, toBase64(value), 0, ++m_revision);
        m_changed.notify_all();
    }

    void remove(const std::string& key)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        erase(key, ++m_revision);
        m_changed.notify_all();
    }

private:
    struct Item {
        std::string value; ///< In base64.
        std::int64_t revision { 0 };
        std::int64_t created { 0 };
        std::int64_t lease { 0 };
    };
    struct Lease {
        std::int64_t ttlMs { 0 };
        Clock::time_point end;
    };
    struct Event {
        std::int64_t revision { 0 };
        std::string key;
        Json json;
    };

    static Json toJson(const std::string& key, const Item& item)
    {
        return { { "key", key }, { "value", item.value }, { "revision", item.revision }, { "created", item.created }, { "lease", item.lease } };
    }

    void write(const std::string& key, const std::string& value, std::int64_t lease, std::int64_t revision)
    {
        Item& item = m_items[key];
        if (item.created == 0)
            item.created = revision;
        item.value = value;
        item.revision = revision;
        item.lease = lease;
        m_events.push_back({ revision, key, toJson(key, item) });
    }

    void erase(const std::string& key, std::int64_t revision)
    {
        if (m_items.erase(key) > 0)
            m_events.push_back({ revision, key, { { "key", key }, { "revision", revision }, { "deleted", true } } });
    }

    void endLease(std::int64_t id)
    {
        m_leases.erase(id);
        std::vector<std::string> keys;
        for (const auto& [key, item] : m_items) {
            if (item.lease == id)
                keys.push_back(key);
        }
        if (keys.empty())
            return;
        std::int64_t revision = ++m_revision;
        for (const std::string& key : keys)
            erase(key, revision);
        m_changed.notify_all();
    }

    void sweep()
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        while (!m_stopped) {
            std::vector<std::int64_t> over;
            for (const auto& [id, lease] : m_leases) {
                if (lease.end <= Clock::now())
                    over.push_back(id);
            }
            for (std::int64_t id : over)
                endLease(id);
            lock.unlock();
            sleepMs(10);
            lock.lock();
        }
    }

    Answer handle(const Request& request)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        Json body = Json::parse(request.body, nullptr, false);
        if (request.path == "/-/kv-key")
            return read(request);
        if (request.path == "/-/kv-range")
            return list(request);
        if (request.path == "/-/kv-watch")
            return watch(request, lock);
        if (request.path == "/-/kv-txn")
            return change(body);
        if (request.path == "/-/kv-lease")
            return grant(body);
        std::int64_t id = std::atoll(request.path.substr(request.path.rfind('/') + 1).c_str());
        auto lease = m_leases.find(id);
        if (lease == m_leases.end())
            return { 404, "{}" };
        if (request.method == "DELETE") {
            endLease(id);
            return { 200, "{}" };
        }
        lease->second.end = Clock::now() + std::chrono::milliseconds(lease->second.ttlMs);
        return { 200, Json { { "lease", id }, { "ttl-ms", lease->second.ttlMs } }.dump() };
    }

    Answer read(const Request& request)
    {
        std::string key = request.query.at("key");
        auto it = m_items.find(key);
        if (it == m_items.end())
            return { 404, "{}" };
        Json json = toJson(key, it->second);
        json["current-rev"] = m_revision;
        return { 200, json.dump() };
    }

    Answer list(const Request& request)
    {
        constexpr std::size_t kPage = 500;
        std::string prefix = request.query.at("prefix");
        auto after = request.query.find("after");
        Json items = Json::array();
        auto it = after == request.query.end() ? m_items.lower_bound(prefix) : m_items.upper_bound(after->second);
        for (; it != m_items.end() && it->first.compare(0, prefix.size(), prefix) == 0 && items.size() < kPage; ++it)
            items.push_back(toJson(it->first, it->second));
        bool hasMore = it != m_items.end() && it->first.compare(0, prefix.size(), prefix) == 0;
        return { 200, Json { { "items", items }, { "has-more", hasMore }, { "current-rev", m_revision } }.dump() };
    }

    Answer watch(const Request& request, std::unique_lock<std::mutex>& lock)
    {
        std::string prefix = request.query.at("prefix");
        std::int64_t after = std::atoll(request.query.at("after").c_str());
        Clock::time_point end = Clock::now() + std::chrono::milliseconds(std::atoi(request.query.at("wait-ms").c_str()));
        Json events = Json::array();
        auto collect = [&] {
            auto begin = std::upper_bound(m_events.begin(), m_events.end(), after, [](std::int64_t revision, const Event& it) { return revision < it.revision; });
            for (auto it = begin; it != m_events.end(); ++it) {
                if (it->key.compare(0, prefix.size(), prefix) == 0)
                    events.push_back(it->json);
            }
            return !events.empty() || m_stopped;
        };
        m_changed.wait_until(lock, end, collect);
        return { 200, Json { { "events", events }, { "current-rev", m_revision } }.dump() };
    }

    Answer change(const Json& body)
    {
        Json conflicts = Json::array();
        bool holds = true;
        for (const Json& row : body.value("expected", Json::array())) {
            auto it = m_items.find(row.at("key").get<std::string>());
            holds = holds && (it == m_items.end() ? 0 : it->second.revision) == row.at("revision").get<std::int64_t>();
            if (it != m_items.end())
                conflicts.push_back(toJson(it->first, it->second));
        }
        if (!holds)
            return { 412, Json { { "items", conflicts }, { "current-rev", m_revision } }.dump() };
        Json writes = body.value("writes", Json::array());
        Json deletes = body.value("deletes", Json::array());
        for (const Json& row : writes) {
            std::int64_t lease = row.value("lease", std::int64_t(0));
            if (lease != 0 && m_leases.count(lease) == 0)
                return { 404, "{}" };
        }
        if (!writes.empty() || !deletes.empty())
            ++m_revision;
        for (const Json& row : writes)
            write(row.at("key"), row.at("value"), row.value("lease", std::int64_t(0)), m_revision);
        for (const Json& key : deletes)
            erase(key, m_revision);
        m_changed.notify_all();
        return { 200, Json { { "revision", m_revision } }.dump() };
    }

    Answer grant(const Json& body)
    {
        std::int64_t ttl = std::max<std::int64_t>(1000, body.value("ttl-ms", std::int64_t(0)));
        std::int64_t id = ++m_lastLease;
        m_leases[id] = { ttl, Clock::now() + std::chrono::milliseconds(ttl) };
        return { 200, Json { { "lease", id }, { "ttl-ms", ttl } }.dump() };
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopped { false };
    std::int64_t m_revision { 100 };
    std::int64_t m_lastLease { 0 };
    std::map<std::string, Item> m_items;
    std::map<std::int64_t, Lease> m_leases;
    std::vector<Event> m_events;
    Server m_server;
    std::thread m_sweeper;
};

} // namespace standin3
