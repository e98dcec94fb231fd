#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "crocuslever/Error.h"
#include "crocuslever/Time.h"
#include "src/http/HttpRequest.h"

namespace crocuslever {

struct HttpStreamSettings {
    std::string endpoint; ///< "IP:port"
    Duration openTimeout { std::chrono::seconds(2) }; ///< From the connect to the answer's header.
    Duration silenceTimeout { std::chrono::seconds(5) }; ///< The stream ends after this time without data.
    std::size_t maximumLineBytes { 16777216 };
};

/// A call whose answer is an unbounded stream of lines. The end handler is called once, when the
/// stream fails or ends.
class HttpStream {
public:
    using LineHandler = std::function<void(const std::string&)>;
    using EndHandler = std::function<void(const Error&)>;

    HttpStream(boost::asio::io_context&, HttpStreamSettings, HttpRequest, LineHandler, EndHandler);
    /// Closes the connection; no handler is called afterwards.
    ~HttpStream();
    HttpStream(const HttpStream&) = delete;
    HttpStream& operator=(const HttpStream&) = delete;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace crocuslever
