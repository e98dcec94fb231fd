#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "crocuslever/Time.h"
#include "tools/crocusload/LoadMix.h"

namespace crocuslever::load {

struct LoadSettings {
    std::vector<std::string> entries; ///< "IP:port"; taken in turn.
    std::vector<Stream> streams;
    Duration duration { 0 }; ///< Of the arrivals; what is under way then gets a while longer.
    std::uint64_t seed { 1 };
    int maximumInFlight { 0 }; ///< Requests and jobs that have not ended.
};

/// How the requests of one stream ended. Each sent one is counted once below it.
struct StreamCounts {
    std::int64_t missed { 0 }; ///< Due, but not sent: too many were in flight.
    std::int64_t sent { 0 };
    std::int64_t done { 0 }; ///< With the right result.
    std::int64_t notRun { 0 };
    std::int64_t unknown { 0 };
    std::int64_t wrong { 0 }; ///< A result that is not the task's, byte for byte.
    std::int64_t invalid { 0 }; ///< Refused as a faulty or unauthorized request.
    std::int64_t lost { 0 }; ///< Accepted, but no entry instance knows the job.
    std::int64_t unfinished { 0 }; ///< Under way when the run ended.
};

/// Latencies count from the intended send time.
struct StreamResult {
    StreamCounts counts;
    std::map<std::string, std::int64_t> reasons; ///< Of refusals and unknown outcomes.
    std::vector<Duration> answered; ///< Urgent: to the answer.
    std::vector<Duration> accepted; ///< Jobs: to acceptance.
    std::vector<Duration> finished; ///< Jobs: to the result.
};

using MetricValues = std::map<std::string, std::int64_t>;

struct InstanceMetrics {
    std::string entry;
    MetricValues before;
    MetricValues after; ///< Empty if the instance did not answer.
};

struct LoadResult {
    std::vector<StreamResult> streams; ///< In the order of the settings.
    std::vector<InstanceMetrics> instances;
};

/// Sends the arrivals at their times whatever the answers, and waits for what is under way.
LoadResult runLoad(const LoadSettings&);

} // namespace crocuslever::load
