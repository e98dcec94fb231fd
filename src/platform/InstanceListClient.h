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
    Duration interval { std::chrono::seconds(1) }; ///< Between the end of a poll and the next.
    Duration timeout { std::chrono::seconds(2) };
};

/// Polls the platform's list of instances and reports each whole list. After a
/// failed poll the last list stays in force and the error is handed over.
class InstanceListClient {
public:
    using ErrorHandler = std::function<void(const Error&)>;

    InstanceListClient(boost::asio::io_context&, const InstanceListSettings&, EventSink, ErrorHandler);
    ~InstanceListClient();
    InstanceListClient(const InstanceListClient&) = delete;
    InstanceListClient& operator=(const InstanceListClient&) = delete;

    /// Polls at once and from then on.
    void start();
    void stop();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace crocuslever
