#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "crocuslever/Time.h"
#include "tools/crocusload/LoadMix.h"

namespace crocuslever::load {

struct LoadSettings {
    std::vector<std::string> entries; ///< "IP:port"; used in turn.
    std::vector<Stream> streams;
    Duration duration { 0 }; ///< How long work arrives; the run then waits for unfinished work.
    std::uint64_t seed { 1 };
    int maximumInFlight { 0 }; ///< Limit of requests and jobs that have not ended.
};

/// How the requests and jobs of one stream ended. Each one sent is counted in exactly one of the
/// fields below `sent`.
struct StreamCounts {
    std::int64_t missed { 0 }; ///< Due, but not sent: too many were in flight.
    std::int64_t sent { 0 };
    std::int64_t done { 0 }; ///< Ended with the expected result.
    std::int64_t notRun { 0 }; ///< Refused, or ended without a result.
    std::int64_t unknown { 0 }; ///< May have run.
    std::int64_t wrong { 0 }; ///< Ended with a result that differs from the expected bytes.
    std::int64_t invalid { 0 }; ///< Refused as malformed or unauthorized.
    std::int64_t lost { 0 }; ///< Accepted, but no entry instance knows the job.
    std::int64_t unfinished { 0 }; ///< Still in progress when the run ended.
};

/// Latencies are measured from the time at which the request was due to be sent.
struct StreamResult {
    StreamCounts counts;
    std::map<std::string, std::int64_t> reasons; ///< Refusals and unknown outcomes by "outcome/reason".
    std::vector<Duration> answered; ///< Of urgent requests: until the answer.
    std::vector<Duration> accepted; ///< Of jobs: until acceptance.
    std::vector<Duration> finished; ///< Of jobs: until the result.
};

using MetricValues = std::map<std::string, std::int64_t>;

struct InstanceMetrics {
    std::string entry;
    MetricValues before; ///< At the start of the run; empty if the instance did not answer.
    MetricValues after; ///< At its end; empty if the instance did not answer.
};

struct LoadResult {
    std::vector<StreamResult> streams; ///< In the order of the settings.
    std::vector<InstanceMetrics> instances;
};

/// Sends each request when it is due, regardless of the answers to earlier ones (open loop), and waits
/// for unfinished work at the end.
LoadResult runLoad(const LoadSettings&);

} // namespace crocuslever::load
