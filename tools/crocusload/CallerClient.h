#pragma once

#include <functional>
#include <memory>
#include <string>

#include "crocuslever/Time.h"

namespace crocuslever::load {

struct CallerRequest {
    std::string address; ///< "IP:port" of an entry instance.
    std::string method { "GET" };
    std::string target;
    std::string key; ///< "ID.SECRET"; may be empty.
    std::string body;
};

struct CallerAnswer {
    int status { 0 }; ///< HTTP status; 0 if no complete answer arrived.
    std::string body;
    bool sent { true }; ///< False if there was no connection, so nothing was sent.
};

/// The event loop of the load generator: HTTP calls over persistent connections, and timers.
class CallerClient {
public:
    using Handler = std::function<void(const CallerAnswer&)>;

    CallerClient();
    ~CallerClient();
    CallerClient(const CallerClient&) = delete;
    CallerClient& operator=(const CallerClient&) = delete;

    /// Sends the request once, without retries. The handler is never called from within send().
    void send(CallerRequest, Handler);
    void scheduleAt(TimePoint, std::function<void()>);
    /// Runs the event loop until stop() or until no work is left.
    void run();
    void stop();
    static TimePoint now();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace crocuslever::load
