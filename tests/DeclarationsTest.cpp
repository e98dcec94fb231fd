#include "tests/CellFixture.h"

using namespace crocuslever;
using namespace crocuslever::cell;
using namespace crocuslever::cell::testing;

BOOST_AUTO_TEST_SUITE(DeclarationsTest)

/// Every instance has to apply a change within this time while the store is healthy.
static constexpr Duration kInForce = std::chrono::milliseconds(2000);

static bool isInForce(const CellFixture& cell, std::int64_t version)
{
    for (int n = 0; n < cell.settings.instances; ++n) {
        const CellState& state = cell.emulator.core(static_cast<std::size_t>(n));
        if (!state.policy || state.policy->version != version)
            return false;
    }
    return true;
}

static bool waitInForce(CellFixture& cell, std::int64_t version)
{
    return cell.emulator.runUntil(kInForce, [&] { return isInForce(cell, version); });
}

// All instances read the whole configuration 2.5 times a second, which took most of a small instance's link.
BOOST_AUTO_TEST_CASE(UnchangedConfigurationIsReadAgainAndAgain)
{
    CellFixture cell;
    int before = cell.emulator.configurationsRead();
    cell.emulator.runFor(std::chrono::seconds(10));
    BOOST_TEST(cell.emulator.configurationsRead() == before);
}

BOOST_AUTO_TEST_CASE(EachChangeIsReadOnceByEachInstance)
{
    CellFixture cell;
    int before = cell.emulator.configurationsRead();
    cell.emulator.policy().version = 2;
    BOOST_TEST(waitInForce(cell, 2));
    cell.emulator.policy().version = 3;
    BOOST_TEST(waitInForce(cell, 3));
    BOOST_TEST(cell.emulator.configurationsRead() - before == 2 * cell.settings.instances);
}

// The declarations are listed again after the store has forgotten what changed.
BOOST_AUTO_TEST_CASE(ChangeIsMissedWhenTheStoreForgetsItsHistory)
{
    CellFixture cell;
    cell.emulator.policy().version = 2;
    cell.emulator.evacuate("domain-1", true);
    cell.emulator.forgetHistory();
    BOOST_TEST(waitInForce(cell, 2));
    BOOST_TEST(cell.emulator.core(cell.owner()).evacuated.count("domain-1") == 1U);
}

// Watches heard nothing of a change, answered with a revision after it, and the store dropped the change.
BOOST_AUTO_TEST_CASE(ChangeIsSkippedByAnAnswerWithoutIt)
{
    CellFixture cell;
    cell.emulator.setWatchesDeaf(true);
    cell.emulator.policy().version = 2;
    cell.emulator.runFor(std::chrono::seconds(1));
    cell.emulator.forgetHistory();
    cell.emulator.setWatchesDeaf(false);
    BOOST_TEST(waitInForce(cell, 2));
}

// A domain that was taken back while the watch failed must not stay evacuated.
BOOST_AUTO_TEST_CASE(DomainStaysEvacuatedAfterAnOutage)
{
    CellFixture cell;
    cell.emulator.evacuate("domain-1", true);
    std::size_t owner = cell.owner();
    BOOST_REQUIRE(cell.emulator.runUntil(kInForce, [&] { return cell.emulator.core(owner).evacuated.count("domain-1") == 1U; }));
    cell.emulator.setStoreDown(true);
    cell.emulator.runFor(std::chrono::seconds(3));
    cell.emulator.evacuate("domain-1", false);
    cell.emulator.setStoreDown(false);
    BOOST_TEST(cell.emulator.runUntil(std::chrono::seconds(3), [&] { return cell.emulator.core(cell.owner()).evacuated.empty(); }));
}

// An instance that the store turns away waits for changes through a peer.
BOOST_AUTO_TEST_CASE(InstanceTurnedAwayByTheStoreKeepsAnOldConfiguration)
{
    CellFixture cell;
    cell.emulator.cutFromStore(cell.other(), true);
    cell.emulator.runFor(std::chrono::seconds(4));
    cell.emulator.policy().version = 2;
    BOOST_TEST(waitInForce(cell, 2));
}

BOOST_AUTO_TEST_SUITE_END()
