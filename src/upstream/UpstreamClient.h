#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>

#include "crocuslever/Events.h"
#include "crocuslever/Time.h"
#include "crocuslever/UpstreamProtocol.h"

namespace crocuslever {

struct UpstreamClientSettings {
    Duration timeout { std::chrono::seconds(2) }; ///< For a whole call: connect, request and answer.
    int connectionsPerUpstream { 32 };
    std::int64_t maximumResultBytes { 262144 };
};

/// Executes the core's upstream commands over HTTP and reports exactly one result event for each.
/// The outcome is Unreachable if the request was not sent, and Unknown if no valid answer arrived.
class UpstreamClient {
public:
    UpstreamClient(boost::asio::io_context&, UpstreamClientSettings, EventSink);
    ~UpstreamClient();
    UpstreamClient(const UpstreamClient&) = delete;
    UpstreamClient& operator=(const UpstreamClient&) = delete;

    void execute(const UpstreamFence&);
    void execute(const UpstreamStart&);
    void execute(const UpstreamSync&);
    void execute(const UpstreamStop&);
    /// Closes all connections; calls in flight report no event.
    void stop();
    /// Number of calls made so far.
    std::uint64_t calls() const;
    /// Number of complete HTTP answers that were malformed, corrupted, or for another upstream or attempt.
    std::uint64_t rejectedAnswers() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace crocuslever
