#include "tests/support/FakeHttpServer.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstdio>
#include <deque>
#include <optional>
#include <utility>

namespace crocuslever::testing {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = boost::asio::ip::tcp;

static constexpr std::uint64_t kMaximumRequestBytes = 67108864;

static std::string formatHeader(int status, const std::string& framing)
{
    std::string reason(http::obsolete_reason(http::int_to_status(static_cast<unsigned int>(status))));
    return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\nContent-Type: application/json\r\n" + framing + "\r\n\r\n";
}

static std::string formatChunk(const std::string& data)
{
    char buf[32];
    std::snprintf(buf, sizeof buf, "%zx\r\n", data.size());
    return buf + data + "\r\n";
}

namespace {

struct Route {
    std::string method;
    std::string pathPrefix;
    FakeHttpServer::Handler handler;
};

struct ServerState {
    std::vector<Route> routes;
    bool frozen { false };
};

class Session : public FakeExchange, public std::enable_shared_from_this<Session> {
public:
    Session(tcp::socket socket, std::shared_ptr<ServerState> shared)
        : m_socket(std::move(socket))
        , m_shared(std::move(shared))
    {
    }

    void readRequest()
    {
        m_parser.emplace();
        m_parser->body_limit(kMaximumRequestBytes);
        http::async_read(m_socket, m_buf, *m_parser, [self = shared_from_this()](error_code ec, std::size_t) {
            if (ec)
                self->drop();
            else
                self->handle();
        });
    }

    const FakeRequest& request() const override { return m_request; }

    void reply(int status, const std::string& json) override
    {
        if (!m_replyPending)
            return;
        m_replyPending = false;
        send(formatHeader(status, "Content-Length: " + std::to_string(json.size())) + json);
    }

    void startStream() override
    {
        m_replyPending = false;
        m_streaming = true;
        send(formatHeader(200, "Transfer-Encoding: chunked"));
        watchForClose();
    }

    void sendLine(const std::string& json) override { send(formatChunk(json + "\n")); }

    void sendPiece(const std::string& data) override { send(formatChunk(data)); }

    void endStream() override { send(formatChunk("")); }

    void drop() override
    {
        error_code ec;
        m_socket.close(ec);
    }

    bool isOpen() const override { return m_socket.is_open(); }

private:
    void handle()
    {
        http::request<http::string_body> message = m_parser->release();
        m_request = { std::string(message.method_string()), std::string(message.target()), std::move(message.body()) };
        if (m_shared->frozen) {
            watchForClose();
            return;
        }
        m_replyPending = true;
        std::shared_ptr<ServerState> shared = m_shared;
        for (const Route& route : shared->routes) {
            if (m_request.method == route.method && m_request.target.rfind(route.pathPrefix, 0) == 0) {
                route.handler(shared_from_this());
                return;
            }
        }
        reply(404, R"({"error":"no such resource","code":12})");
    }

    void send(std::string text)
    {
        if (!isOpen())
            return;
        m_output.push_back(std::move(text));
        if (m_output.size() == 1)
            writeFirst();
    }

    void writeFirst()
    {
        asio::async_write(m_socket, asio::buffer(m_output.front()), [self = shared_from_this()](error_code ec, std::size_t) {
            if (ec)
                self->drop();
            else
                self->finishWrite();
        });
    }

    void finishWrite()
    {
        m_output.pop_front();
        if (!m_output.empty())
            writeFirst();
        else if (!m_streaming && isOpen())
            readRequest();
    }

    void watchForClose()
    {
        // Clients send nothing while they wait for an answer, so a completed read means that the client
        // closed the connection.
        m_socket.async_read_some(asio::buffer(&m_byte, 1), [self = shared_from_this()](error_code, std::size_t) {
            self->drop();
        });
    }

    tcp::socket m_socket;
    std::shared_ptr<ServerState> m_shared;
    beast::flat_buffer m_buf;
    std::optional<http::request_parser<http::string_body>> m_parser;
    FakeRequest m_request;
    std::deque<std::string> m_output;
    bool m_replyPending { false };
    bool m_streaming { false };
    char m_byte { 0 };
};

} // namespace

class FakeHttpServer::Impl : public std::enable_shared_from_this<FakeHttpServer::Impl> {
public:
    Impl(asio::io_context& io, const std::string& address, unsigned short port)
        : m_acceptor(io, tcp::endpoint(asio::ip::make_address(address), port))
        , m_shared(std::make_shared<ServerState>())
    {
    }

    void accept()
    {
        m_acceptor.async_accept([self = shared_from_this()](error_code ec, tcp::socket socket) {
            if (ec == asio::error::operation_aborted || !self->m_acceptor.is_open())
                return;
            if (!ec)
                self->startSession(std::move(socket));
            self->accept();
        });
    }

    void closeConnections()
    {
        for (const std::weak_ptr<Session>& entry : m_sessions) {
            if (std::shared_ptr<Session> session = entry.lock())
                session->drop();
        }
        m_sessions.clear();
    }

    void stop()
    {
        error_code ec;
        m_acceptor.close(ec);
        closeConnections();
        m_shared->routes.clear();
    }

    ServerState& shared() { return *m_shared; }
    tcp::endpoint localEndpoint() const { return m_acceptor.local_endpoint(); }

private:
    void startSession(tcp::socket socket)
    {
        error_code ec;
        socket.set_option(tcp::no_delay(true), ec);
        std::shared_ptr<Session> session = std::make_shared<Session>(std::move(socket), m_shared);
        removeClosedSessions();
        m_sessions.push_back(session);
        session->readRequest();
    }

    void removeClosedSessions()
    {
        auto isGone = [](const std::weak_ptr<Session>& session) { return session.expired(); };
        m_sessions.erase(std::remove_if(m_sessions.begin(), m_sessions.end(), isGone), m_sessions.end());
    }

    tcp::acceptor m_acceptor;
    std::shared_ptr<ServerState> m_shared;
    std::vector<std::weak_ptr<Session>> m_sessions;
};

FakeHttpServer::FakeHttpServer(asio::io_context& io, const std::string& address, unsigned short port)
    : m_impl(std::make_shared<Impl>(io, address, port))
{
    m_impl->accept();
}

FakeHttpServer::~FakeHttpServer() { m_impl->stop(); }

unsigned short FakeHttpServer::port() const { return m_impl->localEndpoint().port(); }

std::string FakeHttpServer::endpoint() const
{
    return m_impl->localEndpoint().address().to_string() + ":" + std::to_string(port());
}

void FakeHttpServer::route(const std::string& method, const std::string& pathPrefix, Handler handler)
{
    m_impl->shared().routes.push_back({ method, pathPrefix, std::move(handler) });
}

void FakeHttpServer::closeConnections() { m_impl->closeConnections(); }

void FakeHttpServer::setFrozen(bool frozen) { m_impl->shared().frozen = frozen; }

} // namespace crocuslever::testing
