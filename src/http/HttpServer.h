#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "crocuslever/Error.h"
#include "crocuslever/Time.h"
#include "src/http/ConnectionLimits.h"

namespace crocuslever {

struct HttpServerSettings {
    std::string address; ///< "IP:port"
    ConnectionLimits limits;
    std::uint64_t maximumBodyBytes { 1048576 };
    std::uint32_t maximumHeaderBytes { 16384 };
    std::size_t maximumHeaderFields { 512 };
    Duration idleTimeout { std::chrono::seconds(60) }; ///< Longest wait for a request's first bytes.
    Duration headerTimeout { std::chrono::seconds(5) }; ///< From a request's first bytes to the end of its header.
    Duration requestTimeout { std::chrono::seconds(10) }; ///< From a request's first bytes to its last.
    Duration writeTimeout { std::chrono::seconds(10) }; ///< For sending an answer.
    /// Called when limits begin and cease to refuse clients, with the limit that began it; may be null.
    std::function<void(ConnectionLimit, bool begins)> reportLimit {};
};

using ServerRequest = boost::beast::http::request<boost::beast::http::string_body>;

struct ServerResponse {
    int status { 200 };
    std::string body; ///< JSON unless `contentType` says otherwise; may be empty.
    std::vector<std::pair<std::string, std::string>> headers {};
    std::string contentType { "application/json" };
};

using Responder = std::function<void(ServerResponse)>;
/// Handles a request. May call the responder immediately or later; calls after the first are ignored.
using RequestHandler = std::function<void(ServerRequest, Responder)>;

/// HTTP/1.1 server that handles one request at a time on each connection. At a limit of the totals, it closes the connection
/// that has been waiting for a request or its rest for longest, or refuses the new one. It refuses before the handler is called.
class HttpServer {
public:
    HttpServer(boost::asio::io_context&, HttpServerSettings, RequestHandler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Binds and listens. Fails with InvalidInput if the address is malformed, Unavailable if it
    /// can't be bound.
    Result<void> open();
    /// Makes every further answer close its connection.
    void beginDraining();
    /// Closes the acceptor and all connections immediately.
    void stop();
    /// What the clients use now, and how often each limit has refused one.
    const ConnectionUse& use() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace crocuslever
