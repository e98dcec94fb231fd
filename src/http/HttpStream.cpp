#include "src/http/HttpStream.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <utility>

#include "src/http/Endpoint.h"
#include "src/http/HttpMessage.h"

namespace crocuslever {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = boost::asio::ip::tcp;

class HttpStream::Impl : public std::enable_shared_from_this<HttpStream::Impl> {
public:
    Impl(asio::io_context& io, HttpStreamSettings settings, HttpRequest request, LineHandler onLine, EndHandler onEnd)
        : m_stream(io)
        , m_settings(std::move(settings))
        , m_request(std::move(request))
        , m_onLine(std::move(onLine))
        , m_onEnd(std::move(onEnd))
    {
        m_parser.body_limit(boost::none);
    }

    void open()
    {
        std::optional<tcp::endpoint> endpoint = parseEndpoint(m_settings.endpoint);
        if (!endpoint) {
            asio::post(m_stream.get_executor(), [self = shared_from_this()] { self->end(ErrorCode::Unavailable, asio::error::invalid_argument); });
            return;
        }
        m_stream.expires_after(m_settings.openTimeout);
        m_stream.async_connect(*endpoint, [self = shared_from_this()](error_code ec) {
            if (ec)
                self->end(ErrorCode::Unavailable, ec);
            else
                self->write();
        });
    }

    void stop()
    {
        m_ended = true;
        m_stream.close();
    }

private:
    void write()
    {
        if (m_ended)
            return;
        m_message = makeMessage(m_request, m_settings.endpoint);
        http::async_write(m_stream, m_message, [self = shared_from_this()](error_code ec, std::size_t) {
            if (ec)
                self->end(ErrorCode::Unknown, ec);
            else
                self->readHeader();
        });
    }

    void readHeader()
    {
        http::async_read_header(m_stream, m_buf, m_parser, [self = shared_from_this()](error_code ec, std::size_t) {
            if (ec)
                self->end(ErrorCode::Unknown, ec);
            else
                self->checkStatus();
        });
    }

    void checkStatus()
    {
        if (m_ended)
            return;
        if (m_parser.get().result() == http::status::ok)
            readSome();
        else
            end(ErrorCode::Unknown, http::make_error_code(http::error::bad_status));
    }

    void readSome()
    {
        m_stream.expires_after(m_settings.silenceTimeout);
        http::async_read_some(m_stream, m_buf, m_parser, [self = shared_from_this()](error_code ec, std::size_t) {
            self->handleBody(ec);
        });
    }

    void handleBody(const error_code& ec)
    {
        if (m_ended)
            return;
        m_text += m_parser.get().body();
        m_parser.get().body().clear();
        deliverLines();
        if (m_ended)
            return;
        if (ec)
            end(ErrorCode::Unknown, ec);
        else if (m_parser.is_done())
            end(ErrorCode::Unknown, http::make_error_code(http::error::end_of_stream));
        else if (m_text.size() > m_settings.maximumLineBytes)
            end(ErrorCode::TooLarge, http::make_error_code(http::error::body_limit));
        else
            readSome();
    }

    void deliverLines()
    {
        std::size_t begin = 0;
        for (std::size_t n = m_text.find('\n'); n != std::string::npos && !m_ended; n = m_text.find('\n', begin)) {
            std::string line = m_text.substr(begin, n - begin);
            begin = n + 1;
            m_onLine(line);
        }
        m_text.erase(0, begin);
    }

    void end(ErrorCode code, const error_code& ec)
    {
        if (m_ended)
            return;
        stop();
        m_onEnd(makeHttpError(code, m_request, m_settings.endpoint, ec));
    }

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buf;
    HttpStreamSettings m_settings;
    HttpRequest m_request;
    LineHandler m_onLine;
    EndHandler m_onEnd;
    http::request<http::string_body> m_message;
    http::response_parser<http::string_body> m_parser;
    std::string m_text; ///< Received text that is not yet a complete line.
    bool m_ended { false };
};

HttpStream::HttpStream(asio::io_context& io, HttpStreamSettings settings, HttpRequest request, LineHandler onLine, EndHandler onEnd)
    : m_impl(std::make_shared<Impl>(io, std::move(settings), std::move(request), std::move(onLine), std::move(onEnd)))
{
    m_impl->open();
}

HttpStream::~HttpStream() { m_impl->stop(); }

} // namespace crocuslever
