// Loaded into each daemon of the soak: leads its connections through the gates, and tells them by the source address who connects.

#include <algorithm>
#include <arpa/inet.h>
#include <cstdlib>
#include <cstring>
#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "tests/soak/GateAddress.h"

using namespace crocuslever::soak;

/// The number in "PATH/edge-NUMBER.yaml"; negative: this is no daemon of the soak.
static int instanceNumber()
{
    const char* settings = std::getenv("CROCUSLEVER_CONFIG");
    const char* number = settings ? std::strstr(settings, kInstancePrefix) : nullptr;
    return number ? std::atoi(number + std::strlen(kInstancePrefix)) : -1;
}

/// Where the IPv4 address is held, also in one of IPv6; null: there is none.
static void* hostIn(sockaddr_storage& address)
{
    if (address.ss_family == AF_INET)
        return &reinterpret_cast<sockaddr_in&>(address).sin_addr;
    in6_addr& host = reinterpret_cast<sockaddr_in6&>(address).sin6_addr;
    if (address.ss_family == AF_INET6 && IN6_IS_ADDR_V4MAPPED(&host))
        return &host.s6_addr[sizeof host - sizeof(in_addr)];
    return nullptr;
}

static std::uint32_t hostAt(const void* place)
{
    std::uint32_t host = 0;
    std::memcpy(&host, place, sizeof host);
    return ntohl(host);
}

static void setHost(void* place, std::uint32_t host)
{
    host = htonl(host);
    std::memcpy(place, &host, sizeof host);
}

/// Gives the socket the source address of the instance.
static void setSource(int socket, sockaddr_storage source, socklen_t size, int instance)
{
    int on = 1;
    ::setsockopt(socket, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof on);
    setHost(hostIn(source), kFirstSource + static_cast<std::uint32_t>(instance));
    if (source.ss_family == AF_INET)
        reinterpret_cast<sockaddr_in&>(source).sin_port = 0;
    else
        reinterpret_cast<sockaddr_in6&>(source).sin6_port = 0;
    static_cast<void>(::bind(socket, reinterpret_cast<const sockaddr*>(&source), size));
}

extern "C" int connect(int socket, const sockaddr* address, socklen_t size)
{
    using Connect = int (*)(int, const sockaddr*, socklen_t);
    static const Connect next = reinterpret_cast<Connect>(::dlsym(RTLD_NEXT, "connect"));
    static const int instance = instanceNumber();
    sockaddr_storage to {};
    std::memcpy(&to, address, std::min<std::size_t>(size, sizeof to));
    void* host = hostIn(to);
    if (instance < 0 || !host || hostAt(host) != INADDR_LOOPBACK)
        return next(socket, address, size);
    setSource(socket, to, size, instance);
    setHost(host, kGateHost);
    return next(socket, reinterpret_cast<const sockaddr*>(&to), size);
}
