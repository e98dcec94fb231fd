// Cuts of a failure domain: an owner that is cut off, and its successors, on the emulator.

#include <boost/test/unit_test.hpp>

#include "tests/CellFixture.h"

namespace crocuslever::cell::testing {

BOOST_AUTO_TEST_SUITE(CellCutTest)

constexpr int kInstances = 9;
constexpr int kJobs = 6;
constexpr int kTasks = 4; ///< Of each job.
constexpr std::uint64_t kSeeds = 12;

/// Three instances and two upstreams in each of three failure domains, and tasks in all of them that outlast the test.
struct CutFixture : CellFixture {
    explicit CutFixture(std::uint64_t seed)
        : CellFixture(makeSettings(seed))
    {
        for (int n = 1; n <= kJobs; ++n)
            emulator.submit(jobId(n), makeJob(makeScript(60000), { makeStep(kTasks, 1000) }), other());
        emulator.runFor(std::chrono::seconds(2));
        for (int n = 1; n <= kJobs; ++n)
            BOOST_REQUIRE_EQUAL(startsOf(n), kTasks);
    }

    static EmulatorSettings makeSettings(std::uint64_t seed)
    {
        EmulatorSettings settings;
        settings.instances = kInstances;
        settings.seed = seed;
        return settings;
    }

    /// Waits until there is an owner besides `former`, and returns it.
    std::size_t awaitSuccessor(std::size_t former)
    {
        BOOST_REQUIRE(emulator.runUntil(std::chrono::seconds(5), [&] { return emulator.ownerOtherThan(former).has_value(); }));
        return *emulator.ownerOtherThan(former);
    }
};

// The former owner took leases for expired that its successor renewed, and started the tasks again on its side of the cut.
BOOST_AUTO_TEST_CASE(CutOffOwnerStartsTasksThatItsSuccessorKeeps)
{
    forEachSeed(kSeeds, [&](std::uint64_t seed) {
        CutFixture fixture(seed);
        CellEmulator& emulator = fixture.emulator;
        std::size_t former = fixture.owner();
        std::string domain = emulator.domainOf(former);
        emulator.cutDomain(domain, true);
        fixture.awaitSuccessor(former);
        emulator.runFor(std::chrono::seconds(20));
        emulator.cutDomain(domain, false);
        emulator.runFor(std::chrono::seconds(10));
        fixture.checkRules();
    });
}

// The same, by an owner that had been waiting for the leases of its predecessor's runs when it was cut off itself.
BOOST_AUTO_TEST_CASE(CutOffSuccessorStartsTasksThatTheThirdOwnerKeeps)
{
    forEachSeed(kSeeds, [&](std::uint64_t seed) {
        CutFixture fixture(seed);
        CellEmulator& emulator = fixture.emulator;
        std::size_t first = fixture.owner();
        emulator.cutDomain(emulator.domainOf(first), true);
        std::size_t second = fixture.awaitSuccessor(first);
        emulator.runFor(std::chrono::milliseconds(6300));
        emulator.cutDomain(emulator.domainOf(second), true);
        emulator.cutDomain(emulator.domainOf(first), false);
        emulator.runFor(std::chrono::seconds(20));
        emulator.cutDomain(emulator.domainOf(second), false);
        emulator.runFor(std::chrono::seconds(10));
        fixture.checkRules();
    });
}

/// A task that runs on one upstream, and another upstream that may run it a second time, as after issue 40.
struct StrayRunFixture : CellFixture {
    static constexpr int kStrayRun = 10001;

    explicit StrayRunFixture(std::uint64_t seed)
        : CellFixture(makeSettings(seed))
    {
        emulator.submit(jobId(1), makeJob(makeScript(12000), { makeStep(1, 1000) }), other());
        BOOST_REQUIRE(waitFor(1, JobState::Running, std::chrono::seconds(3), owner()));
        first = emulator.history().front();
        elsewhere = first.upstream == "u0" ? "u1" : "u0";
    }

    static EmulatorSettings makeSettings(std::uint64_t seed)
    {
        EmulatorSettings settings;
        settings.seed = seed;
        return settings;
    }

    void startStray(const TaskScript& script) { emulator.startStrayRun(elsewhere, first.task, kStrayRun, script); }

    void killOwner()
    {
        std::size_t former = owner();
        emulator.kill(former);
        BOOST_REQUIRE(emulator.runUntil(std::chrono::seconds(6), [&] { return emulator.ownerOtherThan(former).has_value(); }));
    }

    /// The first run has to end as done, and no other may be started beside it.
    void expectNoOtherRun()
    {
        BOOST_TEST(waitFor(1, JobState::Completed, std::chrono::seconds(30), owner()));
        BOOST_TEST(startsOf(1) == 2);
        BOOST_CHECK(emulator.history().front().how == RunEnd::Done);
    }

    RunRecord first;
    std::string elsewhere;
};

// The end of a run with a higher number put its task back to waiting, and it was started again beside the run that went on.
BOOST_AUTO_TEST_CASE(EndOfALaterRunStartsATaskThatStillRuns)
{
    forEachSeed(kSeeds, [&](std::uint64_t seed) {
        StrayRunFixture fixture(seed);
        fixture.startStray(makeScript(12000));
        fixture.expectNoOtherRun();
    });
}

// The same for a successor, which hears of the end before it hears of the run that goes on, or after.
BOOST_AUTO_TEST_CASE(SuccessorStartsATaskThatStillRuns)
{
    forEachSeed(kSeeds, [&](std::uint64_t seed) {
        StrayRunFixture fixture(seed);
        fixture.startStray(makeScript(1, 1));
        fixture.killOwner();
        fixture.expectNoOtherRun();
    });
}

BOOST_AUTO_TEST_CASE(DoneEndOfALaterRunCounts)
{
    StrayRunFixture fixture(1);
    fixture.startStray(makeScript(1));
    BOOST_TEST(fixture.waitFor(1, JobState::Completed, std::chrono::seconds(3), fixture.owner()));
    BOOST_TEST(fixture.startsOf(1) == 2);
}

/// With the answers and orders of a bad network.
static EmulatorSettings makeBusySettings(std::uint64_t seed)
{
    EmulatorSettings settings = CutFixture::makeSettings(seed);
    settings.lateOrders = 0.1;
    settings.lostAnswers = 0.1;
    return settings;
}

static void submitJobs(CellFixture& cell)
{
    for (int n = 1; n <= kJobs; ++n)
        cell.emulator.submit(jobId(n), makeJob(makeScript(1000 + 700 * n), { makeStep(kTasks, 1000), makeStep(kTasks, 1000) }), cell.other());
    cell.emulator.runFor(std::chrono::milliseconds(700));
}

/// An owner is paused three times, for longer than its lease or not, and then handles all that has reached it at once.
static void playFrozenOwners(const EmulatorSettings& settings)
{
    CellFixture cell(settings);
    submitJobs(cell);
    std::mt19937_64 random(settings.seed);
    for (int n = 0; n < 3; ++n) {
        std::int64_t ms = 3000 + static_cast<std::int64_t>(random() % 5000);
        cell.emulator.freeze(cell.owner(), fromMilliseconds(ms));
        cell.emulator.runFor(fromMilliseconds(ms + 1500));
    }
    cell.emulator.runFor(std::chrono::seconds(10));
    BOOST_TEST(cell.emulator.core(cell.owner()).ownership.token > 1);
    cell.checkRules();
}

BOOST_AUTO_TEST_CASE(FrozenOwnersBreakNoRule)
{
    forEachSeed(kSeeds, [&](std::uint64_t seed) {
        playFrozenOwners(CutFixture::makeSettings(seed));
        playFrozenOwners(makeBusySettings(seed));
    });
}

BOOST_AUTO_TEST_CASE(FrozenOwnersWithDelegatesBreakNoRule)
{
    forEachSeed(kSeeds, [&](std::uint64_t seed) {
        EmulatorSettings settings = makeBusySettings(seed);
        settings.pollCost = std::chrono::milliseconds(50);
        playFrozenOwners(settings);
    });
}

// Each owner's domain is cut off in turn, both ways or as a sender only.
BOOST_AUTO_TEST_CASE(CutsInSeriesBreakNoRule)
{
    forEachSeed(kSeeds, [&](std::uint64_t seed) {
        CellFixture cell(makeBusySettings(seed));
        submitJobs(cell);
        std::mt19937_64 random(seed);
        for (int n = 0; n < 3; ++n) {
            std::string domain = cell.emulator.domainOf(cell.owner());
            bool isOneWay = random() % 2 == 0;
            if (isOneWay)
                cell.emulator.muteDomain(domain, true);
            else
                cell.emulator.cutDomain(domain, true);
            cell.emulator.runFor(fromMilliseconds(3000 + static_cast<std::int64_t>(random() % 6000)));
            cell.emulator.muteDomain(domain, false);
            cell.emulator.cutDomain(domain, false);
            cell.emulator.runFor(fromMilliseconds(static_cast<std::int64_t>(random() % 1500)));
        }
        cell.emulator.runFor(std::chrono::seconds(10));
        BOOST_TEST(cell.emulator.core(cell.owner()).ownership.token > 1);
        cell.checkRules();
    });
}

// A former owner without the store took the restart of an upstream for the end of runs that its successor had seen end as done.
BOOST_AUTO_TEST_CASE(FormerOwnerStartsTasksThatEndedBeforeARestart)
{
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        for (int healMs : { 4900, 5200 }) {
            BOOST_TEST_CONTEXT("seed " << seed << ", " << healMs << " ms")
            {
                CellFixture cell(CutFixture::makeSettings(seed));
                CellEmulator& emulator = cell.emulator;
                for (int n = 1; n <= kJobs; ++n)
                    emulator.submit(jobId(n), makeJob(makeScript(5200), { makeStep(kTasks, 1000) }), cell.other());
                emulator.runFor(std::chrono::milliseconds(1000));
                std::size_t former = cell.owner();
                std::string domain = emulator.domainOf(former);
                emulator.cutFromStore(former, true);
                emulator.cutDomain(domain, true);
                emulator.runFor(fromMilliseconds(healMs));
                for (int n = 0; n < EmulatorSettings {}.upstreams; ++n) {
                    if ("domain-" + std::to_string(n % 3) != domain)
                        emulator.crashUpstream("u" + std::to_string(n));
                }
                emulator.cutDomain(domain, false);
                emulator.runFor(std::chrono::seconds(10));
                emulator.cutFromStore(former, false);
                emulator.runFor(std::chrono::seconds(5));
                cell.checkRules();
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace crocuslever::cell::testing
