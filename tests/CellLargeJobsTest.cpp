// What a valid but very large job costs the jobs of other teams, in a cell on the emulator.

#include "src/cell/Occurrences.h"
#include "tests/CellFixture.h"

namespace crocuslever::cell::testing {

BOOST_AUTO_TEST_SUITE(CellLargeJobsTest)

static constexpr int kOrdinaryJobs = 10;
static constexpr int kFirstOrdinaryJob = 1001;

/// Two teams on upstreams that nobody fills. The jobs of "crowd" are the large ones.
struct LargeJobsFixture : CellFixture {
    LargeJobsFixture()
        : CellFixture(makeSettings())
    {
        for (const char* team : { "crowd", "desk" }) {
            emulator.policy().teams[team] = cell::Team { team, 1.0, {}, { team } };
            emulator.policy().teamOfKey[team] = team;
        }
        emulator.runFor(kSettlingTime);
    }

    static EmulatorSettings makeSettings()
    {
        EmulatorSettings settings;
        settings.capacity = { 64000, 256000, 0, 0 };
        return settings;
    }

    void submitLarge(int n, const JobSpec& spec) { emulator.submit(jobId(n), spec, other(), std::chrono::seconds(3), "/jobs/", "crowd"); }

    void submitOrdinaryJobs()
    {
        for (int n = kFirstOrdinaryJob; n < kFirstOrdinaryJob + kOrdinaryJobs; ++n) {
            emulator.submit(jobId(n), makeJob(makeScript(500), { makeStep(1, 100) }), other(), std::chrono::seconds(3), "/jobs/", "desk");
            emulator.runFor(std::chrono::milliseconds(100));
        }
    }

    int countStartedOrdinaryJobs() const
    {
        int count = 0;
        for (int n = kFirstOrdinaryJob; n < kFirstOrdinaryJob + kOrdinaryJobs; ++n)
            count += startsOf(n) > 0;
        return count;
    }
};

// Ten accepted jobs on idle upstreams were not begun for 17 s, as each pass went to the due occurrences of one older job (review/13).
BOOST_AUTO_TEST_CASE(ScheduledJobKeepsOthersFromStarting, *boost::unit_test::label("known_red"))
{
    constexpr Duration kTurnWithin = std::chrono::seconds(3); ///< A job whose turn has come has something running within it.
    LargeJobsFixture cell;
    JobSpec scheduled = makeJob(makeScript(500), { makeStep(1, 100) });
    scheduled.occurrences = kMaxOccurrences;
    scheduled.intervalMs = 1000; // From 1970 on, so that all of them are due.
    cell.submitLarge(1, scheduled);
    cell.emulator.runFor(std::chrono::seconds(2));
    cell.submitOrdinaryJobs();
    cell.emulator.runFor(kTurnWithin);
    BOOST_TEST(cell.startsOf(1) > 0);
    BOOST_TEST(cell.countStartedOrdinaryJobs() == kOrdinaryJobs);
}

// An owner opened all tasks of each accepted job at once, and so did each of its successors: they ran out of memory (review/11).
BOOST_AUTO_TEST_CASE(OpenTasksExceedTheirBound, *boost::unit_test::label("known_red"))
{
    constexpr int kJobs = 12;
    LargeJobsFixture cell;
    JobSpec wide = makeJob(makeScript(500), std::vector<StepSpec>(kMaxTasksPerOccurrence, makeStep(1, 100)));
    for (int n = 1; n <= kJobs; ++n) {
        cell.submitLarge(n, wide);
        cell.emulator.runFor(std::chrono::milliseconds(50));
    }
    cell.emulator.runFor(std::chrono::seconds(1));
    std::size_t first = cell.owner();
    BOOST_TEST(cell.emulator.core(first).ownership.openTasks <= kMaxOpenTasks);
    cell.emulator.kill(first);
    cell.emulator.runFor(std::chrono::seconds(1));
    BOOST_TEST(cell.emulator.core(cell.owner()).ownership.openTasks <= kMaxOpenTasks);
    cell.submitOrdinaryJobs();
    cell.emulator.runFor(std::chrono::seconds(3));
    BOOST_TEST(cell.countStartedOrdinaryJobs() == kOrdinaryJobs);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace crocuslever::cell::testing
