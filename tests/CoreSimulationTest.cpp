// Tests of the whole core: several instances in one process, without sockets, clocks or threads. The
// test delivers their messages and advances the time.

#include <boost/test/unit_test.hpp>

#include "tests/support/CoreSimulation.h"
#include "tests/support/TestWorkload.h"

using namespace crocuslever;
using namespace crocuslever::testing;

namespace {

struct Fixture {
    explicit Fixture(int upperLimit = 100)
        : cell(3, 9, makeConfiguration(1, upperLimit))
    {
        BOOST_REQUIRE(cell.runUntil([&] { return cell.allShardsOwned(); }));
        cell.runFor(std::chrono::seconds(1));
    }

    JobState stateOf(std::size_t core, const JobId& job)
    {
        CallId id = cell.call(core, kKey, JobQuery { job, false });
        BOOST_REQUIRE(cell.runUntil([&] { return cell.reply(id) != nullptr; }));
        return cell.reply(id)->jobState;
    }

    bool waitForEnd(std::size_t core, const JobId& job)
    {
        for (int n = 0; n < 600; ++n) {
            if (isFinal(stateOf(core, job)))
                return true;
            cell.runFor(std::chrono::milliseconds(100));
        }
        return false;
    }

    JobId submit(std::size_t core, const JobSubmission& submission)
    {
        CallId id = cell.call(core, kKey, submission);
        BOOST_REQUIRE(cell.runUntil([&] { return cell.reply(id) != nullptr; }));
        BOOST_REQUIRE_EQUAL(toString(cell.reply(id)->outcome), toString(CallOutcome::Accepted));
        return cell.reply(id)->job;
    }

    /// Submits `count` jobs through the three cores in turn and waits until each is accepted.
    std::vector<JobId> submitMany(int count, const std::string& prefix, bool idempotent, int sleepMs)
    {
        std::vector<JobId> jobs(static_cast<std::size_t>(count));
        for (std::size_t n = 0; n < jobs.size(); ++n)
            jobs[n] = submit(n % 3, makeJob(prefix + "-" + std::to_string(n), idempotent, sleepMs));
        return jobs;
    }

    CoreSimulation cell;
};

struct SmallLimitFixture : Fixture {
    SmallLimitFixture()
        : Fixture(3)
    {
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CoreSimulationTest, Fixture)

BOOST_AUTO_TEST_CASE(AnUrgentRequestIsAnsweredThroughEveryCore)
{
    for (std::size_t n = 0; n < 3; ++n) {
        CallId id = cell.call(n, kKey, makeUrgentRequest(20));
        BOOST_REQUIRE(cell.runUntil([&] { return cell.reply(id) != nullptr; }, std::chrono::seconds(3)));
        BOOST_TEST(toString(cell.reply(id)->outcome) == toString(CallOutcome::Done));
    }
}

BOOST_AUTO_TEST_CASE(AJobRunsOnceAndAnotherCoreReportsItsResult)
{
    JobId job = submit(0, makeJob("plan-1", false, 50));
    BOOST_TEST(waitForEnd(1, job));
    BOOST_TEST(toString(stateOf(2, job)) == toString(JobState::Succeeded));
    BOOST_TEST(cell.startsOf(job) == 1);
    BOOST_TEST(submit(2, makeJob("plan-1", false, 50)).value() == job.value());
    BOOST_TEST(cell.startsOf(job) == 1);
}

BOOST_AUTO_TEST_CASE(LostStoreAnswersNeitherLoseNorRepeatJobs)
{
    for (std::size_t n = 0; n < 3; ++n)
        cell.faults(n).storeAnswersToDrop = 20;
    std::vector<JobId> jobs = submitMany(20, "lost", false, 30);
    for (const JobId& job : jobs) {
        BOOST_TEST(waitForEnd(0, job));
        BOOST_TEST(cell.startsOf(job) == 1);
    }
}

BOOST_AUTO_TEST_CASE(JobsOfACrashedOwnerAreTakenOverAndRunOnce)
{
    std::vector<JobId> jobs = submitMany(30, "kill", false, 3000);
    cell.faults(1).alive = false;
    for (const JobId& job : jobs) {
        BOOST_TEST(waitForEnd(0, job));
        BOOST_TEST(toString(stateOf(2, job)) == toString(JobState::Succeeded));
        BOOST_TEST(cell.startsOf(job) == 1);
    }
    BOOST_TEST(cell.overlaps() == 0);
}

BOOST_AUTO_TEST_CASE(AnOwnerResumedAfterAFreezeRepeatsNoJob)
{
    std::vector<JobId> jobs = submitMany(30, "freeze", false, 1000);
    cell.faults(1).frozen = true;
    cell.runFor(std::chrono::seconds(10));
    cell.faults(1).frozen = false;
    for (const JobId& job : jobs) {
        BOOST_TEST(waitForEnd(1, job));
        BOOST_TEST(cell.startsOf(job) == 1);
    }
    BOOST_TEST(cell.overlaps() == 0);
    BOOST_TEST(cell.runUntil([&] { return cell.allShardsOwned(); }));
}

BOOST_AUTO_TEST_CASE(OwnersContinueWhileNoInstanceReachesTheStore)
{
    for (std::size_t n = 0; n < 3; ++n)
        cell.faults(n).cutFromStore = true;
    cell.runFor(std::chrono::seconds(12));
    CallId urgent = cell.call(0, kKey, makeUrgentRequest(20));
    CallId job = cell.call(0, kKey, makeJob("outage", false, 10));
    BOOST_REQUIRE(cell.runUntil([&] { return cell.reply(urgent) != nullptr && cell.reply(job) != nullptr; }));
    BOOST_TEST(toString(cell.reply(urgent)->outcome) == toString(CallOutcome::Done));
    BOOST_TEST(toString(cell.reply(job)->outcome) == toString(CallOutcome::NotRun));
}

BOOST_AUTO_TEST_CASE(AnInstanceCutOffFromStoreAndPeersRefusesCalls)
{
    cell.faults(2).cutFromStore = true;
    cell.faults(2).cutFromPeers = true;
    cell.runFor(std::chrono::seconds(5));
    CallId id = cell.call(2, kKey, makeUrgentRequest(20));
    BOOST_REQUIRE(cell.runUntil([&] { return cell.reply(id) != nullptr; }));
    BOOST_TEST(toString(cell.reply(id)->outcome) == toString(CallOutcome::NotRun));
}

BOOST_AUTO_TEST_CASE(NoStartDuringDomainOutage)
{
    Configuration configuration = makeConfiguration(2, 100);
    configuration.domainsOut.push_back({ FailureDomainId("north"), "power works" });
    cell.applyConfiguration(configuration);
    TimePoint out = cell.now().steady + std::chrono::seconds(1);
    cell.runFor(std::chrono::seconds(1));
    std::vector<JobId> jobs = submitMany(20, "domain", true, 20);
    for (const JobId& job : jobs)
        BOOST_TEST(waitForEnd(0, job));
    for (TimePoint at : cell.startsIn(FailureDomainId("north")))
        BOOST_TEST((at <= out));
}

BOOST_AUTO_TEST_CASE(ACancelledJobStopsAtOnce)
{
    JobId job = submit(0, makeJob("cancelled", false, 60000));
    BOOST_REQUIRE(cell.runUntil([&] { return cell.startsOf(job) == 1; }));
    cell.runFor(std::chrono::seconds(1));
    cell.call(1, kKey, JobCancellation { job });
    cell.runFor(std::chrono::seconds(2));
    BOOST_TEST(toString(stateOf(2, job)) == toString(JobState::Cancelled));
}

BOOST_AUTO_TEST_CASE(AGracefulShutdownReleasesShardsAndLosesNoJob)
{
    std::vector<JobId> jobs = submitMany(20, "stop", false, 1500);
    Actions actions;
    handleEvent(cell.core(1), ShutdownRequested {}, cell.now(), actions);
    BOOST_TEST(cell.runUntil([&] { return !cell.faults(1).alive; }, std::chrono::seconds(20)));
    for (const JobId& job : jobs) {
        BOOST_TEST(waitForEnd(0, job));
        BOOST_TEST(cell.startsOf(job) == 1);
    }
}

BOOST_FIXTURE_TEST_CASE(ATeamStaysWithinItsLimitAcrossCrashesAndRestarts, SmallLimitFixture)
{
    std::vector<JobId> jobs = submitMany(24, "limit", false, 800);
    cell.runFor(std::chrono::seconds(1));
    cell.faults(1).alive = false;
    cell.runFor(std::chrono::seconds(8));
    cell.restart(1);
    for (const JobId& job : jobs) {
        BOOST_TEST(waitForEnd(0, job));
        BOOST_TEST(cell.startsOf(job) == 1);
    }
    BOOST_TEST(cell.maximumRunning(kTeam) <= 3);
    BOOST_TEST(cell.maximumRunning(kTeam) >= 2);
}

BOOST_AUTO_TEST_SUITE_END()
