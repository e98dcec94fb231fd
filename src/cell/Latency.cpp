#include "src/cell/Latency.h"

#include <array>

namespace crocuslever::cell {

namespace {

struct Bucket {
    const char* bound;
    Duration most;
};

} // namespace

static const std::array<Bucket, 9> kBuckets { {
    { "0.01", std::chrono::milliseconds(10) },
    { "0.025", std::chrono::milliseconds(25) },
    { "0.05", std::chrono::milliseconds(50) },
    { "0.1", std::chrono::milliseconds(100) },
    { "0.25", std::chrono::milliseconds(250) },
    { "0.5", std::chrono::milliseconds(500) },
    { "1", std::chrono::milliseconds(1000) },
    { "2.5", std::chrono::milliseconds(2500) },
    { "10", std::chrono::milliseconds(10000) },
} };

void observeLatency(Counters& counters, const std::string& name, Duration value)
{
    for (const Bucket& bucket : kBuckets)
        counters.add(name + "_bucket{le=\"" + bucket.bound + "\"}", value <= bucket.most ? 1 : 0);
    counters.add(name + "_bucket{le=\"+Inf\"}");
    counters.add(name + "_count");
    counters.add(name + "_sum_ms", toMilliseconds(value));
}

} // namespace crocuslever::cell
