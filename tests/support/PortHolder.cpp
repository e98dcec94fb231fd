#include "tests/support/PortHolder.h"

#include <cstdint>
#include <fstream>
#include <iterator>
#include <netinet/in.h>
#include <regex>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace crocuslever::testing {

PortHolder::~PortHolder() { release(m_sockets.size()); }

/// Closes the newest sockets.
void PortHolder::release(std::size_t count)
{
    for (; count > 0; --count) {
        ::close(m_sockets.back());
        m_sockets.pop_back();
    }
}

// The port is bound without SO_REUSEADDR, so that it is nobody else's, and shared only afterwards.
bool PortHolder::hold(int port)
{
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        ::close(fd);
        return false;
    }
    int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    m_sockets.push_back(fd);
    return true;
}

std::string PortHolder::holdFreeAddress()
{
    constexpr int kAnyPort = 0;
    sockaddr_in address {};
    socklen_t size = sizeof address;
    if (!hold(kAnyPort) || ::getsockname(m_sockets.back(), reinterpret_cast<sockaddr*>(&address), &size) != 0)
        throw std::runtime_error("no port is free");
    return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

bool PortHolder::holdPortsOf(const std::filesystem::path& settingsFile)
{
    static const std::regex kListenAddress(R"((callers|readiness|metrics|listen): "127\.0\.0\.1:(\d+)\")");
    std::ifstream file(settingsFile);
    std::string text { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    std::size_t before = m_sockets.size();
    for (auto it = std::sregex_iterator(text.begin(), text.end(), kListenAddress); it != std::sregex_iterator(); ++it) {
        if (hold(std::stoi((*it)[2])))
            continue;
        release(m_sockets.size() - before);
        return false;
    }
    return true;
}

} // namespace crocuslever::testing
