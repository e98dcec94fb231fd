#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "crocuslever/Time.h"

namespace crocuslever {

/// Header with the id of the exchange; the upstream returns it in the answer.
constexpr const char* kCallIdHeader = "X-Crocuslever-Call";
/// Header with JSON that describes a body of raw bytes.
constexpr const char* kMetadataHeader = "X-Crocuslever-Metadata";

struct UpstreamHttpRequest {
    std::string target;
    std::string metadata; ///< ASCII without line breaks; empty sends no metadata header.
    std::string body;
};

struct UpstreamHttpAnswer {
    int status { 0 };
    std::string metadata;
    std::string body;
};

enum class HttpOutcome {
    Answered, ///< A complete answer with this exchange's id arrived.
    NotSent, ///< No byte of the request was sent.
    NoAnswer, ///< The request was sent at least in part, but no complete answer arrived.
};

/// Receives the outcome. Returning false closes the connection that the answer arrived on.
using HttpCompletion = std::function<bool(HttpOutcome, const UpstreamHttpAnswer&)>;

struct HttpExchange {
    std::string address; ///< "IP:port"
    UpstreamHttpRequest request;
    Duration timeout { 0 }; ///< For the whole exchange, including the wait for a connection.
    std::int64_t maximumBodyBytes { 0 }; ///< Limit of the answer's body.
    HttpCompletion completion; ///< Called exactly once, never from within send().
};

/// Pool of keep-alive HTTP/1.1 connections to many addresses. Each connection carries one exchange
/// at a time; a request is never repeated once a byte of it was sent.
class HttpPool {
public:
    HttpPool(boost::asio::io_context&, int connectionsPerAddress);
    ~HttpPool();
    HttpPool(const HttpPool&) = delete;
    HttpPool& operator=(const HttpPool&) = delete;

    void send(HttpExchange);
    /// Closes all connections; exchanges in flight are not completed.
    void stop();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace crocuslever
