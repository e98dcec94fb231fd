#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "crocuslever/Time.h"

namespace crocuslever::testing {

enum class LinkMode {
    Pass,
    Cut, ///< Connections are closed, new ones refused.
    Freeze, ///< Connections stay open and are accepted; nothing moves.
    Reset, ///< Connections are reset, new ones as soon as they are made.
    DropAnswers, ///< What comes back is lost; the connection is closed a little later.
};

const char* toString(LinkMode);
std::optional<LinkMode> parseLinkMode(const std::string&);

struct LinkFault {
    LinkMode mode { LinkMode::Pass };
    Duration delay { 0 }; ///< Of every byte, each way.
};

struct LinkStats {
    std::uint64_t accepted { 0 };
    std::uint64_t open { 0 };
    std::uint64_t bytesForward { 0 };
    std::uint64_t bytesBack { 0 };
    std::uint64_t bytesLost { 0 };
};

/// Passes TCP connections on from one port to another, with faults that also
/// take hold of connections that are already open.
class FaultLink {
public:
    /// Listen port 0 takes any free one. Throws if it can't be bound.
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
