#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "crocuslever/CoreSettings.h"
#include "crocuslever/Error.h"
#include "crocuslever/Events.h"
#include "src/callers/CallerServerSettings.h"

namespace crocuslever {

/// The settings of one daemon, read at its start.
struct Settings {
    CoreSettings core;
    CallerServerSettings callers;

    std::string peerBindAddress; ///< "IP:port" that the peer port listens on.
    std::string peerSecretKey; ///< CURVE key (Z85); empty when insecure.
    bool peersInsecure { false }; ///< Peer traffic is not encrypted; no CURVE keys are set.

    std::vector<std::string> storeEndpoints; ///< "IP:port" each.
    Duration storeTimeout { std::chrono::seconds(2) };

    std::string instanceListUrl; ///< "IP:port/path", polled for the platform's list of instances.
    Duration instanceListInterval { std::chrono::seconds(1) };

    Duration upstreamTimeout { std::chrono::seconds(2) };
    int connectionsPerUpstream { 32 };
    std::int64_t maximumResultBytes { 262144 };

    /// How long calls are still accepted after SIGTERM, so that the load balancer sees /readyz fail.
    Duration drainTime { std::chrono::seconds(1) };

    LogLevel logLevel { LogLevel::Info };
    std::string logFile; ///< Empty for standard error, "-" for standard output.
};

/// Parses the settings in YAML. The error's message lists every fault with file, line and key.
/// `fileName` is used in messages only.
Result<Settings> parseSettingsFile(const std::string& text, const std::string& fileName);
/// Reads and parses a settings file; ErrorCode::NotFound if it cannot be read.
Result<Settings> loadSettingsFile(const std::string& fileName);

} // namespace crocuslever
