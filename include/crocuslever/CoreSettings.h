#pragma once

#include <cstdint>
#include <string>

#include "crocuslever/Ids.h"
#include "crocuslever/Time.h"

namespace crocuslever {

/// Identity and timing parameters of one instance.
struct CoreSettings {
    InstanceId self;
    std::string peerAddress; ///< "IP:port" at which peers connect to this instance.
    std::string peerPublicKey; ///< CURVE key (Z85); empty: connections aren't encrypted.
    FailureDomainId domain;
    std::uint64_t seed { 1 }; ///< Seed of all random choices.

    Duration sessionTtl { std::chrono::seconds(4) }; ///< Must be whole seconds.
    Duration sessionMargin { std::chrono::milliseconds(800) }; ///< Validity ends this long before the lease.
    Duration keepAliveInterval { std::chrono::milliseconds(1000) };
    Duration heartbeatInterval { std::chrono::milliseconds(250) };
    Duration peerTimeout { std::chrono::milliseconds(800) }; ///< Longest silence of a peer that gets new work.
    Duration commitInterval { std::chrono::milliseconds(100) }; ///< Minimum time between two group commits.
    Duration escrowInterval { std::chrono::milliseconds(200) }; ///< Minimum time between two grant writes.
    Duration syncInterval { std::chrono::milliseconds(1000) }; ///< Between two syncs of an upstream with attempts, at most.
    Duration idleSyncInterval { std::chrono::seconds(5) }; ///< Between two syncs of an idle upstream, at most.
    Duration urgentLease { std::chrono::milliseconds(1500) }; ///< Shortest lease of an urgent attempt.
    Duration reservationHold { std::chrono::seconds(2) }; ///< Time after which an unused reservation expires.
    Duration retryInterval { std::chrono::milliseconds(500) }; ///< Minimum time before a request is repeated.
    Duration shutdownDeadline { std::chrono::seconds(20) }; ///< Longest duration of a graceful shutdown.
};

} // namespace crocuslever
