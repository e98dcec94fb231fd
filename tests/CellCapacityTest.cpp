// Upstreams whose capacity changes while they run tasks, in a cell on the emulator.

#include <random>

#include "tests/CellFixture.h"

using namespace crocuslever;
using namespace crocuslever::cell;
using namespace crocuslever::cell::testing;

BOOST_AUTO_TEST_SUITE(CellCapacityTest)

/// A smaller capacity binds after this time: a stable window and a heartbeat.
static constexpr Duration kShrinkBound = std::chrono::milliseconds(4500);

struct CapacityFixture : CellFixture {
    explicit CapacityFixture(const EmulatorSettings& emulatorSettings)
        : CellFixture(emulatorSettings)
    {
        for (const std::string& id : emulator.upstreamIds())
            capacities[id].emplace_back(TimePoint::min(), settings.capacity);
    }

    void setCapacity(const std::string& id, const Resources& capacity)
    {
        emulator.setCapacity(id, capacity);
        capacities[id].emplace_back(emulator.now(), capacity);
    }

    /// The largest capacity that may still be taken for the upstream's at that time.
    Resources largestCapacity(const std::string& id, TimePoint at) const
    {
        Resources largest;
        const auto& changes = capacities.at(id);
        for (std::size_t i = 0; i < changes.size(); ++i) {
            bool hasBegun = changes[i].first <= at;
            bool isOver = i + 1 < changes.size() && changes[i + 1].first + kShrinkBound < at;
            if (hasBegun && !isOver)
                largest = maximum(largest, changes[i].second);
        }
        return largest;
    }

    Resources usedOn(const std::string& id, TimePoint at) const
    {
        Resources used;
        for (const RunRecord& run : emulator.history()) {
            std::optional<TaskKey> key = parseTaskKey(run.task);
            if (run.upstream == id && run.from <= at && run.to > at)
                used = used + emulator.jobs().at(key->job).spec.steps[key->step].each;
        }
        return used;
    }

    void checkCapacities()
    {
        for (const RunRecord& run : emulator.history())
            BOOST_TEST(usedOn(run.upstream, run.from).fitsIn(largestCapacity(run.upstream, run.from)), run.task << " on " << run.upstream);
    }

    std::map<std::string, std::vector<std::pair<TimePoint, Resources>>> capacities;
};

static EmulatorSettings makeSettings(std::uint64_t seed)
{
    EmulatorSettings settings;
    settings.seed = seed;
    settings.lateOrders = seed % 2 == 0 ? 0.05 : 0.0;
    return settings;
}

// Tasks were started on an upstream that had less capacity left than they need.
BOOST_AUTO_TEST_CASE(TasksAreStartedBeyondAShrunkenCapacity)
{
    forEachSeed(10, [&](std::uint64_t seed) {
        CapacityFixture cell(makeSettings(seed));
        std::mt19937_64 random(seed);
        cell.emulator.addRoute("/later/", 2);
        StepSpec resumable = makeStep(6, 1500);
        resumable.checkpoints = true;
        StepSpec gang = makeStep(3, 2500);
        gang.gang = true;
        for (int n = 1; n <= 60; ++n) {
            const StepSpec step = n % 5 == 0 ? gang : n % 2 == 0 ? resumable
                                                                 : makeStep(4, 900);
            TaskScript script = makeScript(400 + static_cast<std::int64_t>(random() % 2500));
            script.saves = step.checkpoints;
            cell.emulator.submit(jobId(n), makeJob(script, { step }), cell.other(), std::chrono::seconds(3), step.checkpoints ? "/later/" : "/jobs/");
            if (n % 3 == 0) {
                std::int64_t share = static_cast<std::int64_t>(random() % 5);
                cell.setCapacity("u" + std::to_string(random() % 6), { share * 2000, share * 4000, 0, 0 });
            }
            if (n == 30)
                cell.emulator.restart(cell.owner());
            cell.emulator.runFor(std::chrono::milliseconds(static_cast<std::int64_t>(random() % 900)));
        }
        cell.emulator.runFor(std::chrono::seconds(10));
        cell.checkCapacities();
        cell.checkAccounting();
    });
}

// Capacity that had grown again was used late, since nothing asked for a placement pass.
BOOST_AUTO_TEST_CASE(TaskWaitsBesideCapacityThatHasGrownAgain)
{
    CapacityFixture cell(makeSettings(1));
    for (const std::string& id : cell.emulator.upstreamIds())
        cell.setCapacity(id, { 500, 500, 0, 0 });
    cell.emulator.runFor(std::chrono::seconds(2));
    cell.emulator.submit(jobId(1), makeJob(makeScript(500), { makeStep(4, 3000) }), cell.other());
    cell.emulator.runFor(std::chrono::seconds(3));
    BOOST_TEST(cell.startsOf(1) == 0);
    cell.setCapacity("u1", { 6000, 6000, 0, 0 });
    BOOST_TEST(cell.emulator.runUntil(std::chrono::seconds(1), [&] { return cell.startsOf(1) == 2; }));
    cell.checkCapacities();
}

BOOST_AUTO_TEST_SUITE_END()
