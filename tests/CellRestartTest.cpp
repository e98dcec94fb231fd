// Upstreams that start again under their ids, as something else than before.

#include "src/cell/Upstreams.h"
#include "tests/CellFixture.h"

using namespace crocuslever;
using namespace crocuslever::cell;
using namespace crocuslever::cell::testing;

BOOST_AUTO_TEST_SUITE(CellRestartTest)

static const std::string kFormerLabel = "b";
/// The owner learns of a restart from a poll, up to 400 ms before it reads the entry. Which of the two is first, and by how much,
/// depends on the times of both, and so on the seed.
static constexpr std::uint64_t kSeeds = 20;
static constexpr Duration kSettlingStep = std::chrono::milliseconds(40);
static constexpr Duration kLeastDownTime = std::chrono::milliseconds(1000);
static constexpr Duration kDownTimeStep = std::chrono::milliseconds(50);
static constexpr std::int64_t kRunMs = 3000;

/// A cell of two upstreams. The first starts again while jobs wait for room on both.
struct RestartFixture : CellFixture {
    explicit RestartFixture(std::uint64_t seed)
        : CellFixture(makeSettings(seed))
    {
        for (const std::string& id : emulator.upstreamIds())
            emulator.entryOf(id).labels = { kFormerLabel };
        emulator.runFor(std::chrono::seconds(1) + kSettlingStep * static_cast<std::int64_t>(seed));
    }

    static EmulatorSettings makeSettings(std::uint64_t seed)
    {
        EmulatorSettings settings;
        settings.upstreams = 2;
        settings.seed = seed;
        return settings;
    }

    void submitMoreThanFits(const StepSpec& step)
    {
        for (int n = 1; n <= 40; ++n)
            emulator.submit(jobId(n), makeJob(makeScript(kRunMs), { step }), other());
        emulator.runFor(std::chrono::milliseconds(500));
    }

    /// The first upstream is down for a while and starts again as `entry` says.
    void restart(const DirectoryEntry& entry)
    {
        emulator.cutUpstream("u0", true);
        emulator.runFor(kLeastDownTime + kDownTimeStep * static_cast<std::int64_t>(settings.seed));
        emulator.entryOf("u0") = entry;
        emulator.crashUpstream("u0");
        emulator.cutUpstream("u0", false);
        restartedAt = emulator.now();
    }

    DirectoryEntry entry() { return emulator.entryOf("u0"); }

    std::vector<RunRecord> startsSinceRestart() const
    {
        std::vector<RunRecord> starts;
        std::copy_if(emulator.history().begin(), emulator.history().end(), std::back_inserter(starts), [this](const RunRecord& it) { return it.upstream == "u0" && it.from > restartedAt; });
        return starts;
    }

    TimePoint restartedAt;
};

/// Restarts the upstream on each seed, with its entry as `change` leaves it, while tasks wait that fit it as it was before. Checks
/// that at most `most` of them start there.
static void checkStartsAfterRestart(const StepSpec& step, const std::function<void(DirectoryEntry&)>& change, std::size_t most)
{
    constexpr Duration kObserved = std::chrono::milliseconds(kRunMs) * 2 / 3; // No run ends, and none makes room.
    forEachSeed(kSeeds, [&](std::uint64_t seed) {
        RestartFixture cell(seed);
        cell.submitMoreThanFits(step);
        DirectoryEntry entry = cell.entry();
        change(entry);
        cell.restart(entry);
        cell.emulator.runFor(kObserved);
        BOOST_TEST(cell.startsSinceRestart().size() <= most);
    });
}

// review/15: tasks started on an upstream without the label that they need, which it had before it was restarted.
BOOST_AUTO_TEST_CASE(RestartedUpstreamGetsTasksByItsFormerLabels)
{
    StepSpec step = makeStep(2, 2000);
    step.requiredLabel = kFormerLabel;
    checkStartsAfterRestart(
        step, [](DirectoryEntry& entry) { entry.labels = { "a" }; }, 0);
}

// A smaller successor under the same id got as many tasks as fitted before.
BOOST_AUTO_TEST_CASE(RestartedUpstreamGetsTasksByItsFormerCapacity)
{
    checkStartsAfterRestart(
        makeStep(2, 2000), [](DirectoryEntry& entry) { entry.capacity = { 2000, 16000, 0, 0 }; }, 1);
}

// So did one that serves another queue.
BOOST_AUTO_TEST_CASE(RestartedUpstreamGetsTasksOfItsFormerService)
{
    checkStartsAfterRestart(
        makeStep(2, 2000), [](DirectoryEntry& entry) { entry.service = "other"; }, 0);
}

// An upstream that is drained in its new incarnation got work until the directory was read.
BOOST_AUTO_TEST_CASE(RestartedUpstreamGetsTasksWhileItDrains)
{
    checkStartsAfterRestart(
        makeStep(2, 2000), [](DirectoryEntry& entry) { entry.draining = true; }, 0);
}

// One that is as it was before works again as soon as its entry is read; the wait is counted.
BOOST_AUTO_TEST_CASE(RestartedUpstreamIsNotUsedAgain)
{
    RestartFixture cell(1);
    cell.submitMoreThanFits(makeStep(2, 2000));
    cell.restart(cell.entry());
    cell.emulator.runFor(std::chrono::milliseconds(1200));
    BOOST_TEST(cell.startsSinceRestart().size() >= 4U);
    BOOST_TEST(cell.emulator.core(cell.owner()).counters.get("upstream_entry_wait_seconds_count") == 1);
    cell.checkRules();
    cell.checkAccounting();
}

// While the directory can't be read nothing is known of it. It must not be used, and must be as soon as it can.
BOOST_AUTO_TEST_CASE(RestartedUpstreamIsUsedBeforeItsEntryIsRead)
{
    RestartFixture cell(1);
    cell.submitMoreThanFits(makeStep(2, 2000));
    cell.emulator.setDirectoryUnreadable(true);
    cell.restart(cell.entry());
    cell.emulator.runFor(std::chrono::milliseconds(1200));
    BOOST_TEST(cell.startsSinceRestart().empty());
    cell.emulator.setDirectoryUnreadable(false);
    cell.emulator.runFor(std::chrono::milliseconds(1500));
    BOOST_TEST(!cell.startsSinceRestart().empty());
    cell.checkRules();
}

// An upstream at whose address a later one was listed stood idle for good once it had started again under its id.
BOOST_AUTO_TEST_CASE(ReplacedUpstreamThatStartsAgainStandsIdle)
{
    RestartFixture cell(1);
    cell.emulator.cutUpstream("u0", true);
    cell.emulator.addOddEntry("u0");
    cell.emulator.runFor(std::chrono::seconds(3));
    BOOST_TEST_REQUIRE(cell.emulator.core(cell.owner()).upstreams.at("u0").isReplaced);
    cell.restart(cell.entry());
    cell.emulator.runFor(std::chrono::seconds(1));
    cell.submitMoreThanFits(makeStep(2, 2000));
    BOOST_TEST(!cell.startsSinceRestart().empty());
}

BOOST_AUTO_TEST_SUITE_END()
