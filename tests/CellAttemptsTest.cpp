// The attempts that a job was promised, whatever the owner's configuration says, in a cell on the emulator.

#include "tests/CellFixture.h"

namespace crocuslever::cell::testing {

BOOST_AUTO_TEST_SUITE(CellAttemptsTest)

static constexpr int kAttempts = 3; ///< Of the emulator's initial route.

static EmulatorSettings makeSettings(std::uint64_t seed, int instances)
{
    EmulatorSettings settings;
    settings.instances = instances;
    settings.seed = seed;
    return settings;
}

// An owner that had read no configuration yet failed a job after one attempt.
BOOST_AUTO_TEST_CASE(OwnerWithoutConfigurationFailsAJob)
{
    forEachSeed(8, [&](std::uint64_t seed) {
        CellFixture cell(makeSettings(seed, 1));
        cell.emulator.submit(jobId(1), makeJob(makeScript(1200, kAttempts - 1), { makeStep(1, 1000) }), 0);
        cell.emulator.runFor(std::chrono::milliseconds(1000));
        BOOST_REQUIRE_EQUAL(cell.startsOf(1), 1);
        cell.emulator.setTransferTime(std::chrono::seconds(4));
        cell.emulator.restart(0);
        BOOST_TEST(cell.waitFor(1, JobState::Completed, std::chrono::seconds(25), 0));
        BOOST_TEST(cell.startsOf(1) == kAttempts);
        cell.checkRules();
    });
}

// An instance that had read no configuration acquired the cell, and could decide nothing.
BOOST_AUTO_TEST_CASE(InstanceWithoutConfigurationAcquiresTheCell)
{
    forEachSeed(8, [&](std::uint64_t seed) {
        CellFixture cell(makeSettings(seed, 3));
        CellEmulator& emulator = cell.emulator;
        emulator.setTransferTime(std::chrono::seconds(4));
        for (std::size_t n = 0; n < 3; ++n)
            emulator.restart(n);
        BOOST_REQUIRE(emulator.runUntil(std::chrono::seconds(15), [&] { return emulator.owner().has_value(); }));
        BOOST_TEST((emulator.core(*emulator.owner()).configuration.value != nullptr));
    });
}

// A job whose task failed while its queue was removed was failed after one attempt.
BOOST_AUTO_TEST_CASE(RemovedQueueFailsAJob)
{
    CellFixture cell;
    CellEmulator& emulator = cell.emulator;
    emulator.submit(jobId(1), makeJob(makeScript(3500, kAttempts - 1), { makeStep(1, 1000) }), cell.other());
    emulator.runFor(std::chrono::milliseconds(500));
    std::vector<Route> routes = emulator.policy().routes;
    emulator.policy().routes.clear();
    ++emulator.policy().version;
    emulator.runFor(std::chrono::seconds(5));
    BOOST_TEST(!cell.isIn(1, JobState::Failed, cell.owner()));
    emulator.policy().routes = routes;
    ++emulator.policy().version;
    BOOST_TEST(cell.waitFor(1, JobState::Completed, std::chrono::seconds(20), cell.owner()));
    BOOST_TEST(cell.startsOf(1) == kAttempts);
    cell.checkRules();
}

// A job accepted with three attempts was failed by an owner whose configuration gave it one.
BOOST_AUTO_TEST_CASE(JobKeepsTheAttemptsItWasAcceptedWith)
{
    CellFixture cell;
    CellEmulator& emulator = cell.emulator;
    emulator.submit(jobId(1), makeJob(makeScript(3500, kAttempts - 1), { makeStep(1, 1000) }), cell.other());
    emulator.runFor(std::chrono::milliseconds(500));
    emulator.policy().routes.front().attempts = 1;
    ++emulator.policy().version;
    BOOST_TEST(cell.waitFor(1, JobState::Completed, std::chrono::seconds(25), cell.owner()));
    BOOST_TEST(cell.startsOf(1) == kAttempts);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace crocuslever::cell::testing
