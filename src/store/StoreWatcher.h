#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "crocuslever/Events.h"
#include "crocuslever/StoreProtocol.h"
#include "src/http/HttpClient.h"
#include "src/store/StoreClient.h"
#include "src/store/StoreJson.h"

namespace crocuslever {

/// Keeps one watch open. After a break or a silence it is opened anew where it
/// left off; if that can't be, StoreWatchLost is reported and the watch is over.
class StoreWatcher {
public:
    StoreWatcher(boost::asio::io_context&, const StoreClientSettings&, EventSink);

    /// Replaces the earlier watch.
    void start(const StoreWatch&);
    void stop();
    std::uint64_t calls() const { return m_calls; }

private:
    struct Wait { };

    void open();
    void takeLine(const std::string& line);
    bool isBehind(StoreRevision storeRevision);
    void retryBehind();
    void report(const WatchAnswer&);
    void reopenLater();
    void giveUp();

    boost::asio::io_context& m_io;
    StoreClientSettings m_settings;
    EventSink m_sink;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<Wait> m_wait; ///< Reset when the timer is of no more use.
    std::unique_ptr<HttpStream> m_stream;
    StoreWatch m_watch; ///< `fromRevision` moves on with what was reported.
    std::size_t m_endpoint { 0 };
    int m_failures { 0 }; ///< In a row.
    int m_timesBehind { 0 }; ///< Openings in a row at a store older than the watch.
    std::uint64_t m_calls { 0 };
};

} // namespace crocuslever
