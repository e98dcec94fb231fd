#include "src/http/HttpServer.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <iterator>
#include <list>
#include <optional>
#include <set>

#include "src/http/Endpoint.h"
#include "src/http/RequestBody.h"

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

struct Session;
using SessionPtr = std::shared_ptr<Session>;

struct Session {
    Session(tcp::socket socket, std::string address, std::size_t maximumBufferBytes)
        : stream(std::move(socket))
        , address(std::move(address))
        , buf(maximumBufferBytes)
    {
    }

    beast::tcp_stream stream;
    std::string address; ///< Of the client, without its port.
    beast::flat_buffer buf;
    std::optional<http::request_parser<RequestBody>> parser;
    TimePoint firstBytesAt; ///< Of the request that is being read.
    bool hasBegun { false }; ///< Some bytes of the request have arrived.
    bool isEvicted { false }; ///< The request is refused in favor of other ones.
    std::size_t heldBytes { 0 }; ///< Counted against the limit.
    std::list<SessionPtr>::iterator place; ///< In the list of sessions that read; valid while `isReading`.
    bool isReading { false };
    http::response<http::string_body> response;
    bool isAnswered { true };
};

} // namespace

/// Memory of a header field beside its text.
static constexpr std::size_t kFieldBytes = 64;
/// Beyond the header, so that a header of the largest size is told from one that is too large.
static constexpr std::size_t kBufferReserve = 4096;
static constexpr std::size_t kReadBytes = 8192;

static TimePoint readSteadyClock() { return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()); }

class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl> {
public:
    Impl(asio::io_context& context, HttpServerSettings settings, RequestHandler handler)
        : m_acceptor(context)
        , m_acceptTimer(context)
        , m_refusalTimer(context)
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
        m_refusalTimer.cancel();
        m_reading.clear();
        for (const SessionPtr& session : m_sessions)
            session->stream.close();
        m_sessions.clear();
    }

    const ConnectionUse& use() const { return m_use; }

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

    void noteRefusal(ConnectionLimit limit)
    {
        ++m_use.refused[limit];
        if (!beginRefusal(m_refusals, readSteadyClock()) || !m_settings.reportLimit)
            return;
        m_settings.reportLimit(limit, true);
        awaitEndOfRefusals(limit);
    }

    void awaitEndOfRefusals(ConnectionLimit limit)
    {
        constexpr Duration kCheckInterval = std::chrono::seconds(1);
        m_refusalTimer.expires_after(kCheckInterval);
        m_refusalTimer.async_wait([self = shared_from_this(), limit](error_code ec) {
            if (ec || self->m_stopped)
                return;
            if (endRefusal(self->m_refusals, readSteadyClock()))
                self->m_settings.reportLimit(limit, false);
            else
                self->awaitEndOfRefusals(limit);
        });
    }

    void begin(tcp::socket socket)
    {
        error_code ec;
        std::string address = socket.remote_endpoint(ec).address().to_string();
        if (ec)
            return;
        ConnectionLimit limit = admitConnection(m_settings.limits, m_use, address);
        if (limit == ConnectionLimit::Connections && !m_reading.empty()) {
            noteRefusal(limit);
            close(SessionPtr(m_reading.front()));
            limit = admitConnection(m_settings.limits, m_use, address);
        }
        if (limit != ConnectionLimit::None) {
            noteRefusal(limit);
            return; // The socket closes here.
        }
        socket.set_option(tcp::no_delay(true), ec);
        SessionPtr session = std::make_shared<Session>(std::move(socket), std::move(address), m_settings.maximumHeaderBytes + kBufferReserve);
        m_sessions.insert(session);
        awaitRequest(session);
    }

    void awaitRequest(const SessionPtr& session)
    {
        session->parser.emplace();
        session->parser->header_limit(m_settings.maximumHeaderBytes);
        session->parser->body_limit(m_settings.maximumBodyBytes);
        session->parser->eager(true);
        session->hasBegun = false;
        setReading(session, true);
        if (session->buf.size() > 0) {
            parse(session);
            return;
        }
        session->buf.shrink_to_fit(); // Idle connections hold no buffer.
        session->stream.expires_after(m_settings.idleTimeout);
        read(session);
    }

    /// Sessions that read stand in the order in which they began to.
    void setReading(const SessionPtr& session, bool isReading)
    {
        if (session->isReading)
            m_reading.erase(session->place);
        session->isReading = isReading;
        if (isReading)
            session->place = m_reading.insert(m_reading.end(), session);
    }

    void read(const SessionPtr& session)
    {
        std::size_t n = std::min(kReadBytes, session->buf.max_size() - session->buf.size());
        if (n == 0) { // Only a chunk's extension or trailer fills the buffer.
            failRead(session, http::error::buffer_overflow);
            return;
        }
        session->stream.async_read_some(session->buf.prepare(n), [self = shared_from_this(), session](error_code ec, std::size_t size) {
            if (self->m_stopped || (!session->isReading && !session->isEvicted))
                return;
            session->buf.commit(size);
            if (session->isEvicted)
                self->refuse(session, http::status::service_unavailable);
            else if (ec)
                self->failRead(session, ec);
            else
                self->parse(session);
        });
    }

    void parse(const SessionPtr& session)
    {
        if (!session->hasBegun) {
            session->hasBegun = true;
            session->firstBytesAt = readSteadyClock();
        }
        bool hadHeader = session->parser->is_header_done();
        error_code ec;
        std::size_t used = 1;
        while (used > 0 && !ec && !session->parser->is_done() && session->buf.size() > 0) {
            used = session->parser->put(session->buf.data(), ec);
            session->buf.consume(used);
        }
        if (ec && ec != http::error::need_more) {
            failRead(session, ec);
            return;
        }
        if (!hadHeader && session->parser->is_header_done() && countFields(session) > m_settings.maximumHeaderFields) {
            failRead(session, http::error::header_limit);
            return;
        }
        if (!holdBytes(session)) {
            noteRefusal(ConnectionLimit::HeldBytes);
            refuse(session, http::status::service_unavailable);
            return;
        }
        if (session->parser->is_done()) {
            serve(session);
            return;
        }
        Duration limit = session->parser->is_header_done() ? m_settings.requestTimeout : m_settings.headerTimeout;
        session->stream.expires_at(session->firstBytesAt + limit);
        read(session);
    }

    static std::size_t countFields(const SessionPtr& session)
    {
        const http::request<RequestBody>& message = session->parser->get();
        return static_cast<std::size_t>(std::distance(message.begin(), message.end()));
    }

    /// Counts what the request holds now. Requests that are not complete make room, the one begun first at first.
    bool holdBytes(const SessionPtr& session)
    {
        std::size_t wanted = session->parser->get().body().capacity();
        if (session->parser->is_header_done())
            wanted += countFields(session) * kFieldBytes;
        while (!reserveBytes(m_settings.limits, m_use, session->heldBytes, wanted)) {
            auto it = std::find_if(m_reading.begin(), m_reading.end(), [&session](const SessionPtr& other) { return other != session && other->heldBytes > 0; });
            if (it == m_reading.end())
                return false;
            noteRefusal(ConnectionLimit::HeldBytes);
            evict(SessionPtr(*it));
        }
        return true;
    }

    /// The session's read ends, and answers the request with a refusal.
    void evict(const SessionPtr& session)
    {
        session->isEvicted = true;
        drop(session);
        session->stream.cancel();
    }

    /// Frees what the request holds.
    void drop(const SessionPtr& session)
    {
        setReading(session, false);
        session->parser.reset();
        releaseBytes(m_use, session->heldBytes);
    }

    void failRead(const SessionPtr& session, const error_code& ec)
    {
        if (ec == http::error::body_limit) {
            noteRefusal(ConnectionLimit::Body);
            refuse(session, http::status::payload_too_large);
        } else if (ec == http::error::header_limit || ec == http::error::buffer_overflow) {
            noteRefusal(ConnectionLimit::Header);
            refuse(session, http::status::request_header_fields_too_large);
        } else {
            if (ec == beast::error::timeout && session->hasBegun)
                noteRefusal(ConnectionLimit::Time);
            close(session);
        }
    }

    void refuse(const SessionPtr& session, http::status status)
    {
        drop(session);
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
        if (!admitRequest(m_settings.limits, m_use)) {
            noteRefusal(ConnectionLimit::WaitingRequests);
            refuse(session, http::status::service_unavailable);
            return;
        }
        setReading(session, false);
        session->stream.expires_never();
        session->isAnswered = false;
        http::request<RequestBody> received = session->parser->release();
        session->parser.reset();
        ServerRequest request(std::move(received.base()));
        request.body() = std::move(received.body());
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
        releaseRequest(m_use);
        releaseBytes(m_use, session->heldBytes);
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
            if (ec == beast::error::timeout)
                self->noteRefusal(ConnectionLimit::Time);
            bool isReused = !ec && session->response.keep_alive() && !self->m_stopped;
            if (isReused)
                self->awaitRequest(session);
            else
                self->close(session);
        });
    }

    void close(const SessionPtr& session)
    {
        if (m_sessions.erase(session) == 0)
            return;
        drop(session);
        releaseConnection(m_use, session->address);
        error_code ec;
        session->stream.socket().shutdown(tcp::socket::shutdown_send, ec);
        session->stream.close();
    }

    tcp::acceptor m_acceptor;
    asio::steady_timer m_acceptTimer;
    asio::steady_timer m_refusalTimer;
    HttpServerSettings m_settings;
    RequestHandler m_handler;
    std::set<SessionPtr> m_sessions;
    std::list<SessionPtr> m_reading; ///< Sessions without a complete request, the one waiting for longest first.
    ConnectionUse m_use;
    RefusalPeriod m_refusals;
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

const ConnectionUse& HttpServer::use() const { return m_impl->use(); }

} // namespace crocuslever
