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
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
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
        }
    }
}

// The same, by an owner that had been waiting for the leases of its predecessor's runs when it was cut off itself.
BOOST_AUTO_TEST_CASE(CutOffSuccessorStartsTasksThatTheThirdOwnerKeeps)
{
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
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
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace crocuslever::cell::testing
