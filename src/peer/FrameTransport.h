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
    InstanceId self; ///< Told to the receiver with each message.
    std::string bindAddress; ///< "IP:port"
    std::string publicKey; ///< CURVE key pair of the whole cell (Z85).
    std::string secretKey;
    bool insecure { false }; ///< Neither encrypts nor checks who connects.
    Duration pingInterval { std::chrono::milliseconds(2000) }; ///< Finds connections that broke without a word.
    Duration pingTimeout { std::chrono::milliseconds(5000) };
};

struct FrameTransportCounters {
    std::uint64_t messagesSent { 0 };
    std::uint64_t bytesSent { 0 };
    std::uint64_t messagesReceived { 0 };
    std::uint64_t bytesReceived { 0 };
    std::uint64_t dropped { 0 }; ///< Not sent: the peer's queue was full, or it can't be addressed.
    std::uint64_t malformed { 0 }; ///< Received, and not understood.
    std::uint64_t refused { 0 }; ///< Connections with another key than the cell's.
};

/// Messages as bytes between instances over ZeroMQ. Delivery is at most once,
/// and in order while a connection lasts.
class FrameTransport {
public:
    using ErrorHandler = std::function<void(const Error&)>;
    /// Gets the sender's name and the bytes; an error says that they mean nothing.
    using FrameHandler = std::function<Result<void>(const std::string& sender, const std::string& bytes)>;

    FrameTransport(boost::asio::io_context&, FrameTransportSettings, FrameHandler);
    ~FrameTransport();
    FrameTransport(const FrameTransport&) = delete;
    FrameTransport& operator=(const FrameTransport&) = delete;

    /// Checks the keys and binds.
    Result<void> open();
    /// Never blocks; what can't be queued is dropped and counted. `to` is for errors only.
    void send(const std::string& address, const std::string& to, const std::string& bytes);
    /// Gives queued messages a short while to leave, then closes everything.
    void stop();
    /// Called for each message that is malformed or can't be sent.
    void setErrorHandler(ErrorHandler);

    /// "IP:port", with the port that was bound when the settings leave it open ("*").
    std::string boundAddress() const;
    const FrameTransportCounters& counters() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace crocuslever
