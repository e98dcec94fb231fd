#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "crocuslever/Time.h"

namespace crocuslever::cell {

/// Settings of one instance: its identity, and the intervals that all instances of a cell share.
struct CellSettings {
    std::string instance;
    std::string incarnation; ///< Unique to each start of the process.
    std::string address; ///< "IP:port" for peers.
    std::string domain; ///< Failure domain.
    std::vector<std::string> seeds; ///< Initial addresses of peers; may be stale.
    std::int64_t milliCpu { 0 }; ///< Processor share of this instance, in thousandths of a core.
    /// Processor time that the polls of one upstream take in a second.
    Duration pollCost { std::chrono::microseconds(1000) };
    std::uint64_t seed { 1 }; ///< Seed of random choices.

    Duration instanceLease { std::chrono::milliseconds(1500) }; ///< In the store; a failed owner is replaced after it.
    Duration runLease { std::chrono::milliseconds(5000) }; ///< Lease of the runs on an upstream.
    /// An owner stops sending orders this long after its last lease renewal.
    Duration ownerLeaseTimeout { std::chrono::milliseconds(6000) };
    Duration configurationDeadline { std::chrono::milliseconds(2000) }; ///< A change has to be in force within this time.
    Duration evacuationDeadline { std::chrono::milliseconds(5000) }; ///< So has the evacuation of a failure domain.
    /// No task starts on an upstream this long after the directory has shown that it drains.
    Duration drainDeadline { std::chrono::milliseconds(2000) };
    Duration stopTime { std::chrono::milliseconds(500) }; ///< Longest time that stopping a run takes.
    Duration gangTimeout { std::chrono::milliseconds(3000) }; ///< How long the members of a gang wait for each other.
    Duration maxEarlyStart { std::chrono::milliseconds(0) }; ///< How long before its due time an occurrence may start.
    Duration finishedRetention { std::chrono::seconds(150) }; ///< How long the state of an ended job is kept in memory.
    Duration stopGrace { std::chrono::milliseconds(4500) }; ///< Grace period of a process shutdown.
    bool requiresKeys { true }; ///< False: the deployment has no teams, and calls need no key.
    bool learnsRunTimes { false }; ///< Judge timeliness by run times of earlier jobs; false: by the submitters' estimates alone.
    double remoteFactor { 2.0 }; ///< Factor on the run time of tasks that run away from their data.
};

} // namespace crocuslever::cell
