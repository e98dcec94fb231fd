#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>

#include "tests/support/FakeHttpServer.h"
#include "tests/support/FaultLink.h"

namespace crocuslever::testing {

/// A set of links and an HTTP port that controls them. PUT /link/<listen port> with
/// {"mode":"pass|cut|freeze|reset|drop-answers","delay_ms":0} sets a fault; GET /stats returns the
/// fault and statistics of each link.
class FaultProxy {
public:
    FaultProxy(boost::asio::io_context&, const std::string& address, unsigned short controlPort);

    std::string controlEndpoint() const { return m_control.endpoint(); }
    /// Returns the listen port, which is any free port if `listenPort` is 0. Throws if the port can't
    /// be bound.
    unsigned short addLink(unsigned short listenPort, unsigned short targetPort);
    /// Null if no link listens on this port.
    FaultLink* findLink(unsigned short listenPort);

private:
    void setLink(const ExchangePtr&);
    void showStats(const ExchangePtr&);

    boost::asio::io_context& m_io;
    std::string m_address;
    FakeHttpServer m_control;
    std::map<unsigned short, std::unique_ptr<FaultLink>> m_links;
};

} // namespace crocuslever::testing
