// Limits of teams in a cell on the emulator.

#include "tests/CellFixture.h"

using namespace crocuslever;
using namespace crocuslever::cell;
using namespace crocuslever::cell::testing;

BOOST_AUTO_TEST_SUITE(CellTeamLimitTest)

static constexpr std::int64_t kLimit = 12000; // milliCpu
static constexpr std::int64_t kTask = 1000; // milliCpu

struct TeamFixture : CellFixture {
    explicit TeamFixture(const EmulatorSettings& emulatorSettings = {})
        : CellFixture(emulatorSettings)
    {
        emulator.policy().teams["team"] = cell::Team { "team", 1.0, { kLimit, 0, 0, 0 }, { "key" } };
        emulator.policy().teamOfKey["key"] = "team";
        ++emulator.policy().version;
        emulator.runFor(std::chrono::seconds(2));
    }

    void submit(int n, int tasks, std::size_t instance)
    {
        emulator.submit(jobId(n), makeJob(makeScript(20000), { makeStep(tasks, kTask) }), instance, std::chrono::seconds(3), "/jobs/", "key");
    }

    /// Largest processor share that all runs had at once.
    std::int64_t mostRunningCores() const
    {
        std::int64_t most = 0;
        for (const RunRecord& run : emulator.history())
            most = std::max(most, runningCores(run.from));
        return most;
    }
};

// A new owner did not count what ran on upstreams that it had not reached, and started new jobs of the team beyond its limit.
BOOST_AUTO_TEST_CASE(TeamExceedsItsLimitAfterATakeover)
{
    forEachSeed(8, [&](std::uint64_t seed) {
        EmulatorSettings settings;
        settings.seed = seed;
        TeamFixture cell(settings);
        std::size_t first = cell.owner();
        cell.submit(1, 12, first);
        cell.emulator.runFor(std::chrono::seconds(1));
        BOOST_REQUIRE(cell.runningCores(cell.emulator.now()) == kLimit);
        for (const char* id : { "u0", "u1", "u2" })
            cell.emulator.cutUpstream(id, true);
        cell.emulator.kill(first);
        std::size_t second = cell.owner();
        cell.submit(2, 12, second);
        cell.emulator.runFor(std::chrono::seconds(14));
        BOOST_TEST(cell.mostRunningCores() <= kLimit + kTask);
        // The limit is used again once the earlier leases are over.
        BOOST_TEST(cell.runningCores(cell.emulator.now()) == kLimit);
        cell.checkAccounting();
    });
}

// Teams that have nothing unaccounted for start at once.
BOOST_AUTO_TEST_CASE(OtherTeamWaitsForUnreachableUpstreams)
{
    TeamFixture cell;
    std::size_t first = cell.owner();
    cell.submit(1, 12, first);
    cell.emulator.runFor(std::chrono::seconds(1));
    cell.emulator.cutUpstream("u0", true);
    cell.emulator.kill(first);
    std::size_t second = cell.owner();
    cell.emulator.runFor(std::chrono::milliseconds(300));
    cell.emulator.submit(jobId(2), makeJob(makeScript(500), { makeStep(2, kTask) }), second);
    BOOST_TEST(cell.emulator.runUntil(std::chrono::seconds(1), [&] { return cell.startsOf(2) == 2; }));
}

BOOST_AUTO_TEST_SUITE_END()
