#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

#include "crocuslever/Error.h"
#include "crocuslever/Events.h"
#include "crocuslever/Ids.h"
#include "src/peer/FrameTransport.h"

namespace crocuslever {

using PeerTransportSettings = FrameTransportSettings;
using PeerTransportCounters = FrameTransportCounters;

/// Sends and receives peer messages between instances over ZeroMQ. Delivery is at most once, and in
/// order within a connection. Received messages are reported as PeerReceived events.
class PeerTransport {
public:
    using ErrorHandler = std::function<void(const Error&)>;

    PeerTransport(boost::asio::io_context&, PeerTransportSettings, EventSink);
    PeerTransport(const PeerTransport&) = delete;
    PeerTransport& operator=(const PeerTransport&) = delete;

    /// Checks the keys and binds. Fails with InvalidInput for invalid keys, Unavailable if binding fails.
    Result<void> open();
    /// Queues a message; never blocks. Messages that can't be queued are dropped and counted.
    void send(const PeerSend&);
    /// Closes all sockets; queued messages are still sent for up to 500 ms.
    void stop();
    /// Sets the handler for malformed messages and socket errors; full queues are only counted.
    void setErrorHandler(ErrorHandler);

    /// "IP:port" with the actual port, also if the settings leave the port open ("*").
    std::string boundAddress() const;
    const PeerTransportCounters& counters() const;

private:
    Result<void> handleMessage(const std::string& sender, const std::string& bytes);

    EventSink m_sink;
    FrameTransport m_frames;
};

} // namespace crocuslever
