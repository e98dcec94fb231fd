#pragma once

#include <cstdint>
#include <string>

#include "crocuslever/Time.h"

namespace crocuslever {

/// Listen address and limits of the caller server.
struct CallerServerSettings {
    std::string listenAddress; ///< "IP:port"; port 0 selects a free port.
    std::int64_t maximumBodyBytes { 262144 }; ///< HTTP body; the configuration limits a task's own body.
    std::int64_t maximumHeaderBytes { 8192 };
    int maximumConnections { 2000 };
    int maximumCalls { 1000 }; ///< Concurrent calls in flight, over all connections.
    Duration idleTimeout { std::chrono::seconds(60) }; ///< Longest wait for a request's first byte.
    Duration readTimeout { std::chrono::seconds(10) }; ///< From a request's first byte to its last.
    Duration writeTimeout { std::chrono::seconds(10) };
};

} // namespace crocuslever
