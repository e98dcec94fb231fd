#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "crocuslever/Time.h"

namespace crocuslever {

/// What the clients of one server may use in total.
struct ConnectionLimits {
    std::size_t connections { 2000 };
    std::size_t connectionsPerAddress { 2000 };
    std::size_t heldBytes { 64U << 20 }; ///< Of the requests that are not answered yet.
    std::size_t waitingRequests { 2000 }; ///< Requests that wait for their answer.
};

enum class ConnectionLimit { None,
    Connections,
    ConnectionsPerAddress,
    HeldBytes,
    WaitingRequests,
    Header,
    Body,
    Time };

/// Name of a limit in counters and log lines.
const char* toString(ConnectionLimit);

/// What the clients of one server use.
struct ConnectionUse {
    std::size_t connections { 0 };
    std::map<std::string, std::size_t> connectionsByAddress;
    std::size_t heldBytes { 0 };
    std::size_t waitingRequests { 0 };
    std::map<ConnectionLimit, std::int64_t> refused; ///< How often each limit refused or closed.
};

/// Counts the connection unless a limit forbids it; returns that limit.
ConnectionLimit admitConnection(const ConnectionLimits&, ConnectionUse&, const std::string& address);
void releaseConnection(ConnectionUse&, const std::string& address);
/// Changes the share `held` of one request to `wanted`; false, and no change, if the total would exceed the limit.
bool reserveBytes(const ConnectionLimits&, ConnectionUse&, std::size_t& held, std::size_t wanted);
void releaseBytes(ConnectionUse&, std::size_t& held);
bool admitRequest(const ConnectionLimits&, ConnectionUse&);
void releaseRequest(ConnectionUse&);

/// Limits of the server for callers.
ConnectionLimits deriveLimits(std::int64_t memoryMb, std::size_t maximumConnections);

/// A time in which limits refuse clients.
struct RefusalPeriod {
    bool isOn { false };
    TimePoint last; ///< Of the refusals.
};

/// Notes a refusal; true if a period begins with it.
bool beginRefusal(RefusalPeriod&, TimePoint now);
/// Ends the period once there was no refusal for some time; true if it ends now.
bool endRefusal(RefusalPeriod&, TimePoint now);

} // namespace crocuslever
