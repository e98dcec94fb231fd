#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "crocuslever/CallerProtocol.h"
#include "crocuslever/Counters.h"
#include "crocuslever/Error.h"
#include "crocuslever/Events.h"
#include "src/callers/CallerServerSettings.h"

namespace crocuslever {

struct CallerServerState;

/// Content of the operational paths. Each function is called once per request.
struct CallerServerSources {
    std::function<bool()> isReady; ///< For `/readyz`.
    std::function<std::string()> metrics; ///< Plain text for `/metrics`.
    std::function<std::string()> status; ///< JSON for `/status`.
};

/// HTTP/1.1 server of the caller API (docs/API.md). Emits a CallerCall per request and a CallerGone
/// if the caller disconnects before the reply. Replies are matched to connections by call id.
class CallerServer {
public:
    CallerServer(boost::asio::io_context&, CallerServerSettings, EventSink, CallerServerSources);
    ~CallerServer();
    CallerServer(const CallerServer&) = delete;
    CallerServer& operator=(const CallerServer&) = delete;

    /// Binds and listens; fails with Unavailable if the address is invalid or in use.
    Result<void> open();
    /// The port that the server listens on; valid after open().
    std::uint16_t port() const;
    /// Sends the answer of a call. A reply to an unknown, answered or abandoned call is dropped and
    /// counted.
    void reply(const CallerReply&);

    /// Makes every further answer close its connection.
    void beginDraining();
    /// Begins draining, stops listening and closes idle connections. Calls in flight continue;
    /// connections without a request yet are closed after a grace period of 1 s.
    void stopAccepting();
    /// True if every open connection is idle and has served at least one request.
    bool isDrained() const;
    /// Closes the acceptor and all connections immediately; calls in flight get no answer.
    void stop();

    /// Sets the server's counters and gauges.
    void report(Counters&) const;

private:
    std::shared_ptr<CallerServerState> m_state;
};

} // namespace crocuslever
