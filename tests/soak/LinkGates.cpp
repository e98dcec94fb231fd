#include "tests/soak/LinkGates.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "review/standin/Http.h"
#include "review/standin/Record.h"
#include "tests/soak/GateAddress.h"

namespace crocuslever::soak {

static constexpr int kWaitMs = 20;
static constexpr int kBacklog = 512;
static constexpr std::int64_t kLeastLatenessMs = 1000;
static constexpr std::int64_t kMostLatenessMs = 6000;

LinkGates::LinkGates(std::uint64_t seed, AckLog& acks)
    : m_acks(acks)
    , m_random(seed)
    , m_epoll(::epoll_create1(EPOLL_CLOEXEC))
{
}

LinkGates::~LinkGates()
{
    m_isStopping = true;
    if (m_thread.joinable())
        m_thread.join();
    for (const std::unique_ptr<Link>& it : m_links) {
        ::close(it->client.socket);
        ::close(it->server.socket);
    }
    for (const Listener& it : m_listeners)
        ::close(it.socket);
    ::close(m_epoll);
}

void LinkGates::guard(const std::string& address, const Node& node)
{
    sockaddr_in gate = standin::toSocketAddress(address);
    gate.sin_addr.s_addr = htonl(kGateHost);
    int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (::bind(socket, reinterpret_cast<sockaddr*>(&gate), sizeof gate) != 0 || ::listen(socket, kBacklog) != 0)
        throw std::runtime_error("no gate before " + address);
    m_listeners.push_back({ socket, address, node });
}

void LinkGates::start()
{
    for (const Listener& it : m_listeners) {
        epoll_event event {};
        event.events = EPOLLIN;
        event.data.ptr = nullptr; // All listeners are asked.
        ::epoll_ctl(m_epoll, EPOLL_CTL_ADD, it.socket, &event);
    }
    m_thread = std::thread([this] { run(); });
}

int LinkGates::cut(CutRule rule, CutKind kind)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_cuts[++m_lastCut] = { std::move(rule), kind };
    return m_lastCut;
}

void LinkGates::heal(int cut)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_cuts.erase(cut);
}

bool LinkGates::findCut(const Side& to, CutKind& kind)
{
    const Node& sender = to.isClient ? to.link->to : to.link->from;
    const Node& receiver = to.isClient ? to.link->from : to.link->to;
    std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto& [number, it] : m_cuts) {
        kind = it.kind;
        if (it.rule(sender, receiver))
            return true;
    }
    return false;
}

bool LinkGates::isCut(const Side& to)
{
    CutKind kind = CutKind::Holds;
    return findCut(to, kind);
}

void LinkGates::run()
{
    std::array<epoll_event, 256> events;
    std::int64_t tickedAt = 0;
    while (!m_isStopping) {
        int count = ::epoll_wait(m_epoll, events.data(), static_cast<int>(events.size()), kWaitMs);
        bool hasNew = false;
        for (int n = 0; n < count; ++n) {
            Side* side = static_cast<Side*>(events[static_cast<std::size_t>(n)].data.ptr);
            hasNew = hasNew || !side;
            if (!side || side->link->isOver)
                continue;
            if (events[static_cast<std::size_t>(n)].events & EPOLLOUT)
                flush(*side);
            if (events[static_cast<std::size_t>(n)].events & ~static_cast<std::uint32_t>(EPOLLOUT))
                read(*side);
        }
        if (hasNew)
            std::for_each(m_listeners.begin(), m_listeners.end(), [this](const Listener& it) { accept(it); });
        if (standin::now() - tickedAt >= kWaitMs) {
            tickedAt = standin::now();
            tick(tickedAt);
        }
    }
}

void LinkGates::watch(const Side& side, bool isNew)
{
    epoll_event event {};
    event.events = (side.hasEnded ? 0U : EPOLLIN) | (side.pending.empty() ? 0U : EPOLLOUT);
    event.data.ptr = const_cast<Side*>(&side);
    ::epoll_ctl(m_epoll, isNew ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, side.socket, &event);
}

void LinkGates::accept(const Listener& listener)
{
    sockaddr_in source {};
    socklen_t size = sizeof source;
    int socket = -1;
    while ((socket = ::accept4(listener.socket, reinterpret_cast<sockaddr*>(&source), &size, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
        int target = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        int on = 1;
        std::size_t instance = ntohl(source.sin_addr.s_addr) - kFirstSource;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        ::setsockopt(target, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        sockaddr_in address = standin::toSocketAddress(listener.target);
        // Waits for no answer: what can't connect ends as a connection that the other end has closed.
        static_cast<void>(::connect(target, reinterpret_cast<sockaddr*>(&address), sizeof address));
        std::unique_ptr<Link> link = std::make_unique<Link>();
        link->from = { Node::Instance, instance };
        link->to = listener.node;
        link->client = { link.get(), true, socket, "", "", 0, false, false };
        link->server = { link.get(), false, target, "", "", 0, false, false };
        link->talk.worker = "w" + std::to_string(listener.node.number);
        watch(link->client, true);
        watch(link->server, true);
        m_links.push_back(std::move(link));
    }
}

void LinkGates::read(Side& side)
{
    char bytes[65536];
    ssize_t n = ::recv(side.socket, bytes, sizeof bytes, 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    Link& link = *side.link;
    if (n <= 0) {
        end(side);
        return;
    }
    std::string text(bytes, static_cast<std::size_t>(n));
    if (!side.isClient && link.to.kind == Node::Worker)
        m_acks.passAnswer(link.talk, text, standin::now());
    receive(side.isClient ? link.server : link.client, text);
}

void LinkGates::end(Side& side)
{
    side.hasEnded = true;
    ::epoll_ctl(m_epoll, EPOLL_CTL_DEL, side.socket, nullptr);
    Side& other = side.isClient ? side.link->server : side.link->client;
    other.isClosing = true;
    release(other, standin::now());
}

bool LinkGates::isLate(const Side& to, const std::string& bytes)
{
    static const std::string kStart = "POST /-/run-start ";
    bool isStart = !to.isClient && to.link->to.kind == Node::Worker && bytes.compare(0, kStart.size(), kStart) == 0;
    return isStart && std::bernoulli_distribution(m_lateStarts)(m_random);
}

void LinkGates::receive(Side& to, const std::string& bytes)
{
    Link& link = *to.link;
    std::int64_t now = standin::now();
    if (link.isBroken || (to.isClient && link.withholdsAnswers))
        return;
    CutKind kind = CutKind::Holds;
    if (findCut(to, kind) && kind == CutKind::Drops) {
        link.isBroken = true;
        return;
    }
    if (isLate(to, bytes)) {
        link.withholdsAnswers = true;
        to.heldUntil = now + std::uniform_int_distribution<std::int64_t>(kLeastLatenessMs, kMostLatenessMs)(m_random);
    }
    to.held += bytes;
    release(to, now);
}

/// Passes on what was held, unless it is to be held further.
void LinkGates::release(Side& to, std::int64_t now)
{
    Link& link = *to.link;
    if (to.hasEnded && !to.isClosing)
        return;
    if (now < to.heldUntil || isCut(to))
        return;
    if (!to.held.empty() && !to.isClient && link.to.kind == Node::Worker)
        m_acks.passRequest(link.talk, to.held, now);
    to.pending += to.held;
    to.held.clear();
    flush(to);
}

void LinkGates::flush(Side& side)
{
    while (!side.pending.empty()) {
        ssize_t n = ::send(side.socket, side.pending.data(), side.pending.size(), MSG_NOSIGNAL);
        if (n <= 0)
            break;
        side.pending.erase(0, static_cast<std::size_t>(n));
    }
    bool canWait = errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOTCONN;
    if (side.isClosing && (side.pending.empty() || side.hasEnded || !canWait))
        side.link->isOver = true;
    else if (!side.hasEnded)
        watch(side, false);
}

void LinkGates::tick(Link& link, std::int64_t now)
{
    bool isCutOff = isCut(link.client) || isCut(link.server);
    if (link.isBroken) {
        link.isOver = link.isOver || !isCutOff;
        return;
    }
    for (Side* it : { &link.client, &link.server }) {
        if (!link.isOver && (!it->held.empty() || it->isClosing))
            release(*it, now);
    }
}

void LinkGates::tick(std::int64_t now)
{
    for (const std::unique_ptr<Link>& it : m_links)
        tick(*it, now);
    auto isOver = [](const std::unique_ptr<Link>& it) {
        if (it->isOver) {
            ::close(it->client.socket);
            ::close(it->server.socket);
        }
        return it->isOver;
    };
    m_links.erase(std::remove_if(m_links.begin(), m_links.end(), isOver), m_links.end());
}

} // namespace crocuslever::soak
