#pragma once

#include <atomic>
#include <chrono>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>

#include "review/standin/Http.h"
#include "review/standin/Store.h"

namespace crocuslever::soak {

/// Stands before the store of the stand-ins, and takes it away or loses answers.
class StoreGate {
public:
    StoreGate(const std::string& address, std::string store, std::uint64_t seed)
        : m_store(std::move(store))
        , m_random(seed)
        , m_server(address, [this](const standin::HttpRequest& request) { return forward(request); })
    {
        m_server.open();
        m_keeper = std::thread([this] { keepLeases(); });
    }
    ~StoreGate()
    {
        m_isStopping = true;
        m_keeper.join();
        m_server.close();
    }
    StoreGate(const StoreGate&) = delete;
    StoreGate& operator=(const StoreGate&) = delete;

    /// While the store is away, its leases pause or go on.
    void setAway(bool isAway, bool pausesLeases)
    {
        m_pausesLeases = isAway && pausesLeases;
        m_isAway = isAway;
    }
    /// Share of the changes that are made but not answered.
    void setLostAnswers(double share) { m_lostAnswers = share; }

private:
    static constexpr int kTimeoutMs = 3000;
    static constexpr std::chrono::milliseconds kRenewalInterval { 200 };

    std::optional<standin::HttpAnswer> forward(const standin::HttpRequest& request)
    {
        if (m_isAway)
            return std::nullopt;
        std::string target = request.path;
        char separator = '?';
        for (const auto& [name, value] : request.query) {
            target.append(1, separator).append(name).append("=").append(value);
            separator = '&';
        }
        standin::HttpAnswer answer = standin::callHttp(m_store, request.method, target, { { "Host", "store" } }, request.body, kTimeoutMs);
        if (answer.status == 0 || m_isAway || isLost(request))
            return std::nullopt;
        if (request.path == "/-/kv-lease")
            recordLease(standin::Json::parse(answer.body).value("lease", std::int64_t(0)));
        return answer;
    }

    bool isLost(const standin::HttpRequest& request)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        return request.path == "/-/kv-txn" && std::bernoulli_distribution(m_lostAnswers)(m_random);
    }

    void recordLease(std::int64_t lease)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_leases.insert(lease);
    }

    std::set<std::int64_t> leases()
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        return m_leases;
    }

    void keepLeases()
    {
        while (!m_isStopping) {
            std::this_thread::sleep_for(kRenewalInterval);
            if (!m_pausesLeases)
                continue;
            for (std::int64_t lease : leases())
                standin::callHttp(m_store, "POST", "/-/kv-keep/" + std::to_string(lease), { { "Host", "store" } }, "{}", kTimeoutMs);
        }
    }

    std::string m_store;
    std::mutex m_mutex;
    std::mt19937_64 m_random;
    std::set<std::int64_t> m_leases;
    std::atomic<bool> m_isAway { false };
    std::atomic<bool> m_pausesLeases { false };
    std::atomic<double> m_lostAnswers { 0 };
    std::atomic<bool> m_isStopping { false };
    std::thread m_keeper;
    standin::HttpServer m_server;
};

} // namespace crocuslever::soak
