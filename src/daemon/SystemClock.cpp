#include "src/daemon/SystemClock.h"

#include <chrono>

namespace crocuslever {

Instant readClock()
{
    TimePoint steady = std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
    Duration wall = std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch());
    return { steady, toMilliseconds(wall) };
}

} // namespace crocuslever
