#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>

#include "crocuslever/Events.h"
#include "crocuslever/Time.h"
#include "crocuslever/UpstreamProtocol.h"

namespace crocuslever {

struct UpstreamClientSettings {
    Duration timeout { std::chrono::seconds(2) }; ///< Of a whole call: connection, request and answer.
    int connectionsPerUpstream { 32 };
    std::int64_t maximumResultBytes { 262144 };
};

/// The upstream edge: carries out the core's commands over HTTP, and answers
/// each with exactly one result event.
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
    /// Closes every connection; calls in flight give no event.
    void stop();
    std::uint64_t calls() const;
    /// Answers that were whole as HTTP, but damaged or of something else.
    std::uint64_t rejectedAnswers() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace crocuslever
