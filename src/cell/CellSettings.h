#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "crocuslever/Time.h"

namespace crocuslever::cell {

/// What one instance is told about itself and about the promises it keeps.
struct CellSettings {
    std::string instance;
    std::string incarnation; ///< New at each start of the process.
    std::string address; ///< "IP:port" that peers reach it at.
    std::string domain; ///< Failure domain.
    std::vector<std::string> seeds; ///< Addresses of peers; may be stale.
    std::int64_t milliCpu { 0 }; ///< What this instance may use of a processor.
    std::uint64_t seed { 1 }; ///< Of random choices.

    Duration instanceLease { std::chrono::milliseconds(1500) }; ///< In the store; an owner that is gone is replaced after it.
    Duration runLease { std::chrono::milliseconds(5000) }; ///< Of what runs on an upstream.
    Duration longestLease { std::chrono::seconds(10) }; ///< Upstreams give no longer one.
    Duration ownerLeaseTimeout { std::chrono::milliseconds(6000) }; ///< Without a renewed lease an owner stops giving orders after this.
    Duration stopTime { std::chrono::milliseconds(500) }; ///< A stop of a run takes at most this.
    Duration gangTimeout { std::chrono::milliseconds(3000) }; ///< A gang's members wait this long for each other.
    Duration maxEarlyStart { std::chrono::milliseconds(0) }; ///< How long before its time an occurrence may start.
    Duration keepFinished { std::chrono::seconds(150) }; ///< How long the state of an ended job is known.
    Duration stopGrace { std::chrono::milliseconds(4500) }; ///< A stop of the process takes at most this.
    double remoteFactor { 2.0 }; ///< Tasks away from their data take this much longer.
};

} // namespace crocuslever::cell
