#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "crocuslever/Time.h"

namespace crocuslever::testing {

enum class LinkMode {
    Pass, ///< Data is forwarded.
    Cut, ///< Open connections are closed and new ones refused.
    Freeze, ///< Connections stay open and new ones are accepted; no data is forwarded.
    Reset, ///< Open connections are reset, and new ones as soon as they are accepted.
    DropAnswers, ///< Data from the target is discarded; the connection closes 500 ms later.
};

const char* toString(LinkMode);
/// Nothing if no mode has this name.
std::optional<LinkMode> parseLinkMode(const std::string&);

struct LinkFault {
    LinkMode mode { LinkMode::Pass };
    Duration delay { 0 }; ///< Added latency, in each direction.
};

struct LinkStats {
    std::uint64_t accepted { 0 }; ///< Connections accepted so far.
    std::uint64_t open { 0 }; ///< Connections open now.
    std::uint64_t bytesForward { 0 }; ///< Bytes sent to the target.
    std::uint64_t bytesBack { 0 }; ///< Bytes sent to the client.
    std::uint64_t bytesLost { 0 }; ///< Bytes discarded in the mode DropAnswers.
};

/// Forwards TCP connections from one port to another. A fault applies to open connections as well
/// as to new ones.
class FaultLink {
public:
    /// Listens on any free port if `listenPort` is 0. Throws if the port can't be bound.
    FaultLink(boost::asio::io_context&, const std::string& address, unsigned short listenPort, unsigned short targetPort);
    ~FaultLink();
    FaultLink(const FaultLink&) = delete;
    FaultLink& operator=(const FaultLink&) = delete;

    unsigned short port() const;
    void setFault(const LinkFault&);
    LinkFault fault() const;
    LinkStats stats() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace crocuslever::testing
