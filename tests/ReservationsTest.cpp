#include "src/core/Reservations.h"

#include <boost/test/unit_test.hpp>
#include <set>

#include "src/core/Escrow.h"
#include "src/core/Peers.h"
#include "src/core/UpstreamLifecycle.h"
#include "tests/support/CoreFixture.h"

using namespace crocuslever;
using namespace crocuslever::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct ReservationsFixture : CoreFixture {
    const InstanceId jobOwner { "entry-2" };

    ReservationsFixture() { addMember("entry-2", 0); }

    std::vector<ReserveAnswer> reserve(const std::string& id, const TaskSpec& spec = makeSpec(WorkKind::Batch, false))
    {
        handleReserveRequest(state, jobOwner, { AttemptId(id), JobId("job-" + id), TeamId("shop"), spec, {}, {}, {} }, now, actions);
        return takeMessages<ReserveAnswer>();
    }

    StartRequest makeStart(const ReserveAnswer& held)
    {
        return { held.attempt, held.job, TeamId("shop"), makeSpec(WorkKind::Batch, false), held.upstream, held.incarnation, held.epoch };
    }

    std::vector<UpstreamStart> start(const StartRequest& request)
    {
        handleStartRequest(state, jobOwner, request, now, actions);
        return takeActions<UpstreamStart>();
    }

    /// Reserves and starts an attempt, up to phase Running.
    ReserveAnswer run(const std::string& id, const TaskSpec& spec = makeSpec(WorkKind::Batch, false))
    {
        ReserveAnswer held = reserve(id, spec).at(0);
        start(makeStart(held));
        answerStart(id, UpstreamOutcome::Ok);
        takeMessages<AttemptReport>();
        return held;
    }

    AttemptQuery makeQuery(const std::string& id, bool stop, const std::string& incarnation = "life-1")
    {
        return { AttemptId(id), JobId("job-" + id), UpstreamId("a"), IncarnationId(incarnation), stop };
    }

    std::vector<AttemptReport> query(const AttemptQuery& q)
    {
        handleAttemptQuery(state, jobOwner, q, now, actions);
        return takeMessages<AttemptReport>();
    }

    int runningOfTeam() { return state.escrow.teamQuotas[TeamId("shop")].running; }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ReservationsTest, ReservationsFixture)

BOOST_AUTO_TEST_CASE(AnAttemptIsReservedStartedReportedAndForgotten)
{
    addUpstream("a");
    ReserveAnswer held = reserve("t").at(0);
    BOOST_TEST(held.granted);
    BOOST_TEST(held.upstream == UpstreamId("a"));
    BOOST_TEST(held.epoch == upstream("a").fencedEpoch);
    BOOST_TEST(runningOfTeam() == 1);
    std::vector<UpstreamStart> starts = start(makeStart(held));
    BOOST_TEST_REQUIRE(starts.size() == 1U);
    BOOST_TEST(starts[0].incarnation == IncarnationId("life-1"));
    answerStart("t", UpstreamOutcome::Ok);
    BOOST_TEST(takeMessages<AttemptReport>().at(0).state == AttemptState::Running);

    advance(milliseconds(1100));
    AttemptStatus ended = makeStatus("t", "job-t", AttemptState::Ended);
    ended.result = { true, 200, "plan" };
    takeActions<UpstreamSync>();
    answerSync("a", UpstreamOutcome::Ok, { ended });
    BOOST_TEST(upstream("a").reserved.slots == 0);
    BOOST_TEST(runningOfTeam() == 0);
    advance(seconds(3));
    BOOST_TEST(takeMessages<AttemptReport>().size() >= 5U); // Repeated until acknowledged.

    handleAttemptAcknowledge(state, { AttemptId("t") }, now, actions);
    BOOST_TEST(attempt("t") == nullptr);
    takeActions<UpstreamSync>();
    answerSync("a", UpstreamOutcome::Ok, { ended });
    BOOST_TEST(attempt("t") == nullptr); // Not adopted again while its acknowledgement is pending.
    advance(milliseconds(1100));
    std::vector<UpstreamSync> syncs = takeActions<UpstreamSync>();
    BOOST_TEST_REQUIRE(!syncs.empty());
    BOOST_TEST(syncs.back().acknowledge == std::vector<AttemptId> { AttemptId("t") });
    answerSync("a", UpstreamOutcome::Ok);
    BOOST_TEST(upstream("a").toAcknowledge.empty());
}

BOOST_AUTO_TEST_CASE(ARepeatedReservationGetsTheSameAnswerAndIsChargedOnce)
{
    addUpstream("a");
    addUpstream("b");
    ReserveAnswer first = reserve("t").at(0);
    ReserveAnswer second = reserve("t").at(0);
    BOOST_TEST(second.granted);
    BOOST_TEST(first.upstream == second.upstream);
    BOOST_TEST(runningOfTeam() == 1);
}

BOOST_AUTO_TEST_CASE(NothingAboveTheTeamsGrantIsReserved)
{
    addUpstream("a");
    state.escrow.teamQuotas[TeamId("shop")].granted = 1;
    BOOST_TEST(reserve("t1").at(0).granted);
    ReserveAnswer refused = reserve("t2").at(0);
    BOOST_TEST(!refused.granted);
    BOOST_TEST(refused.reason == RefusalReason::TeamLimit);
    BOOST_TEST(state.escrow.teamQuotas[TeamId("shop")].refusedStarts == 1);
}

BOOST_AUTO_TEST_CASE(AStartAfterTheHoldIsStoppedAtTheUpstreamFirst)
{
    addUpstream("a");
    ReserveAnswer held = reserve("t").at(0);
    advance(seconds(3));
    BOOST_TEST(runningOfTeam() == 0);
    BOOST_TEST(start(makeStart(held)).empty());
    BOOST_TEST(takeMessages<AttemptReport>().empty()); // The final state isn't known yet.
    BOOST_TEST_REQUIRE(takeActions<UpstreamStop>().size() == 1U);
    answerStop("t", UpstreamOutcome::Unknown);
    BOOST_TEST(takeMessages<AttemptReport>().empty());
    advance(seconds(3));
    BOOST_TEST(!takeActions<UpstreamStop>().empty()); // The stop is repeated.
    answerStop("t", UpstreamOutcome::Ok, AttemptState::NeverStarted);
    BOOST_TEST(takeMessages<AttemptReport>().at(0).state == AttemptState::NeverStarted);
    // The upstream keeps its record of the attempt, which refuses a late start.
    handleAttemptAcknowledge(state, { AttemptId("t") }, now, actions);
    BOOST_TEST(upstream("a").toAcknowledge.empty());
}

BOOST_AUTO_TEST_CASE(NothingStartsOnceTheDomainIsOutOrTheUpstreamLeaves)
{
    addUpstream("a", "zone-a");
    addUpstream("b", "zone-b");
    ReserveAnswer first = reserve("t1").at(0);
    takeDomainOut(first.domain.value());
    BOOST_TEST(start(makeStart(first)).empty());
    BOOST_TEST(takeMessages<AttemptReport>().at(0).state == AttemptState::NeverStarted);

    ReserveAnswer second = reserve("t2").at(0);
    BOOST_TEST(second.upstream != first.upstream);
    UpstreamDescription leaving = upstream(second.upstream.value()).description;
    leaving.leaving = true;
    listUpstream(leaving);
    BOOST_TEST(start(makeStart(second)).empty());
    BOOST_TEST(takeMessages<AttemptReport>().at(0).state == AttemptState::NeverStarted);
    BOOST_TEST(runningOfTeam() == 0);
}

BOOST_AUTO_TEST_CASE(AStartForAnotherIncarnationOrEpochIsNotSent)
{
    addUpstream("a");
    StartRequest request = makeStart(reserve("t1").at(0));
    request.incarnation = IncarnationId("life-0");
    BOOST_TEST(start(request).empty());
    request = makeStart(reserve("t2").at(0));
    --request.epoch;
    BOOST_TEST(start(request).empty());
}

BOOST_AUTO_TEST_CASE(ADuplicateStartRequestStartsOnce)
{
    addUpstream("a");
    StartRequest request = makeStart(reserve("t").at(0));
    BOOST_TEST(start(request).size() == 1U);
    BOOST_TEST(start(request).empty());
    answerStart("t", UpstreamOutcome::Ok);
    takeMessages<AttemptReport>();
    BOOST_TEST(start(request).empty());
    BOOST_TEST(takeMessages<AttemptReport>().at(0).state == AttemptState::Running);
}

BOOST_AUTO_TEST_CASE(AStartOfUnknownOutcomeIsQueriedAndContinuesIfItRuns)
{
    addUpstream("a");
    start(makeStart(reserve("t").at(0)));
    answerStart("t", UpstreamOutcome::Unknown);
    tickOwner();
    BOOST_TEST(takeActions<UpstreamSync>().at(0).renew.size() == 1U);
    BOOST_TEST(takeMessages<AttemptReport>().empty());
    answerSync("a", UpstreamOutcome::Ok, { makeStatus("t", "job-t", AttemptState::Running) });
    BOOST_TEST(takeMessages<AttemptReport>().at(0).state == AttemptState::Running);
    BOOST_TEST(takeActions<UpstreamStop>().empty());
}

BOOST_AUTO_TEST_CASE(AStartUnknownAtTheUpstreamIsStoppedBeforeItCountsAsNeverStarted)
{
    addUpstream("a");
    start(makeStart(reserve("t").at(0)));
    answerStart("t", UpstreamOutcome::Unknown);
    tickOwner();
    takeActions<UpstreamSync>();
    answerSync("a", UpstreamOutcome::Ok, { makeStatus("t", "job-t", AttemptState::Unknown) });
    BOOST_TEST(takeMessages<AttemptReport>().empty());
    BOOST_TEST(takeActions<UpstreamStop>().size() == 1U);
    answerStop("t", UpstreamOutcome::Ok, AttemptState::NeverStarted);
    BOOST_TEST(takeMessages<AttemptReport>().at(0).state == AttemptState::NeverStarted);
}

BOOST_AUTO_TEST_CASE(ARefusedStartIsReportedAndNotRepeatedThereAtOnce)
{
    addUpstream("a");
    start(makeStart(reserve("t").at(0)));
    answerStart("t", UpstreamOutcome::Refused);
    BOOST_TEST(takeMessages<AttemptReport>().at(0).state == AttemptState::NeverStarted);
    BOOST_TEST(!reserve("t2").at(0).granted);
    advance(seconds(2));
    answerSync("a", UpstreamOutcome::Ok);
    BOOST_TEST(reserve("t3").at(0).granted);
}

BOOST_AUTO_TEST_CASE(ALateStartAnswerOrOneOfAnotherIncarnationIsIgnored)
{
    auto handleAnswer = [this](const char* attempt, UpstreamOutcome outcome, const char* incarnation, bool ended = false) {
        UpstreamStartResult result;
        result.upstream = UpstreamId("a");
        result.attempt = AttemptId(attempt);
        result.outcome = outcome;
        result.incarnation = IncarnationId(incarnation);
        result.ended = ended;
        handleStartResult(state, result, now, actions);
    };
    addUpstream("a");
    run("t1");
    handleAnswer("t1", UpstreamOutcome::Refused, "life-1");
    handleAnswer("nobody", UpstreamOutcome::Ok, "life-1");
    BOOST_TEST(attempt("t1")->phase == AttemptPhase::Running);
    start(makeStart(reserve("t2").at(0)));
    handleAnswer("t2", UpstreamOutcome::Ok, "life-0", true);
    BOOST_TEST(attempt("t2")->phase == AttemptPhase::Starting);
    BOOST_TEST(state.counters.get("ignored_answers_total{kind=\"start\"}") == 3);
}

BOOST_AUTO_TEST_CASE(AQueryForAnUnknownAttemptIsAnsweredOnlyWithCertainty)
{
    listUpstream(makeUpstreamDescription("a"));
    BOOST_TEST(query(makeQuery("t", false)).empty()); // Not fenced, so it isn't known what runs there.
    tickOwner();
    answerFence("a");
    AttemptReport report = query(makeQuery("t", false)).at(0);
    BOOST_TEST(report.state == AttemptState::Unknown);
    BOOST_TEST(!report.upstreamGone);
    // A different incarnation than the one known here: only the upstream can tell its current one.
    BOOST_TEST(query(makeQuery("t0", false, "life-0")).empty());
    answerStop("t0", UpstreamOutcome::WrongIncarnation);
    AttemptReport gone = takeMessages<AttemptReport>().at(0);
    BOOST_TEST(gone.attempt.value() == "t0");
    BOOST_TEST(gone.upstreamGone);
    BOOST_TEST(query(makeQuery("t", true)).empty());
    answerStop("t", UpstreamOutcome::Ok, AttemptState::Stopped);
    BOOST_TEST(takeMessages<AttemptReport>().at(0).state == AttemptState::Stopped);
    state.shards[upstream("a").shard].phase = ShardPhase::NotOwned;
    BOOST_TEST(query(makeQuery("t2", false, "life-0")).empty()); // Only the shard's owner may answer.
}

BOOST_AUTO_TEST_CASE(AnUpstreamIsGoneOnlyOnceItsLeasesHaveLapsed)
{
    addUpstream("a");
    unlistUpstream("a");
    now += longestLease(state);
    BOOST_TEST(query(makeQuery("t0", true, "life-0")).empty()); // A different incarnation: the upstream must confirm it.
    answerStop("t0", UpstreamOutcome::WrongIncarnation);
    BOOST_TEST(takeMessages<AttemptReport>().at(0).upstreamGone);
    handleAttemptAcknowledge(state, { AttemptId("t0") }, now, actions);
    upstream("a").fenced = false;
    BOOST_TEST(query(makeQuery("t", true)).empty());
    now += milliseconds(1);
    BOOST_TEST(query(makeQuery("t", true)).at(0).upstreamGone);
    listUpstream(makeUpstreamDescription("b"));
    BOOST_TEST(state.upstreams.count(UpstreamId("a")) == 0U);
}

BOOST_AUTO_TEST_CASE(AStoppedReservationCanNoLongerBeStarted)
{
    addUpstream("a");
    StartRequest request = makeStart(reserve("t").at(0));
    BOOST_TEST(query(makeQuery("t", true)).at(0).state == AttemptState::NeverStarted);
    BOOST_TEST(start(request).empty());
}

BOOST_AUTO_TEST_CASE(ADomainTakenOutIsDrainedAtABoundedRate)
{
    addUpstream("a");
    addUpstream("b");
    for (int i = 0; i < 6; ++i)
        run("moves-" + std::to_string(i), makeSpec(i % 2 == 0 ? WorkKind::Batch : WorkKind::Service, true));
    run("stays");
    takeDomainOut("zone-a");
    advance(milliseconds(50));
    std::size_t first = takeActions<UpstreamStop>().size();
    BOOST_TEST(first > 0U);
    BOOST_TEST(first < 6U);
    advance(milliseconds(200));
    BOOST_TEST(first + takeActions<UpstreamStop>().size() == 6U);
    BOOST_TEST(attempt("stays")->phase == AttemptPhase::Running);
    answerStop("moves-0", UpstreamOutcome::Ok, AttemptState::Stopped);
    BOOST_TEST(takeMessages<AttemptReport>().at(0).state == AttemptState::Stopped);
}

BOOST_AUTO_TEST_CASE(ReservationsInADomainTakenOutAreReleased)
{
    addUpstream("a");
    reserve("t");
    takeDomainOut("zone-a");
    advance(milliseconds(50));
    BOOST_TEST(takeMessages<AttemptReport>().at(0).state == AttemptState::NeverStarted);
    BOOST_TEST(runningOfTeam() == 0);
}

BOOST_AUTO_TEST_CASE(AllStateOfALostShardIsDropped)
{
    addUpstream("a");
    run("t1");
    reserve("t2");
    dropUpstreamState(state, upstream("a").shard, now, actions);
    BOOST_TEST(state.attempts.empty());
    BOOST_TEST(state.attempts.due.empty());
    BOOST_TEST(upstream("a").reserved.slots == 0);
    BOOST_TEST(runningOfTeam() == 0);
    BOOST_TEST(!acceptsWork(state, upstream("a"), now));
}

/// Checks that the upstreams and the team are charged exactly what the attempts in the table hold.
static void checkCharges(CoreFixture& f)
{
    std::map<UpstreamId, Resources> sums;
    int holding = 0;
    for (const auto& [id, row] : f.state.attempts) {
        auto it = sums.try_emplace(row.upstream, Resources { 0, 0, 0, 0 }).first;
        it->second = it->second + row.charged;
        holding += row.isCharged ? 1 : 0;
    }
    for (const auto& [id, row] : f.state.upstreams) {
        auto it = sums.try_emplace(id, Resources { 0, 0, 0, 0 }).first;
        BOOST_REQUIRE(row.reserved == it->second);
        BOOST_REQUIRE(row.reserved.fitsIn(row.description.capacity));
    }
    BOOST_REQUIRE(f.state.escrow.teamQuotas[TeamId("shop")].running == holding);
    BOOST_REQUIRE(holding <= f.state.escrow.teamQuotas[TeamId("shop")].granted);
}

static AttemptRow* anyAttempt(CoreFixture& f)
{
    if (f.state.attempts.empty())
        return nullptr;
    auto it = f.state.attempts.begin();
    std::advance(it, nextRandom(f.state) % f.state.attempts.size());
    return &it->second;
}

/// Applies one random event to a random attempt.
static void applyRandomEvent(ReservationsFixture& f, std::vector<StartRequest>& held)
{
    constexpr std::uint64_t kRecent = 20;
    constexpr int kKinds = 8;
    if (nextRandom(f.state) % 4 == 0)
        ++f.state.nextAttemptNumber;
    std::string id = "t" + std::to_string(f.state.nextAttemptNumber - nextRandom(f.state) % std::min(kRecent, f.state.nextAttemptNumber));
    AttemptRow* row = anyAttempt(f);
    constexpr UpstreamOutcome kFaults[] = { UpstreamOutcome::Unknown, UpstreamOutcome::Refused, UpstreamOutcome::Unreachable };
    UpstreamOutcome outcome = nextRandom(f.state) % 4 == 0 ? kFaults[nextRandom(f.state) % 3] : UpstreamOutcome::Ok;
    constexpr AttemptState kEnds[] = { AttemptState::Ended, AttemptState::Stopped, AttemptState::NeverStarted };
    switch (nextRandom(f.state) % kKinds) {
    case 0:
        for (const ReserveAnswer& answer : f.reserve(id, makeSpec(WorkKind::Batch, nextRandom(f.state) % 2 == 0))) {
            if (answer.granted)
                held.insert(held.begin(), f.makeStart(answer));
        }
        break;
    case 1:
        if (!held.empty())
            handleStartRequest(f.state, f.jobOwner, held[nextRandom(f.state) % std::min(kRecent, held.size())], f.now, f.actions);
        break;
    case 2:
        if (row)
            f.answerStart(row->id.value(), outcome, nextRandom(f.state) % 2 == 0, { true, 200, "ok" });
        break;
    case 3:
        if (row)
            f.answerStop(row->id.value(), outcome, kEnds[nextRandom(f.state) % 3]);
        break;
    case 4:
        handleAttemptQuery(f.state, f.jobOwner, f.makeQuery(row ? row->id.value() : id, nextRandom(f.state) % 2 == 0), f.now, f.actions);
        break;
    case 5:
        handleAttemptAcknowledge(f.state, { row ? row->id : AttemptId(id) }, f.now, f.actions);
        break;
    case 6:
        f.answerSync(nextRandom(f.state) % 2 == 0 ? "a" : "b", outcome, row ? std::vector<AttemptStatus> { makeStatus(row->id.value(), row->job.value(), kEnds[nextRandom(f.state) % 2]) } : std::vector<AttemptStatus> {});
        break;
    default:
        f.advance(milliseconds(nextRandom(f.state) % 300));
    }
}

BOOST_AUTO_TEST_CASE(ChargesAgreeAndNothingStartsTwiceUnderRandomEvents)
{
    addUpstream("a");
    addUpstream("b");
    state.escrow.teamQuotas[TeamId("shop")].granted = 9;
    std::vector<StartRequest> held;
    std::set<AttemptId> started;
    constexpr int kEvents = 20000;
    for (int i = 0; i < kEvents; ++i) {
        applyRandomEvent(*this, held);
        checkCharges(*this);
        for (const UpstreamStart& sent : takeActions<UpstreamStart>())
            BOOST_REQUIRE(started.insert(sent.attempt).second);
        actions.clear();
        state.loopback.clear();
    }
    BOOST_TEST(started.size() > 100U);
}

BOOST_AUTO_TEST_SUITE_END()
