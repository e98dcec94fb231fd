#pragma once

#include <functional>
#include <string>
#include <variant>

#include "crocuslever/CallerProtocol.h"
#include "crocuslever/Error.h"
#include "crocuslever/PeerMessages.h"
#include "crocuslever/StoreProtocol.h"
#include "crocuslever/UpstreamProtocol.h"

namespace crocuslever {

/// A message from a peer; the transport has authenticated `from`.
struct PeerReceived {
    InstanceId from;
    PeerMessage message;
};

/// SIGTERM: hand over the shards, finish the calls in flight and exit.
struct ShutdownRequested { };

/// Inputs of the core, from the I/O components (the edges).
using Event = std::variant<CallerCall, CallerGone, PeerReceived, StoreTransactionResult, StoreRangeResult,
    StoreLeaseResult, StoreWatchEvents, StoreWatchLost, UpstreamListUpdate, UpstreamFenceResult,
    UpstreamStartResult, UpstreamSyncResult, UpstreamStopResult, ShutdownRequested>;

/// Receives an edge's events; called on the daemon's main thread only.
using EventSink = std::function<void(Event)>;

struct PeerSend {
    InstanceId to;
    std::string address; ///< "IP:port" on which the peer listens.
    std::string publicKey; ///< CURVE public key (Z85); empty: connect without encryption.
    PeerMessage message;
};

enum class LogLevel { Debug,
    Info,
    Warning,
    Error };

/// One log line; the daemon adds the time and the instance.
struct LogLine {
    LogLevel level { LogLevel::Info };
    std::string step; ///< The subsystem, e.g. "ownership".
    std::string peer; ///< The peer or upstream concerned; may be empty.
    std::string job; ///< The job concerned; may be empty.
    std::string message;
};

/// The shutdown is complete; the daemon may exit.
struct ShutdownComplete {
    int requestsLeft { 0 }; ///< Calls still unanswered at the shutdown deadline.
};

/// Outputs of the core, carried out by the edges.
using Action = std::variant<CallerReply, PeerSend, StoreTransaction, StoreRange, StoreLeaseGrant, StoreLeaseKeepAlive,
    StoreLeaseRevoke, StoreWatch, UpstreamFence, UpstreamStart, UpstreamSync, UpstreamStop, LogLine, ShutdownComplete>;

} // namespace crocuslever
