#pragma once

#include <cstdint>
#include <string>

#include "crocuslever/Time.h"

namespace crocuslever {

/// Where callers are listened to, and what bounds each of them.
struct CallerServerSettings {
    std::string listenAddress; ///< "IP:port"; port 0 takes any free one.
    std::int64_t maximumBodyBytes { 262144 }; ///< As sent; the configuration bounds the work's own body.
    std::int64_t maximumHeaderBytes { 8192 };
    int maximumConnections { 2000 };
    int maximumCalls { 1000 }; ///< In flight at once.
    Duration idleTimeout { std::chrono::seconds(60) }; ///< Between two requests.
    Duration readTimeout { std::chrono::seconds(10) }; ///< From a request's first byte to its last.
    Duration writeTimeout { std::chrono::seconds(10) };
};

} // namespace crocuslever
