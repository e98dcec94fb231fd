// Cancellations that overtake the submission of their job, in a cell on the emulator and step by step.

#include "src/cell/Keys.h"
#include "tests/CellFixture.h"
#include "tests/StoreCallsFixture.h"

namespace crocuslever::cell::testing {

BOOST_AUTO_TEST_SUITE(CellWithdrawalTest)

// A job ran after its cancelling was answered with 410: an instance that was paused submitted it later.
BOOST_AUTO_TEST_CASE(PausedInstanceSubmitsACancelledJob)
{
    forEachSeed(8, [&](std::uint64_t seed) {
        EmulatorSettings settings;
        settings.seed = seed;
        CellFixture cell(settings);
        CellEmulator& emulator = cell.emulator;
        std::size_t paused = cell.other();
        std::size_t third = 3 - paused - cell.owner();
        emulator.freeze(paused, std::chrono::seconds(4));
        emulator.submit(jobId(1), makeJob(makeScript(1000), { makeStep(2, 1000) }), paused);
        emulator.runFor(std::chrono::milliseconds(300));
        emulator.cancel(jobId(1), third);
        emulator.runFor(std::chrono::seconds(10));
        BOOST_TEST((emulator.jobs().at(jobId(1)).cancelledAt != TimePoint::max()));
        BOOST_TEST((emulator.jobs().at(jobId(1)).submitted == EntryOutcome::Gone));
        BOOST_TEST(cell.startsOf(1) == 0);
        BOOST_TEST((emulator.lookUp(jobId(1), third).outcome == EntryOutcome::Gone));
        cell.checkRules();
    });
}

// What a cancellation of an unknown job leaves in the store refuses a submission for a while, and would pile up for ever.
BOOST_AUTO_TEST_CASE(WithdrawalStaysForever)
{
    CellFixture cell;
    CellEmulator& emulator = cell.emulator;
    emulator.cancel(jobId(1), cell.other());
    emulator.runFor(std::chrono::seconds(1));
    emulator.submit(jobId(1), makeJob(makeScript(300), { makeStep(1, 1000) }), cell.other());
    emulator.runFor(std::chrono::seconds(2));
    BOOST_TEST(cell.startsOf(1) == 0);
    emulator.runFor(std::chrono::minutes(7));
    emulator.submit(jobId(1), makeJob(makeScript(300), { makeStep(1, 1000) }), cell.other());
    BOOST_TEST(cell.waitFor(1, JobState::Completed, std::chrono::seconds(5), cell.other()));
}

// The job is stored between the reads of the cancellation and its withdrawal.
BOOST_AUTO_TEST_CASE(CancellationMissesAJobThatIsStoredMeanwhile)
{
    forEachSeed(40, [&](std::uint64_t seed) {
        EmulatorSettings settings;
        settings.seed = seed;
        CellFixture cell(settings);
        CellEmulator& emulator = cell.emulator;
        emulator.cancel(jobId(1), cell.other());
        emulator.runFor(std::chrono::milliseconds(seed));
        emulator.submit(jobId(1), makeJob(makeScript(6000), { makeStep(2, 1000) }), cell.owner());
        emulator.runFor(std::chrono::seconds(8));
        BOOST_TEST((emulator.jobs().at(jobId(1)).cancelledAt != TimePoint::max()));
        for (const RunRecord& run : emulator.history())
            BOOST_TEST((run.how != RunEnd::Done));
        cell.checkRules();
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace crocuslever::cell::testing
