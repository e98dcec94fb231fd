#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

#include "Cell.h"
#include "Http.h"
#include "Store.h"

namespace standin {

/// The advice service as one machine meets it: it handles one call at a time, in turn.
class Advice {
public:
    Advice(const std::string& address, const Queue& queue)
        : m_queue(queue)
        , m_server(address, [this](const HttpRequest& request) { return handle(request); })
    {
        m_server.open();
    }

private:
    static constexpr int kMostWaiting = 32;
    static constexpr std::size_t kGoodPercent = 45;

    std::optional<HttpAnswer> handle(const HttpRequest& request)
    {
        if (m_waiting >= kMostWaiting)
            return HttpAnswer { 429, "{}" };
        ++m_waiting;
        std::lock_guard<std::mutex> lock(m_mutex);
        --m_waiting;
        Json body = Json::parse(request.body);
        double ms = m_queue.adviceMs + m_queue.adviceMsPerWorker * static_cast<double>(body["workers"].size());
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
        Json good = Json::array();
        for (const Json& worker : body["workers"]) {
            std::string pair = body["step"].get<std::string>() + worker.get<std::string>();
            // Which workers may run a step doesn't change.
            if (std::hash<std::string>()(pair) % 100 < kGoodPercent)
                good.push_back({ worker, "ticket-" + pair });
        }
        return HttpAnswer { 200, Json { { "good", good }, { "valid-ms", 1500 } }.dump() };
    }

    Queue m_queue;
    std::mutex m_mutex;
    std::atomic<int> m_waiting { 0 };
    HttpServer m_server;
};

} // namespace standin
