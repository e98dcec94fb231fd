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

/// One request to a fake, to be answered now or later, by lines or not at all.
class FakeExchange {
public:
    virtual ~FakeExchange() = default;
    virtual const FakeRequest& request() const = 0;
    virtual void reply(int status, const std::string& json) = 0;
    /// Begins an answer of status 200 that is sent line by line.
    virtual void startStream() = 0;
    virtual void sendLine(const std::string& json) = 0;
    /// Closes the connection, in the middle of an answer if need be.
    virtual void drop() = 0;
    /// False once the connection is closed.
    virtual bool isOpen() const = 0;
};

using ExchangePtr = std::shared_ptr<FakeExchange>;

/// A small HTTP server for fakes, on the thread of its io_context.
class HttpFake {
public:
    using Handler = std::function<void(const ExchangePtr&)>;

    /// Port 0 takes any free one. Throws if the address can't be bound.
    HttpFake(boost::asio::io_context&, const std::string& address, unsigned short port);
    ~HttpFake();
    HttpFake(const HttpFake&) = delete;
    HttpFake& operator=(const HttpFake&) = delete;

    unsigned short port() const;
    std::string endpoint() const; ///< "IP:port"
    /// Routes are tried in the order in which they were added.
    void route(const std::string& method, const std::string& pathPrefix, Handler);
    void closeConnections();
    /// While frozen, requests are taken in and never handled: as with a stopped process.
    void setFrozen(bool);

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace crocuslever::testing
