#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "crocuslever/Error.h"
#include "crocuslever/Ids.h"
#include "crocuslever/Time.h"

namespace crocuslever {

struct FrameTransportSettings {
    InstanceId self; ///< Sender name that is sent with each message.
    std::string bindAddress; ///< "IP:port"
    std::string publicKey; ///< Public key of the CURVE key pair that the whole cell shares, in Z85.
    std::string secretKey; ///< Secret key of the same pair, in Z85.
    bool insecure { false }; ///< Disables encryption and authentication.
    Duration pingInterval { std::chrono::milliseconds(2000) }; ///< Pings detect broken connections.
    Duration pingTimeout { std::chrono::milliseconds(5000) }; ///< Then an unanswered connection is closed.
};

struct FrameTransportCounters {
    std::uint64_t messagesSent { 0 };
    std::uint64_t bytesSent { 0 };
    std::uint64_t messagesReceived { 0 };
    std::uint64_t bytesReceived { 0 };
    std::uint64_t dropped { 0 }; ///< Not sent: the peer's queue was full or its address invalid.
    std::uint64_t malformed { 0 }; ///< Received but not decodable; not counted in messagesReceived.
    std::uint64_t refused { 0 }; ///< Connections refused because of a key other than the cell's.
};

/// Sends and receives messages as byte strings between instances over ZeroMQ. Delivery is at most
/// once, and in order within a connection.
class FrameTransport {
public:
    using ErrorHandler = std::function<void(const Error&)>;
    /// Receives the sender's name and the message; returns an error if the message can't be decoded.
    using FrameHandler = std::function<Result<void>(const std::string& sender, const std::string& bytes)>;

    FrameTransport(boost::asio::io_context&, FrameTransportSettings, FrameHandler);
    ~FrameTransport();
    FrameTransport(const FrameTransport&) = delete;
    FrameTransport& operator=(const FrameTransport&) = delete;

    /// Checks the keys and binds. Fails with InvalidInput for invalid keys, Unavailable if binding fails.
    Result<void> open();
    /// Queues a message; never blocks. Messages that can't be queued are dropped and counted.
    /// `to` is the receiver's name for error reports.
    void send(const std::string& address, const std::string& to, const std::string& bytes);
    /// Delivers the messages that have arrived. False: there are more than are read at a time.
    bool readAvailable();
    /// Closes all sockets; queued messages are still sent for up to 500 ms.
    void stop();
    /// Sets the handler for malformed messages and socket errors; full queues are only counted.
    void setErrorHandler(ErrorHandler);

    /// "IP:port" with the actual port, also if the settings leave the port open ("*").
    std::string boundAddress() const;
    const FrameTransportCounters& counters() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace crocuslever
