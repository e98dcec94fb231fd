#include "src/daemon/SystemClock.h"

#include <chrono>
#include <ctime>

namespace crocuslever {

Instant readClock()
{
    TimePoint steady = std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
    Duration wall = std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch());
    return { steady, toMilliseconds(wall) };
}

Instant readBootClock()
{
    timespec ts {};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    Duration monotonic = std::chrono::seconds(ts.tv_sec) + std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(ts.tv_nsec));
    return { TimePoint(monotonic), readClock().wallMs };
}

} // namespace crocuslever
