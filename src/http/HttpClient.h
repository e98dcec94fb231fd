#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "crocuslever/Error.h"
#include "crocuslever/Time.h"

namespace crocuslever {

struct HttpRequest {
    std::string method { "POST" };
    std::string target;
    std::string body; ///< JSON, or empty.
    std::string bearerKey {}; ///< Shown to the service unless empty.
    std::vector<std::pair<std::string, std::string>> headers {};
    Duration timeout { 0 }; ///< 0: that of the client.
    bool onKeptConnection { false }; ///< Fails as not sent where a connection would have to be opened.
};

/// A whole answer, of any status.
struct HttpReply {
    int status { 0 };
    std::string body;
};

using HttpHandler = std::function<void(Result<HttpReply>)>;

struct HttpClientSettings {
    std::vector<std::string> endpoints; ///< "IP:port"; the next is tried after a failure.
    Duration timeout { std::chrono::seconds(2) }; ///< From connect to the end of the answer.
    std::size_t maximumConnections { 4 }; ///< Calls above this wait for their turn.
    std::uint64_t maximumBodyBytes { 1048576 };
};

/// Sends calls to one service over kept connections, each of which carries one
/// call at a time and is closed after any failure. An error has code Unavailable
/// if the request was surely not sent, TooLarge if the answer was, else Unknown.
class HttpClient {
public:
    HttpClient(boost::asio::io_context&, HttpClientSettings);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// The handler is never called from within this call.
    void send(HttpRequest, HttpHandler);
    /// Closes everything; handlers of calls under way are not called any more.
    void stop();
    std::uint64_t calls() const; ///< Requests begun so far.

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

struct HttpStreamSettings {
    std::string endpoint; ///< "IP:port"
    Duration openTimeout { std::chrono::seconds(2) };
    Duration silenceTimeout { std::chrono::seconds(5) }; ///< Longest time without a byte.
    std::size_t maximumLineBytes { 16777216 };
};

/// One call whose answer is an endless stream of lines.
class HttpStream {
public:
    using LineHandler = std::function<void(const std::string&)>;
    using EndHandler = std::function<void(const Error&)>;

    HttpStream(boost::asio::io_context&, HttpStreamSettings, HttpRequest, LineHandler, EndHandler);
    /// Closes the connection; no handler is called any more.
    ~HttpStream();
    HttpStream(const HttpStream&) = delete;
    HttpStream& operator=(const HttpStream&) = delete;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace crocuslever
