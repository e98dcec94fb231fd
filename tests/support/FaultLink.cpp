#include "tests/support/FaultLink.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <utility>
#include <vector>

#include "src/daemon/SystemClock.h"

namespace crocuslever::testing {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = boost::asio::ip::tcp;

static constexpr std::size_t kReadBytes = 65536;
static constexpr std::size_t kMaximumQueuedBytes = 4194304;
static constexpr Duration kCloseDelayAfterLoss = std::chrono::milliseconds(500);
static constexpr Duration kRebindInterval = std::chrono::milliseconds(20);

static constexpr std::array<LinkMode, 5> kModes { LinkMode::Pass, LinkMode::Cut, LinkMode::Freeze, LinkMode::Reset, LinkMode::DropAnswers };

const char* toString(LinkMode mode)
{
    switch (mode) {
    case LinkMode::Pass:
        return "pass";
    case LinkMode::Cut:
        return "cut";
    case LinkMode::Freeze:
        return "freeze";
    case LinkMode::Reset:
        return "reset";
    case LinkMode::DropAnswers:
        return "drop-answers";
    }
    return "pass";
}

std::optional<LinkMode> parseLinkMode(const std::string& name)
{
    for (LinkMode mode : kModes) {
        if (name == toString(mode))
            return mode;
    }
    return std::nullopt;
}

static TimePoint now() { return readClock().steady; }

namespace {

/// State shared by a link and its connections.
struct LinkState {
    LinkFault fault;
    LinkStats stats;
};

struct Chunk {
    TimePoint due; ///< Not forwarded before this time.
    std::string data; ///< Empty: the source closed its side.
};

/// One direction of a connection: reads from the source, delays and writes to the sink.
struct Pump {
    Pump(asio::io_context& io, tcp::socket& from, tcp::socket& to, bool back)
        : source(from)
        , sink(to)
        , timer(io)
        , isBack(back)
    {
    }

    tcp::socket& source;
    tcp::socket& sink;
    asio::steady_timer timer;
    bool isBack; ///< From the target to the client.
    std::array<char, kReadBytes> buf {};
    std::deque<Chunk> queue;
    std::size_t queuedBytes { 0 };
    bool reading { false };
    bool writing { false };
    bool sourceClosed { false }; ///< The source has sent everything.
    bool sinkClosed { false }; ///< All data was forwarded and the sink shut down for sending.
};

class Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(asio::io_context& io, tcp::socket client, const tcp::endpoint& target, std::shared_ptr<LinkState> link)
        : m_client(std::move(client))
        , m_server(io)
        , m_target(target)
        , m_link(std::move(link))
        , m_forward(io, m_client, m_server, false)
        , m_back(io, m_server, m_client, true)
        , m_closeTimer(io)
    {
        ++m_link->stats.open;
    }

    ~Connection() { --m_link->stats.open; }

    bool isOpen() const { return !m_closed; }

    /// Connects and forwards as far as the current fault allows. Called once the connection is
    /// accepted and after each change of the fault.
    void resume()
    {
        if (m_closed || isFrozen())
            return;
        if (!m_connected) {
            connect();
            return;
        }
        for (Pump* pump : { &m_forward, &m_back }) {
            forwardNext(*pump);
            read(*pump);
        }
    }

    void close(bool byReset)
    {
        m_closed = true;
        m_forward.timer.cancel();
        m_back.timer.cancel();
        m_closeTimer.cancel();
        for (tcp::socket* socket : { &m_client, &m_server }) {
            error_code ec;
            if (byReset)
                socket->set_option(asio::socket_base::linger(true, 0), ec);
            socket->close(ec);
        }
    }

private:
    bool isFrozen() const { return m_link->fault.mode == LinkMode::Freeze; }

    void connect()
    {
        if (m_connecting)
            return;
        m_connecting = true;
        m_server.async_connect(m_target, [self = shared_from_this()](error_code ec) {
            if (ec) {
                self->close(true);
                return;
            }
            self->m_connected = true;
            self->setNoDelay();
            self->resume();
        });
    }

    void setNoDelay()
    {
        error_code ec;
        m_client.set_option(tcp::no_delay(true), ec);
        m_server.set_option(tcp::no_delay(true), ec);
    }

    void read(Pump& pump)
    {
        if (m_closed || isFrozen() || pump.reading || pump.sourceClosed || pump.queuedBytes >= kMaximumQueuedBytes)
            return;
        pump.reading = true;
        pump.source.async_read_some(asio::buffer(pump.buf), [self = shared_from_this(), &pump](error_code ec, std::size_t n) {
            pump.reading = false;
            self->handleRead(pump, ec, n);
        });
    }

    void handleRead(Pump& pump, const error_code& ec, std::size_t n)
    {
        if (m_closed)
            return;
        if (ec && ec != asio::error::eof) {
            close(true);
            return;
        }
        pump.sourceClosed = static_cast<bool>(ec);
        pump.queue.push_back({ now() + m_link->fault.delay, std::string(pump.buf.data(), n) });
        pump.queuedBytes += n;
        forwardNext(pump);
        read(pump);
    }

    void forwardNext(Pump& pump)
    {
        if (m_closed || isFrozen() || pump.writing || pump.queue.empty())
            return;
        const Chunk& chunk = pump.queue.front();
        if (chunk.due > now())
            waitUntilDue(pump, chunk.due);
        else if (chunk.data.empty())
            finish(pump);
        else if (pump.isBack && m_link->fault.mode == LinkMode::DropAnswers)
            discard(pump);
        else
            write(pump);
    }

    void waitUntilDue(Pump& pump, TimePoint due)
    {
        pump.timer.expires_at(due);
        pump.timer.async_wait([self = shared_from_this(), &pump](error_code ec) {
            if (!ec)
                self->forwardNext(pump);
        });
    }

    void write(Pump& pump)
    {
        pump.writing = true;
        asio::async_write(pump.sink, asio::buffer(pump.queue.front().data), [self = shared_from_this(), &pump](error_code ec, std::size_t n) {
            pump.writing = false;
            if (ec) {
                self->close(true);
                return;
            }
            (pump.isBack ? self->m_link->stats.bytesBack : self->m_link->stats.bytesForward) += n;
            self->pop(pump);
        });
    }

    void discard(Pump& pump)
    {
        m_link->stats.bytesLost += pump.queue.front().data.size();
        if (!m_closeScheduled) {
            m_closeScheduled = true;
            m_closeTimer.expires_after(kCloseDelayAfterLoss);
            m_closeTimer.async_wait([self = shared_from_this()](error_code ec) {
                if (!ec)
                    self->close(false);
            });
        }
        pop(pump);
    }

    void pop(Pump& pump)
    {
        if (m_closed)
            return;
        pump.queuedBytes -= pump.queue.front().data.size();
        pump.queue.pop_front();
        forwardNext(pump);
        read(pump);
    }

    void finish(Pump& pump)
    {
        pump.queue.pop_front();
        pump.sinkClosed = true;
        error_code ec;
        pump.sink.shutdown(tcp::socket::shutdown_send, ec);
        if (m_forward.sinkClosed && m_back.sinkClosed)
            close(false);
    }

    tcp::socket m_client;
    tcp::socket m_server;
    tcp::endpoint m_target;
    std::shared_ptr<LinkState> m_link;
    Pump m_forward;
    Pump m_back;
    asio::steady_timer m_closeTimer;
    bool m_connecting { false };
    bool m_connected { false };
    bool m_closeScheduled { false };
    bool m_closed { false };
};

} // namespace

class FaultLink::Impl : public std::enable_shared_from_this<FaultLink::Impl> {
public:
    Impl(asio::io_context& io, const std::string& address, unsigned short listenPort, unsigned short targetPort)
        : m_io(io)
        , m_acceptor(io, tcp::endpoint(asio::ip::make_address(address), listenPort))
        , m_local(m_acceptor.local_endpoint())
        , m_target(asio::ip::make_address(address), targetPort)
        , m_rebindTimer(io)
        , m_state(std::make_shared<LinkState>())
    {
    }

    void accept()
    {
        m_acceptor.async_accept([self = shared_from_this()](error_code ec, tcp::socket socket) {
            // The acceptor was closed; if it was opened again since, that started another accept.
            if (ec == asio::error::operation_aborted)
                return;
            if (!ec)
                self->addConnection(std::move(socket));
            if (self->m_acceptor.is_open())
                self->accept();
        });
    }

    void setFault(const LinkFault& fault)
    {
        m_state->fault = fault;
        if (fault.mode == LinkMode::Cut)
            closeAcceptor();
        else
            openAcceptor();
        if (fault.mode == LinkMode::Cut || fault.mode == LinkMode::Reset)
            closeConnections(fault.mode == LinkMode::Reset);
        resumeConnections();
    }

    void stop()
    {
        m_stopped = true;
        m_rebindTimer.cancel();
        closeAcceptor();
        closeConnections(false);
    }

    unsigned short port() const { return m_local.port(); }
    const LinkState& state() const { return *m_state; }

private:
    void addConnection(tcp::socket socket)
    {
        ++m_state->stats.accepted;
        std::shared_ptr<Connection> connection = std::make_shared<Connection>(m_io, std::move(socket), m_target, m_state);
        LinkMode mode = m_state->fault.mode;
        if (mode == LinkMode::Cut || mode == LinkMode::Reset) {
            connection->close(mode == LinkMode::Reset);
            return;
        }
        removeClosedConnections();
        m_connections.push_back(connection);
        connection->resume();
    }

    void closeAcceptor()
    {
        error_code ec;
        m_acceptor.close(ec);
    }

    void openAcceptor()
    {
        if (m_acceptor.is_open() || m_stopped)
            return;
        error_code ec;
        m_acceptor.open(m_local.protocol(), ec);
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
        m_acceptor.bind(m_local, ec);
        if (!ec)
            m_acceptor.listen(asio::socket_base::max_listen_connections, ec);
        if (ec)
            openAcceptorLater();
        else
            accept();
    }

    void openAcceptorLater()
    {
        closeAcceptor();
        m_rebindTimer.expires_after(kRebindInterval);
        m_rebindTimer.async_wait([self = shared_from_this()](error_code ec) {
            if (!ec && self->m_state->fault.mode != LinkMode::Cut)
                self->openAcceptor();
        });
    }

    void closeConnections(bool byReset)
    {
        for (const std::shared_ptr<Connection>& connection : m_connections)
            connection->close(byReset);
        m_connections.clear();
    }

    void resumeConnections()
    {
        for (const std::shared_ptr<Connection>& connection : m_connections)
            connection->resume();
    }

    void removeClosedConnections()
    {
        auto isClosed = [](const std::shared_ptr<Connection>& connection) { return !connection->isOpen(); };
        m_connections.erase(std::remove_if(m_connections.begin(), m_connections.end(), isClosed), m_connections.end());
    }

    asio::io_context& m_io;
    tcp::acceptor m_acceptor;
    tcp::endpoint m_local;
    tcp::endpoint m_target;
    asio::steady_timer m_rebindTimer;
    std::shared_ptr<LinkState> m_state;
    std::vector<std::shared_ptr<Connection>> m_connections;
    bool m_stopped { false };
};

FaultLink::FaultLink(asio::io_context& io, const std::string& address, unsigned short listenPort, unsigned short targetPort)
    : m_impl(std::make_shared<Impl>(io, address, listenPort, targetPort))
{
    m_impl->accept();
}

FaultLink::~FaultLink() { m_impl->stop(); }

unsigned short FaultLink::port() const { return m_impl->port(); }

void FaultLink::setFault(const LinkFault& fault) { m_impl->setFault(fault); }

LinkFault FaultLink::fault() const { return m_impl->state().fault; }

LinkStats FaultLink::stats() const { return m_impl->state().stats; }

} // namespace crocuslever::testing
