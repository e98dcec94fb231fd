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

namespace crocuslever {

struct HttpServerSettings {
    std::string address; ///< "IP:port"
    std::size_t mostConnections { 2000 }; ///< More are closed at once.
    std::uint64_t mostBodyBytes { 1048576 };
    std::uint32_t mostHeaderBytes { 16384 };
    Duration idleTimeout { std::chrono::seconds(60) }; ///< Between two requests.
    Duration requestTimeout { std::chrono::seconds(10) }; ///< From a request's first byte to its last.
    Duration writeTimeout { std::chrono::seconds(10) }; ///< For an answer to be taken.
};

using ServerRequest = boost::beast::http::request<boost::beast::http::string_body>;

struct ServerResponse {
    int status { 200 };
    std::string body; ///< JSON unless `contentType` says otherwise; may be empty.
    std::vector<std::pair<std::string, std::string>> headers {};
    std::string contentType { "application/json" };
};

using Responder = std::function<void(ServerResponse)>;
/// Answers by the responder, now or later, at most once.
using RequestHandler = std::function<void(ServerRequest, Responder)>;

/// An HTTP/1.1 server; one request at a time on each connection.
class HttpServer {
public:
    HttpServer(boost::asio::io_context&, HttpServerSettings, RequestHandler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    Result<void> open();
    /// From here on each answer closes its connection.
    void beginDraining();
    /// Closes everything at once.
    void stop();
    std::size_t connections() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace crocuslever
