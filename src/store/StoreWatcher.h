#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "crocuslever/Events.h"
#include "crocuslever/StoreProtocol.h"
#include "src/http/HttpStream.h"
#include "src/store/StoreClient.h"
#include "src/store/StoreJson.h"

namespace crocuslever {

/// Keeps one watch open. After a disconnect or a silence timeout it reopens the watch, with backoff,
/// at the first revision not yet reported. If the store can't continue there, because that revision
/// was compacted or the store was restored to an older state, it reports StoreWatchLost and stops.
class StoreWatcher {
public:
    StoreWatcher(boost::asio::io_context&, const StoreClientSettings&, EventSink);

    /// Replaces the previous watch.
    void start(const StoreWatch&);
    void stop();
    /// Number of times that a watch was opened.
    std::uint64_t calls() const { return m_calls; }

private:
    struct RetryToken { };

    void open();
    void handleLine(const std::string& line);
    bool isBehind(StoreRevision storeRevision);
    void handleStoreBehind();
    void report(const WatchAnswer&);
    void scheduleReopen();
    void reportLost();

    boost::asio::io_context& m_io;
    StoreClientSettings m_settings;
    EventSink m_sink;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<RetryToken> m_retryToken; ///< Reset to invalidate a pending retry.
    std::unique_ptr<HttpStream> m_stream;
    StoreWatch m_watch; ///< `fromRevision` is the first revision not yet reported.
    std::size_t m_endpoint { 0 };
    int m_failures { 0 }; ///< Consecutive failures; determines the backoff.
    int m_timesBehind { 0 }; ///< Consecutive openings at an endpoint behind `fromRevision`.
    std::uint64_t m_calls { 0 };
};

} // namespace crocuslever
