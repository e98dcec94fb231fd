#include "src/upstream/HttpPool.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <sys/socket.h>
#include <vector>

#include "src/http/Endpoint.h"

namespace crocuslever {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

static constexpr std::size_t kMaximumWaitingExchanges = 1024; ///< Per address.
static constexpr std::uint32_t kMaximumHeaderBytes = 16384;
static constexpr Duration kIdleTimeout = std::chrono::seconds(20); ///< Then an idle connection is closed.
static constexpr Duration kSweepInterval = std::chrono::seconds(5);

static std::string makeRandomIdPrefix()
{
    std::random_device device;
    return std::to_string((static_cast<std::uint64_t>(device()) << 32) | device());
}

namespace {

struct Connection;

enum class Phase {
    Waiting, ///< Queued for a connection.
    Connecting,
    Sent, ///< Bytes of the request may have been sent.
    Done,
};

struct Exchange {
    Exchange(asio::io_context& context, HttpExchange exchange)
        : call(std::move(exchange))
        , timer(context)
    {
    }

    HttpExchange call;
    std::string id;
    asio::steady_timer timer;
    Phase phase { Phase::Waiting };
    std::weak_ptr<Connection> connection;
};

struct Connection {
    explicit Connection(asio::io_context& context)
        : socket(context)
    {
    }

    void close()
    {
        error_code ec;
        socket.close(ec);
    }

    Tcp::socket socket;
    boost::beast::flat_buffer buf;
    http::request<http::string_body> request;
    std::optional<http::response_parser<http::string_body>> parser;
    std::shared_ptr<Exchange> exchange;
    bool reused { false };
    std::chrono::steady_clock::time_point idleSince;
};

/// Connections and queued exchanges of one address.
struct AddressPool {
    std::vector<std::shared_ptr<Connection>> all;
    std::vector<std::shared_ptr<Connection>> idle; ///< Subset of `all`, most recently used last.
    std::deque<std::shared_ptr<Exchange>> waiting;
};

using ConnectionPtr = std::shared_ptr<Connection>;
using ExchangePtr = std::shared_ptr<Exchange>;

} // namespace

/// True if the upstream has neither closed the connection nor sent unsolicited data.
static bool isReusable(Connection& connection)
{
    char byte = 0;
    ssize_t n = ::recv(connection.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

template <typename T>
static void removeFrom(std::vector<T>& items, const T& item)
{
    items.erase(std::remove(items.begin(), items.end(), item), items.end());
}

class HttpPool::Impl : public std::enable_shared_from_this<HttpPool::Impl> {
public:
    Impl(asio::io_context& context, int connectionsPerAddress)
        : m_context(context)
        , m_sweepTimer(context)
        , m_connectionsPerAddress(static_cast<std::size_t>(connectionsPerAddress))
        , m_idPrefix(makeRandomIdPrefix())
    {
    }

    void send(HttpExchange);
    void stop();
    void scheduleSweep();

private:
    void armTimer(const ExchangePtr&);
    void handleTimeout(const ExchangePtr&);
    void startWaitingExchanges(const std::string& address);
    ConnectionPtr acquireIdle(AddressPool&);
    void connect(const ConnectionPtr&);
    void write(const ConnectionPtr&);
    void handleWritten(const ConnectionPtr&, error_code, std::size_t bytes);
    void read(const ConnectionPtr&);
    void readBody(const ConnectionPtr&, error_code);
    void handleRead(const ConnectionPtr&, error_code);
    bool isMatchingAnswer(const Connection&) const;
    bool complete(const ExchangePtr&, HttpOutcome, const UpstreamHttpAnswer&);
    void fail(const ConnectionPtr&, HttpOutcome);
    void discard(const ConnectionPtr&, const std::string& address);
    void sweep();

    asio::io_context& m_context;
    asio::steady_timer m_sweepTimer;
    std::size_t m_connectionsPerAddress;
    std::string m_idPrefix; ///< Makes exchange ids unique across instances.
    std::uint64_t m_calls { 0 };
    std::map<std::string, AddressPool> m_pools;
    bool m_stopped { false };
};

void HttpPool::Impl::send(HttpExchange call)
{
    std::string address = call.address;
    ExchangePtr exchange = std::make_shared<Exchange>(m_context, std::move(call));
    exchange->id = m_idPrefix + "-" + std::to_string(++m_calls);
    AddressPool& pool = m_pools[address];
    if (m_stopped || pool.waiting.size() >= kMaximumWaitingExchanges || !parseEndpoint(address)) {
        asio::post(m_context, [self = shared_from_this(), exchange] { self->complete(exchange, HttpOutcome::NotSent, {}); });
        return;
    }
    armTimer(exchange);
    pool.waiting.push_back(exchange);
    startWaitingExchanges(address);
}

void HttpPool::Impl::armTimer(const ExchangePtr& exchange)
{
    exchange->timer.expires_after(exchange->call.timeout);
    exchange->timer.async_wait([self = shared_from_this(), exchange](error_code ec) {
        if (!ec)
            self->handleTimeout(exchange);
    });
}

void HttpPool::Impl::handleTimeout(const ExchangePtr& exchange)
{
    if (m_stopped || exchange->phase == Phase::Done)
        return;
    if (ConnectionPtr connection = exchange->connection.lock()) {
        fail(connection, exchange->phase == Phase::Sent ? HttpOutcome::NoAnswer : HttpOutcome::NotSent);
        return;
    }
    std::deque<ExchangePtr>& waiting = m_pools[exchange->call.address].waiting;
    waiting.erase(std::remove(waiting.begin(), waiting.end(), exchange), waiting.end());
    complete(exchange, HttpOutcome::NotSent, {});
}

void HttpPool::Impl::startWaitingExchanges(const std::string& address)
{
    AddressPool& pool = m_pools[address];
    while (!m_stopped && !pool.waiting.empty()) {
        ConnectionPtr connection = acquireIdle(pool);
        if (!connection && pool.all.size() >= m_connectionsPerAddress)
            return;
        ExchangePtr exchange = pool.waiting.front();
        pool.waiting.pop_front();
        if (connection) {
            connection->exchange = exchange;
            exchange->connection = connection;
            write(connection);
            continue;
        }
        connection = std::make_shared<Connection>(m_context);
        pool.all.push_back(connection);
        connection->exchange = exchange;
        exchange->connection = connection;
        connect(connection);
    }
}

ConnectionPtr HttpPool::Impl::acquireIdle(AddressPool& pool)
{
    while (!pool.idle.empty()) {
        ConnectionPtr connection = pool.idle.back();
        pool.idle.pop_back();
        if (isReusable(*connection)) {
            connection->reused = true;
            return connection;
        }
        connection->close();
        removeFrom(pool.all, connection);
    }
    return nullptr;
}

void HttpPool::Impl::connect(const ConnectionPtr& connection)
{
    connection->exchange->phase = Phase::Connecting;
    Tcp::endpoint endpoint = *parseEndpoint(connection->exchange->call.address);
    connection->socket.async_connect(endpoint, [self = shared_from_this(), connection](error_code ec) {
        if (self->m_stopped || !connection->exchange)
            return;
        if (ec) {
            self->fail(connection, HttpOutcome::NotSent);
            return;
        }
        connection->socket.set_option(Tcp::no_delay(true), ec);
        self->write(connection);
    });
}

void HttpPool::Impl::write(const ConnectionPtr& connection)
{
    Exchange& exchange = *connection->exchange;
    exchange.phase = Phase::Sent;
    http::request<http::string_body>& request = connection->request;
    request = {};
    request.version(11);
    request.method(http::verb::post);
    request.target(exchange.call.request.target);
    request.set(http::field::host, exchange.call.address);
    request.set(kCallIdHeader, exchange.id);
    if (!exchange.call.request.metadata.empty())
        request.set(kMetadataHeader, exchange.call.request.metadata);
    request.body() = exchange.call.request.body;
    request.prepare_payload();
    http::async_write(connection->socket, request, [self = shared_from_this(), connection](error_code ec, std::size_t bytes) {
        self->handleWritten(connection, ec, bytes);
    });
}

void HttpPool::Impl::handleWritten(const ConnectionPtr& connection, error_code ec, std::size_t bytes)
{
    if (m_stopped || !connection->exchange)
        return;
    if (!ec) {
        read(connection);
        return;
    }
    if (bytes > 0 || !connection->reused) {
        fail(connection, bytes > 0 ? HttpOutcome::NoAnswer : HttpOutcome::NotSent);
        return;
    }
    // The upstream had closed the reused connection and no byte was sent, so a retry is safe.
    ExchangePtr exchange = std::move(connection->exchange);
    std::string address = exchange->call.address;
    exchange->phase = Phase::Waiting;
    exchange->connection.reset();
    m_pools[address].waiting.push_front(exchange);
    discard(connection, address);
}

void HttpPool::Impl::read(const ConnectionPtr& connection)
{
    connection->parser.emplace();
    connection->parser->header_limit(kMaximumHeaderBytes);
    connection->parser->body_limit(static_cast<std::uint64_t>(connection->exchange->call.maximumBodyBytes));
    // The header is read separately, because Beast 1.74 loses the error of a body above the limit
    // if header and body arrive together.
    http::async_read_header(connection->socket, connection->buf, *connection->parser,
        [self = shared_from_this(), connection](error_code ec, std::size_t) { self->readBody(connection, ec); });
}

void HttpPool::Impl::readBody(const ConnectionPtr& connection, error_code ec)
{
    if (m_stopped || !connection->exchange)
        return;
    if (ec) {
        fail(connection, HttpOutcome::NoAnswer);
        return;
    }
    http::async_read(connection->socket, connection->buf, *connection->parser,
        [self = shared_from_this(), connection](error_code bodyEc, std::size_t) { self->handleRead(connection, bodyEc); });
}

bool HttpPool::Impl::isMatchingAnswer(const Connection& connection) const
{
    const http::response<http::string_body>& answer = connection.parser->get();
    // An answer that is delimited by the end of the connection could be truncated unnoticed.
    return !answer.need_eof() && answer[kCallIdHeader] == connection.exchange->id;
}

void HttpPool::Impl::handleRead(const ConnectionPtr& connection, error_code ec)
{
    if (m_stopped || !connection->exchange)
        return;
    if (ec || !isMatchingAnswer(*connection)) {
        fail(connection, HttpOutcome::NoAnswer);
        return;
    }
    http::response<http::string_body> message = connection->parser->release();
    UpstreamHttpAnswer answer { static_cast<int>(message.result_int()), std::string(message[kMetadataHeader]), std::move(message.body()) };
    ExchangePtr exchange = std::move(connection->exchange);
    std::string address = exchange->call.address;
    bool isAccepted = complete(exchange, HttpOutcome::Answered, answer);
    if (m_stopped)
        return;
    if (!isAccepted || !message.keep_alive() || connection->buf.size() > 0) {
        discard(connection, address);
        return;
    }
    connection->idleSince = std::chrono::steady_clock::now();
    m_pools[address].idle.push_back(connection);
    startWaitingExchanges(address);
}

bool HttpPool::Impl::complete(const ExchangePtr& exchange, HttpOutcome outcome, const UpstreamHttpAnswer& answer)
{
    if (m_stopped || exchange->phase == Phase::Done)
        return false;
    exchange->phase = Phase::Done;
    exchange->timer.cancel();
    HttpCompletion completion = std::move(exchange->call.completion);
    return completion(outcome, answer);
}

void HttpPool::Impl::fail(const ConnectionPtr& connection, HttpOutcome outcome)
{
    ExchangePtr exchange = std::move(connection->exchange);
    std::string address = exchange->call.address;
    complete(exchange, outcome, {});
    discard(connection, address);
}

void HttpPool::Impl::discard(const ConnectionPtr& connection, const std::string& address)
{
    connection->close();
    removeFrom(m_pools[address].all, connection);
    startWaitingExchanges(address);
}

void HttpPool::Impl::scheduleSweep()
{
    m_sweepTimer.expires_after(kSweepInterval);
    m_sweepTimer.async_wait([weak = weak_from_this()](error_code ec) {
        std::shared_ptr<Impl> self = weak.lock();
        if (!ec && self && !self->m_stopped)
            self->sweep();
    });
}

void HttpPool::Impl::sweep()
{
    std::chrono::steady_clock::time_point limit = std::chrono::steady_clock::now() - kIdleTimeout;
    for (auto it = m_pools.begin(); it != m_pools.end();) {
        AddressPool& pool = it->second;
        // Connections are ordered by last use, oldest first.
        while (!pool.idle.empty() && pool.idle.front()->idleSince < limit) {
            ConnectionPtr connection = pool.idle.front();
            pool.idle.erase(pool.idle.begin());
            connection->close();
            removeFrom(pool.all, connection);
        }
        bool isUnused = pool.all.empty() && pool.waiting.empty();
        it = isUnused ? m_pools.erase(it) : std::next(it);
    }
    scheduleSweep();
}

void HttpPool::Impl::stop()
{
    m_stopped = true;
    m_sweepTimer.cancel();
    for (auto& [address, pool] : m_pools) {
        for (const ExchangePtr& exchange : pool.waiting)
            exchange->timer.cancel();
        for (const ConnectionPtr& connection : pool.all) {
            if (connection->exchange)
                connection->exchange->timer.cancel();
            connection->close();
        }
    }
    m_pools.clear();
}

HttpPool::HttpPool(asio::io_context& context, int connectionsPerAddress)
    : m_impl(std::make_shared<Impl>(context, connectionsPerAddress))
{
    m_impl->scheduleSweep();
}

HttpPool::~HttpPool() { m_impl->stop(); }

void HttpPool::send(HttpExchange exchange) { m_impl->send(std::move(exchange)); }

void HttpPool::stop() { m_impl->stop(); }

} // namespace crocuslever
