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

/// The peer edge: messages between instances over ZeroMQ. Delivery is at most
/// once, and in order while a connection lasts.
class PeerTransport {
public:
    using ErrorHandler = std::function<void(const Error&)>;

    PeerTransport(boost::asio::io_context&, PeerTransportSettings, EventSink);
    PeerTransport(const PeerTransport&) = delete;
    PeerTransport& operator=(const PeerTransport&) = delete;

    /// Checks the keys and binds.
    Result<void> open();
    /// Never blocks; what can't be queued is dropped and counted.
    void send(const PeerSend&);
    /// Gives queued messages a short while to leave, then closes everything.
    void stop();
    /// Called for each message that is malformed or can't be sent.
    void setErrorHandler(ErrorHandler);

    /// "IP:port", with the port that was bound when the settings leave it open ("*").
    std::string boundAddress() const;
    const PeerTransportCounters& counters() const;

private:
    Result<void> take(const std::string& sender, const std::string& bytes);

    EventSink m_sink;
    FrameTransport m_frames;
};

} // namespace crocuslever
