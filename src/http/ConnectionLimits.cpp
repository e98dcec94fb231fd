#include "src/http/ConnectionLimits.h"

#include <algorithm>

namespace crocuslever {

/// Limits count as no longer refusing after this time without a refusal.
static constexpr Duration kQuietTime = std::chrono::seconds(10);

const char* toString(ConnectionLimit limit)
{
    switch (limit) {
    case ConnectionLimit::None:
        return "none";
    case ConnectionLimit::Connections:
        return "connections";
    case ConnectionLimit::ConnectionsPerAddress:
        return "connections_per_address";
    case ConnectionLimit::HeldBytes:
        return "held_bytes";
    case ConnectionLimit::WaitingRequests:
        return "waiting_requests";
    case ConnectionLimit::Header:
        return "header";
    case ConnectionLimit::Body:
        return "body";
    case ConnectionLimit::Time:
        return "time";
    }
    return "none";
}

ConnectionLimit admitConnection(const ConnectionLimits& limits, ConnectionUse& use, const std::string& address)
{
    auto it = use.connectionsByAddress.find(address);
    if (it != use.connectionsByAddress.end() && it->second >= limits.connectionsPerAddress)
        return ConnectionLimit::ConnectionsPerAddress;
    if (use.connections >= limits.connections)
        return ConnectionLimit::Connections;
    ++use.connections;
    ++use.connectionsByAddress[address];
    return ConnectionLimit::None;
}

void releaseConnection(ConnectionUse& use, const std::string& address)
{
    auto it = use.connectionsByAddress.find(address);
    if (it == use.connectionsByAddress.end())
        return;
    --use.connections;
    if (--it->second == 0)
        use.connectionsByAddress.erase(it);
}

bool reserveBytes(const ConnectionLimits& limits, ConnectionUse& use, std::size_t& held, std::size_t wanted)
{
    std::size_t total = use.heldBytes - held + wanted;
    if (wanted > held && total > limits.heldBytes)
        return false;
    use.heldBytes = total;
    held = wanted;
    return true;
}

void releaseBytes(ConnectionUse& use, std::size_t& held)
{
    use.heldBytes -= held;
    held = 0;
}

bool admitRequest(const ConnectionLimits& limits, ConnectionUse& use)
{
    if (use.waitingRequests >= limits.waitingRequests)
        return false;
    ++use.waitingRequests;
    return true;
}

void releaseRequest(ConnectionUse& use) { --use.waitingRequests; }

ConnectionLimits deriveLimits(std::int64_t memoryMb, std::size_t maximumConnections)
{
    // A sixth of the memory: at 160 MB it holds the largest bodies and headers of 80 clients. With a fifth, unfinished bodies took
    // the process to 64,344 KiB, for the allocator keeps more than is counted.
    constexpr std::int64_t kPartOfMemory = 6;
    constexpr std::size_t kBytesPerMb = 1U << 20;
    ConnectionLimits limits;
    limits.connections = maximumConnections;
    // A balancer may stand before all clients, so that one address may use much, but never everything.
    limits.connectionsPerAddress = std::max<std::size_t>(1, maximumConnections - maximumConnections / 4);
    limits.heldBytes = static_cast<std::size_t>(memoryMb / kPartOfMemory) * kBytesPerMb;
    limits.waitingRequests = maximumConnections;
    return limits;
}

bool beginRefusal(RefusalPeriod& period, TimePoint now)
{
    bool begins = !period.isOn;
    period.isOn = true;
    period.last = now;
    return begins;
}

bool endRefusal(RefusalPeriod& period, TimePoint now)
{
    if (!period.isOn || now - period.last < kQuietTime)
        return false;
    period.isOn = false;
    return true;
}

} // namespace crocuslever
