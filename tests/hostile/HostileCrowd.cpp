#include "tests/hostile/HostileCrowd.h"

#include <algorithm>
#include <cerrno>

#include "review/standin/Cell.h"

namespace crocuslever::hostile {

static constexpr std::int64_t kStallMs = 1000;
static constexpr std::int64_t kPauseMs = 2;

HostileCrowd::HostileCrowd(const std::string& address, std::size_t count)
{
    sockaddr_in to = standin::toSocketAddress(address);
    for (std::size_t n = 0; n < count; ++n) {
        int socket = ::socket(AF_INET, SOCK_STREAM, 0);
        if (::connect(socket, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0)
            m_clients.push_back({ socket });
        else
            ::close(socket);
    }
}

HostileCrowd::~HostileCrowd()
{
    for (const Client& it : m_clients)
        ::close(it.socket);
}

/// Returns the number of bytes that the socket has taken; none if it is full, the whole rest if the connection is gone.
static std::size_t offer(int socket, const char* bytes, std::size_t size, std::size_t rest)
{
    ssize_t n = ::send(socket, bytes, size, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n >= 0)
        return static_cast<std::size_t>(n);
    return errno == EAGAIN || errno == EWOULDBLOCK ? 0 : rest;
}

void HostileCrowd::send(const std::string& bytes, std::size_t pieceBytes)
{
    for (Client& it : m_clients)
        it.sent = 0;
    std::int64_t lastProgress = standin::now();
    bool isComplete = false;
    while (!isComplete && standin::now() < lastProgress + kStallMs) {
        isComplete = true;
        bool hasMoved = false;
        for (Client& it : m_clients) {
            std::size_t rest = bytes.size() - it.sent;
            if (rest == 0)
                continue;
            std::size_t taken = offer(it.socket, bytes.data() + it.sent, std::min(rest, pieceBytes), rest);
            it.sent += taken;
            hasMoved = hasMoved || taken > 0;
            isComplete = isComplete && it.sent == bytes.size();
        }
        if (hasMoved)
            lastProgress = standin::now();
        else
            standin::Cell::sleep(kPauseMs);
    }
}

void HostileCrowd::sendRepeatedly(const std::string& text, std::size_t limitBytes)
{
    std::string bytes;
    while (bytes.size() + text.size() <= limitBytes)
        bytes += text;
    constexpr std::size_t kPieceBytes = 65536;
    send(bytes, kPieceBytes);
}

void HostileCrowd::readSome(std::size_t bytes)
{
    std::string buf(bytes, '\0');
    for (const Client& it : m_clients)
        ::recv(it.socket, buf.data(), buf.size(), MSG_DONTWAIT);
}

} // namespace crocuslever::hostile
