#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "crocuslever/Error.h"
#include "crocuslever/Events.h"
#include "crocuslever/Time.h"

namespace crocuslever {

struct InstanceListSettings {
    std::string url; ///< "http://IP:port/path"
    Duration interval { std::chrono::seconds(1) }; ///< From the end of a poll to the start of the next.
    Duration timeout { std::chrono::seconds(2) }; ///< For one poll.
};

/// Polls the platform's list of upstreams and reports an UpstreamListUpdate after each successful
/// poll. A failed poll reports only the error, so the previous list remains valid.
class InstanceListClient {
public:
    using ErrorHandler = std::function<void(const Error&)>;

    InstanceListClient(boost::asio::io_context&, const InstanceListSettings&, EventSink, ErrorHandler);
    ~InstanceListClient();
    InstanceListClient(const InstanceListClient&) = delete;
    InstanceListClient& operator=(const InstanceListClient&) = delete;

    /// Starts polling; the first poll begins immediately.
    void start();
    /// Stops polling; nothing is reported afterwards.
    void stop();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace crocuslever
