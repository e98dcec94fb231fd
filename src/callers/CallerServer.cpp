#include "src/callers/CallerServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/bind_handler.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>

#include "src/callers/CallerAnswers.h"
#include "src/callers/CallerRequests.h"

namespace crocuslever {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = net::ip::tcp;

static constexpr CallId kLastFirstCall = CallId(1) << 62; ///< Leaves room for the calls of a process.
// Closing a socket that has unread input sends a reset, which can discard the answer before the
// caller reads it. Input that arrives after the answer is therefore read and dropped first, up to
// this time and size.
static constexpr std::chrono::seconds kCloseGracePeriod { 1 };
static constexpr std::size_t kMaximumDiscardedBytes = 1 << 20;
// This many connections above the limit get a 503 answer; further ones are closed without one.
static constexpr std::size_t kMaximumRefusedConnections = 64;
static constexpr std::chrono::milliseconds kAcceptRetryDelay { 100 };
static constexpr std::size_t kReadSize = 4096;
static constexpr unsigned kHttp11 = 11;

namespace {

class Connection;

struct PendingCall {
    std::shared_ptr<Connection> connection;
    CallKind kind { CallKind::Urgent };
};

} // namespace

/// Calls are numbered from here. Peers answer with the number alone, so that the next process at this address must not use
/// those of its predecessor, whose answers may still be on their way.
static CallId randomFirstCall()
{
    std::random_device device;
    return std::uniform_int_distribution<CallId>(1, kLastFirstCall)(device);
}

struct CallerServerState : std::enable_shared_from_this<CallerServerState> {
    CallerServerState(net::io_context& context, CallerServerSettings serverSettings, EventSink eventSink, CallerServerSources serverSources)
        : settings(std::move(serverSettings))
        , sink(std::move(eventSink))
        , sources(std::move(serverSources))
        , acceptor(context)
        , acceptTimer(context)
    {
    }

    void accept();
    void onAccept(error_code, tcp::socket);
    void addConnection(tcp::socket);
    void acceptBacklog();
    void closeIdle(bool includeUnused);
    void scheduleUnusedClose();

    CallerServerSettings settings;
    EventSink sink;
    CallerServerSources sources;
    tcp::acceptor acceptor;
    net::steady_timer acceptTimer;
    std::set<Connection*> connections;
    std::unordered_map<CallId, PendingCall> calls;
    CallId nextCall { randomFirstCall() };
    bool draining { false };
    std::int64_t requests { 0 };
    std::int64_t refused { 0 };
    std::int64_t malformed { 0 };
    std::int64_t gone { 0 };
    std::int64_t repliesDropped { 0 };
};

namespace {

/// A caller's connection. Handles one request at a time: the next is read after the answer is sent.
class Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(tcp::socket socket, std::shared_ptr<CallerServerState> state)
        : m_state(std::move(state))
        , m_stream(std::move(socket))
    {
        m_state->connections.insert(this);
    }

    ~Connection() { m_state->connections.erase(this); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    void awaitRequest();
    void refuse();
    void answer(CallerHttpAnswer);
    /// Closes the connection if it is idle between two requests or, with `includeUnused`, if it has not
    /// sent its first request yet.
    void closeIfIdle(bool includeUnused);
    void close();
    bool isBusy() const { return m_phase != Phase::Closed && !(m_phase == Phase::Idle && m_used); }

private:
    enum class Phase {
        Idle, ///< No request has begun.
        Reading,
        Waiting, ///< The core has not replied yet.
        Writing,
        DiscardingInput, ///< Last answer sent; further input is read and dropped.
        Closed,
    };

    void onFirstBytes(error_code, std::size_t);
    void readHeader();
    void onHeader(error_code, std::size_t);
    void sendContinue();
    void readBody();
    void onRequest(error_code, std::size_t);
    void failRead(error_code);
    void dispatch(const CallerHttpRequest&);
    bool answerOperational(const std::string& method, const std::string& target);
    void startCall(CallerCall);
    void watchForClose();
    void onReadable(error_code, CallId);
    bool isCallerGone(bool& hasData);
    void abandonCall();
    void onWritten(error_code, std::size_t);
    void discardInput();
    void onInputDiscarded(error_code, std::size_t);

    std::shared_ptr<CallerServerState> m_state;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    http::response<http::string_body> m_response;
    Phase m_phase { Phase::Idle };
    CallId m_call { 0 };
    bool m_keepAlive { false };
    bool m_isHead { false };
    bool m_used { false }; ///< At least one request has been read.
    std::size_t m_discardedBytes { 0 };
};

void Connection::awaitRequest()
{
    if (m_buffer.size() > 0)
        return readHeader(); // A pipelined request is buffered already.
    m_phase = Phase::Idle;
    m_stream.expires_after(m_state->settings.idleTimeout);
    m_stream.async_read_some(m_buffer.prepare(kReadSize), beast::bind_front_handler(&Connection::onFirstBytes, shared_from_this()));
}

void Connection::onFirstBytes(error_code ec, std::size_t n)
{
    if (ec)
        return close();
    m_buffer.commit(n);
    readHeader();
}

void Connection::readHeader()
{
    m_phase = Phase::Reading;
    m_keepAlive = false;
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(m_state->settings.maximumHeaderBytes));
    m_parser->body_limit(static_cast<std::uint64_t>(m_state->settings.maximumBodyBytes));
    m_stream.expires_after(m_state->settings.readTimeout);
    http::async_read_header(m_stream, m_buffer, *m_parser, beast::bind_front_handler(&Connection::onHeader, shared_from_this()));
}

void Connection::onHeader(error_code ec, std::size_t)
{
    if (ec)
        return failRead(ec);
    if (beast::iequals(m_parser->get()[http::field::expect], "100-continue"))
        return sendContinue();
    readBody();
}

void Connection::sendContinue()
{
    static const std::string kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    auto onSent = [self = shared_from_this()](error_code ec, std::size_t) {
        if (ec)
            return self->close();
        self->readBody();
    };
    net::async_write(m_stream, net::buffer(kContinue), onSent);
}

void Connection::readBody()
{
    http::async_read(m_stream, m_buffer, *m_parser, beast::bind_front_handler(&Connection::onRequest, shared_from_this()));
}

static CallerHttpAnswer readErrorAnswer(error_code ec)
{
    constexpr int kBadRequest = 400;
    constexpr int kTooLarge = 413;
    constexpr int kHeadersTooLarge = 431;
    if (ec == http::error::body_limit)
        return formatRefusal(kTooLarge, CallOutcome::Invalid, RefusalReason::BadRequest, "the body is too large");
    if (ec == http::error::header_limit || ec == http::error::buffer_overflow)
        return formatRefusal(kHeadersTooLarge, CallOutcome::Invalid, RefusalReason::BadRequest, "the headers are too large");
    return formatRefusal(kBadRequest, CallOutcome::Invalid, RefusalReason::BadRequest, "not HTTP: " + ec.message());
}

void Connection::failRead(error_code ec)
{
    bool isHttpFault = ec.category() == http::make_error_code(http::error::bad_method).category();
    if (!isHttpFault || ec == http::error::end_of_stream || ec == http::error::partial_message)
        return close();
    ++m_state->malformed;
    m_keepAlive = false;
    answer(readErrorAnswer(ec));
}

void Connection::onRequest(error_code ec, std::size_t)
{
    if (ec)
        return failRead(ec);
    http::request<http::string_body> message = m_parser->release();
    m_keepAlive = message.keep_alive();
    m_isHead = message.method() == http::verb::head;
    m_used = true;
    ++m_state->requests;
    CallerHttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.authorization = std::string(message[http::field::authorization]);
    request.body = std::move(message.body());
    dispatch(request);
}

void Connection::dispatch(const CallerHttpRequest& request)
{
    m_phase = Phase::Waiting;
    if (answerOperational(request.method, request.target))
        return;
    std::variant<CallerCall, CallerHttpAnswer> parsed = parseCallerRequest(request);
    if (CallerHttpAnswer* refusal = std::get_if<CallerHttpAnswer>(&parsed))
        return answer(std::move(*refusal));
    startCall(std::move(std::get<CallerCall>(parsed)));
}

static CallerHttpAnswer textAnswer(int status, std::string text)
{
    CallerHttpAnswer answer;
    answer.status = status;
    answer.contentType = "text/plain; charset=utf-8";
    answer.body = std::move(text);
    return answer;
}

static CallerHttpAnswer readyAnswer(bool isReady)
{
    constexpr int kNotReady = 503;
    return isReady ? textAnswer(200, "ready\n") : textAnswer(kNotReady, "not ready\n");
}

static CallerHttpAnswer statusAnswer(std::string json)
{
    CallerHttpAnswer answer = textAnswer(200, std::move(json));
    answer.contentType = "application/json";
    return answer;
}

bool Connection::answerOperational(const std::string& method, const std::string& target)
{
    if (method != "GET" && method != "HEAD")
        return false;
    const CallerServerSources& sources = m_state->sources;
    if (target == "/healthz")
        answer(textAnswer(200, "ok\n"));
    else if (target == "/readyz")
        answer(readyAnswer(sources.isReady()));
    else if (target == "/metrics")
        answer(textAnswer(200, sources.metrics()));
    else if (target == "/status")
        answer(statusAnswer(sources.status()));
    else
        return false;
    return true;
}

static CallerHttpAnswer overloaded(const std::string& message)
{
    constexpr int kStatus = 503;
    return formatRefusal(kStatus, CallOutcome::NotRun, RefusalReason::Overloaded, message);
}

void Connection::startCall(CallerCall call)
{
    if (m_state->calls.size() >= static_cast<std::size_t>(m_state->settings.maximumCalls)) {
        ++m_state->refused;
        return answer(overloaded("too many calls in flight; not run"));
    }
    call.id = m_state->nextCall++;
    m_call = call.id;
    m_state->calls[call.id] = { shared_from_this(), kindOf(call) };
    watchForClose();
    m_state->sink(std::move(call));
}

void Connection::watchForClose()
{
    auto onReady = [self = shared_from_this(), call = m_call](error_code ec) { self->onReadable(ec, call); };
    m_stream.socket().async_wait(tcp::socket::wait_read, onReady);
}

bool Connection::isCallerGone(bool& hasData)
{
    char c = 0;
    error_code ec;
    m_stream.socket().non_blocking(true, ec);
    m_stream.socket().receive(net::buffer(&c, 1), tcp::socket::message_peek, ec);
    hasData = !ec;
    return ec && ec != net::error::would_block && ec != net::error::try_again;
}

void Connection::onReadable(error_code ec, CallId call)
{
    // A wait can outlive its call. The data then belongs to the next request, which is read as usual.
    if (m_phase != Phase::Waiting || call != m_call)
        return;
    bool hasData = false;
    if (ec || isCallerGone(hasData))
        return abandonCall();
    // A pipelined request stays unread until this call is answered. Until then the socket stays
    // readable, so only a failed write can reveal that the caller has disconnected.
    if (!hasData)
        watchForClose();
}

void Connection::abandonCall()
{
    CallId call = m_call;
    ++m_state->gone;
    m_state->calls.erase(call);
    close();
    m_state->sink(CallerGone { call });
}

void Connection::answer(CallerHttpAnswer answer)
{
    m_phase = Phase::Writing;
    m_response = {};
    m_response.version(kHttp11);
    m_response.result(static_cast<unsigned>(answer.status));
    m_response.set(http::field::content_type, answer.contentType);
    for (const auto& [name, value] : answer.headers)
        m_response.set(name, value);
    m_response.keep_alive(m_keepAlive && !m_state->draining);
    m_response.body() = m_isHead ? std::string() : std::move(answer.body);
    m_response.prepare_payload();
    m_stream.expires_after(m_state->settings.writeTimeout);
    http::async_write(m_stream, m_response, beast::bind_front_handler(&Connection::onWritten, shared_from_this()));
}

void Connection::refuse()
{
    ++m_state->refused;
    answer(overloaded("too many connections; not run"));
}

void Connection::onWritten(error_code ec, std::size_t)
{
    if (ec)
        return close();
    if (!m_response.keep_alive())
        return discardInput();
    awaitRequest();
}

void Connection::discardInput()
{
    error_code ec;
    m_phase = Phase::DiscardingInput;
    m_stream.socket().shutdown(tcp::socket::shutdown_send, ec);
    if (ec)
        return close();
    m_buffer.clear();
    m_stream.expires_after(kCloseGracePeriod);
    m_stream.async_read_some(m_buffer.prepare(kReadSize), beast::bind_front_handler(&Connection::onInputDiscarded, shared_from_this()));
}

void Connection::onInputDiscarded(error_code ec, std::size_t n)
{
    m_discardedBytes += n;
    if (ec || m_discardedBytes > kMaximumDiscardedBytes)
        return close();
    // The deadline that discardInput() set applies to all of these reads together.
    m_stream.async_read_some(m_buffer.prepare(kReadSize), beast::bind_front_handler(&Connection::onInputDiscarded, shared_from_this()));
}

void Connection::closeIfIdle(bool includeUnused)
{
    if (m_phase != Phase::Idle || (!m_used && !includeUnused))
        return;
    // A request that is already in the socket's buffer is still served.
    error_code ec;
    if (m_stream.socket().available(ec) > 0)
        return;
    close();
}

void Connection::close()
{
    m_phase = Phase::Closed;
    m_stream.close();
}

} // namespace

void CallerServerState::accept()
{
    acceptor.async_accept([self = shared_from_this()](error_code ec, tcp::socket socket) { self->onAccept(ec, std::move(socket)); });
}

void CallerServerState::onAccept(error_code ec, tcp::socket socket)
{
    if (!acceptor.is_open())
        return;
    if (!ec) {
        addConnection(std::move(socket));
        return accept();
    }
    // The process is probably out of file descriptors; an immediate retry would spin.
    acceptTimer.expires_after(kAcceptRetryDelay);
    acceptTimer.async_wait([self = shared_from_this()](error_code failed) {
        if (!failed && self->acceptor.is_open())
            self->accept();
    });
}

void CallerServerState::addConnection(tcp::socket socket)
{
    std::size_t limit = static_cast<std::size_t>(settings.maximumConnections);
    if (connections.size() >= limit + kMaximumRefusedConnections) {
        ++refused;
        return;
    }
    error_code ec;
    socket.set_option(tcp::no_delay(true), ec);
    bool isOverLimit = connections.size() >= limit;
    std::shared_ptr<Connection> connection = std::make_shared<Connection>(std::move(socket), shared_from_this());
    if (isOverLimit)
        connection->refuse();
    else
        connection->awaitRequest();
}

void CallerServerState::acceptBacklog()
{
    // Closing the acceptor would reset connections that are still in the kernel's backlog.
    error_code ec;
    acceptor.non_blocking(true, ec);
    while (!ec) {
        tcp::socket socket(acceptor.get_executor());
        acceptor.accept(socket, ec);
        if (!ec)
            addConnection(std::move(socket));
    }
}

void CallerServerState::closeIdle(bool includeUnused)
{
    std::set<Connection*> snapshot = connections;
    for (Connection* connection : snapshot)
        connection->closeIfIdle(includeUnused);
}

void CallerServerState::scheduleUnusedClose()
{
    // A caller that has just connected is about to send its first request.
    acceptTimer.expires_after(kCloseGracePeriod);
    acceptTimer.async_wait([self = shared_from_this()](error_code ec) {
        if (!ec)
            self->closeIdle(true);
    });
}

CallerServer::CallerServer(net::io_context& context, CallerServerSettings settings, EventSink sink, CallerServerSources sources)
    : m_state(std::make_shared<CallerServerState>(context, std::move(settings), std::move(sink), std::move(sources)))
{
}

CallerServer::~CallerServer() { stop(); }

static tcp::endpoint parseEndpoint(const std::string& address, error_code& ec)
{
    std::size_t colon = address.rfind(':');
    std::string host = address.substr(0, colon);
    if (host.size() > 2 && host.front() == '[')
        host = host.substr(1, host.size() - 2);
    net::ip::address ip = net::ip::make_address(host, ec);
    int port = colon == std::string::npos ? 0 : std::atoi(address.c_str() + colon + 1);
    return { ip, static_cast<std::uint16_t>(port) };
}

static void openAcceptor(tcp::acceptor& acceptor, const std::string& address, error_code& ec)
{
    tcp::endpoint endpoint = parseEndpoint(address, ec);
    if (!ec)
        acceptor.open(endpoint.protocol(), ec);
    if (!ec)
        acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec)
        acceptor.bind(endpoint, ec);
    if (!ec)
        acceptor.listen(net::socket_base::max_listen_connections, ec);
}

Result<void> CallerServer::open()
{
    error_code ec;
    openAcceptor(m_state->acceptor, m_state->settings.listenAddress, ec);
    if (ec)
        return Error { ErrorCode::Unavailable, "callers.listen", m_state->settings.listenAddress, ec.message() };
    m_state->accept();
    return boost::outcome_v2::success();
}

std::uint16_t CallerServer::port() const
{
    error_code ec;
    return m_state->acceptor.local_endpoint(ec).port();
}

void CallerServer::reply(const CallerReply& reply)
{
    auto it = m_state->calls.find(reply.id);
    if (it == m_state->calls.end()) {
        ++m_state->repliesDropped;
        return;
    }
    PendingCall pending = it->second;
    m_state->calls.erase(it);
    pending.connection->answer(formatReply(reply, pending.kind));
}

void CallerServer::beginDraining() { m_state->draining = true; }

void CallerServer::stopAccepting()
{
    beginDraining();
    error_code ec;
    m_state->acceptBacklog();
    m_state->acceptor.close(ec);
    m_state->closeIdle(false);
    m_state->scheduleUnusedClose();
}

bool CallerServer::isDrained() const
{
    for (const Connection* connection : m_state->connections) {
        if (connection->isBusy())
            return false;
    }
    return true;
}

void CallerServer::stop()
{
    error_code ec;
    m_state->acceptor.close(ec);
    m_state->acceptTimer.cancel();
    std::unordered_map<CallId, PendingCall> calls = std::move(m_state->calls);
    m_state->calls.clear();
    std::set<Connection*> snapshot = m_state->connections;
    for (Connection* connection : snapshot)
        connection->close();
}

void CallerServer::report(Counters& counters) const
{
    counters.set("caller_connections", static_cast<std::int64_t>(m_state->connections.size()));
    counters.set("caller_calls_in_flight", static_cast<std::int64_t>(m_state->calls.size()));
    counters.set("caller_requests_total", m_state->requests);
    counters.set("caller_refused_total", m_state->refused);
    counters.set("caller_malformed_total", m_state->malformed);
    counters.set("caller_gone_total", m_state->gone);
    counters.set("caller_replies_dropped_total", m_state->repliesDropped);
}

} // namespace crocuslever
