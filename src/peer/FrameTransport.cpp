#include "src/peer/FrameTransport.h"

#include <array>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstring>
#include <map>
#include <optional>
#include <utility>
#include <vector>
#include <zmq.hpp>

namespace crocuslever {

namespace asio = boost::asio;
using error_code = boost::system::error_code;

static constexpr int kHighWaterMarkMessages = 8192; ///< High-water mark per peer and direction.
static constexpr std::int64_t kMaximumMessageBytes = std::int64_t(4) << 20;
static constexpr int kHandshakeTimeoutMs = 5000;
static constexpr int kConnectTimeoutMs = 3000;
static constexpr int kReconnectIntervalMs = 100;
static constexpr int kMaximumReconnectIntervalMs = 2000;
static constexpr int kStopLingerMs = 500;
static constexpr int kMessagesPerTurn = 1000; ///< Messages read before control returns to the event loop.
static constexpr Duration kIdleTimeout = std::chrono::minutes(1); ///< Then an idle socket is closed.
static constexpr Duration kSweepInterval = std::chrono::seconds(10);
static constexpr std::size_t kKeyBytes = 32;
static constexpr std::size_t kKeyTextLength = 40; ///< Length of a key in Z85.
static constexpr const char* kAuthenticationAddress = "inproc://zeromq.zap.01"; // Fixed by ZAP (ZeroMQ RFC 27).
static constexpr const char* kAuthenticationDomain = "crocuslever";

using BinaryKey = std::array<std::uint8_t, kKeyBytes>;
using Frames = std::vector<zmq::message_t>;

namespace {

/// A socket to one peer. It only sends, so its descriptor isn't polled.
struct PeerSocket {
    zmq::socket_t socket;
    std::chrono::steady_clock::time_point lastUse;
};

} // namespace

static std::optional<BinaryKey> decodeKey(const std::string& text)
{
    BinaryKey key {};
    if (text.size() != kKeyTextLength || zmq_z85_decode(key.data(), text.c_str()) == nullptr)
        return std::nullopt;
    return key;
}

static bool isKeyPair(const std::string& publicKey, const std::string& secretKey)
{
    std::array<char, kKeyTextLength + 1> derived {};
    if (!decodeKey(publicKey) || !decodeKey(secretKey))
        return false;
    return zmq_curve_public(derived.data(), secretKey.c_str()) == 0 && publicKey == derived.data();
}

/// Receives all frames of one message without blocking; nothing if no message is available.
static std::optional<Frames> receiveFrames(zmq::socket_t& socket)
{
    Frames frames;
    bool isMore = true;
    while (isMore) {
        zmq::message_t frame;
        if (!socket.recv(frame, zmq::recv_flags::dontwait))
            return std::nullopt;
        isMore = frame.more();
        frames.push_back(std::move(frame));
    }
    return frames;
}

static bool isReadable(zmq::socket_t& socket)
{
    return (socket.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0;
}

class FrameTransport::Impl : public std::enable_shared_from_this<FrameTransport::Impl> {
public:
    Impl(asio::io_context& context, FrameTransportSettings transportSettings, FrameHandler frameHandler)
        : m_context(context)
        , m_settings(std::move(transportSettings))
        , m_handler(std::move(frameHandler))
        , m_routerWatch(context)
        , m_authenticationWatch(context)
        , m_sweepTimer(context)
    {
    }

    Result<void> open();
    bool readNow();
    void send(const std::string& address, const std::string& to, const std::string& bytes);
    void stop(int lingerMs);

    ErrorHandler errorHandler;
    std::string boundAddress;
    FrameTransportCounters counters;

private:
    Result<void> bind();
    void openAuthentication();
    void watchRouter();
    bool readAvailable();
    void readRouter();
    void readLater();
    Result<void> deliverFrames(const Frames&);
    void handleFrames(const Frames&);
    void watchAuthentication();
    void answerAuthentication();
    bool isCellKey(const Frames& request) const;
    PeerSocket& socketFor(const std::string& address);
    void drop(const std::string& peer, const std::string& reason);
    void scheduleSweep();
    void sweep();

    asio::io_context& m_context;
    FrameTransportSettings m_settings;
    FrameHandler m_handler;
    zmq::context_t m_zmq { 1 };
    zmq::socket_t m_router;
    zmq::socket_t m_authentication;
    // libzmq owns the descriptors, so these objects must release and never close them.
    asio::posix::stream_descriptor m_routerWatch;
    asio::posix::stream_descriptor m_authenticationWatch;
    asio::steady_timer m_sweepTimer;
    std::map<std::string, PeerSocket> m_peers; ///< Keyed by address.
    bool m_isWatching { false };
    bool m_isReadPosted { false };
    bool m_stopped { false };
};

Result<void> FrameTransport::Impl::open()
{
    if (!m_settings.insecure && !isKeyPair(m_settings.publicKey, m_settings.secretKey))
        return Error { ErrorCode::InvalidInput, "peer.open", m_settings.bindAddress, "public and secret key are not a CURVE key pair" };
    try {
        return bind();
    } catch (const zmq::error_t& error) {
        return Error { ErrorCode::Unavailable, "peer.open", m_settings.bindAddress, error.what() };
    }
}

static void setCommonOptions(zmq::socket_t& socket, const FrameTransportSettings& settings)
{
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, kHighWaterMarkMessages);
    socket.set(zmq::sockopt::rcvhwm, kHighWaterMarkMessages);
    socket.set(zmq::sockopt::maxmsgsize, kMaximumMessageBytes);
    socket.set(zmq::sockopt::heartbeat_ivl, static_cast<int>(toMilliseconds(settings.pingInterval)));
    socket.set(zmq::sockopt::heartbeat_timeout, static_cast<int>(toMilliseconds(settings.pingTimeout)));
    socket.set(zmq::sockopt::handshake_ivl, kHandshakeTimeoutMs);
    socket.set(zmq::sockopt::ipv6, true);
}

Result<void> FrameTransport::Impl::bind()
{
    // Must precede the bind: without a ZAP handler, libzmq would accept clients with any key.
    if (!m_settings.insecure)
        openAuthentication();
    m_router = zmq::socket_t(m_zmq, zmq::socket_type::router);
    setCommonOptions(m_router, m_settings);
    if (!m_settings.insecure) {
        m_router.set(zmq::sockopt::curve_server, true);
        m_router.set(zmq::sockopt::curve_secretkey, m_settings.secretKey);
        m_router.set(zmq::sockopt::zap_domain, kAuthenticationDomain);
    }
    m_router.bind("tcp://" + m_settings.bindAddress);
    boundAddress = m_router.get(zmq::sockopt::last_endpoint).substr(std::strlen("tcp://"));
    m_routerWatch.assign(m_router.get(zmq::sockopt::fd));
    readRouter();
    scheduleSweep();
    return boost::outcome_v2::success();
}

void FrameTransport::Impl::openAuthentication()
{
    m_authentication = zmq::socket_t(m_zmq, zmq::socket_type::rep);
    m_authentication.set(zmq::sockopt::linger, 0);
    m_authentication.bind(kAuthenticationAddress);
    m_authenticationWatch.assign(m_authentication.get(zmq::sockopt::fd));
    answerAuthentication();
}

void FrameTransport::Impl::watchRouter()
{
    if (m_isWatching)
        return;
    m_isWatching = true;
    m_routerWatch.async_wait(asio::posix::stream_descriptor::wait_read, [weak = weak_from_this()](error_code ec) {
        std::shared_ptr<Impl> self = weak.lock();
        if (!self)
            return;
        self->m_isWatching = false;
        if (!ec)
            self->readRouter();
    });
}

bool FrameTransport::Impl::readAvailable()
{
    for (int n = 0; !m_stopped && isReadable(m_router); ++n) {
        if (n == kMessagesPerTurn)
            return false;
        std::optional<Frames> frames = receiveFrames(m_router);
        if (frames)
            handleFrames(*frames);
    }
    return true;
}

void FrameTransport::Impl::readLater()
{
    if (m_isReadPosted)
        return;
    m_isReadPosted = true;
    asio::post(m_context, [weak = weak_from_this()] {
        std::shared_ptr<Impl> self = weak.lock();
        if (!self)
            return;
        self->m_isReadPosted = false;
        self->readRouter();
    });
}

void FrameTransport::Impl::readRouter()
{
    // The descriptor is edge-triggered, so all messages must be read before the next wait.
    if (!readAvailable())
        readLater();
    else if (!m_stopped)
        watchRouter();
}

/// Reading may use up the edge that the event loop waits for, so that what is left has to be read without it.
bool FrameTransport::Impl::readNow()
{
    bool isAllRead = readAvailable();
    if (!isAllRead)
        readLater();
    return isAllRead;
}

Result<void> FrameTransport::Impl::deliverFrames(const Frames& frames)
{
    // Frames: routing id of the connection, name of the sender, message.
    if (frames.size() != 3 || frames[1].empty())
        return Error { ErrorCode::InvalidInput, "peer.receive", "", "malformed message: expected routing id, sender and body" };
    return m_handler(frames[1].to_string(), frames[2].to_string());
}

void FrameTransport::Impl::handleFrames(const Frames& frames)
{
    Result<void> delivered = deliverFrames(frames);
    if (!delivered) {
        ++counters.malformed;
        if (errorHandler)
            errorHandler(delivered.error());
        return;
    }
    ++counters.messagesReceived;
    counters.bytesReceived += frames[1].size() + frames[2].size();
}

void FrameTransport::Impl::watchAuthentication()
{
    m_authenticationWatch.async_wait(asio::posix::stream_descriptor::wait_read, [weak = weak_from_this()](error_code ec) {
        std::shared_ptr<Impl> self = weak.lock();
        if (!ec && self)
            self->answerAuthentication();
    });
}

bool FrameTransport::Impl::isCellKey(const Frames& request) const
{
    // Frames of a ZAP request: version, request id, domain, address, identity, mechanism, credentials.
    if (request.size() != 7 || request[5].to_string() != "CURVE" || request[6].size() != kKeyBytes)
        return false;
    std::optional<BinaryKey> key = decodeKey(m_settings.publicKey);
    return key && std::memcmp(key->data(), request[6].data(), kKeyBytes) == 0;
}

void FrameTransport::Impl::answerAuthentication()
{
    while (!m_stopped && isReadable(m_authentication)) {
        std::optional<Frames> request = receiveFrames(m_authentication);
        if (!request)
            break;
        bool isAllowed = isCellKey(*request);
        if (!isAllowed)
            ++counters.refused;
        std::string id = request->size() > 1 ? (*request)[1].to_string() : std::string();
        for (const std::string& frame : { std::string("1.0"), id, std::string(isAllowed ? "200" : "400"), std::string(isAllowed ? "OK" : "unknown key"), std::string() })
            m_authentication.send(zmq::buffer(frame), zmq::send_flags::sndmore);
        m_authentication.send(zmq::const_buffer(), zmq::send_flags::none);
    }
    if (!m_stopped)
        watchAuthentication();
}

PeerSocket& FrameTransport::Impl::socketFor(const std::string& address)
{
    auto it = m_peers.find(address);
    if (it != m_peers.end())
        return it->second;
    PeerSocket peer { zmq::socket_t(m_zmq, zmq::socket_type::dealer), {} };
    setCommonOptions(peer.socket, m_settings);
    peer.socket.set(zmq::sockopt::connect_timeout, kConnectTimeoutMs);
    peer.socket.set(zmq::sockopt::reconnect_ivl, kReconnectIntervalMs);
    peer.socket.set(zmq::sockopt::reconnect_ivl_max, kMaximumReconnectIntervalMs);
    if (!m_settings.insecure) {
        // All instances of the cell share one key pair, so the peer must prove that it has the same.
        peer.socket.set(zmq::sockopt::curve_serverkey, m_settings.publicKey);
        peer.socket.set(zmq::sockopt::curve_publickey, m_settings.publicKey);
        peer.socket.set(zmq::sockopt::curve_secretkey, m_settings.secretKey);
    }
    peer.socket.connect("tcp://" + address);
    return m_peers.emplace(address, std::move(peer)).first->second;
}

void FrameTransport::Impl::send(const std::string& address, const std::string& to, const std::string& bytes)
{
    if (m_stopped)
        return;
    try {
        PeerSocket& peer = socketFor(address);
        peer.lastUse = std::chrono::steady_clock::now();
        // The high-water mark applies to whole messages, so the second frame can't be refused.
        if (!peer.socket.send(zmq::buffer(m_settings.self.value()), zmq::send_flags::dontwait | zmq::send_flags::sndmore)) {
            ++counters.dropped;
            return;
        }
        peer.socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait);
    } catch (const zmq::error_t& error) {
        drop(to + " at " + address, error.what());
        return;
    }
    ++counters.messagesSent;
    counters.bytesSent += m_settings.self.value().size() + bytes.size();
}

void FrameTransport::Impl::drop(const std::string& peer, const std::string& reason)
{
    ++counters.dropped;
    if (errorHandler)
        errorHandler(Error { ErrorCode::Unavailable, "peer.send", peer, reason });
}

void FrameTransport::Impl::scheduleSweep()
{
    m_sweepTimer.expires_after(kSweepInterval);
    m_sweepTimer.async_wait([weak = weak_from_this()](error_code ec) {
        std::shared_ptr<Impl> self = weak.lock();
        if (!ec && self && !self->m_stopped)
            self->sweep();
    });
}

void FrameTransport::Impl::sweep()
{
    std::chrono::steady_clock::time_point limit = std::chrono::steady_clock::now() - kIdleTimeout;
    for (auto it = m_peers.begin(); it != m_peers.end();)
        it = it->second.lastUse < limit ? m_peers.erase(it) : std::next(it);
    scheduleSweep();
}

void FrameTransport::Impl::stop(int lingerMs)
{
    if (m_stopped)
        return;
    m_stopped = true;
    m_sweepTimer.cancel();
    if (m_routerWatch.is_open())
        m_routerWatch.release();
    if (m_authenticationWatch.is_open())
        m_authenticationWatch.release();
    for (auto& [address, peer] : m_peers)
        peer.socket.set(zmq::sockopt::linger, lingerMs);
    m_peers.clear();
    m_router.close();
    m_authentication.close();
    m_zmq.close();
}

FrameTransport::FrameTransport(asio::io_context& context, FrameTransportSettings settings, FrameHandler handler)
    : m_impl(std::make_shared<Impl>(context, std::move(settings), std::move(handler)))
{
}

FrameTransport::~FrameTransport() { m_impl->stop(0); }

Result<void> FrameTransport::open() { return m_impl->open(); }

void FrameTransport::send(const std::string& address, const std::string& to, const std::string& bytes)
{
    m_impl->send(address, to, bytes);
}

bool FrameTransport::readAvailable() { return m_impl->readNow(); }

void FrameTransport::stop() { m_impl->stop(kStopLingerMs); }

void FrameTransport::setErrorHandler(ErrorHandler handler) { m_impl->errorHandler = std::move(handler); }

std::string FrameTransport::boundAddress() const { return m_impl->boundAddress; }

const FrameTransportCounters& FrameTransport::counters() const { return m_impl->counters; }

} // namespace crocuslever
