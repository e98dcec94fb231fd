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
    Duration timeout { std::chrono::seconds(2) }; ///< For each call, including the connect.
    Duration watchSilenceTimeout { std::chrono::seconds(5) }; ///< After this time without data a watch is reopened.
};

/// Executes the core's store commands on the platform's key-value service and reports their results
/// as events. Lease calls use separate connections, so that a slow transaction can't delay a renewal.
class StoreClient {
public:
    StoreClient(boost::asio::io_context&, const StoreClientSettings&, EventSink);
    ~StoreClient();
    StoreClient(const StoreClient&) = delete;
    StoreClient& operator=(const StoreClient&) = delete;

    /// Reports a StoreTransactionResult; the outcome is Unknown if no valid answer arrived.
    void execute(const StoreTransaction&);
    /// Reports a StoreRangeResult that holds the whole range at one revision, or `ok` false.
    void execute(const StoreRange&);
    /// Reports a StoreLeaseResult; `ok` is false if no valid answer arrived.
    void execute(const StoreLeaseGrant&);
    /// Reports a StoreLeaseResult; `expired` is set if the lease no longer exists.
    void execute(const StoreLeaseKeepAlive&);
    /// Reports nothing.
    void execute(const StoreLeaseRevoke&);
    /// Replaces the previous watch. Reports StoreWatchEvents, and StoreWatchLost if the watch ends
    /// because it can't continue without a gap.
    void execute(const StoreWatch&);
    /// Closes all connections; no further events are reported.
    void stop();
    /// Number of store calls made so far; each opening of a watch counts as one.
    std::uint64_t calls() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace crocuslever
