#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>

#include "tests/support/EventLog.h"
#include "tests/support/UpstreamModel.h"

namespace crocuslever::testing {

struct UpstreamServerSettings {
    UpstreamModelSettings model;
    std::uint16_t port { 0 }; ///< Port on the loopback address; 0: any free port.
    int connections { 64 }; ///< Further connections are closed and logged as overcommit.
};

/// Serves an UpstreamModel over HTTP.
class UpstreamServer {
public:
    /// Events are logged unless `log` is null. Throws if the port can't be bound.
    UpstreamServer(boost::asio::io_context&, const UpstreamServerSettings&, std::shared_ptr<EventLog> log);
    ~UpstreamServer();
    UpstreamServer(const UpstreamServer&) = delete;
    UpstreamServer& operator=(const UpstreamServer&) = delete;

    std::uint16_t port() const;
    void setBehaviour(const UpstreamBehaviour&);
    /// Closes the port and all connections.
    void stop();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace crocuslever::testing
