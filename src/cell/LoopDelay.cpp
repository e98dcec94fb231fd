#include "src/cell/LoopDelay.h"

#include <algorithm>

namespace crocuslever::cell {

static constexpr Duration kSmoothingTime = std::chrono::seconds(1);
/// One long turn, as after a pause of the process, is no lasting overload: on top of a delay that leaves slack, it stays
/// below kOverloadDelay.
static constexpr Duration kMostWeightOfTurn = std::chrono::milliseconds(200);
static constexpr Duration kLongestDelayOfTurn = std::chrono::milliseconds(300);
static constexpr Duration kOverloadDelay = std::chrono::milliseconds(100);
static constexpr Duration kSlackDelay = std::chrono::milliseconds(45);
static constexpr int kPausePerDelay = 4; ///< Pause, as a multiple of the delay.
/// Well below the leases of runs, which a poll renews.
static constexpr Duration kLongestPause = std::chrono::milliseconds(1000);

void recordDelay(LoopDelay& loop, Duration delay, TimePoint now)
{
    Duration weight = std::clamp(now - loop.measuredAt, Duration(0), kMostWeightOfTurn);
    loop.measuredAt = now;
    Duration bounded = std::clamp(delay, Duration(0), kLongestDelayOfTurn);
    double share = std::chrono::duration<double>(weight) / std::chrono::duration<double>(kSmoothingTime);
    loop.smoothed += std::chrono::duration_cast<Duration>((bounded - loop.smoothed) * share);
}

bool isOverloaded(const LoopDelay& loop) { return loop.smoothed > kOverloadDelay; }

bool hasSlack(const LoopDelay& loop) { return loop.smoothed < kSlackDelay; }

Duration pauseInOverload(const LoopDelay& loop)
{
    return hasSlack(loop) ? Duration(0) : std::min(kLongestPause, loop.smoothed * kPausePerDelay);
}

} // namespace crocuslever::cell
