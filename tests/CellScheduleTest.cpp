// Jobs whose steps run at due times, in a cell on the emulator.

#include "src/cell/Jobs.h"
#include "src/cell/RecordCodec.h"
#include "tests/CellFixture.h"

namespace crocuslever::cell::testing {

BOOST_AUTO_TEST_SUITE(CellScheduleTest)

static JobSpec makeScheduledJob(const CellEmulator& emulator, int occurrences, Duration firstIn, Duration interval, const StepSpec& step)
{
    JobSpec spec = makeJob(makeScript(300), { step });
    spec.occurrences = occurrences;
    spec.firstDueMs = emulator.wallMs() + toMilliseconds(firstIn);
    spec.intervalMs = toMilliseconds(interval);
    return spec;
}

static std::int64_t countTasks(const JobRow& job)
{
    std::int64_t count = 0;
    for (const auto& [occurrence, row] : job.occurrences) {
        for (const StepRow& step : row.steps)
            count += static_cast<std::int64_t>(step.tasks.size());
    }
    return count;
}

static std::int64_t countTasks(const CellState& state)
{
    std::int64_t count = 0;
    for (const auto& [id, job] : state.jobs)
        count += countTasks(job);
    return count;
}

// Each owner ran out of memory over the rows of a job that is due each minute for four weeks.
BOOST_AUTO_TEST_CASE(OwnerHoldsRowsForWhatIsNotDue)
{
    constexpr int kMinutesOfFourWeeks = 40320;
    CellFixture cell;
    CellEmulator& emulator = cell.emulator;
    JobSpec scheduled = makeScheduledJob(emulator, kMinutesOfFourWeeks, std::chrono::hours(1), std::chrono::minutes(1), makeStep(48, 1000));
    emulator.submit(jobId(1), scheduled, cell.other());
    emulator.submit(jobId(2), makeJob(makeScript(300), { makeStep(1, 1000) }), cell.other());
    BOOST_TEST(cell.waitFor(2, JobState::Completed, std::chrono::seconds(5), cell.other()));
    BOOST_TEST(cell.isIn(1, JobState::Pending, cell.other()));
    BOOST_TEST(countTasks(emulator.core(cell.owner())) == 0);
}

// An owner that held rows for all occurrences that are due at once ran out of memory, too.
BOOST_AUTO_TEST_CASE(OccurrencesThatAreDueAtOnceExceedTheBound)
{
    constexpr int kOccurrences = 1000;
    CellFixture cell;
    CellEmulator& emulator = cell.emulator;
    emulator.submit(jobId(1), makeScheduledJob(emulator, kOccurrences, Duration(0), Duration(0), makeStep(48, 1000)), cell.other());
    emulator.runFor(std::chrono::seconds(2));
    const JobRow& job = emulator.core(cell.owner()).jobs.at(jobId(1));
    BOOST_TEST(countTasks(job) > 0);
    BOOST_TEST(countTasks(job) <= kMaxTasksPerOccurrence);
    BOOST_TEST(cell.startsOf(1) > 0);
    BOOST_TEST(encodeProgress(collectProgress(job)).size() < 1000000U);
}

// Each occurrence runs once, and not before its time, whatever owner knows of those before it.
BOOST_AUTO_TEST_CASE(SuccessorRunsACompleteOccurrenceAgain)
{
    constexpr int kOccurrences = 8;
    constexpr int kTasks = 3;
    forEachSeed(8, [&](std::uint64_t seed) {
        EmulatorSettings settings;
        settings.seed = seed;
        CellFixture cell(settings);
        CellEmulator& emulator = cell.emulator;
        JobSpec scheduled = makeScheduledJob(emulator, kOccurrences, std::chrono::seconds(1), std::chrono::milliseconds(700), makeStep(kTasks, 1000));
        TimePoint firstDue = emulator.now() + std::chrono::seconds(1);
        emulator.submit(jobId(1), scheduled, cell.other());
        emulator.runFor(std::chrono::milliseconds(2500 + 100 * static_cast<int>(seed)));
        emulator.kill(cell.owner());
        emulator.runFor(std::chrono::seconds(1));
        BOOST_TEST(cell.waitFor(1, JobState::Completed, std::chrono::seconds(25), cell.owner()));
        std::set<std::string> done;
        for (const RunRecord& run : emulator.history()) {
            TaskKey key = *parseTaskKey(run.task);
            BOOST_TEST((run.from >= firstDue + key.occurrence * std::chrono::milliseconds(700)));
            if (run.how == RunEnd::Done)
                BOOST_TEST(done.insert(run.task).second);
        }
        BOOST_TEST(done.size() == kOccurrences * kTasks);
        cell.checkRules();
        cell.checkAccounting();
    });
}

BOOST_AUTO_TEST_CASE(ProgressRoundTrips)
{
    JobProgress progress;
    progress.tasks = { { 7, 0, 1, false, { 3 }, 4, "c", {} } };
    progress.completed = { 5, { 6, 9 } };
    std::optional<JobProgress> decoded = decodeProgress(encodeProgress(progress));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((decoded->tasks == progress.tasks));
    BOOST_TEST((decoded->completed == progress.completed));
}

// The progress of a large job outgrew the largest value of the store, and was never stored.
BOOST_AUTO_TEST_CASE(ProgressOfTheLargestJobOutgrowsAValue)
{
    constexpr std::size_t kValueBytes = 1000000;
    JobProgress progress;
    for (int n = 0; n < kMaxTasksPerOccurrence; ++n)
        progress.tasks.push_back({ kMaxOccurrences, 9, n, false, { 10001, 10002, 10003, 10004 }, 20005, "0123456789abcdef", { { 10001, 10002 }, { 10001 } } });
    for (int n = 1; n < kMaxOccurrences; n += 2)
        progress.completed.others.insert(n);
    BOOST_TEST(encodeProgress(progress).size() < kValueBytes);
}

static EntryOutcome submit(CellFixture& cell, const JobSpec& spec)
{
    cell.emulator.submit(jobId(1), spec, cell.other());
    cell.emulator.runFor(std::chrono::seconds(1));
    return cell.emulator.jobs().at(jobId(1)).submitted;
}

// A job that no owner can serve was accepted, and ended the owners.
BOOST_AUTO_TEST_CASE(JobsThatCannotBeServedAreAccepted)
{
    CellFixture cell;
    JobSpec tooWide = makeJob(makeScript(300), { makeStep(6000, 1000), makeStep(6000, 1000) });
    BOOST_TEST((submit(cell, tooWide) == EntryOutcome::Malformed));
    JobSpec tooMany = makeScheduledJob(cell.emulator, kMaxOccurrences + 1, std::chrono::hours(1), std::chrono::minutes(1), makeStep(1, 1000));
    BOOST_TEST((submit(cell, tooMany) == EntryOutcome::Malformed));
    JobSpec backwards = makeScheduledJob(cell.emulator, 2, std::chrono::hours(1), -std::chrono::minutes(1), makeStep(1, 1000));
    BOOST_TEST((submit(cell, backwards) == EntryOutcome::Malformed));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace crocuslever::cell::testing
