#include "tests/soak/PortHolder.h"

#include <cstdint>
#include <fstream>
#include <iterator>
#include <netinet/in.h>
#include <regex>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace crocuslever::soak {

PortHolder::~PortHolder()
{
    for (int fd : m_sockets)
        ::close(fd);
}

void PortHolder::holdPortsOf(const std::filesystem::path& settingsFile)
{
    static const std::regex kListenAddress(R"((callers|readiness|metrics|listen): "127\.0\.0\.1:(\d+)\")");
    std::ifstream file(settingsFile);
    std::string text { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    for (auto it = std::sregex_iterator(text.begin(), text.end(), kListenAddress); it != std::sregex_iterator(); ++it)
        hold(std::stoi((*it)[2]));
}

void PortHolder::hold(int port)
{
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    m_sockets.push_back(fd);
    int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0)
        throw std::runtime_error("port " + std::to_string(port) + " is taken");
}

} // namespace crocuslever::soak
