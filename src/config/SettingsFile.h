#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "crocuslever/CoreSettings.h"
#include "crocuslever/Error.h"
#include "crocuslever/Events.h"
#include "src/callers/CallerServerSettings.h"

namespace crocuslever {

/// Everything that one daemon is told at its start.
struct Settings {
    CoreSettings core;
    CallerServerSettings callers;

    std::string peerBindAddress; ///< "IP:port" that the peer port listens on.
    std::string peerSecretKey; ///< CURVE key (Z85); empty when insecure.
    bool peersInsecure { false }; ///< Peers talk in the clear.

    std::vector<std::string> storeEndpoints; ///< "IP:port" each.
    Duration storeTimeout { std::chrono::seconds(2) };

    std::string instanceListUrl; ///< "IP:port/path"
    Duration instanceListInterval { std::chrono::seconds(1) };

    Duration upstreamTimeout { std::chrono::seconds(2) };
    int connectionsPerUpstream { 32 };
    std::int64_t maximumResultBytes { 262144 };

    Duration drainTime { std::chrono::seconds(1) }; ///< After SIGTERM work goes on this long, until the balancer has seen /readyz fail.

    LogLevel logLevel { LogLevel::Info };
    std::string logFile; ///< Empty: standard error.
};

/// Parses the settings. The error's message names every fault by file, line and key.
Result<Settings> parseSettingsFile(const std::string& text, const std::string& fileName);
Result<Settings> loadSettingsFile(const std::string& fileName);

} // namespace crocuslever
