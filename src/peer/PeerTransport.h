#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "crocuslever/Error.h"
#include "crocuslever/Events.h"
#include "crocuslever/Ids.h"

namespace crocuslever {

struct PeerTransportSettings {
    InstanceId self;
    std::string bindAddress; ///< "IP:port"
    std::string publicKey; ///< CURVE key pair of the whole cell (Z85).
    std::string secretKey;
    bool insecure { false }; ///< Neither encrypts nor checks who connects.
};

struct PeerTransportCounters {
    std::uint64_t messagesSent { 0 };
    std::uint64_t bytesSent { 0 };
    std::uint64_t messagesReceived { 0 };
    std::uint64_t bytesReceived { 0 };
    std::uint64_t dropped { 0 }; ///< Not sent: the peer's queue was full, or it can't be addressed.
    std::uint64_t malformed { 0 }; ///< Received, and not understood.
    std::uint64_t refused { 0 }; ///< Connections with another key than the cell's.
};

/// The peer edge: messages between instances over ZeroMQ. Delivery is at most
/// once, and in order while a connection lasts.
class PeerTransport {
public:
    using ErrorHandler = std::function<void(const Error&)>;

    PeerTransport(boost::asio::io_context&, PeerTransportSettings, EventSink);
    ~PeerTransport();
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
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace crocuslever
