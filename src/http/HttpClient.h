#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "crocuslever/Error.h"
#include "crocuslever/Time.h"
#include "src/http/HttpRequest.h"

namespace crocuslever {

using HttpHandler = std::function<void(Result<HttpReply>)>;

struct HttpClientSettings {
    std::vector<std::string> endpoints; ///< "IP:port"; after a failure the client moves to the next one.
    /// From the connect to the end of the answer; if `transferTimeout` is set, to its first bytes, and between any two.
    Duration timeout { std::chrono::seconds(2) };
    std::size_t maximumConnections { 4 }; ///< Further calls are queued.
    std::uint64_t maximumBodyBytes { 1048576 }; ///< Limit of an answer's body.
    Duration transferTimeout { 0 }; ///< From the first bytes of an answer to its end; 0: within `timeout`.
    std::size_t readBufferBytes { 8192 }; ///< Of each connection: the most that one turn of the event loop reads.
    /// Kept open after an answer, so that as many calls are sent within send(), also by an event loop in a long turn.
    std::size_t openConnections { 0 };
};

/// Sends calls to one service over keep-alive connections. Each connection carries one call at a time
/// and is closed after any failure. The error code is Unavailable if the request was certainly not
/// sent, TooLarge if the answer exceeded the limit, and otherwise Unknown.
class HttpClient {
public:
    HttpClient(boost::asio::io_context&, HttpClientSettings);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// Sends a call at once if an open connection is idle, else queues it. The handler is called later, never from within
    /// send().
    void send(HttpRequest, HttpHandler);
    /// Closes all connections; handlers of pending calls are not called.
    void stop();
    std::uint64_t calls() const; ///< Number of calls started so far.

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace crocuslever
