// Checks the run history of the emulated upstreams and the answers to callers against the scheduling rules.

#include <algorithm>

#include "src/cell/Upstreams.h"
#include "tests/emulator/CellEmulator.h"

namespace crocuslever::cell::testing {

/// Longest time after a confirmed cancellation at which a task may still start.
static constexpr Duration kCancelBound = std::chrono::milliseconds(3000);

static std::string describe(const RunRecord& run)
{
    std::string text = run.task + " run " + std::to_string(run.run) + " on " + run.upstream + " from " + std::to_string(toMilliseconds(run.from.time_since_epoch()));
    if (run.to != TimePoint::max())
        text += " to " + std::to_string(toMilliseconds(run.to.time_since_epoch()));
    if (run.how)
        text += std::string(" ") + toString(*run.how) + (run.acknowledged ? ", acknowledged" : "");
    return text;
}

static void checkOverlap(const std::vector<const RunRecord*>& runs, std::vector<std::string>& violations)
{
    for (std::size_t i = 0; i < runs.size(); ++i) {
        for (std::size_t j = i + 1; j < runs.size(); ++j) {
            bool overlaps = runs[j]->from < runs[i]->to;
            bool isAgain = runs[i]->how == RunEnd::Done && runs[i]->acknowledged;
            if (overlaps || isAgain)
                violations.push_back("TWICE: " + describe(*runs[i]) + " and " + describe(*runs[j]));
        }
    }
}

/// An order may reach two incarnations of one upstream; any other start of a task has a number of its own.
static void checkNumbers(const std::vector<const RunRecord*>& runs, std::vector<std::string>& violations)
{
    std::map<int, std::string> upstreams;
    for (const RunRecord* run : runs) {
        auto [it, isNew] = upstreams.emplace(run->run, run->upstream);
        if (!isNew && it->second != run->upstream)
            violations.push_back("NUMBER: " + describe(*run) + " was started on " + it->second + " under the same number");
    }
}

static void checkAttempts(const std::vector<const RunRecord*>& runs, int attempts, std::vector<std::string>& violations)
{
    int failed = 0;
    for (const RunRecord* run : runs) {
        if (failed >= attempts)
            violations.push_back("BUDGET: " + describe(*run) + " after " + std::to_string(failed) + " failed runs");
        failed += run->how == RunEnd::Failed;
    }
}

static void checkCancel(const std::vector<const RunRecord*>& runs, const CallerJob& job, std::vector<std::string>& violations)
{
    for (const RunRecord* run : runs) {
        if (job.cancelledAt != TimePoint::max() && run->from > job.cancelledAt + kCancelBound)
            violations.push_back("UNASKED: " + describe(*run) + " after its job was cancelled");
    }
}

static Resources sizeOf(const CellEmulator& emulator, const std::string& task)
{
    std::optional<TaskKey> key = parseTaskKey(task);
    return amountOf(emulator.jobs().at(key->job).spec.steps[key->step]);
}

static void checkRoom(const CellEmulator& emulator, const Resources& capacity, std::vector<std::string>& violations)
{
    for (const RunRecord& start : emulator.history()) {
        Resources used;
        for (const RunRecord& other : emulator.history()) {
            if (other.upstream == start.upstream && other.from <= start.from && other.to > start.from)
                used = used + sizeOf(emulator, other.task);
        }
        if (!used.fitsIn(capacity))
            violations.push_back("LIMIT: " + describe(start));
    }
}

static void checkOrder(const CellEmulator& emulator, const RunRecord& start, std::vector<std::string>& violations)
{
    std::optional<TaskKey> key = parseTaskKey(start.task);
    const StepSpec& step = emulator.jobs().at(key->job).spec.steps[key->step];
    for (int earlier : step.after) {
        int count = emulator.jobs().at(key->job).spec.steps[earlier].count;
        std::set<std::string> done;
        for (const RunRecord& run : emulator.history()) {
            std::optional<TaskKey> other = parseTaskKey(run.task);
            bool isOfStep = other->job == key->job && other->occurrence == key->occurrence && other->step == earlier;
            if (isOfStep && run.how == RunEnd::Done && run.to <= start.from)
                done.insert(run.task);
        }
        if (static_cast<int>(done.size()) < count)
            violations.push_back("ORDER: " + describe(start) + " before step " + std::to_string(earlier) + " was done");
    }
}

static void addRun(RoomUse& use, const RunRow& run)
{
    use.used = use.used + run.amount;
    if (run.stopping)
        use.stopping = use.stopping + run.amount;
    else if (run.isPreemptible)
        use.preemptible[run.priority] = use.preemptible[run.priority] + run.amount;
}

static void compareUse(const std::string& name, RoomUse expected, RoomUse found, std::vector<std::string>& errors)
{
    if (found.used != expected.used)
        errors.push_back("room used by " + name + " is " + std::to_string(found.used.milliCpu) + " mcpu, its runs take " + std::to_string(expected.used.milliCpu));
    // A priority without preemptible runs may be missing or empty.
    for (const auto& [priority, amount] : found.preemptible)
        expected.preemptible[priority];
    for (const auto& [priority, amount] : expected.preemptible)
        found.preemptible[priority];
    if (found.stopping != expected.stopping || found.preemptible != expected.preemptible)
        errors.push_back("room of stopping or preemptible runs of " + name + " does not match its runs");
}

std::vector<std::string> findAccountingErrors(const CellState& state)
{
    std::vector<std::string> errors;
    std::map<std::string, RoomUse> teams;
    for (const auto& [id, upstream] : state.upstreams) {
        RoomUse use;
        for (const auto& [name, run] : upstream.runs) {
            addRun(use, run);
            addRun(teams[run.team], run);
        }
        compareUse(id, use, upstream.use, errors);
    }
    for (const auto& [team, use] : state.teamUse)
        compareUse("team " + team, teams[team], use, errors);
    return errors;
}

std::vector<std::string> findRuleViolations(const CellEmulator& emulator, const Resources& capacity)
{
    std::vector<std::string> violations;
    std::map<std::string, std::vector<const RunRecord*>> byTask;
    for (const RunRecord& run : emulator.history())
        byTask[run.task].push_back(&run);
    for (auto& [task, runs] : byTask) {
        auto job = emulator.jobs().find(parseTaskKey(task)->job);
        if (job == emulator.jobs().end()) {
            violations.push_back("UNASKED: " + describe(*runs.front()) + " belongs to no job");
            continue;
        }
        std::sort(runs.begin(), runs.end(), [](const RunRecord* a, const RunRecord* b) { return a->from < b->from; });
        checkOverlap(runs, violations);
        checkNumbers(runs, violations);
        checkAttempts(runs, emulator.policy().routes.front().attempts, violations);
        checkCancel(runs, job->second, violations);
        checkOrder(emulator, *runs.front(), violations);
    }
    checkRoom(emulator, capacity, violations);
    return violations;
}

} // namespace crocuslever::cell::testing
