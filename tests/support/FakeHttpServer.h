#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace crocuslever::testing {

struct FakeRequest {
    std::string method;
    std::string target;
    std::string body;
};

/// One request to a fake server. It can be answered at any time with a complete reply or with a
/// stream of lines, or not at all.
class FakeExchange {
public:
    virtual ~FakeExchange() = default;
    virtual const FakeRequest& request() const = 0;
    /// Sends a complete answer. Ignored if there was one already.
    virtual void reply(int status, const std::string& json) = 0;
    /// Begins an answer with status 200 whose lines follow through sendLine().
    virtual void startStream() = 0;
    /// Sends one line of the stream, as a chunk of its own.
    virtual void sendLine(const std::string& json) = 0;
    /// Sends a part of the stream that need not be a line.
    virtual void sendPiece(const std::string& data) = 0;
    /// Completes the stream; further requests may follow on the connection.
    virtual void endStream() = 0;
    /// Closes the connection, even in the middle of an answer.
    virtual void drop() = 0;
    /// False once the connection is closed.
    virtual bool isOpen() const = 0;
};

using ExchangePtr = std::shared_ptr<FakeExchange>;

/// A small HTTP server for fakes. It runs on the thread of its io_context.
class FakeHttpServer {
public:
    using Handler = std::function<void(const ExchangePtr&)>;

    /// Listens on any free port if `port` is 0. Throws if the address can't be bound.
    FakeHttpServer(boost::asio::io_context&, const std::string& address, unsigned short port);
    ~FakeHttpServer();
    FakeHttpServer(const FakeHttpServer&) = delete;
    FakeHttpServer& operator=(const FakeHttpServer&) = delete;

    unsigned short port() const;
    std::string endpoint() const; ///< "IP:port"
    /// Adds a handler for a method and path prefix. The first route added that matches is used; without
    /// one the answer is 404.
    void route(const std::string& method, const std::string& pathPrefix, Handler);
    void closeConnections();
    /// While frozen, requests are read but never answered, as if the process were stopped.
    void setFrozen(bool);

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace crocuslever::testing
