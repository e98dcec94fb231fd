// Runs failure scenarios with and without the check that enforces an invariant: the invariant
// must hold with the check enabled, and must be violated once the check is disabled.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <optional>

#include "src/core/Guards.h"
#include "tests/support/CoreSimulation.h"
#include "tests/support/TestWorkload.h"

using namespace crocuslever;
using namespace crocuslever::testing;

namespace {

constexpr int kSeeds = 6;
/// Required limit for drains, withdrawn keys and leaving upstreams to take effect.
constexpr Duration kFewSeconds = std::chrono::seconds(5);

CoreSimulation makeCell(std::uint64_t seed, int upperLimit, int upstreams = 9)
{
    CoreSimulation cell(3, upstreams, makeConfiguration(1, upperLimit), seed);
    BOOST_REQUIRE(cell.runUntil([&] { return cell.allShardsOwned(); }));
    cell.runFor(std::chrono::seconds(1));
    return cell;
}

std::vector<JobId> submitMany(CoreSimulation& cell, int n, bool idempotent, int sleepMs)
{
    std::vector<JobId> jobs;
    for (int i = 0; i < n; ++i) {
        JobSubmission job = makeJob("job-" + std::to_string(i), idempotent, sleepMs);
        cell.call(static_cast<std::size_t>(i % 3), kKey, job);
        jobs.push_back(makeJobId(kTeam, job.idempotencyId));
    }
    return jobs;
}

int countDoubleStarts(const CoreSimulation& cell, const std::vector<JobId>& jobs)
{
    return static_cast<int>(std::count_if(jobs.begin(), jobs.end(), [&](const JobId& job) { return cell.startsOf(job) > 1; }));
}

int countAfter(const std::vector<TimePoint>& times, TimePoint limit)
{
    return static_cast<int>(std::count_if(times.begin(), times.end(), [&](TimePoint at) { return at > limit; }));
}

// Scenarios. Each returns the number of violations of its invariant.

int overcommit(std::uint64_t seed)
{
    CoreSimulation cell = makeCell(seed, 1000);
    for (int n = 0; n < 60; ++n) {
        JobSubmission job = makeJob("large-" + std::to_string(n), true, 2000);
        job.spec.resources.memoryMb = 100000;
        cell.call(static_cast<std::size_t>(n % 3), kKey, job);
    }
    cell.runFor(std::chrono::seconds(6));
    return cell.overcommits();
}

int startBeforeAssignment(std::uint64_t seed)
{
    CoreSimulation cell = makeCell(seed, 1000);
    std::vector<JobId> jobs = submitMany(cell, 30, false, 2000);
    cell.runUntil([&] { return cell.core(1).jobs.size() > 5; }, std::chrono::seconds(1));
    cell.faults(1).cutFromStore = true;
    cell.runFor(std::chrono::seconds(30));
    return countDoubleStarts(cell, jobs);
}

int retryWithoutAsking(std::uint64_t seed)
{
    CoreSimulation cell = makeCell(seed, 1000);
    std::vector<JobId> jobs = submitMany(cell, 30, false, 3000);
    cell.runFor(std::chrono::seconds(1));
    cell.faults(1).alive = false;
    cell.runFor(std::chrono::seconds(20));
    return countDoubleStarts(cell, jobs);
}

int limitUnderFailures(std::uint64_t seed)
{
    constexpr int kLimit = 20;
    CoreSimulation cell = makeCell(seed, kLimit, 27);
    submitMany(cell, 90, false, 15000);
    cell.runFor(std::chrono::seconds(2));
    cell.faults(1).alive = false;
    cell.runFor(std::chrono::seconds(25));
    return std::max(0, cell.maximumRunning(kTeam) - kLimit);
}

int limitUnderHandOvers(std::uint64_t seed)
{
    constexpr int kLimit = 40;
    CoreSimulation cell = makeCell(seed, kLimit, 27);
    submitMany(cell, 200, false, 4000);
    cell.runFor(std::chrono::seconds(2));
    cell.faults(1).alive = false;
    cell.runFor(std::chrono::seconds(8));
    // Shards are handed back to the new instance one by one while their previous owners keep running.
    cell.restart(1);
    cell.runFor(std::chrono::seconds(12));
    return std::max(0, cell.maximumRunning(kTeam) - kLimit);
}

int withdrawnKey(std::uint64_t seed)
{
    CoreSimulation cell = makeCell(seed, 1000);
    cell.call(0, kKey, makeUrgentRequest(10));
    cell.runFor(std::chrono::seconds(1));
    Configuration without = makeConfiguration(2, 1000);
    without.teams[0].keys.clear();
    cell.applyConfiguration(without);
    cell.runFor(kFewSeconds);
    CallId id = cell.call(0, kKey, makeUrgentRequest(10));
    cell.runFor(std::chrono::seconds(3));
    const CallerReply* reply = cell.reply(id);
    return reply != nullptr && reply->outcome == CallOutcome::Unauthorized ? 0 : 1;
}

int domainOut(std::uint64_t seed)
{
    CoreSimulation cell = makeCell(seed, 1000);
    Configuration out = makeConfiguration(2, 1000);
    out.domainsOut.push_back({ FailureDomainId("north"), "power works" });
    cell.applyConfiguration(out);
    TimePoint limit = cell.now().steady + kFewSeconds;
    cell.runFor(kFewSeconds);
    submitMany(cell, 60, true, 500);
    cell.runFor(std::chrono::seconds(5));
    return countAfter(cell.startsIn(FailureDomainId("north")), limit);
}

/// Only the isolated instance can reach its upstreams, so that no other owner's fence can stop it.
int domainOutWhileIsolated(std::uint64_t seed)
{
    CoreSimulation cell = makeCell(seed, 1000);
    for (std::size_t n = 0; n < 9; ++n) {
        cell.faults(0).cutFromUpstreams.insert(n);
        cell.faults(1).cutFromUpstreams.insert(n);
    }
    cell.faults(2).cutFromStore = true;
    cell.faults(2).cutFromPeers = true;
    Configuration out = makeConfiguration(2, 1000);
    // All domains are out of service, whichever upstreams the isolated instance owns.
    for (const char* domain : { "north", "south", "west" })
        out.domainsOut.push_back({ FailureDomainId(domain), "power works" });
    cell.applyConfiguration(out);
    TimePoint limit = cell.now().steady + kFewSeconds;
    cell.runFor(kFewSeconds);
    for (int n = 0; n < 40; ++n)
        cell.call(2, kKey, makeUrgentRequest(200));
    cell.runFor(std::chrono::seconds(3));
    int late = 0;
    for (const char* domain : { "north", "south", "west" })
        late += countAfter(cell.startsIn(FailureDomainId(domain)), limit);
    return late;
}

int leavingUpstream(std::uint64_t seed)
{
    CoreSimulation cell = makeCell(seed, 1000);
    cell.markLeaving(4);
    TimePoint limit = cell.now().steady + kFewSeconds;
    cell.runFor(kFewSeconds);
    submitMany(cell, 60, true, 500);
    cell.runFor(std::chrono::seconds(5));
    return countAfter(cell.startsOn(4), limit);
}

/// The owner accepts the job, but its answer can't reach the entry instance.
int falseNotRun(std::uint64_t seed)
{
    CoreSimulation cell = makeCell(seed, 1000);
    std::vector<CallId> calls;
    std::vector<JobId> jobs;
    for (int n = 0; n < 30; ++n) {
        JobSubmission job = makeJob("honest-" + std::to_string(n), false, 100);
        calls.push_back(cell.call(0, kKey, job));
        jobs.push_back(makeJobId(kTeam, job.idempotencyId));
    }
    cell.step();
    cell.faults(0).cutFromPeers = true;
    cell.runFor(std::chrono::seconds(20));
    cell.faults(0).cutFromPeers = false;
    cell.runFor(std::chrono::seconds(10));
    int falseRefusals = 0;
    for (std::size_t n = 0; n < calls.size(); ++n) {
        const CallerReply* reply = cell.reply(calls[n]);
        if (reply != nullptr && reply->outcome == CallOutcome::NotRun && cell.startsOf(jobs[n]) > 0)
            ++falseRefusals;
    }
    return falseRefusals;
}

int interruptedByShutdown(std::uint64_t seed)
{
    CoreSimulation cell = makeCell(seed, 1000);
    std::vector<CallId> calls(20);
    for (CallId& id : calls)
        id = cell.call(1, kKey, makeUrgentRequest(300));
    cell.runFor(std::chrono::milliseconds(100));
    Actions actions;
    handleEvent(cell.core(1), ShutdownRequested {}, cell.now(), actions);
    cell.runFor(std::chrono::seconds(5));
    return static_cast<int>(std::count_if(calls.begin(), calls.end(), [&](CallId id) {
        const CallerReply* reply = cell.reply(id);
        return reply == nullptr || reply->outcome != CallOutcome::Done;
    }));
}

/// Calls to one owner are delayed for longer than their entry instance waits.
int runTwiceAfterDelay(std::uint64_t seed)
{
    CoreSimulation cell = makeCell(seed, 1000);
    constexpr int kCalls = 40;
    cell.faults(1).peerMessagesHeld = true;
    for (int n = 0; n < kCalls; ++n)
        cell.call(0, kKey, makeUrgentRequest(50));
    cell.runFor(std::chrono::milliseconds(2250));
    cell.faults(1).peerMessagesHeld = false;
    cell.runFor(std::chrono::seconds(3));
    return std::max(0, cell.startsOfTeam(kTeam) - kCalls);
}

int revertedConfiguration(std::uint64_t seed)
{
    CoreSimulation cell = makeCell(seed, 1000);
    cell.applyConfiguration(makeConfiguration(3, 1000));
    cell.runFor(std::chrono::seconds(1));
    cell.applyConfiguration(makeConfiguration(2, 1000));
    cell.runFor(std::chrono::seconds(1));
    int reverted = 0;
    for (std::size_t n = 0; n < 3; ++n)
        reverted += cell.core(n).configuration.current->revision < 3 ? 1 : 0;
    return reverted;
}

using Scenario = int (*)(std::uint64_t seed);

int countViolations(Scenario scenario)
{
    int sum = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed)
        sum += scenario(seed);
    return sum;
}

void checkGuard(Guard guard, Scenario scenario)
{
    BOOST_TEST(countViolations(scenario) == 0);
    ScopedGuardDisabler disabler(guard);
    BOOST_TEST(countViolations(scenario) > 0);
}

} // namespace

BOOST_AUTO_TEST_SUITE(GuardsTest)

BOOST_AUTO_TEST_CASE(NoUpstreamIsOvercommitted) { checkGuard(Guard::RoomCheck, overcommit); }
BOOST_AUTO_TEST_CASE(NothingStartsBeforeItsAssignmentIsDurable) { checkGuard(Guard::DurableAssignment, startBeforeAssignment); }
BOOST_AUTO_TEST_CASE(ARecoveredAssignmentIsQueriedFirst) { checkGuard(Guard::QueryBeforeRetry, retryWithoutAsking); }
BOOST_AUTO_TEST_CASE(TheLimitHoldsByGrants) { checkGuard(Guard::TeamQuotaCheck, limitUnderFailures); }
BOOST_AUTO_TEST_CASE(TheLimitHoldsWhenGrantsMoveAfterAFailure) { checkGuard(Guard::GrantTransfer, limitUnderFailures); }
BOOST_AUTO_TEST_CASE(TheLimitHoldsWhileShardsAreHandedOver) { checkGuard(Guard::HandOverCharge, limitUnderHandOvers); }
BOOST_AUTO_TEST_CASE(WithdrawnKeyIsRejected) { checkGuard(Guard::KeyCheck, withdrawnKey); }
BOOST_AUTO_TEST_CASE(NoStartDuringDomainOutage) { checkGuard(Guard::DomainCheck, domainOut); }
BOOST_AUTO_TEST_CASE(AnIsolatedInstanceStopsStartingWork) { checkGuard(Guard::Validity, domainOutWhileIsolated); }
BOOST_AUTO_TEST_CASE(ALeavingUpstreamGetsNoWork) { checkGuard(Guard::LeavingCheck, leavingUpstream); }
BOOST_AUTO_TEST_CASE(NotRunIsAnsweredOnlyIfNothingRan) { checkGuard(Guard::CertainRefusal, falseNotRun); }
BOOST_AUTO_TEST_CASE(ADelayedCallIsNotRunTwice) { checkGuard(Guard::CallAge, runTwiceAfterDelay); }
BOOST_AUTO_TEST_CASE(AShutdownCompletesTheCallsInFlight) { checkGuard(Guard::ShutdownWait, interruptedByShutdown); }
BOOST_AUTO_TEST_CASE(AConfigurationNeverReverts) { checkGuard(Guard::RevisionOrder, revertedConfiguration); }

BOOST_AUTO_TEST_SUITE_END()
