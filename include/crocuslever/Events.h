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

/// A message from a peer whose identity the transport has checked.
struct PeerReceived {
    InstanceId from;
    PeerMessage message;
};

/// SIGTERM: hand over, finish what is in flight, stop.
struct ShutdownRequested { };

/// Everything that the edges report to the core.
using Event = std::variant<CallerCall, CallerGone, PeerReceived, StoreTransactionResult, StoreRangeResult,
    StoreLeaseResult, StoreWatchEvents, StoreWatchLost, UpstreamListUpdate, UpstreamFenceResult,
    UpstreamStartResult, UpstreamSyncResult, UpstreamStopResult, ShutdownRequested>;

/// Where an edge hands its events; called on the daemon's one thread.
using EventSink = std::function<void(Event)>;

struct PeerSend {
    InstanceId to;
    std::string address; ///< "IP:port" of the peer's port.
    std::string publicKey; ///< CURVE public key (Z85), or empty.
    PeerMessage message;
};

enum class LogLevel { Debug,
    Info,
    Warning,
    Error };

/// A line for the log; the daemon adds the time and the instance.
struct LogLine {
    LogLevel level { LogLevel::Info };
    std::string step; ///< Which system, e.g. "ownership".
    std::string peer; ///< Who it concerns; may be empty.
    std::string job; ///< May be empty.
    std::string message;
};

/// All is handed over and finished; the daemon may exit.
struct ShutdownComplete {
    int requestsLeft { 0 };
};

/// Everything that the core asks of the edges.
using Action = std::variant<CallerReply, PeerSend, StoreTransaction, StoreRange, StoreLeaseGrant, StoreLeaseKeepAlive,
    StoreLeaseRevoke, StoreWatch, UpstreamFence, UpstreamStart, UpstreamSync, UpstreamStop, LogLine, ShutdownComplete>;

} // namespace crocuslever
