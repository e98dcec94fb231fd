#include "tools/crocusload/CallerClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <vector>

namespace crocuslever::load {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using ErrorCondition = boost::system::error_code;

/// Measured from connect to the end of the answer.
static constexpr Duration kCallTimeout = std::chrono::seconds(10);
/// Idle connections are not reused after this time, which is well below the time after which entry
/// instances close them.
static constexpr Duration kIdleLimit = std::chrono::seconds(20);

namespace {

struct Connection {
    explicit Connection(asio::io_context& context)
        : stream(context)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buf;
    http::request<http::string_body> request;
    http::response<http::string_body> response;
    std::string address;
    CallerClient::Handler handler;
    bool connected { false };
    TimePoint idleSince;
};

using ConnectionPtr = std::shared_ptr<Connection>;

} // namespace

static Tcp::endpoint parseEndpoint(const std::string& address, ErrorCondition& ec)
{
    constexpr int kMaximumPort = 65535;
    std::size_t colon = address.rfind(':');
    int port = colon == std::string::npos ? 0 : std::atoi(address.c_str() + colon + 1);
    asio::ip::address ip = asio::ip::make_address(address.substr(0, colon), ec);
    if (!ec && (port <= 0 || port > kMaximumPort))
        ec = asio::error::invalid_argument;
    return { ip, static_cast<std::uint16_t>(port) };
}

static http::request<http::string_body> makeRequest(CallerRequest call)
{
    constexpr int kHttp11 = 11;
    http::request<http::string_body> request;
    request.version(kHttp11);
    request.method_string(call.method);
    request.target(call.target);
    request.set(http::field::host, call.address);
    if (!call.key.empty())
        request.set(http::field::authorization, "Bearer " + call.key);
    request.body() = std::move(call.body);
    request.prepare_payload();
    return request;
}

class CallerClient::Impl {
public:
    void send(CallerRequest, Handler);
    void scheduleAt(TimePoint, std::function<void()>);

    asio::io_context context { 1 };

private:
    ConnectionPtr popIdleConnection(const std::string& address);
    void connect(const ConnectionPtr&);
    void write(const ConnectionPtr&);
    void read(const ConnectionPtr&);
    void complete(const ConnectionPtr&, ErrorCondition);

    std::map<std::string, std::vector<ConnectionPtr>> m_idle;
};

void CallerClient::Impl::send(CallerRequest call, Handler handler)
{
    std::string address = call.address;
    ConnectionPtr connection = popIdleConnection(address);
    bool isNew = connection == nullptr;
    if (isNew)
        connection = std::make_shared<Connection>(context);
    connection->address = address;
    connection->request = makeRequest(std::move(call));
    connection->handler = std::move(handler);
    connection->stream.expires_after(kCallTimeout);
    if (isNew)
        connect(connection);
    else
        write(connection);
}

ConnectionPtr CallerClient::Impl::popIdleConnection(const std::string& address)
{
    std::vector<ConnectionPtr>& idle = m_idle[address];
    while (!idle.empty()) {
        ConnectionPtr connection = idle.back();
        idle.pop_back();
        if (now() - connection->idleSince < kIdleLimit)
            return connection;
    }
    return nullptr;
}

void CallerClient::Impl::connect(const ConnectionPtr& connection)
{
    ErrorCondition ec;
    Tcp::endpoint endpoint = parseEndpoint(connection->address, ec);
    if (ec) {
        asio::post(context, [this, connection, ec] { complete(connection, ec); });
        return;
    }
    connection->stream.async_connect(endpoint, [this, connection](ErrorCondition connectEc) {
        if (connectEc)
            return complete(connection, connectEc);
        connection->connected = true;
        connection->stream.socket().set_option(Tcp::no_delay(true), connectEc);
        write(connection);
    });
}

void CallerClient::Impl::write(const ConnectionPtr& connection)
{
    http::async_write(connection->stream, connection->request, [this, connection](ErrorCondition ec, std::size_t) {
        if (ec)
            return complete(connection, ec);
        read(connection);
    });
}

void CallerClient::Impl::read(const ConnectionPtr& connection)
{
    connection->response = {};
    http::async_read(connection->stream, connection->buf, connection->response,
        [this, connection](ErrorCondition ec, std::size_t) { complete(connection, ec); });
}

void CallerClient::Impl::complete(const ConnectionPtr& connection, ErrorCondition ec)
{
    Handler handler = std::move(connection->handler);
    CallerAnswer answer;
    answer.sent = connection->connected;
    if (!ec) {
        answer.status = static_cast<int>(connection->response.result_int());
        answer.body = std::move(connection->response.body());
        connection->stream.expires_never();
    }
    if (!ec && connection->response.keep_alive()) {
        connection->idleSince = now();
        m_idle[connection->address].push_back(connection);
    } else {
        connection->stream.close();
    }
    handler(answer);
}

void CallerClient::Impl::scheduleAt(TimePoint when, std::function<void()> function)
{
    std::shared_ptr<asio::steady_timer> timer = std::make_shared<asio::steady_timer>(context, when);
    timer->async_wait([timer, function = std::move(function)](ErrorCondition ec) {
        if (!ec)
            function();
    });
}

CallerClient::CallerClient()
    : m_impl(std::make_unique<Impl>())
{
}

CallerClient::~CallerClient() = default;

void CallerClient::send(CallerRequest request, Handler handler) { m_impl->send(std::move(request), std::move(handler)); }

void CallerClient::scheduleAt(TimePoint when, std::function<void()> function) { m_impl->scheduleAt(when, std::move(function)); }

void CallerClient::run() { m_impl->context.run(); }

void CallerClient::stop() { m_impl->context.stop(); }

TimePoint CallerClient::now() { return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()); }

} // namespace crocuslever::load
