// Failure scenarios on a cell of real processes. Each scenario draws its choices from a fixed seed. At
// its end the event logs of all processes are checked for violated invariants (HistoryChecker).

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <random>

#include "tests/support/ProcessCell.h"

using namespace crocuslever;
using namespace crocuslever::testing;

BOOST_AUTO_TEST_SUITE(FailureTest)

/// CROCUSLEVER_SEED is added to the seed of every scenario, for runs with other choices. 0 if unset.
static unsigned seedOffset()
{
    const char* text = std::getenv("CROCUSLEVER_SEED");
    return text ? static_cast<unsigned>(std::strtoul(text, nullptr, 10)) : 0;
}

namespace {

/// A cell under load and the random choices of one scenario. The constructor waits until the cell is
/// ready.
class Scenario {
public:
    explicit Scenario(unsigned seed)
        : m_cell({ CROCUSLEVER_BIN_DIR })
        , m_random(seed + seedOffset())
    {
        BOOST_REQUIRE_MESSAGE(m_cell.waitUntilReady(), m_cell.logTails());
    }

    ProcessCell& cell() { return m_cell; }
    int draw(int minimum, int maximum) { return minimum + static_cast<int>(m_random() % static_cast<unsigned>(maximum - minimum + 1)); }
    int drawInstance() { return draw(0, m_cell.size() - 1); }
    int drawOther(int instance) { return (instance + draw(1, m_cell.size() - 1)) % m_cell.size(); }

    /// Submits `count` jobs, idempotent ones and others, at random instances other than `excluded`
    /// (-1: at any instance).
    void submit(int count, int excluded = -1)
    {
        for (int n = 0; n < count; ++n) {
            int instance = excluded < 0 ? drawInstance() : drawOther(excluded);
            m_jobs.push_back(m_cell.submit(instance, draw(0, 1) == 0, draw(100, 1500)));
        }
    }

    /// Requires that every job ends, unless it was refused. Resubmits a job under its id until the
    /// answer is final, since the first submission may have been accepted although its answer was lost.
    void requireAllJobsEnd(int excluded = -1)
    {
        for (SubmittedJob& job : m_jobs) {
            if (job.outcome == "not_run")
                continue;
            BOOST_REQUIRE_MESSAGE(m_cell.waitFor([&] { return tryToFinish(job, excluded); }), job.id << " " << job.outcome << " " << m_cell.lastResultAnswer() << "\n"
                                                                                                     << m_cell.logTails());
        }
    }

    /// Sends urgent requests one after another for `duration`. Returns how many were answered with 200.
    int sendUrgentRequestsFor(Duration duration, int excluded = -1)
    {
        int answered = 0;
        auto end = std::chrono::steady_clock::now() + duration;
        while (std::chrono::steady_clock::now() < end) {
            int instance = excluded < 0 ? drawInstance() : drawOther(excluded);
            if (m_cell.callUrgent(instance).status == 200)
                ++answered;
        }
        return answered;
    }

    void requireNoViolations()
    {
        History history = m_cell.history();
        // A history without a start would satisfy the invariants trivially.
        BOOST_TEST(std::any_of(history.begin(), history.end(), [](const HistoryEvent& event) { return event.name == "start"; }));
        std::vector<Violation> violations = checkHistory(history);
        BOOST_TEST(violations.empty(), describe(violations) << m_cell.logTails());
    }

private:
    /// Fetches the job's result, or resubmits the job if it isn't known to be accepted. True if the job
    /// has ended or was refused.
    bool tryToFinish(SubmittedJob& job, int excluded)
    {
        int instance = excluded < 0 ? drawInstance() : drawOther(excluded);
        if (!job.job.empty())
            return m_cell.fetchResult(instance, job);
        m_cell.resubmit(instance, job);
        return job.outcome == "not_run";
    }

    ProcessCell m_cell;
    std::mt19937 m_random;
    std::vector<SubmittedJob> m_jobs;
};

} // namespace

static constexpr Duration kLongerThanLease = std::chrono::seconds(6); // The session lease is 4 s.
static constexpr Duration kLongerThanChangeLimit = std::chrono::seconds(7); // Changes take effect within 5 s (HistoryLimits).

BOOST_AUTO_TEST_CASE(AnOwnerIsKilledWithJobsInFlight)
{
    Scenario scenario(11);
    scenario.submit(12);
    int victim = scenario.drawInstance();
    scenario.cell().kill(victim);
    scenario.submit(6, victim);
    scenario.requireAllJobsEnd(victim);
    scenario.cell().start(victim);
    BOOST_TEST(scenario.cell().waitUntilReady());
    scenario.requireNoViolations();
}

BOOST_AUTO_TEST_CASE(AnOwnerIsFrozenPastItsLease)
{
    Scenario scenario(12);
    scenario.submit(12);
    int victim = scenario.drawInstance();
    scenario.cell().freeze(victim);
    scenario.submit(6, victim);
    // The jobs of the frozen owner can end only after another instance has taken over its shards.
    scenario.requireAllJobsEnd(victim);
    scenario.sendUrgentRequestsFor(kLongerThanLease, victim);
    scenario.cell().thaw(victim);
    BOOST_TEST(scenario.cell().waitUntilReady());
    scenario.submit(6);
    scenario.requireAllJobsEnd();
    scenario.requireNoViolations();
}

BOOST_AUTO_TEST_CASE(TheStoreIsFrozenPastTheLease)
{
    Scenario scenario(13);
    scenario.submit(8);
    for (int n = 0; n < scenario.cell().size(); ++n)
        scenario.cell().setStoreLinkMode(n, "freeze");
    // Urgent requests don't depend on the store.
    BOOST_TEST(scenario.sendUrgentRequestsFor(kLongerThanLease) > 0);
    for (int n = 0; n < scenario.cell().size(); ++n)
        scenario.cell().setStoreLinkMode(n, "pass");
    BOOST_TEST(scenario.cell().waitUntilReady());
    scenario.submit(6);
    scenario.requireAllJobsEnd();
    scenario.requireNoViolations();
}

// The store applies the transactions of one instance, but its answers are lost. No job may be
// dropped, and none that isn't idempotent may start twice.
BOOST_AUTO_TEST_CASE(AnswersOfTheStoreAreLost)
{
    Scenario scenario(14);
    int victim = scenario.drawInstance();
    scenario.submit(4);
    scenario.cell().setStoreLinkMode(victim, "drop-answers");
    scenario.submit(8);
    scenario.cell().setStoreLinkMode(victim, "pass");
    scenario.requireAllJobsEnd();
    BOOST_TEST(scenario.cell().waitUntilReady());
    scenario.requireNoViolations();
}

BOOST_AUTO_TEST_CASE(AnInstanceIsCutOffFromTheStore)
{
    Scenario scenario(15);
    int victim = scenario.drawInstance();
    scenario.submit(8);
    scenario.cell().setStoreLinkMode(victim, "cut");
    scenario.sendUrgentRequestsFor(kLongerThanLease);
    scenario.submit(8, victim);
    scenario.requireAllJobsEnd(victim);
    scenario.cell().setStoreLinkMode(victim, "pass");
    BOOST_TEST(scenario.cell().waitUntilReady());
    scenario.requireNoViolations();
}

BOOST_AUTO_TEST_CASE(AFailureDomainIsTakenOutAndRestored)
{
    Scenario scenario(16);
    scenario.submit(6);
    Configuration configuration = scenario.cell().configuration();
    configuration.domainsOut.push_back({ FailureDomainId("domain-" + std::to_string(scenario.draw(1, 3))), "mains work" });
    BOOST_REQUIRE(scenario.cell().apply(configuration));
    scenario.submit(6);
    BOOST_TEST(scenario.sendUrgentRequestsFor(kLongerThanChangeLimit) > 0);
    scenario.submit(6);
    scenario.requireAllJobsEnd();
    configuration.domainsOut.clear();
    BOOST_REQUIRE(scenario.cell().apply(configuration));
    BOOST_TEST(scenario.cell().waitFor([&] { return scenario.cell().isAppliedEverywhere(3); }));
    scenario.submit(6);
    scenario.requireAllJobsEnd();
    scenario.requireNoViolations();
}

BOOST_AUTO_TEST_CASE(AKeyIsWithdrawn)
{
    Scenario scenario(17);
    Configuration configuration = scenario.cell().configuration();
    configuration.teams[0].keys.clear();
    BOOST_REQUIRE(scenario.cell().apply(configuration));
    scenario.sendUrgentRequestsFor(kLongerThanChangeLimit);
    scenario.submit(6);
    BOOST_TEST(scenario.sendUrgentRequestsFor(std::chrono::seconds(1)) == 0);
    scenario.requireNoViolations();
}

BOOST_AUTO_TEST_CASE(ATeamsLimitIsLowered)
{
    Scenario scenario(18);
    scenario.submit(20);
    Configuration configuration = scenario.cell().configuration();
    configuration.teams[0].upperLimit = 3;
    BOOST_REQUIRE(scenario.cell().apply(configuration));
    scenario.submit(10);
    scenario.requireAllJobsEnd();
    scenario.requireNoViolations();
}

BOOST_AUTO_TEST_CASE(AnUpstreamIsDrained)
{
    Scenario scenario(19);
    scenario.submit(6);
    scenario.cell().setLeaving(scenario.draw(0, 5), true);
    scenario.sendUrgentRequestsFor(kLongerThanChangeLimit);
    scenario.submit(10);
    scenario.requireAllJobsEnd();
    scenario.requireNoViolations();
}

// Rolling restart: SIGTERM must not cut off calls in flight.
BOOST_AUTO_TEST_CASE(EveryInstanceIsReplacedUnderLoad)
{
    Scenario scenario(20);
    ProcessCell& cell = scenario.cell();
    for (int n = 0; n < cell.size(); ++n) {
        scenario.submit(4);
        PendingUrgentCall pending = cell.beginUrgentCall(n, 500);
        cell.terminate(n);
        scenario.submit(4, n);
        cell.finishUrgentCall(pending);
        BOOST_REQUIRE_MESSAGE(cell.waitForExit(n), cell.logTails());
        scenario.sendUrgentRequestsFor(std::chrono::seconds(1), n);
        cell.start(n);
        BOOST_REQUIRE_MESSAGE(cell.waitUntilReady(), cell.logTails());
    }
    scenario.requireAllJobsEnd();
    scenario.requireNoViolations();
}

// Two changes are based on the same revision. The second must be refused, not overwrite the first.
BOOST_AUTO_TEST_CASE(TwoOperatorsApplyConflictingChanges)
{
    Scenario scenario(21);
    ProcessCell& cell = scenario.cell();
    Configuration base = cell.configuration();
    Configuration first = base;
    first.teams[0].upperLimit = 8;
    Configuration second = base;
    second.teams[0].upperLimit = 9;
    BOOST_TEST(cell.applyBasedOn(base, first));
    BOOST_TEST(!cell.applyBasedOn(base, second));
    second.revision = cell.configuration().revision;
    BOOST_TEST(cell.apply(second));
    BOOST_TEST(cell.waitFor([&] { return cell.isAppliedEverywhere(3); }));
    scenario.submit(4);
    scenario.requireAllJobsEnd();
    scenario.requireNoViolations();
}

BOOST_AUTO_TEST_SUITE_END()
