#include "src/cell/ExplainPlacement.h"

#include <memory>

#include "src/cell/Entry.h"
#include "tests/CellFixture.h"

namespace crocuslever::cell::testing {

BOOST_AUTO_TEST_SUITE(ExplainPlacementTest)

static constexpr std::int64_t kTask = 1000; // milliCpu
static constexpr std::int64_t kLongMs = 60000; ///< Run time of tasks that hold their room throughout a test.
static constexpr Duration kCallTime = std::chrono::seconds(1); ///< Until a job is stored and, if there is room, started.

static JobSpec makeLong(std::vector<StepSpec> steps) { return makeJob(makeScript(kLongMs), std::move(steps)); }

struct ExplainFixture : CellFixture {
    explicit ExplainFixture(const EmulatorSettings& emulatorSettings = {})
        : CellFixture(emulatorSettings)
    {
    }

    PlacementExplanation explain(int n, const JobSpec& spec, const std::string& prefix = "/jobs/", const std::string& key = "")
    {
        ExplainRequest request;
        request.host = "host";
        request.path = prefix + jobId(n);
        request.key = key;
        request.spec = spec;
        return explainPlacement(emulator.core(owner()), request, { emulator.now(), emulator.wallMs() });
    }

    EntryOutcome submit(int n, const JobSpec& spec, const std::string& prefix = "/jobs/", const std::string& key = "")
    {
        emulator.submit(jobId(n), spec, owner(), std::chrono::seconds(3), prefix, key);
        emulator.runFor(kCallTime);
        return emulator.jobs().at(jobId(n)).submitted;
    }

    /// Upstreams of the job's runs, in the order in which its tasks were placed. Orders may arrive in another.
    std::vector<std::string> upstreamsOf(int n) const
    {
        std::multimap<int, std::string> byIndex;
        for (const RunRecord& run : emulator.history()) {
            std::optional<TaskKey> key = parseTaskKey(run.task);
            if (key->job == jobId(n))
                byIndex.emplace(key->index, run.upstream);
        }
        std::vector<std::string> upstreams;
        for (const auto& [index, upstream] : byIndex)
            upstreams.push_back(upstream);
        return upstreams;
    }
};

static int leftOut(const StepExplanation& step, LeftOut reason)
{
    auto it = step.leftOut.find(reason);
    return it == step.leftOut.end() ? 0 : it->second;
}

/// Where the tasks go if they fill the choices in turn.
static std::vector<std::string> fillChoices(const StepExplanation& step)
{
    std::vector<std::string> upstreams;
    for (const PlaceChoice& choice : step.choices) {
        for (int n = 0; n < choice.fits && static_cast<int>(upstreams.size()) < step.tasks; ++n)
            upstreams.push_back(choice.upstream);
    }
    return upstreams;
}

/// Each upstream has room, or is left out for one reason.
static void checkSum(const StepExplanation& step)
{
    int sum = step.fitNow;
    for (const auto& [reason, count] : step.leftOut)
        sum += count;
    BOOST_TEST(sum == step.upstreams);
}

// An explanation that names another upstream than placement chooses misleads operators.
BOOST_AUTO_TEST_CASE(ChoicesAreWhereTheJobGoes)
{
    ExplainFixture cell;
    for (int n = 1; n <= 12; ++n) {
        JobSpec spec = makeLong({ makeStep(1 + n % 3, kTask * (1 + n % 2)) });
        PlacementExplanation said = cell.explain(n, spec);
        BOOST_TEST_CONTEXT("job " << n)
        {
            BOOST_TEST((said.decision == PlacementDecision::Accepted));
            BOOST_REQUIRE(said.steps.size() == 1 && !said.steps[0].choices.empty());
            checkSum(said.steps[0]);
            BOOST_TEST((cell.submit(n, spec) == EntryOutcome::Accepted));
            BOOST_TEST(said.steps[0].tasksFitNow == said.steps[0].tasks);
            BOOST_TEST(cell.upstreamsOf(n) == fillChoices(said.steps[0]), boost::test_tools::per_element());
        }
    }
}

// Explaining changes nothing: the job is not known afterwards, and the same question gets the same answer.
BOOST_AUTO_TEST_CASE(ExplainingSubmitsNothing)
{
    ExplainFixture cell;
    JobSpec spec = makeLong({ makeStep(2, kTask) });
    PlacementExplanation first = cell.explain(1, spec);
    BOOST_TEST((cell.explain(1, spec) == first));
    cell.emulator.runFor(kCallTime);
    BOOST_TEST(cell.upstreamsOf(1).empty());
    BOOST_TEST((cell.emulator.lookUp(jobId(1), cell.owner()).outcome == EntryOutcome::Gone));
}

BOOST_AUTO_TEST_CASE(FullCellHasRoomAfterPreemptionOnly)
{
    ExplainFixture cell;
    cell.emulator.addRoute("/later/", 1);
    cell.emulator.runFor(std::chrono::seconds(2));
    StepSpec filler = makeStep(48, kTask);
    filler.checkpoints = true;
    BOOST_TEST((cell.submit(1, makeLong({ filler }), "/later/") == EntryOutcome::Accepted));
    BOOST_TEST_REQUIRE(cell.upstreamsOf(1).size() == 48U);

    JobSpec spec = makeLong({ makeStep(2, kTask) });
    StepExplanation later = cell.explain(2, spec, "/later/").steps.at(0);
    BOOST_TEST(later.fitNow == 0);
    BOOST_TEST(later.fitAfterPreemption == 0);
    BOOST_TEST(leftOut(later, LeftOut::NoProcessor) == 6);
    cell.submit(2, spec, "/later/");
    BOOST_TEST(cell.upstreamsOf(2).empty());

    StepExplanation urgent = cell.explain(3, spec).steps.at(0);
    BOOST_TEST(urgent.fitNow == 0);
    BOOST_TEST(urgent.fitAfterPreemption == 6);
    BOOST_TEST(urgent.choices.empty());
    checkSum(urgent);
    cell.submit(3, spec);
    BOOST_TEST(cell.upstreamsOf(3).size() == 2U);
}

BOOST_AUTO_TEST_CASE(EachShortageIsNamed)
{
    ExplainFixture cell;
    StepSpec memory = makeStep(1, kTask);
    memory.each.memoryMb = cell.settings.capacity.memoryMb + 1;
    StepSpec accelerators = makeStep(1, kTask);
    accelerators.each.accelerators = 1;
    StepSpec label = makeStep(1, kTask);
    label.requiredLabel = "fast";
    JobSpec spec = makeLong({ memory, accelerators, label });
    PlacementExplanation said = cell.explain(1, spec);
    BOOST_TEST(leftOut(said.steps.at(0), LeftOut::NoMemory) == 6);
    BOOST_TEST(leftOut(said.steps.at(1), LeftOut::NoAccelerators) == 6);
    BOOST_TEST(leftOut(said.steps.at(2), LeftOut::MissingLabel) == 6);
    // A job that fits nowhere is accepted, and waits.
    BOOST_TEST((said.decision == PlacementDecision::Accepted));
    BOOST_TEST((cell.submit(1, spec) == EntryOutcome::Accepted));
    BOOST_TEST(cell.upstreamsOf(1).empty());
}

BOOST_AUTO_TEST_CASE(ClosedUpstreamsAreLeftOut)
{
    ExplainFixture cell;
    const CellState& core = cell.emulator.core(cell.owner());
    std::string domain = core.upstreams.at("u0").entry.domain;
    int inDomain = static_cast<int>(std::count_if(core.upstreams.begin(), core.upstreams.end(), [&](const auto& it) { return it.second.entry.domain == domain; }));
    std::string draining = std::find_if(core.upstreams.begin(), core.upstreams.end(), [&](const auto& it) { return it.second.entry.domain != domain; })->first;
    std::string silent = std::find_if(core.upstreams.rbegin(), core.upstreams.rend(), [&](const auto& it) { return it.second.entry.domain != domain && it.first != draining; })->first;
    cell.emulator.evacuate(domain, true);
    cell.emulator.drainUpstream(draining, true);
    cell.emulator.cutUpstream(silent, true);
    cell.emulator.runFor(std::chrono::seconds(3));
    JobSpec spec = makeLong({ makeStep(6, kTask) });
    StepExplanation step = cell.explain(1, spec).steps.at(0);
    checkSum(step);
    BOOST_TEST(leftOut(step, LeftOut::Evacuated) == inDomain);
    BOOST_TEST(leftOut(step, LeftOut::Draining) == 1);
    BOOST_TEST(leftOut(step, LeftOut::NotAnswering) == 1);
    BOOST_TEST(step.fitNow == 6 - inDomain - 2);
    cell.submit(1, spec);
    for (const std::string& id : cell.upstreamsOf(1)) {
        BOOST_TEST(core.upstreams.at(id).entry.domain != domain);
        BOOST_TEST(id != draining);
        BOOST_TEST(id != silent);
    }
}

BOOST_AUTO_TEST_CASE(TeamAtItsLimitMayStartNothing)
{
    ExplainFixture cell;
    cell.emulator.policy().teams["team"] = cell::Team { "team", 1.0, { 3 * kTask, 0, 0, 0 }, { "key" } };
    cell.emulator.policy().teamOfKey["key"] = "team";
    ++cell.emulator.policy().version;
    cell.emulator.runFor(std::chrono::seconds(2));
    JobSpec spec = makeLong({ makeStep(2, kTask) });
    BOOST_TEST(cell.explain(1, spec, "/jobs/", "key").steps.at(0).withinLimit == 2);
    cell.submit(1, spec, "/jobs/", "key");
    BOOST_TEST(cell.explain(2, spec, "/jobs/", "key").steps.at(0).withinLimit == 1);
    cell.submit(2, spec, "/jobs/", "key");
    BOOST_TEST(cell.upstreamsOf(2).size() == 1U);

    PlacementExplanation said = cell.explain(3, spec, "/jobs/", "key");
    BOOST_TEST(said.team == "team");
    BOOST_TEST(said.steps.at(0).withinLimit == 0);
    BOOST_TEST(said.steps.at(0).fitNow == 6);
    BOOST_TEST(said.share.dominant == 3.0 / 48.0);
    BOOST_TEST(said.share.fair == 1.0);
    cell.submit(3, spec, "/jobs/", "key");
    BOOST_TEST(cell.upstreamsOf(3).empty());
}

// Upstreams with room can't be used before the advice service has named them; the explanation doesn't ask it.
BOOST_AUTO_TEST_CASE(AdviceIsNotAskedFor)
{
    ExplainFixture cell;
    Route& route = cell.emulator.addRoute("/advised/", 1);
    route.advice = AdviceTiming { std::chrono::milliseconds(20), Duration(0), std::chrono::seconds(2) };
    cell.emulator.runFor(std::chrono::seconds(2));
    Duration before = cell.emulator.adviceBusy();
    StepExplanation step = cell.explain(1, makeLong({ makeStep(1, kTask) }), "/advised/").steps.at(0);
    cell.emulator.runFor(kCallTime);
    BOOST_TEST(step.adviceNeeded == 6);
    BOOST_TEST((cell.emulator.adviceBusy() == before));
}

BOOST_AUTO_TEST_CASE(RefusalsByConfigurationAreThoseOfTheCell)
{
    ExplainFixture cell;
    Route& closed = cell.emulator.addRoute("/closed/", 1);
    closed.isPublic = false;
    cell.emulator.runFor(std::chrono::seconds(2));
    JobSpec spec = makeLong({ makeStep(1, kTask) });
    JobSpec tooLarge = makeLong({ makeStep(10000, kTask), makeStep(1, kTask) });
    struct Case {
        std::string prefix;
        JobSpec spec;
        PlacementDecision said;
        EntryOutcome answer;
    };
    const std::vector<Case> cases {
        { "/nowhere/", spec, PlacementDecision::NoRoute, EntryOutcome::NoRoute },
        { "/closed/", spec, PlacementDecision::Unauthorized, EntryOutcome::Unauthorized },
        { "/jobs/", tooLarge, PlacementDecision::Malformed, EntryOutcome::Malformed },
        { "/jobs/x", spec, PlacementDecision::Malformed, EntryOutcome::Malformed },
    };
    int n = 1;
    for (const Case& it : cases) {
        BOOST_TEST_CONTEXT(it.prefix)
        {
            PlacementExplanation said = cell.explain(n, it.spec, it.prefix, "unknown-key");
            BOOST_TEST((said.decision == it.said));
            BOOST_TEST(!said.reason.empty());
            BOOST_TEST(said.steps.empty());
            BOOST_TEST((cell.submit(n, it.spec, it.prefix, "unknown-key") == it.answer));
            ++n;
        }
    }
}

/// The core of an owner that accepts 300 thousandths of each team's jobs.
struct LimitedOwner {
    LimitedOwner()
        : state({}, {})
    {
        now.steady += std::chrono::seconds(100);
        auto policy = std::make_shared<FleetPolicy>();
        Route route;
        route.name = "route";
        route.prefix = "/jobs/";
        route.isPublic = true;
        policy->routes = { route };
        indexRoutes(*policy);
        state.configuration.value = policy;
        state.configuration.confirmation.revision = 1;
        state.configuration.confirmation.at = now.steady;
        setAccepted(300);
    }

    void setAccepted(std::int64_t accepted)
    {
        AdmissionPlan plan;
        plan.classes[0] = { accepted, accepted, std::chrono::milliseconds(750) };
        state.admissionPlan = { plan, 1, now.steady };
    }

    PlacementExplanation explain(const std::string& id) const
    {
        ExplainRequest request;
        request.path = "/jobs/" + id;
        request.spec = makeJob(makeScript(1), { makeStep(1, kTask) });
        return explainPlacement(state, request, now);
    }

    /// Whether the cell goes on to store the job.
    bool accepts(const std::string& id)
    {
        EntryCall call;
        call.id = ++calls;
        call.verb = Verb::Submit;
        call.path = "/jobs/" + id;
        call.spec = makeJob(makeScript(1), { makeStep(1, kTask) });
        CellActions actions;
        handleEntryCall(state, call, now, actions);
        return std::any_of(actions.begin(), actions.end(), [](const CellAction& it) { return std::holds_alternative<StoreChange>(it); });
    }

    CellState state;
    Instant now;
    CallId calls { 0 };
};

BOOST_AUTO_TEST_CASE(OverloadIsExplainedAsTheCellDecides)
{
    LimitedOwner cell;
    int accepted = 0;
    constexpr int kJobs = 200;
    for (int n = 0; n < kJobs; ++n) {
        PlacementExplanation said = cell.explain(jobId(n));
        bool isAccepted = cell.accepts(jobId(n));
        BOOST_TEST((said.decision == (isAccepted ? PlacementDecision::Accepted : PlacementDecision::Overloaded)));
        BOOST_TEST(said.acceptedOfTeam == 300);
        BOOST_TEST((said.expectedWait == std::chrono::milliseconds(750)));
        accepted += isAccepted ? 1 : 0;
    }
    BOOST_TEST(accepted > 0);
    BOOST_TEST(accepted < kJobs);
}

// Which of a team's jobs are turned away follows from their ids.
BOOST_AUTO_TEST_CASE(WithoutAnIdPartOfTheJobsIsAccepted)
{
    LimitedOwner cell;
    BOOST_TEST((cell.explain("").decision == PlacementDecision::DependsOnId));
    cell.setAccepted(kWholeShare);
    BOOST_TEST((cell.explain("").decision == PlacementDecision::Accepted));
    cell.setAccepted(0);
    BOOST_TEST((cell.explain("").decision == PlacementDecision::Overloaded));
}

// One question must not keep the owner from its work for long.
BOOST_AUTO_TEST_CASE(ManyStepsAreCutShort)
{
    LimitedOwner cell;
    ExplainRequest request;
    request.path = "/jobs/";
    request.spec = makeJob(makeScript(1), std::vector<StepSpec>(5000, makeStep(1, kTask)));
    PlacementExplanation said = explainPlacement(cell.state, request, cell.now);
    BOOST_TEST(said.steps.size() == 64U);
    BOOST_TEST(said.stepsOmitted == 5000 - 64);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace crocuslever::cell::testing
