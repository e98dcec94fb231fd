#pragma once

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "Http.h"
#include "Record.h"

namespace standin {

using Json = nlohmann::json;

inline std::string encodeBase64(const std::string& bytes)
{
    static const char* kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        std::size_t n = std::min<std::size_t>(3, bytes.size() - i);
        for (std::size_t k = 0; k < 3; ++k)
            group = group << 8 | (k < n ? static_cast<unsigned char>(bytes[i + k]) : 0);
        for (std::size_t k = 0; k < 4; ++k)
            out += k <= n ? kDigits[group >> (18 - 6 * k) & 63] : '=';
    }
    return out;
}

/// The platform's key-value store. Values are kept as the base64 text in which they come.
class Store {
public:
    explicit Store(const std::string& address)
        : m_server(address, [this](const HttpRequest& request) { return handle(request); })
    {
        m_server.open();
        m_sweeper = std::thread([this] { expireLeases(); });
    }
    ~Store()
    {
        m_isStopping = true;
        m_changed.notify_all();
        m_sweeper.join();
        m_server.close();
    }

    /// Writes as the operator or a worker. `value` is the plain text.
    void put(const std::string& key, const std::string& value)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        apply({ { key, encodeBase64(value), 0 } }, {});
    }

    void remove(const std::string& key)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        apply({}, { key });
    }

    /// The answer to the next transaction that asks for the first configuration is lost: it is carried out, and its channel
    /// returns nothing further.
    void loseNextConfiguration() { m_losesConfiguration = true; }

private:
    struct Item {
        std::string value;
        std::int64_t revision { 0 };
        std::int64_t created { 0 };
        std::int64_t lease { 0 };
    };
    struct Write {
        std::string key;
        std::string value;
        std::int64_t lease { 0 };
    };
    struct Lease {
        std::int64_t ttlMs { 0 };
        std::int64_t endsAt { 0 };
    };

    static std::int64_t number(const Json& object, const char* key) { return object.value(key, std::int64_t(0)); }

    static Json toJson(const std::string& key, const Item& item)
    {
        return { { "key", key }, { "value", item.value }, { "revision", item.revision }, { "created", item.created }, { "lease", item.lease } };
    }

    static HttpAnswer answer(int status, const Json& body = Json::object()) { return { status, body.dump() }; }

    /// True for a transaction that is to hold only if there is no configuration.
    static bool isFirstConfigurationCheck(const Json& body)
    {
        Json expected = body.value("expected", Json::array());
        return expected.size() == 1 && expected[0]["key"] == "op/config" && expected[0]["revision"] == 0;
    }

    std::optional<HttpAnswer> handle(const HttpRequest& request)
    {
        const std::string& path = request.path;
        Json body = request.body.empty() ? Json::object() : Json::parse(request.body);
        if (path == "/-/kv-watch")
            return watch(request);
        std::unique_lock<std::mutex> lock(m_mutex);
        if (path == "/-/kv-txn" && isFirstConfigurationCheck(body) && m_losesConfiguration.exchange(false)) {
            lock.unlock();
            // The caller gives up before this.
            std::this_thread::sleep_for(std::chrono::milliseconds(1500));
            return std::nullopt;
        }
        if (path == "/-/kv-key")
            return readKey(request.query.at("key"));
        if (path == "/-/kv-range")
            return readRange(request);
        if (path == "/-/kv-txn")
            return change(body);
        if (path == "/-/kv-lease") {
            std::int64_t lease = ++m_lastLease;
            m_leases[lease] = { number(body, "ttl-ms"), now() + number(body, "ttl-ms") };
            return answer(200, { { "lease", lease }, { "ttl-ms", number(body, "ttl-ms") } });
        }
        std::int64_t lease = std::atoll(path.substr(path.rfind('/') + 1).c_str());
        auto it = m_leases.find(lease);
        if (it == m_leases.end())
            return answer(404);
        if (request.method == "DELETE") {
            endLease(lease);
            return answer(200);
        }
        it->second.endsAt = now() + it->second.ttlMs;
        return answer(200, { { "ttl-ms", it->second.ttlMs } });
    }

    HttpAnswer readKey(const std::string& key)
    {
        auto it = m_items.find(key);
        if (it == m_items.end())
            return answer(404);
        Json out = toJson(key, it->second);
        out["current-rev"] = m_revision;
        return answer(200, out);
    }

    HttpAnswer readRange(const HttpRequest& request)
    {
        constexpr std::size_t kPageItems = 500;
        std::string prefix = request.query.at("prefix");
        std::string after = request.query.count("after") ? request.query.at("after") : "";
        Json items = Json::array();
        bool hasMore = false;
        for (auto it = m_items.lower_bound(prefix); it != m_items.end() && it->first.compare(0, prefix.size(), prefix) == 0; ++it) {
            if (it->first <= after)
                continue;
            hasMore = items.size() == kPageItems;
            if (hasMore)
                break;
            items.push_back(toJson(it->first, it->second));
        }
        return answer(200, { { "items", items }, { "has-more", hasMore }, { "current-rev", m_revision } });
    }

    HttpAnswer watch(const HttpRequest& request)
    {
        std::string prefix = request.query.at("prefix");
        std::int64_t after = std::atoll(request.query.at("after").c_str());
        std::int64_t wait = std::atoll(request.query.at("wait-ms").c_str());
        std::unique_lock<std::mutex> lock(m_mutex);
        Json events = Json::array();
        auto collect = [&] {
            for (const auto& [revision, event] : m_history) {
                if (revision > after && event["key"].get_ref<const std::string&>().compare(0, prefix.size(), prefix) == 0)
                    events.push_back(event);
            }
            return !events.empty() || m_isStopping;
        };
        m_changed.wait_for(lock, std::chrono::milliseconds(wait), collect);
        return answer(200, { { "events", events }, { "current-rev", m_revision } });
    }

    HttpAnswer change(const Json& body)
    {
        bool holds = true;
        Json current = Json::array();
        for (const Json& row : body.value("expected", Json::array())) {
            std::string key = row["key"];
            auto it = m_items.find(key);
            std::int64_t revision = it == m_items.end() ? 0 : it->second.revision;
            holds = holds && revision == number(row, "revision");
            if (it != m_items.end())
                current.push_back(toJson(key, it->second));
        }
        if (!holds)
            return answer(412, { { "items", current } });
        std::vector<Write> writes;
        for (const Json& row : body.value("writes", Json::array())) {
            writes.push_back({ row["key"], row["value"], number(row, "lease") });
            if (writes.back().lease != 0 && m_leases.count(writes.back().lease) == 0)
                return answer(404);
        }
        apply(writes, body.value("deletes", std::vector<std::string>()));
        return answer(200, { { "revision", m_revision } });
    }

    void apply(const std::vector<Write>& writes, const std::vector<std::string>& deletes)
    {
        if (writes.empty() && deletes.empty())
            return;
        ++m_revision;
        for (const Write& it : writes) {
            Item& item = m_items[it.key];
            item = { it.value, m_revision, item.created == 0 ? m_revision : item.created, it.lease };
            m_history.emplace_back(m_revision, toJson(it.key, item));
        }
        for (const std::string& key : deletes) {
            if (m_items.erase(key) > 0)
                m_history.emplace_back(m_revision, Json { { "key", key }, { "revision", m_revision }, { "deleted", true } });
        }
        m_changed.notify_all();
    }

    void endLease(std::int64_t lease)
    {
        std::vector<std::string> keys;
        for (const auto& [key, item] : m_items) {
            if (item.lease == lease)
                keys.push_back(key);
        }
        m_leases.erase(lease);
        apply({}, keys);
    }

    void expireLeases()
    {
        while (!m_isStopping) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
            std::lock_guard<std::mutex> lock(m_mutex);
            std::vector<std::int64_t> ended;
            for (const auto& [id, lease] : m_leases) {
                if (lease.endsAt < now())
                    ended.push_back(id);
            }
            for (std::int64_t id : ended)
                endLease(id);
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::vector<std::pair<std::int64_t, Json>> m_history;
    std::map<std::int64_t, Lease> m_leases;
    std::int64_t m_revision { 100 };
    std::int64_t m_lastLease { 0 };
    std::atomic<bool> m_losesConfiguration { false };
    std::atomic<bool> m_isStopping { false };
    std::thread m_sweeper;
    HttpServer m_server;
};

} // namespace standin
