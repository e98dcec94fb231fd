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

/// What the operational paths answer with; asked at each request.
struct CallerServerSources {
    std::function<bool()> isReady; ///< For `/readyz`.
    std::function<std::string()> metrics; ///< For `/metrics`: lines of text.
    std::function<std::string()> status; ///< For `/status`: JSON.
};

/// The HTTP/1.1 server for callers (docs/API.md). Emits CallerCall and
/// CallerGone; a reply finds its connection by the call's id alone.
class CallerServer {
public:
    CallerServer(boost::asio::io_context&, CallerServerSettings, EventSink, CallerServerSources);
    ~CallerServer();
    CallerServer(const CallerServer&) = delete;
    CallerServer& operator=(const CallerServer&) = delete;

    Result<void> open();
    /// The port that it listens on, once open.
    std::uint16_t port() const;
    /// Answers the call; dropped and counted if the caller is gone or was answered.
    void reply(const CallerReply&);

    /// From here on each answer closes its connection.
    void beginDraining();
    /// Takes no new connection and closes idle ones. Calls in flight go on.
    void stopAccepting();
    /// True once no request is being read, awaited or answered.
    bool isDrained() const;
    /// Closes everything at once.
    void stop();

    /// Sets this server's own counters and gauges.
    void report(Counters&) const;

private:
    std::shared_ptr<CallerServerState> m_state;
};

} // namespace crocuslever
