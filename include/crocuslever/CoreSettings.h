#pragma once

#include <cstdint>
#include <string>

#include "crocuslever/Ids.h"
#include "crocuslever/Time.h"

namespace crocuslever {

/// What the decisions of one instance need to know of its own place and pace.
struct CoreSettings {
    InstanceId self;
    std::string peerAddress; ///< "IP:port" that peers reach it at.
    std::string peerPublicKey; ///< CURVE key (Z85), or empty.
    FailureDomainId domain;
    std::uint64_t seed { 1 }; ///< Of every random choice.

    Duration sessionTtl { std::chrono::seconds(4) }; ///< Whole seconds.
    Duration sessionMargin { std::chrono::milliseconds(800) }; ///< Validity ends this much before the lease.
    Duration keepAliveInterval { std::chrono::milliseconds(1000) };
    Duration heartbeatInterval { std::chrono::milliseconds(250) };
    Duration peerTimeout { std::chrono::milliseconds(800) }; ///< Silence after which a peer gets no new work.
    Duration commitInterval { std::chrono::milliseconds(100) }; ///< Least time between two group commits.
    Duration escrowInterval { std::chrono::milliseconds(200) }; ///< Least time between two grant writes.
    Duration syncInterval { std::chrono::milliseconds(1000) }; ///< Between two calls to an upstream with attempts.
    Duration idleSyncInterval { std::chrono::seconds(5) }; ///< Between two calls to an upstream without any.
    Duration urgentLease { std::chrono::milliseconds(1500) }; ///< Of urgent attempts at the upstream.
    Duration reservationHold { std::chrono::seconds(2) };
    Duration retryInterval { std::chrono::milliseconds(500) }; ///< Least time between two asks of the same peer.
    Duration shutdownDeadline { std::chrono::seconds(20) };
};

} // namespace crocuslever
