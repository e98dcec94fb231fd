#include "src/http/HttpServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <set>

#include "src/http/Endpoint.h"

namespace crocuslever {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = boost::asio::ip::tcp;

static constexpr int kHttp11 = 11;
/// Delay after a failed accept, for example because the process is out of file descriptors.
static constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(50);

namespace {

struct Session {
    explicit Session(tcp::socket socket)
        : stream(std::move(socket))
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buf;
    std::optional<http::request_parser<http::string_body>> parser;
    http::response<http::string_body> response;
    bool isAnswered { true };
};

} // namespace

using SessionPtr = std::shared_ptr<Session>;

class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl> {
public:
    Impl(asio::io_context& context, HttpServerSettings settings, RequestHandler handler)
        : m_acceptor(context)
        , m_acceptTimer(context)
        , m_settings(std::move(settings))
        , m_handler(std::move(handler))
    {
    }

    Result<void> open()
    {
        std::optional<tcp::endpoint> endpoint = parseEndpoint(m_settings.address);
        if (!endpoint)
            return Error { ErrorCode::InvalidInput, "http.open", m_settings.address, "address is not of the form \"IP:port\"" };
        error_code ec;
        m_acceptor.open(endpoint->protocol(), ec);
        if (!ec)
            m_acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
        if (!ec)
            m_acceptor.bind(*endpoint, ec);
        if (!ec)
            m_acceptor.listen(asio::socket_base::max_listen_connections, ec);
        if (ec)
            return Error { ErrorCode::Unavailable, "http.open", m_settings.address, ec.message() };
        accept();
        return boost::outcome_v2::success();
    }

    void beginDraining() { m_draining = true; }

    void stop()
    {
        m_stopped = true;
        error_code ec;
        m_acceptor.close(ec);
        m_acceptTimer.cancel();
        for (const SessionPtr& session : m_sessions)
            session->stream.close();
        m_sessions.clear();
    }

    std::size_t connections() const { return m_sessions.size(); }

private:
    void accept()
    {
        m_acceptor.async_accept([self = shared_from_this()](error_code ec, tcp::socket socket) {
            if (self->m_stopped)
                return;
            if (ec) {
                self->scheduleAcceptRetry();
                return;
            }
            self->begin(std::move(socket));
            self->accept();
        });
    }

    void scheduleAcceptRetry()
    {
        m_acceptTimer.expires_after(kAcceptRetryDelay);
        m_acceptTimer.async_wait([self = shared_from_this()](error_code ec) {
            if (!ec && !self->m_stopped)
                self->accept();
        });
    }

    void begin(tcp::socket socket)
    {
        if (m_sessions.size() >= m_settings.maximumConnections)
            return; // The socket closes here.
        error_code ec;
        socket.set_option(tcp::no_delay(true), ec);
        SessionPtr session = std::make_shared<Session>(std::move(socket));
        m_sessions.insert(session);
        awaitRequest(session);
    }

    void awaitRequest(const SessionPtr& session)
    {
        session->parser.emplace();
        session->parser->header_limit(m_settings.maximumHeaderBytes);
        session->parser->body_limit(m_settings.maximumBodyBytes);
        session->stream.expires_after(m_settings.idleTimeout);
        http::async_read_some(session->stream, session->buf, *session->parser, [self = shared_from_this(), session](error_code ec, std::size_t) {
            if (ec)
                self->failRead(session, ec);
            else
                self->readRest(session);
        });
    }

    void readRest(const SessionPtr& session)
    {
        if (session->parser->is_done()) {
            serve(session);
            return;
        }
        session->stream.expires_after(m_settings.requestTimeout);
        http::async_read(session->stream, session->buf, *session->parser, [self = shared_from_this(), session](error_code ec, std::size_t) {
            if (ec)
                self->failRead(session, ec);
            else
                self->serve(session);
        });
    }

    void failRead(const SessionPtr& session, const error_code& ec)
    {
        if (ec == http::error::body_limit)
            refuse(session, http::status::payload_too_large);
        else if (ec == http::error::header_limit)
            refuse(session, http::status::request_header_fields_too_large);
        else
            close(session);
    }

    void refuse(const SessionPtr& session, http::status status)
    {
        session->response = {};
        session->response.version(kHttp11);
        session->response.result(status);
        session->response.keep_alive(false);
        session->response.prepare_payload();
        write(session);
    }

    void serve(const SessionPtr& session)
    {
        if (m_stopped)
            return;
        session->stream.expires_never();
        session->isAnswered = false;
        ServerRequest request = session->parser->release();
        bool keepAlive = request.keep_alive();
        std::weak_ptr<Impl> weak = weak_from_this();
        m_handler(std::move(request), [weak, session, keepAlive](ServerResponse answer) {
            std::shared_ptr<Impl> self = weak.lock();
            if (self && !self->m_stopped && !session->isAnswered)
                self->respond(session, std::move(answer), keepAlive);
        });
    }

    void respond(const SessionPtr& session, ServerResponse answer, bool keepAlive)
    {
        session->isAnswered = true;
        http::response<http::string_body>& response = session->response;
        response = {};
        response.version(kHttp11);
        response.result(static_cast<unsigned>(answer.status));
        if (!answer.body.empty())
            response.set(http::field::content_type, answer.contentType);
        for (const auto& [name, value] : answer.headers)
            response.set(name, value);
        response.keep_alive(keepAlive && !m_draining);
        response.body() = std::move(answer.body);
        response.prepare_payload();
        write(session);
    }

    void write(const SessionPtr& session)
    {
        session->stream.expires_after(m_settings.writeTimeout);
        http::async_write(session->stream, session->response, [self = shared_from_this(), session](error_code ec, std::size_t) {
            bool isReused = !ec && session->response.keep_alive() && !self->m_stopped;
            if (isReused)
                self->awaitRequest(session);
            else
                self->close(session);
        });
    }

    void close(const SessionPtr& session)
    {
        error_code ec;
        session->stream.socket().shutdown(tcp::socket::shutdown_send, ec);
        session->stream.close();
        m_sessions.erase(session);
    }

    tcp::acceptor m_acceptor;
    asio::steady_timer m_acceptTimer;
    HttpServerSettings m_settings;
    RequestHandler m_handler;
    std::set<SessionPtr> m_sessions;
    bool m_draining { false };
    bool m_stopped { false };
};

HttpServer::HttpServer(asio::io_context& context, HttpServerSettings settings, RequestHandler handler)
    : m_impl(std::make_shared<Impl>(context, std::move(settings), std::move(handler)))
{
}

HttpServer::~HttpServer() { m_impl->stop(); }

Result<void> HttpServer::open() { return m_impl->open(); }

void HttpServer::beginDraining() { m_impl->beginDraining(); }

void HttpServer::stop() { m_impl->stop(); }

std::size_t HttpServer::connections() const { return m_impl->connections(); }

} // namespace crocuslever
