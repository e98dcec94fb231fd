#include "src/cell/Declarations.h"
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
        if (!state.configuration.value || state.configuration.value->version != version)
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

// The check of the configuration needs no history of the store.
BOOST_AUTO_TEST_CASE(ChangeIsMissedWhenTheStoreForgetsItsHistory)
{
    CellFixture cell;
    cell.emulator.policy().version = 2;
    cell.emulator.evacuate("domain-1", true);
    cell.emulator.forgetHistory();
    BOOST_TEST(waitInForce(cell, 2));
    BOOST_TEST(cell.emulator.core(cell.owner()).evacuated.value.count("domain-1") == 1U);
}

// The configuration does not come by a watch, which may hear nothing of a change that the store then drops.
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
    BOOST_REQUIRE(cell.emulator.runUntil(kInForce, [&] { return cell.emulator.core(owner).evacuated.value.count("domain-1") == 1U; }));
    cell.emulator.setStoreDown(true);
    cell.emulator.runFor(std::chrono::seconds(3));
    cell.emulator.evacuate("domain-1", false);
    cell.emulator.setStoreDown(false);
    BOOST_TEST(cell.emulator.runUntil(std::chrono::seconds(3), [&] { return cell.emulator.core(cell.owner()).evacuated.value.empty(); }));
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

// An instance had asked a peer for the configuration that lost power at that moment, and waited 3.7 s for its answer
// while the store had returned.
BOOST_AUTO_TEST_CASE(ConfigurationStaysOldWhileAPeerThatDiedIsWaitedFor)
{
    forEachSeed(30, [&](std::uint64_t seed) {
        EmulatorSettings settings;
        settings.seed = seed;
        CellFixture cell(settings);
        std::size_t dying = cell.other();
        cell.emulator.setStoreDown(true);
        cell.emulator.runFor(std::chrono::milliseconds(4000));
        cell.emulator.setStoreDown(false);
        cell.emulator.runFor(fromMilliseconds(static_cast<std::int64_t>(20 * seed)));
        cell.emulator.kill(dying);
        cell.emulator.policy().version = 2;
        cell.emulator.runFor(kInForce);
        for (std::size_t n = 0; n < 3; ++n) {
            if (n != dying)
                BOOST_TEST(cell.emulator.core(n).configuration.value->version == 2);
        }
    });
}

static EntryOutcome outcomeOf(CellFixture& cell, std::size_t instance, const std::string& prefix)
{
    cell.emulator.submit(jobId(1), makeJob(makeScript(100), { makeStep(1, 500) }), instance, std::chrono::seconds(3), prefix);
    cell.emulator.runFor(std::chrono::seconds(3));
    return cell.emulator.jobs().at(jobId(1)).submitted;
}

// An instance without a path to the store or to a peer can't know whether a route was added.
BOOST_AUTO_TEST_CASE(RouteOfANewerConfigurationIsRefusedAsUnknown)
{
    CellFixture cell;
    std::size_t cut = cell.other();
    cell.emulator.cutFromStore(cut, true);
    cell.emulator.setFramesLost(true);
    cell.emulator.addRoute("/new/", 0);
    cell.emulator.runFor(std::chrono::seconds(3));
    BOOST_TEST((outcomeOf(cell, cut, "/new/") == EntryOutcome::Refused));
}

// The call arrives while the configuration is old and can be confirmed soon after.
BOOST_AUTO_TEST_CASE(CallOnANewRouteWaitsForTheConfiguration)
{
    CellFixture cell;
    std::size_t cut = cell.other();
    cell.emulator.blackholeStore(cut, true);
    cell.emulator.setFramesLost(true);
    cell.emulator.addRoute("/new/", 0);
    cell.emulator.runFor(std::chrono::milliseconds(2500));
    cell.emulator.setFramesLost(false);
    cell.emulator.blackholeStore(cut, false);
    BOOST_TEST((outcomeOf(cell, cut, "/new/") != EntryOutcome::NoRoute));
}

// Calls that a peer answers go on: the store is away from one instance only.
BOOST_AUTO_TEST_CASE(InstanceConfirmsItsConfigurationByPeers)
{
    CellFixture cell;
    std::size_t cut = cell.other();
    cell.emulator.cutFromStore(cut, true);
    cell.emulator.runFor(std::chrono::seconds(10));
    BOOST_TEST((outcomeOf(cell, cut, "/jobs/") == EntryOutcome::Accepted));
    BOOST_TEST((outcomeOf(cell, cut, "/unknown/") == EntryOutcome::NoRoute));
}

static const std::string kRemovedPrefix = "/removed/";

/// Submits a job on a route that is in force everywhere, for a test that removes the route.
static void submitOnRemovableRoute(CellFixture& cell)
{
    cell.emulator.addRoute(kRemovedPrefix, 0);
    BOOST_REQUIRE(waitInForce(cell, 2));
    cell.emulator.submit(jobId(1), makeJob(makeScript(60000), { makeStep(1, 500) }), cell.owner(), std::chrono::seconds(3), kRemovedPrefix);
    BOOST_REQUIRE(cell.emulator.runUntil(std::chrono::seconds(2), [&cell] { return cell.emulator.jobs().at(jobId(1)).isAnswered; }));
}

static void removeRoute(CellFixture& cell)
{
    cell.emulator.policy().routes.pop_back();
    ++cell.emulator.policy().version;
}

// An instance took its own failures for an outage of the store, during which no change can be confirmed.
BOOST_AUTO_TEST_CASE(LookupIsAnsweredOnARemovedRouteByAnInstanceAloneWithoutTheStore)
{
    CellFixture cell;
    submitOnRemovableRoute(cell);
    std::size_t cut = cell.owner();
    cell.emulator.blackholeStore(cut, true);
    cell.emulator.setFramesLost(true);
    // So that no upstream tells the owner of its successor.
    for (const std::string& id : cell.emulator.upstreamIds())
        cell.emulator.cutUpstream(id, true);
    removeRoute(cell);
    cell.emulator.runFor(kInForce + std::chrono::seconds(1));
    BOOST_TEST((cell.emulator.lookUp(jobId(1), cut, kRemovedPrefix).outcome == EntryOutcome::Refused));
}

// Peers had named a newer configuration, which took long to arrive.
BOOST_AUTO_TEST_CASE(LookupIsAnsweredByAConfigurationThatPeersHaveReplaced)
{
    CellFixture cell;
    submitOnRemovableRoute(cell);
    std::size_t cut = cell.owner();
    cell.emulator.setTransfersLost(true);
    cell.emulator.blackholeStore(cut, true);
    removeRoute(cell);
    cell.emulator.runFor(std::chrono::milliseconds(900));
    cell.emulator.setStoreDown(true);
    cell.emulator.runFor(kInForce + std::chrono::seconds(1));
    BOOST_TEST((cell.emulator.lookUp(jobId(1), cut, kRemovedPrefix).outcome == EntryOutcome::Refused));
}

BOOST_AUTO_TEST_CASE(LookupsGoOnWhileTheStoreIsAwayFromAllInstances)
{
    forEachSeed(8, [&](std::uint64_t seed) {
        EmulatorSettings settings;
        settings.seed = seed;
        CellFixture cell(settings);
        cell.emulator.submit(jobId(1), makeJob(makeScript(60000), { makeStep(1, 500) }), cell.owner());
        cell.emulator.runFor(std::chrono::seconds(1));
        cell.emulator.setStoreDown(true);
        for (int n = 0; n < 45; ++n) {
            BOOST_TEST((cell.emulator.lookUp(jobId(1), cell.owner()).outcome == EntryOutcome::State));
            cell.emulator.runFor(std::chrono::milliseconds(100));
        }
    });
}

BOOST_AUTO_TEST_CASE(TasksStartWhileTheStoreIsAwayFromAllInstances)
{
    forEachSeed(8, [&](std::uint64_t seed) {
        EmulatorSettings settings;
        settings.seed = seed;
        settings.upstreams = 1;
        CellFixture cell(settings);
        for (int n = 1; n <= 20; ++n)
            cell.emulator.submit(jobId(n), makeJob(makeScript(400), { makeStep(4, 2000) }), cell.owner());
        cell.emulator.runFor(std::chrono::seconds(1));
        cell.emulator.setStoreDown(true);
        cell.emulator.runFor(std::chrono::milliseconds(4500));
        std::size_t started = cell.emulator.history().size();
        // A round of tasks starts every 0.4 s.
        BOOST_TEST(started >= 4U * 11U);
        cell.checkRules();
    });
}

static CellFixture makeCell(int instances, std::uint64_t seed)
{
    EmulatorSettings settings;
    settings.instances = instances;
    settings.seed = seed;
    return CellFixture(settings);
}

/// Runs the cell for `limit`, and counts the moments at which the instance takes the store for away from the fleet.
static int countBeliefs(CellEmulator& emulator, std::size_t instance, Duration limit)
{
    int count = 0;
    for (TimePoint end = emulator.now() + limit; emulator.now() < end; emulator.runFor(std::chrono::milliseconds(100)))
        count += isStoreAwayFromFleet(emulator.core(instance), emulator.now());
    return count;
}

// Instances that were cut off together told each other that the store was away from the fleet.
BOOST_AUTO_TEST_CASE(OutageIsBelievedOnTheWordOfOneDomain)
{
    for (int instances : { 5, 9 }) {
        for (std::uint64_t seed = 1; seed <= 8; ++seed) {
            BOOST_TEST_CONTEXT(instances << " instances, seed " << seed)
            {
                CellFixture cell = makeCell(instances, seed);
                std::size_t former = cell.owner();
                cell.emulator.cutDomain(cell.emulator.domainOf(former), true);
                BOOST_TEST(countBeliefs(cell.emulator, former, std::chrono::seconds(8)) == 0);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(OutageIsBelievedInALargeFleet)
{
    for (int instances : { 9, 40 }) {
        for (std::uint64_t seed = 1; seed <= 4; ++seed) {
            BOOST_TEST_CONTEXT(instances << " instances, seed " << seed)
            {
                CellFixture cell = makeCell(instances, seed);
                std::size_t owner = cell.owner();
                cell.emulator.setStoreDown(true);
                cell.emulator.runFor(kInForce);
                BOOST_TEST(countBeliefs(cell.emulator, owner, std::chrono::seconds(3)) == 30);
            }
        }
    }
}

static constexpr int kMoments = 30; ///< At which the belief in an outage is looked at.

static int countOutageBeliefs(int instances, bool isOneDead)
{
    CellFixture cell = makeCell(instances, 1);
    CellEmulator& emulator = cell.emulator;
    std::size_t owner = cell.owner();
    std::size_t other = (owner + 1) % static_cast<std::size_t>(instances);
    if (isOneDead)
        emulator.kill(other);
    else
        emulator.cutDomain(emulator.domainOf(other), true);
    emulator.setStoreDown(true);
    emulator.runFor(std::chrono::seconds(3));
    return countBeliefs(emulator, owner, std::chrono::seconds(3));
}

// One dead instance of a small fleet kept the others from believing in an outage.
BOOST_AUTO_TEST_CASE(OutageIsDoubtedAsAnInstanceIsDead)
{
    for (int instances : { 3, 4, 5, 9 })
        BOOST_TEST_CONTEXT(instances << " instances") { BOOST_TEST(countOutageBeliefs(instances, true) == kMoments); }
}

// Silent peers of another domain took the time in which the answers of the others are valid.
BOOST_AUTO_TEST_CASE(OutageIsDoubtedAsAnotherDomainIsSilent)
{
    for (int instances : { 5, 9, 40 })
        BOOST_TEST_CONTEXT(instances << " instances") { BOOST_TEST(countOutageBeliefs(instances, false) == kMoments); }
}

// The owner is the last of its fleet, and the store serves the operators but not the owner.
BOOST_AUTO_TEST_CASE(OwnerAloneWithoutTheStoreStartsTasksOnDrainingUpstreams)
{
    forEachSeed(8, [&](std::uint64_t seed) {
        EmulatorSettings settings;
        settings.seed = seed;
        settings.upstreams = 1;
        CellFixture cell(settings);
        std::size_t owner = cell.owner();
        for (int n = 1; n <= 40; ++n)
            cell.emulator.submit(jobId(n), makeJob(makeScript(400), { makeStep(4, 2000) }), owner);
        cell.emulator.runFor(std::chrono::seconds(1));
        for (std::size_t n = 0; n < 3; ++n) {
            if (n != owner)
                cell.emulator.kill(n);
        }
        cell.emulator.blackholeStore(owner, true);
        cell.emulator.drainUpstream("u0", true);
        TimePoint drainedAt = cell.emulator.now();
        cell.emulator.runFor(std::chrono::seconds(5));
        for (const RunRecord& run : cell.emulator.history())
            BOOST_TEST((run.from <= drainedAt + kInForce));
    });
}

// A large configuration was arriving from the store when a second copy was requested from a peer over the same link.
BOOST_AUTO_TEST_CASE(ConfigurationIsTransferredTwiceOverASlowLink)
{
    CellFixture cell;
    cell.emulator.setTransferTime(std::chrono::milliseconds(900));
    int before = cell.emulator.transfersBetweenInstances();
    for (int n = 0; n < 10; ++n) {
        ++cell.emulator.policy().version;
        BOOST_TEST(waitInForce(cell, cell.emulator.policy().version));
        cell.emulator.runFor(std::chrono::milliseconds(130));
    }
    BOOST_TEST(cell.emulator.transfersBetweenInstances() == before);
}

// The owner read no entry of the directory for eight seconds, and started tasks on upstreams that were leaving.
BOOST_AUTO_TEST_CASE(TasksStartOnDrainingUpstreamsWhileTheDirectoryIsUnreadable)
{
    CellFixture cell;
    cell.emulator.setDirectoryUnreadable(true);
    cell.emulator.drainUpstream("u0", true);
    TimePoint drainedAt = cell.emulator.now();
    for (int n = 1; n <= 40; ++n) {
        cell.emulator.submit(jobId(n), makeJob(makeScript(300), { makeStep(8, 1000) }), cell.other());
        cell.emulator.runFor(std::chrono::milliseconds(200));
    }
    for (const RunRecord& run : cell.emulator.history())
        BOOST_TEST((run.upstream != "u0" || run.from <= drainedAt + kInForce));
    cell.emulator.setDirectoryUnreadable(false);
    BOOST_TEST(cell.waitFor(40, cell::JobState::Completed, std::chrono::seconds(20), cell.owner()));
    cell.checkRules();
}

// A start without an answer was repeated after the owner had read that the upstream drains.
BOOST_AUTO_TEST_CASE(RepeatedStartReachesADrainingUpstream)
{
    forEachSeed(8, [&](std::uint64_t seed) {
        EmulatorSettings settings;
        settings.seed = seed;
        settings.upstreams = 1;
        CellFixture cell(settings);
        cell.emulator.cutUpstream("u0", true);
        cell.emulator.submit(jobId(1), makeJob(makeScript(300), { makeStep(1, 1000) }), cell.other());
        cell.emulator.runFor(std::chrono::milliseconds(300));
        cell.emulator.drainUpstream("u0", true);
        // Longer than between two readings of the directory, shorter than until the last repetition.
        cell.emulator.runFor(std::chrono::milliseconds(600));
        cell.emulator.cutUpstream("u0", false);
        cell.emulator.runFor(std::chrono::seconds(5));
        BOOST_TEST(cell.emulator.history().empty());
    });
}

BOOST_AUTO_TEST_SUITE_END()
