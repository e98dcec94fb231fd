#include "src/http/HttpClient.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <iterator>
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

using Request = http::request<http::string_body>;
using Parser = http::response_parser<http::string_body>;

using Clock = std::chrono::steady_clock;

/// A late event loop handles at most 128 descriptors, and then all timers that have expired, also those of answers that have
/// arrived in time but are not among the 128. So a timeout is put off while there is something to read.
static constexpr Duration kUnreadInterval = std::chrono::milliseconds(10);
static constexpr int kMostPutOff = 100; ///< Times that a timeout is put off.

static ErrorCode toErrorCode(const error_code& ec)
{
    return ec == http::error::body_limit ? ErrorCode::TooLarge : ErrorCode::Unknown;
}

namespace {

/// A call that is queued or in flight.
struct Call {
    HttpRequest request;
    HttpHandler handler;
    std::size_t endpointsTried { 0 };
    std::optional<Clock::time_point> queueEnd {}; ///< A call that still waits for a connection then fails.
};

struct Connection {
    explicit Connection(asio::io_context& io)
        : stream(io)
        , timer(io)
    {
    }

    beast::tcp_stream stream;
    asio::steady_timer timer; ///< For the answer.
    Clock::time_point deadline; ///< Of the call, unless parts of the answer put it off.
    bool isReading { false };
    bool isTimedOut { false };
    int putOff { 0 }; ///< Times that the timeout was put off.
    beast::flat_buffer buf;
    std::string peer;
    std::string process; ///< Identity of the process at the other end; empty: not known.
    bool isGreeting { false }; ///< The greeting of the call is in flight, not the call itself.
    std::optional<Request> request;
    std::optional<Parser> parser;
    std::optional<Clock::time_point> transferEnd; ///< Set once a part of the answer has arrived.
    Call call;
};

} // namespace

// A connection that the server has closed, or that holds unsolicited data, can't be reused.
static bool isReusable(Connection& connection)
{
    error_code ec;
    tcp::socket& socket = connection.stream.socket();
    socket.non_blocking(true, ec);
    char byte = 0;
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
    return ec == asio::error::would_block && connection.buf.size() == 0;
}

/// True if the connection leads to the process that the request is for.
static bool isExpected(const Connection& connection, const HttpRequest& request)
{
    return request.expectedProcess.empty() || connection.process == request.expectedProcess;
}

class HttpClient::Impl : public std::enable_shared_from_this<HttpClient::Impl> {
public:
    Impl(asio::io_context& io, HttpClientSettings settings)
        : m_io(io)
        , m_settings(std::move(settings))
        , m_queueTimer(io)
    {
    }

    void send(Call call)
    {
        if (m_stopped)
            return;
        ConnectionPtr connection = m_waiting.empty() && hasRoom() ? acquireIdle(call.request) : nullptr;
        if (connection) {
            startOn(connection, std::move(call));
            return;
        }
        if (call.request.queueTimeout > Duration(0))
            call.queueEnd = Clock::now() + call.request.queueTimeout;
        m_waiting.push_back(std::move(call));
        watchQueue();
        asio::post(m_io, [self = shared_from_this()] { self->startWaitingCalls(); });
    }

    void stop()
    {
        m_stopped = true;
        m_waiting.clear();
        m_queueTimer.cancel();
        m_idle.clear();
        for (const ConnectionPtr& connection : m_busy) {
            connection->timer.cancel();
            connection->stream.close();
        }
        for (const ConnectionPtr& connection : m_opening)
            connection->stream.close();
    }

    std::uint64_t calls() const { return m_calls; }

private:
    using ConnectionPtr = std::shared_ptr<Connection>;

    bool hasRoom() const { return m_busy.size() < m_settings.maximumConnections; }

    /// Sets the timer to the earliest end of a wait in the queue, if there is one.
    void watchQueue()
    {
        if (m_isQueueWatched)
            return;
        std::optional<Clock::time_point> earliest;
        for (const Call& it : m_waiting) {
            if (it.queueEnd)
                earliest = std::min(earliest.value_or(*it.queueEnd), *it.queueEnd);
        }
        if (!earliest)
            return;
        m_isQueueWatched = true;
        m_queueTimer.expires_at(*earliest);
        m_queueTimer.async_wait([self = shared_from_this()](error_code ec) {
            self->m_isQueueWatched = false;
            if (!ec && !self->m_stopped)
                self->failOverdueCalls();
        });
    }

    /// What a call would do may be undone or done elsewhere by the time that a silent server is back.
    void failOverdueCalls()
    {
        Clock::time_point now = Clock::now();
        auto isInTime = [now](const Call& it) { return !it.queueEnd || now < *it.queueEnd; };
        auto begin = std::stable_partition(m_waiting.begin(), m_waiting.end(), isInTime);
        std::vector<Call> overdue(std::make_move_iterator(begin), std::make_move_iterator(m_waiting.end()));
        m_waiting.erase(begin, m_waiting.end());
        watchQueue();
        for (Call& call : overdue) {
            if (!m_stopped)
                call.handler(makeHttpError(ErrorCode::Unavailable, call.request, currentEndpoint(), asio::error::timed_out));
        }
    }

    void startWaitingCalls()
    {
        while (!m_stopped && !m_waiting.empty() && hasRoom()) {
            Call call = std::move(m_waiting.front());
            m_waiting.pop_front();
            start(std::move(call));
        }
    }

    void start(Call call)
    {
        ConnectionPtr idle = acquireIdle(call.request);
        if (idle) {
            startOn(idle, std::move(call));
            return;
        }
        ConnectionPtr connection = std::make_shared<Connection>(m_io);
        assign(connection, std::move(call));
        connect(connection);
    }

    /// Sends the call on an open connection.
    void startOn(const ConnectionPtr& connection, Call call)
    {
        assign(connection, std::move(call));
        write(connection);
    }

    void assign(const ConnectionPtr& connection, Call call)
    {
        ++m_calls;
        m_busy.push_back(connection);
        connection->call = std::move(call);
        // One deadline covers connect, request and answer: the kernel of a stopped server still
        // accepts connections and data.
        Duration timeout = connection->call.request.timeout;
        connection->deadline = Clock::now() + (timeout > Duration(0) ? timeout : m_settings.timeout);
        connection->stream.expires_at(connection->deadline);
    }

    /// Opens connections ahead of calls; see HttpClientSettings::openConnections.
    void openSpares()
    {
        if (m_settings.openConnections == 0)
            return;
        m_idle.erase(std::remove_if(m_idle.begin(), m_idle.end(), [](const ConnectionPtr& it) { return !isReusable(*it); }), m_idle.end());
        std::optional<tcp::endpoint> endpoint = parseEndpoint(currentEndpoint());
        while (endpoint && m_idle.size() + m_busy.size() + m_opening.size() < m_settings.openConnections)
            openSpare(*endpoint);
    }

    void openSpare(const tcp::endpoint& endpoint)
    {
        ConnectionPtr connection = std::make_shared<Connection>(m_io);
        connection->peer = currentEndpoint();
        connection->stream.expires_after(m_settings.timeout);
        m_opening.push_back(connection);
        connection->stream.async_connect(endpoint, [self = shared_from_this(), connection](error_code ec) {
            std::vector<ConnectionPtr>& opening = self->m_opening;
            opening.erase(std::remove(opening.begin(), opening.end(), connection), opening.end());
            bool isOfUse = !ec && !self->m_stopped && connection->peer == self->currentEndpoint();
            if (isOfUse)
                self->returnToIdle(connection);
        });
    }

    /// A connection to another process than the expected one is closed.
    ConnectionPtr acquireIdle(const HttpRequest& request)
    {
        while (!m_idle.empty()) {
            ConnectionPtr connection = m_idle.back();
            m_idle.pop_back();
            bool isSuitable = connection->process.empty() || isExpected(*connection, request);
            if (isSuitable && isReusable(*connection))
                return connection;
        }
        return nullptr;
    }

    void connect(const ConnectionPtr& connection)
    {
        connection->peer = currentEndpoint();
        std::optional<tcp::endpoint> endpoint = parseEndpoint(connection->peer);
        if (!endpoint) {
            failConnect(connection, asio::error::invalid_argument);
            return;
        }
        connection->stream.async_connect(*endpoint, [self = shared_from_this(), connection](error_code ec) {
            if (ec)
                self->failConnect(connection, ec);
            else
                self->write(connection);
        });
    }

    std::string currentEndpoint() const
    {
        if (m_settings.endpoints.empty())
            return "";
        return m_settings.endpoints[m_endpoint % m_settings.endpoints.size()];
    }

    void advanceEndpoint(const std::string& peer)
    {
        // Several calls that fail at the same endpoint advance to the next one only once.
        if (peer == currentEndpoint())
            ++m_endpoint;
        m_idle.clear();
    }

    void failConnect(const ConnectionPtr& connection, const error_code& ec)
    {
        advanceEndpoint(connection->peer);
        bool isLast = ++connection->call.endpointsTried >= m_settings.endpoints.size();
        if (isLast || m_stopped || ec == beast::error::timeout) {
            finish(connection, makeHttpError(ErrorCode::Unavailable, connection->call.request, connection->peer, ec));
            return;
        }
        connection->stream.close();
        connect(connection);
    }

    static const HttpRequest& requestInFlight(const Connection& connection)
    {
        const HttpRequest& request = connection.call.request;
        return connection.isGreeting ? *request.greeting : request;
    }

    void write(const ConnectionPtr& connection)
    {
        if (m_stopped)
            return;
        connection->isGreeting = !isExpected(*connection, connection->call.request);
        connection->request = makeMessage(requestInFlight(*connection), connection->peer);
        error_code ec;
        connection->stream.socket().set_option(tcp::no_delay(true), ec);
        http::async_write(connection->stream, *connection->request, [self = shared_from_this(), connection](error_code ec, std::size_t) {
            if (ec)
                self->failCall(connection, ec);
            else
                self->read(connection);
        });
    }

    void read(const ConnectionPtr& connection)
    {
        connection->parser.emplace();
        connection->parser->body_limit(m_settings.maximumBodyBytes);
        connection->parser->eager(true);
        connection->transferEnd.reset();
        connection->isReading = true;
        connection->putOff = 0;
        connection->stream.expires_never();
        startTimer(connection, connection->deadline);
        readSome(connection);
    }

    void startTimer(const ConnectionPtr& connection, Clock::time_point at)
    {
        connection->timer.expires_at(at);
        connection->timer.async_wait([self = shared_from_this(), connection](error_code ec) {
            // A timer that was set again may have expired before.
            if (!ec && connection->isReading && Clock::now() >= connection->timer.expiry())
                self->handleTimeout(connection);
        });
    }

    void handleTimeout(const ConnectionPtr& connection)
    {
        if (m_stopped)
            return;
        error_code ec;
        if (connection->stream.socket().available(ec) > 0 && connection->putOff++ < kMostPutOff) {
            startTimer(connection, Clock::now() + kUnreadInterval);
            return;
        }
        connection->isTimedOut = true;
        connection->stream.close();
    }

    /// Reads without http::async_read_some(), which reads only 512 bytes at a time, and goes on in one operation, with one
    /// time limit, as long as the data ends between two chunks of the answer.
    void readSome(const ConnectionPtr& connection)
    {
        connection->stream.async_read_some(connection->buf.prepare(m_settings.readBufferBytes), [self = shared_from_this(), connection](error_code ec, std::size_t n) {
            connection->buf.commit(n);
            self->parse(connection, ec && connection->isTimedOut ? error_code(beast::error::timeout) : ec);
        });
    }

    void parse(const ConnectionPtr& connection, error_code ec)
    {
        Parser& parser = *connection->parser;
        if (!ec) {
            connection->buf.consume(parser.put(connection->buf.data(), ec));
        } else if (ec == asio::error::eof && parser.got_some()) {
            ec = {};
            parser.put_eof(ec);
        }
        if (ec && ec != http::error::need_more)
            failCall(connection, ec);
        else if (parser.is_done())
            finishRead(connection);
        else
            readMore(connection);
    }

    /// A large answer over a slow link may take long, as long as it goes on to arrive.
    void readMore(const ConnectionPtr& connection)
    {
        if (m_stopped)
            return;
        if (m_settings.transferTimeout > Duration(0)) {
            Clock::time_point now = Clock::now();
            if (!connection->transferEnd)
                connection->transferEnd = now + m_settings.transferTimeout;
            startTimer(connection, std::min<Clock::time_point>(now + m_settings.timeout, *connection->transferEnd));
        }
        readSome(connection);
    }

    void failCall(const ConnectionPtr& connection, const error_code& ec)
    {
        // Until the greeting is answered the call itself has not been sent.
        ErrorCode code = connection->isGreeting ? ErrorCode::Unavailable : toErrorCode(ec);
        if (code != ErrorCode::TooLarge)
            advanceEndpoint(connection->peer);
        finish(connection, makeHttpError(code, connection->call.request, connection->peer, ec));
    }

    void finishRead(const ConnectionPtr& connection)
    {
        http::response<http::string_body> response = connection->parser->release();
        HttpReply reply { static_cast<int>(response.result_int()), std::move(response.body()) };
        const HttpRequest& request = requestInFlight(*connection);
        constexpr int kOk = 200;
        if (request.identify && connection->process.empty() && reply.status == kOk)
            connection->process = request.identify(reply);
        if (connection->isGreeting && reply.status == kOk) {
            finishGreeting(connection, response.keep_alive());
            return;
        }
        constexpr int kServerError = 500;
        if (reply.status >= kServerError)
            advanceEndpoint(connection->peer);
        else if (response.keep_alive())
            returnToIdle(connection);
        finish(connection, std::move(reply));
        if (!m_stopped)
            openSpares();
    }

    void finishGreeting(const ConnectionPtr& connection, bool isKept)
    {
        if (isKept && isExpected(*connection, connection->call.request)) {
            write(connection);
            return;
        }
        if (isKept)
            returnToIdle(connection);
        finish(connection, makeHttpError(ErrorCode::Unavailable, connection->call.request, connection->peer, asio::error::connection_refused));
    }

    void returnToIdle(const ConnectionPtr& connection)
    {
        connection->stream.expires_never();
        m_idle.push_back(connection);
    }

    void finish(const ConnectionPtr& connection, Result<HttpReply> result)
    {
        m_busy.erase(std::remove(m_busy.begin(), m_busy.end(), connection), m_busy.end());
        connection->isReading = false;
        connection->timer.cancel();
        if (m_stopped)
            return;
        Call call = std::move(connection->call);
        startWaitingCalls();
        call.handler(std::move(result));
    }

    asio::io_context& m_io;
    HttpClientSettings m_settings;
    std::deque<Call> m_waiting;
    asio::steady_timer m_queueTimer; ///< For the calls that wait no longer than a limit.
    bool m_isQueueWatched { false };
    std::vector<ConnectionPtr> m_idle;
    std::vector<ConnectionPtr> m_busy;
    std::vector<ConnectionPtr> m_opening; ///< Without a call yet.
    std::size_t m_endpoint { 0 };
    std::uint64_t m_calls { 0 };
    bool m_stopped { false };
};

HttpClient::HttpClient(asio::io_context& io, HttpClientSettings settings)
    : m_impl(std::make_shared<Impl>(io, std::move(settings)))
{
}

HttpClient::~HttpClient() { stop(); }

void HttpClient::send(HttpRequest request, HttpHandler handler)
{
    m_impl->send({ std::move(request), std::move(handler) });
}

void HttpClient::stop() { m_impl->stop(); }

std::uint64_t HttpClient::calls() const { return m_impl->calls(); }

} // namespace crocuslever
