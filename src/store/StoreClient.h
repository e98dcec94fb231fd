#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "crocuslever/Events.h"
#include "crocuslever/StoreProtocol.h"
#include "crocuslever/Time.h"

namespace crocuslever {

struct StoreClientSettings {
    std::vector<std::string> endpoints; ///< "IP:port"
    Duration timeout { std::chrono::seconds(2) }; ///< Of each call, connect included.
    Duration watchSilence { std::chrono::seconds(5) }; ///< A watch that says nothing for this long is opened anew.
};

/// The store edge: carries the core's commands to the platform's key-value
/// service and reports what came of them. Leases have connections of their own,
/// so that a slow transaction doesn't hold up a renewal.
class StoreClient {
public:
    StoreClient(boost::asio::io_context&, const StoreClientSettings&, EventSink);
    ~StoreClient();
    StoreClient(const StoreClient&) = delete;
    StoreClient& operator=(const StoreClient&) = delete;

    void execute(const StoreTransaction&);
    void execute(const StoreRange&);
    void execute(const StoreLeaseGrant&);
    void execute(const StoreLeaseKeepAlive&);
    void execute(const StoreLeaseRevoke&);
    void execute(const StoreWatch&);
    /// Closes all connections; nothing is reported any more.
    void stop();
    /// Store calls made so far, a watch counted as one.
    std::uint64_t calls() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace crocuslever
