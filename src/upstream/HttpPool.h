#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "crocuslever/Time.h"

namespace crocuslever {

/// Names the exchange; the answer repeats it.
constexpr const char* kCallHeader = "X-Crocuslever-Call";
/// JSON that goes with a body of raw bytes.
constexpr const char* kMetadataHeader = "X-Crocuslever-Metadata";

struct UpstreamHttpRequest {
    std::string target;
    std::string metadata; ///< ASCII without line ends; may be empty.
    std::string body;
};

struct UpstreamHttpAnswer {
    int status { 0 };
    std::string metadata;
    std::string body;
};

enum class HttpOutcome {
    Answered, ///< The answer is whole and belongs to this request.
    NotSent, ///< No byte of the request left.
    NoAnswer, ///< Some of it left, and no whole answer came.
};

/// Gets the answer; false closes the connection that it came on.
using HttpCompletion = std::function<bool(HttpOutcome, const UpstreamHttpAnswer&)>;

struct HttpExchange {
    std::string address; ///< "IP:port"
    UpstreamHttpRequest request;
    Duration timeout { 0 }; ///< Waiting for a connection included.
    std::int64_t maximumBytes { 0 }; ///< Of the answer's body.
    HttpCompletion completion; ///< Called once, never from within send().
};

/// Keep-alive HTTP/1.1 connections to many addresses, one exchange at a time on each.
class HttpPool {
public:
    HttpPool(boost::asio::io_context&, int connectionsPerAddress);
    ~HttpPool();
    HttpPool(const HttpPool&) = delete;
    HttpPool& operator=(const HttpPool&) = delete;

    void send(HttpExchange);
    /// Closes everything; exchanges in flight are not completed.
    void stop();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace crocuslever
