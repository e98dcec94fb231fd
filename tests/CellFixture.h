#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "tests/emulator/CellEmulator.h"

namespace crocuslever::cell::testing {

/// Until the instances have started and one owns the cell.
constexpr Duration kSettlingTime = std::chrono::seconds(3);

inline std::string jobId(int n)
{
    std::string digits = std::to_string(n);
    return std::string(16 - digits.size(), '0') + digits;
}

inline StepSpec makeStep(int count, std::int64_t milliCpu)
{
    StepSpec step;
    step.count = count;
    step.each = { milliCpu, 100, 0, 0 };
    step.estimate = std::chrono::milliseconds(500);
    return step;
}

inline JobSpec makeJob(const TaskScript& script, std::vector<StepSpec> steps)
{
    JobSpec spec;
    spec.payload = formatScript(script);
    spec.steps = std::move(steps);
    return spec;
}

inline TaskScript makeScript(std::int64_t ms, int failures = 0) { return { fromMilliseconds(ms), failures, 0 }; }

/// Plays the same on seeds 1 to `count`. Failed checks name their seed.
template <typename Play>
void forEachSeed(std::uint64_t count, const Play& play)
{
    for (std::uint64_t seed = 1; seed <= count; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            play(seed);
        }
    }
}

/// A cell that has an owner.
struct CellFixture {
    explicit CellFixture(const EmulatorSettings& emulatorSettings = {})
        : settings(emulatorSettings)
        , emulator(settings)
    {
        emulator.runFor(kSettlingTime);
        BOOST_REQUIRE(emulator.owner().has_value());
    }

    std::size_t owner()
    {
        BOOST_REQUIRE(emulator.runUntil(std::chrono::seconds(6), [&] { return emulator.owner().has_value(); }));
        return *emulator.owner();
    }

    std::size_t other() { return (owner() + 1) % static_cast<std::size_t>(settings.instances); }

    bool isIn(int n, JobState state, std::size_t instance)
    {
        EntryReply reply = emulator.lookUp(jobId(n), instance);
        return reply.outcome == EntryOutcome::State && reply.state == state;
    }

    bool waitFor(int n, JobState state, Duration limit, std::size_t instance)
    {
        TimePoint end = emulator.now() + limit;
        while (emulator.now() < end) {
            if (isIn(n, state, instance))
                return true;
            emulator.runFor(std::chrono::milliseconds(100));
        }
        return false;
    }

    void checkRules()
    {
        for (const std::string& violation : findRuleViolations(emulator, settings.capacity))
            BOOST_ERROR(violation);
    }

    void checkAccounting()
    {
        std::optional<std::size_t> n = emulator.owner();
        if (!n)
            return;
        for (const std::string& error : findAccountingErrors(emulator.core(*n)))
            BOOST_ERROR(error);
    }

    int startsOf(int n) const
    {
        return static_cast<int>(std::count_if(emulator.history().begin(), emulator.history().end(), [n](const RunRecord& run) { return parseTaskKey(run.task)->job == jobId(n); }));
    }

    /// Processor share of all runs at that time, in thousandths of a core.
    std::int64_t runningCores(TimePoint at) const
    {
        std::int64_t sum = 0;
        for (const RunRecord& run : emulator.history()) {
            std::optional<TaskKey> key = parseTaskKey(run.task);
            if (run.from <= at && run.to > at)
                sum += emulator.jobs().at(key->job).spec.steps[key->step].each.milliCpu;
        }
        return sum;
    }

    EmulatorSettings settings;
    CellEmulator emulator;
};

} // namespace crocuslever::cell::testing
