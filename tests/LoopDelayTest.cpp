#include <boost/test/unit_test.hpp>

#include "src/cell/CellSettings.h"
#include "src/cell/LoopDelay.h"

namespace crocuslever::cell {

BOOST_AUTO_TEST_SUITE(LoopDelayTest)

static constexpr Duration kQuickTurn = std::chrono::milliseconds(8);
static constexpr Duration kNoticed = std::chrono::milliseconds(2000); ///< A lasting delay counts within this time.
static constexpr Duration kOverload = std::chrono::milliseconds(150);

static TimePoint begin() { return TimePoint(std::chrono::seconds(100)); }

/// An event loop that takes `turn` for each turn, and begins each `delay` late.
struct MeasuredLoop {
    MeasuredLoop() { run(kQuickTurn, Duration(0), std::chrono::seconds(5)); }

    void runTurn(Duration turn, Duration delay)
    {
        now += turn;
        recordDelay(loop, delay, now);
    }

    void run(Duration turn, Duration delay, Duration time)
    {
        for (TimePoint end = now + time; now < end;)
            runTurn(turn, delay);
    }

    LoopDelay loop;
    TimePoint now { begin() };
};

BOOST_AUTO_TEST_CASE(PunctualLoopHasSlack)
{
    MeasuredLoop measured;
    BOOST_TEST(hasSlack(measured.loop));
    BOOST_TEST(!isOverloaded(measured.loop));
    BOOST_TEST((measured.loop.smoothed == Duration(0)));
}

BOOST_AUTO_TEST_CASE(DelayIsSmoothedTowardsItsLevel)
{
    MeasuredLoop measured;
    constexpr Duration kDelay = std::chrono::milliseconds(80);
    Duration before = measured.loop.smoothed;
    for (int n = 0; n < 20; ++n) {
        measured.run(kQuickTurn, kDelay, std::chrono::milliseconds(100));
        BOOST_TEST((measured.loop.smoothed > before && measured.loop.smoothed <= kDelay));
        before = measured.loop.smoothed;
    }
    measured.run(kQuickTurn, kDelay, std::chrono::seconds(5));
    BOOST_TEST((measured.loop.smoothed > kDelay - std::chrono::milliseconds(2)));
}

// The weight of a turn is the time that it stands for, so that many short turns don't outweigh a long one.
BOOST_AUTO_TEST_CASE(SmoothingDependsOnTheNumberOfTurns)
{
    MeasuredLoop quick;
    MeasuredLoop slow;
    quick.run(kQuickTurn, kOverload, std::chrono::milliseconds(800));
    slow.run(std::chrono::milliseconds(80), kOverload, std::chrono::milliseconds(800));
    BOOST_TEST((quick.loop.smoothed - slow.loop.smoothed < std::chrono::milliseconds(10)));
    BOOST_TEST((slow.loop.smoothed - quick.loop.smoothed < std::chrono::milliseconds(10)));
}

// A process that was paused turned work away at its next turn.
BOOST_AUTO_TEST_CASE(OneLongTurnIsTakenForOverload)
{
    for (Duration pause : { Duration(std::chrono::milliseconds(300)), Duration(std::chrono::seconds(1)), Duration(std::chrono::seconds(30)) }) {
        BOOST_TEST_CONTEXT("pause of " << toMilliseconds(pause) << " ms")
        {
            MeasuredLoop measured;
            measured.runTurn(pause, pause);
            BOOST_TEST(!isOverloaded(measured.loop));
            measured.run(kQuickTurn, Duration(0), std::chrono::milliseconds(1000));
            BOOST_TEST(hasSlack(measured.loop));
        }
    }
}

// The loop that is paused is about as busy as one may be that has slack.
BOOST_AUTO_TEST_CASE(OneLongTurnOfABusyLoopIsTakenForOverload)
{
    MeasuredLoop measured;
    measured.run(kQuickTurn, std::chrono::milliseconds(35), std::chrono::seconds(5));
    BOOST_REQUIRE(hasSlack(measured.loop));
    measured.runTurn(std::chrono::seconds(5), std::chrono::seconds(5));
    BOOST_TEST(!isOverloaded(measured.loop));
}

// The first turn has no turn before it, so that the time since then is unknown.
BOOST_AUTO_TEST_CASE(FirstTurnCountsAsIfItHadTakenSinceTheStartOfTheMachine)
{
    LoopDelay loop;
    recordDelay(loop, std::chrono::seconds(2), begin());
    BOOST_TEST(!isOverloaded(loop));
}

// Turns of an overloaded loop may be short and late, or as long as they are late.
BOOST_AUTO_TEST_CASE(LastingDelayIsNotNoticed)
{
    for (std::int64_t turnMs : { 8, 150, 400, 1000 }) {
        BOOST_TEST_CONTEXT("turns of " << turnMs << " ms")
        {
            MeasuredLoop measured;
            Duration turn = fromMilliseconds(turnMs);
            measured.run(turn, std::max(turn, kOverload), kNoticed);
            BOOST_TEST(isOverloaded(measured.loop));
            BOOST_TEST(!hasSlack(measured.loop));
        }
    }
}

BOOST_AUTO_TEST_CASE(BarelyLateLoopIsNeitherOverloadedNorHasSlack)
{
    MeasuredLoop measured;
    measured.run(kQuickTurn, std::chrono::milliseconds(70), std::chrono::seconds(10));
    BOOST_TEST(!isOverloaded(measured.loop));
    BOOST_TEST(!hasSlack(measured.loop));
}

// After a deep overload the cell would go on to turn work away for as long as the average takes to fall.
BOOST_AUTO_TEST_CASE(LoopThatHasCaughtUpCountsAsOverloaded)
{
    MeasuredLoop measured;
    measured.run(std::chrono::seconds(1), std::chrono::seconds(10), std::chrono::seconds(30));
    BOOST_REQUIRE(isOverloaded(measured.loop));
    measured.run(kQuickTurn, Duration(0), std::chrono::milliseconds(2500));
    BOOST_TEST(!isOverloaded(measured.loop));
    measured.run(kQuickTurn, Duration(0), std::chrono::milliseconds(1000));
    BOOST_TEST(hasSlack(measured.loop));
}

// The clock of a turn may be read before that of the turn before it; a turn may begin early.
BOOST_AUTO_TEST_CASE(EarlyTurnMakesTheDelayNegative)
{
    MeasuredLoop measured;
    measured.runTurn(kQuickTurn, -std::chrono::seconds(1));
    BOOST_TEST((measured.loop.smoothed >= Duration(0)));
    measured.runTurn(-std::chrono::seconds(1), std::chrono::seconds(1));
    BOOST_TEST((measured.loop.smoothed == Duration(0)));
}

// Polls renew the leases of runs. A pause as long as the lease would end them.
BOOST_AUTO_TEST_CASE(PauseInOverloadOutlastsTheLeaseOfRuns)
{
    MeasuredLoop measured;
    measured.run(std::chrono::seconds(1), std::chrono::hours(1), std::chrono::seconds(60));
    BOOST_TEST((pauseInOverload(measured.loop) > Duration(0)));
    BOOST_TEST((pauseInOverload(measured.loop) <= CellSettings().runLease / 4));
    measured.loop.smoothed = std::chrono::hours(1);
    BOOST_TEST((pauseInOverload(measured.loop) <= CellSettings().runLease / 4));
}

BOOST_AUTO_TEST_CASE(PauseGrowsWithTheDelay)
{
    MeasuredLoop measured;
    measured.run(kQuickTurn, std::chrono::milliseconds(35), std::chrono::seconds(10));
    BOOST_TEST((pauseInOverload(measured.loop) == Duration(0)));
    measured.run(kQuickTurn, std::chrono::milliseconds(60), std::chrono::seconds(10));
    Duration shorter = pauseInOverload(measured.loop);
    measured.run(kQuickTurn, kOverload, std::chrono::seconds(10));
    BOOST_TEST((shorter > Duration(0)));
    BOOST_TEST((pauseInOverload(measured.loop) > shorter));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace crocuslever::cell
