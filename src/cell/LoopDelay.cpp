#include "src/cell/LoopDelay.h"

#include <algorithm>

namespace crocuslever::cell {

static constexpr Duration kSmoothingTime = std::chrono::seconds(1);
/// One long turn, as after a pause of the process, is no lasting overload: on top of a delay that leaves slack, it stays
/// below kOverloadDelay.
static constexpr Duration kMostWeightOfTurn = std::chrono::milliseconds(200);
static constexpr Duration kLongestDelayOfTurn = std::chrono::milliseconds(300);
static constexpr Duration kBusySmoothingTime = std::chrono::milliseconds(500);
static constexpr double kSaturatedShare = 0.85;
static constexpr Duration kLateDelay = std::chrono::milliseconds(70);
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

void recordTurnEnd(LoopDelay& loop, TimePoint due, TimePoint now)
{
    Duration period = now - loop.endedAt;
    Duration work = now - std::max(due, loop.endedAt);
    loop.endedAt = now;
    if (period <= Duration(0))
        return;
    double share = std::clamp(std::chrono::duration<double>(work) / std::chrono::duration<double>(period), 0.0, 1.0);
    double weight = std::chrono::duration<double>(std::min(period, kMostWeightOfTurn)) / std::chrono::duration<double>(kBusySmoothingTime);
    loop.busyShare += (share - loop.busyShare) * weight;
}

bool hasLateTurns(const LoopDelay& loop) { return loop.smoothed > kLateDelay; }

bool isSaturated(const LoopDelay& loop) { return hasLateTurns(loop) || loop.busyShare > kSaturatedShare; }

bool isOverloaded(const LoopDelay& loop) { return loop.smoothed > kOverloadDelay; }

bool hasSlack(const LoopDelay& loop) { return loop.smoothed < kSlackDelay; }

Duration pauseInOverload(const LoopDelay& loop)
{
    return hasSlack(loop) ? Duration(0) : std::min(kLongestPause, loop.smoothed * kPausePerDelay);
}

} // namespace crocuslever::cell
