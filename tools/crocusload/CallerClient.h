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
    int status { 0 }; ///< 0: no whole answer came.
    std::string body;
    bool sent { true }; ///< False: not connected, so nothing left.
};

/// The event loop of the load generator: HTTP calls over kept connections, and timers.
class CallerClient {
public:
    using Handler = std::function<void(const CallerAnswer&)>;

    CallerClient();
    ~CallerClient();
    CallerClient(const CallerClient&) = delete;
    CallerClient& operator=(const CallerClient&) = delete;

    /// Sent once, whatever happens. The handler is never called from within this call.
    void send(CallerRequest, Handler);
    void scheduleAt(TimePoint, std::function<void()>);
    /// Returns after stop(), or when nothing is left to do.
    void run();
    void stop();
    static TimePoint now();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace crocuslever::load
