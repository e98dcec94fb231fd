#include "src/core/UpstreamLifecycle.h"

#include <boost/test/unit_test.hpp>

#include "src/core/Escrow.h"
#include "src/core/Placement.h"
#include "src/core/Reservations.h"
#include "src/core/UpstreamHealth.h"
#include "tests/support/CoreFixture.h"

using namespace crocuslever;
using namespace crocuslever::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct UpstreamLifecycleFixture : CoreFixture {
    int ignored(const std::string& kind) const { return static_cast<int>(state.counters.get("ignored_answers_total{kind=\"" + kind + "\"}")); }
    ShardIndex shard() { return upstream("a").shard; }

    /// Takes over upstream "a" from another owner, with one task of job "j" running on it.
    void adoptRunning()
    {
        listUpstream(makeUpstreamDescription("a"));
        tickOwner();
        answerFence("a", "life-1", { makeStatus("t1", "j", AttemptState::Running) });
        takeActions<UpstreamFence>();
    }

    void failJob(const std::string& upstreamName, const std::string& job, const std::string& team, bool failedElsewhere = false)
    {
        recordResult(upstreamName, job, team, failedElsewhere, false);
    }
    void succeed(const std::string& upstreamName) { recordResult(upstreamName, "good", "shop", false, true); }
    void recordResult(const std::string& upstreamName, const std::string& job, const std::string& team, bool failedElsewhere, bool succeeded)
    {
        now += milliseconds(10);
        AttemptRow row;
        row.job = JobId(job);
        row.team = TeamId(team);
        row.failedElsewhere = failedElsewhere;
        recordOutcome(state, upstream(upstreamName), row, succeeded, now, actions);
    }
    bool isQuarantined(const std::string& name) { return upstream(name).health == UpstreamHealth::Quarantined; }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(UpstreamLifecycleTest, UpstreamLifecycleFixture)

BOOST_AUTO_TEST_CASE(AnUpstreamIsFencedBeforeItGetsWork)
{
    listUpstream(makeUpstreamDescription("a"));
    tickOwner();
    std::vector<UpstreamFence> fences = takeActions<UpstreamFence>();
    BOOST_TEST_REQUIRE(fences.size() == 1);
    BOOST_TEST(fences[0].epoch == state.shards[shard()].record.epoch);
    BOOST_TEST(!acceptsWork(state, upstream("a"), now));
    BOOST_TEST(!isShardFenced(state, shard(), now));
    answerFence("a");
    BOOST_TEST(acceptsWork(state, upstream("a"), now));
    BOOST_TEST(isShardFenced(state, shard(), now));
}

BOOST_AUTO_TEST_CASE(AFenceIsRepeatedWithPauses)
{
    listUpstream(makeUpstreamDescription("a"));
    std::size_t n = 0;
    for (int i = 0; i < 100; ++i) {
        advance(milliseconds(100));
        for (const UpstreamFence& fence : takeActions<UpstreamFence>()) {
            ++n;
            handleFenceResult(state, { fence.upstream, fence.shard, fence.epoch, UpstreamOutcome::Unreachable, {}, {} }, now, actions);
        }
    }
    BOOST_TEST(n >= 6U);
    BOOST_TEST(n <= 20U);
}

BOOST_AUTO_TEST_CASE(AFenceAdoptsWhatRunsAndReportsWhatEnded)
{
    listUpstream(makeUpstreamDescription("a"));
    tickOwner();
    AttemptStatus ended = makeStatus("t2", "j2", AttemptState::Ended);
    ended.result = { true, 200, "plan" };
    answerFence("a", "life-1", { makeStatus("t1", "j1", AttemptState::Running), ended });
    BOOST_TEST(attempt("t1")->phase == AttemptPhase::Running);
    BOOST_TEST(upstream("a").reserved.slots == 1);
    BOOST_TEST(state.escrow.teamQuotas[TeamId("shop")].running == 1);
    BOOST_TEST(runningByTeam(state, shard())[TeamId("shop")] == 1);
    std::vector<AttemptReport> reports = takeMessages<AttemptReport>();
    BOOST_TEST_REQUIRE(reports.size() == 1);
    BOOST_TEST(reports[0].attempt == AttemptId("t2"));
    BOOST_TEST(reports[0].result.body == "plan");
}

BOOST_AUTO_TEST_CASE(AnUpstreamAdoptedAboveItsCapacityHasNoRoom)
{
    listUpstream(makeUpstreamDescription("a"));
    tickOwner();
    std::vector<AttemptStatus> running;
    running.reserve(10);
    for (int i = 0; i < 10; ++i)
        running.push_back(makeStatus("t" + std::to_string(i), "j", AttemptState::Running));
    answerFence("a", "life-1", running);
    BOOST_TEST(upstream("a").reserved.slots == 10);
    BOOST_TEST(!placeTask(state, { WorkKind::Urgent, { 1, 1, 0, 1 }, false, {}, {} }, now).upstream.has_value());
}

BOOST_AUTO_TEST_CASE(ALateOrDuplicateFenceAnswerIsIgnored)
{
    addUpstream("a");
    UpstreamFenceResult old { UpstreamId("a"), shard(), state.shards[shard()].record.epoch, UpstreamOutcome::Ok, IncarnationId("life-0"), {} };
    handleFenceResult(state, old, now, actions); // A duplicate.
    BOOST_TEST(ignored("fence") == 1);
    BOOST_TEST(upstream("a").incarnation == IncarnationId("life-1"));
    reclaimShard(shard());
    handleFenceResult(state, old, now, actions); // From the previous epoch.
    BOOST_TEST(ignored("fence") == 2);
    BOOST_TEST(!isShardFenced(state, shard(), now));
    // The fence of the current epoch is still sent.
    takeActions<UpstreamFence>();
    tickOwner();
    BOOST_TEST(takeActions<UpstreamFence>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(ARestartEndsWhatRanBeforeIt)
{
    adoptRunning();
    advance(seconds(2));
    BOOST_TEST_REQUIRE(takeActions<UpstreamSync>().size() == 1U);
    answerSync("a", UpstreamOutcome::WrongIncarnation);
    BOOST_TEST(!acceptsWork(state, upstream("a"), now));
    tickOwner();
    answerFence("a", "life-2");
    std::vector<AttemptReport> reports = takeMessages<AttemptReport>();
    BOOST_TEST_REQUIRE(reports.size() == 1);
    BOOST_TEST(reports[0].upstreamGone);
    BOOST_TEST(upstream("a").reserved.slots == 0);
    BOOST_TEST(acceptsWork(state, upstream("a"), now));
}

BOOST_AUTO_TEST_CASE(AShardIsFencedWithoutAnUpstreamOnlyOnceItsLeasesHaveLapsed)
{
    BOOST_TEST(!isShardFenced(state, 0, now)); // No list has been received yet.
    addUpstream("a");
    reclaimShard(shard());
    handleFenceResult(state, { UpstreamId("a"), shard(), state.shards[shard()].record.epoch, UpstreamOutcome::Unreachable, {}, {} }, now, actions);
    now += longestLease(state);
    BOOST_TEST(!isShardFenced(state, shard(), now));
    now += milliseconds(1);
    BOOST_TEST(isShardFenced(state, shard(), now));
    BOOST_TEST(!acceptsWork(state, upstream("a"), now));
}

BOOST_AUTO_TEST_CASE(LeasesAreRenewedOnlyWhileTheSessionIsValid)
{
    adoptRunning();
    advance(milliseconds(1100));
    std::vector<UpstreamSync> syncs = takeActions<UpstreamSync>();
    BOOST_TEST_REQUIRE(syncs.size() == 1);
    BOOST_TEST(syncs[0].renew.size() == 1U);
    answerSync("a", UpstreamOutcome::Ok, { makeStatus("t1", "j", AttemptState::Running) });
    state.session.validUntil = now;
    advance(seconds(3));
    BOOST_TEST(takeActions<UpstreamSync>().empty());
    state.session.validUntil = now + std::chrono::hours(1);
    advance(seconds(1));
    BOOST_TEST(takeActions<UpstreamSync>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(AnotherOwnersEpochStopsAllCallsToTheUpstream)
{
    adoptRunning();
    advance(milliseconds(1100));
    takeActions<UpstreamSync>();
    answerSync("a", UpstreamOutcome::StaleEpoch);
    BOOST_TEST(state.session.superseded);
    BOOST_TEST(!acceptsWork(state, upstream("a"), now));
    advance(seconds(20));
    BOOST_TEST(takeActions<UpstreamSync>().empty());
    BOOST_TEST(takeActions<UpstreamFence>().empty());
    BOOST_TEST(takeActions<UpstreamStop>().empty());
    reclaimShard(shard());
    BOOST_TEST(takeActions<UpstreamFence>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(ASyncAnswerOfAnotherEpochOrWithoutARequestIsIgnored)
{
    adoptRunning();
    AttemptStatus ended = makeStatus("t1", "j", AttemptState::Ended);
    answerSync("a", UpstreamOutcome::Ok, { ended });
    BOOST_TEST(ignored("sync") == 1);
    advance(milliseconds(1100));
    handleSyncResult(state, { UpstreamId("a"), shard(), 1, UpstreamOutcome::Ok, IncarnationId("life-1"), { ended } }, now, actions);
    BOOST_TEST(ignored("sync") == 2);
    BOOST_TEST(attempt("t1")->phase == AttemptPhase::Running);
}

BOOST_AUTO_TEST_CASE(AnAttemptOnAVanishedUpstreamEndsWhenItsLeaseHasLapsed)
{
    adoptRunning();
    unlistUpstream("a");
    BOOST_TEST_REQUIRE(attempt("t1") != nullptr);
    advance(milliseconds(1100));
    BOOST_TEST(takeActions<UpstreamSync>().size() == 1U); // Off the list, but still called.
    answerSync("a", UpstreamOutcome::Unreachable);
    state.session.validUntil = now; // No lease is renewed from now on.
    advance(attempt("t1")->leaseUntil + kLeaseMargin - milliseconds(1) - now);
    BOOST_TEST(takeMessages<AttemptReport>().empty());
    advance(seconds(1));
    std::vector<AttemptReport> reports = takeMessages<AttemptReport>();
    BOOST_TEST_REQUIRE(!reports.empty());
    BOOST_TEST(reports[0].upstreamGone);
}

BOOST_AUTO_TEST_CASE(NonIdempotentWorkOnASilentUpstreamWaitsForItsAnswer)
{
    adoptRunning();
    advance(milliseconds(1100));
    takeActions<UpstreamSync>();
    answerSync("a", UpstreamOutcome::Unknown);
    state.session.validUntil = now;
    advance(seconds(60));
    BOOST_TEST(takeMessages<AttemptReport>().empty());
    attempt("t1")->idempotent = true;
    advance(seconds(1));
    BOOST_TEST(takeMessages<AttemptReport>().size() >= 1U);
}

BOOST_AUTO_TEST_CASE(IdleUpstreamsAreSyncedSpreadOut)
{
    for (int i = 0; i < 50; ++i)
        addUpstream("u" + std::to_string(i));
    std::size_t most = 0;
    for (int i = 0; i < 55; ++i) {
        advance(milliseconds(100));
        std::vector<UpstreamSync> syncs = takeActions<UpstreamSync>();
        most = std::max(most, syncs.size());
        for (const UpstreamSync& sync : syncs)
            answerSync(sync.upstream.value(), UpstreamOutcome::Ok);
    }
    BOOST_TEST(most > 0U);
    BOOST_TEST(most < 20U);
}

BOOST_AUTO_TEST_CASE(AnUpstreamThatFailsWhileOthersSucceedIsQuarantinedProbedAndReadmitted)
{
    addUpstream("a");
    addUpstream("b");
    failJob("a", "j1", "shop");
    succeed("b");
    failJob("a", "j2", "other");
    BOOST_TEST(!isQuarantined("a"));
    failJob("a", "j3", "third");
    BOOST_TEST(isQuarantined("a"));
    PlacementRequest probe { WorkKind::Batch, { 1, 1, 0, 1 }, true, { UpstreamId("b") }, {} };
    BOOST_TEST(!placeTask(state, probe, now).upstream.has_value());
    now = upstream("a").probeAfter;
    BOOST_TEST(placeTask(state, probe, now).upstream.has_value());
    probe.probe = false; // Non-idempotent work isn't used as a probe.
    BOOST_TEST(!placeTask(state, probe, now).upstream.has_value());
    succeed("a");
    BOOST_TEST(upstream("a").health == UpstreamHealth::Probation);
    failJob("a", "j4", "shop");
    BOOST_TEST(isQuarantined("a"));
    for (int i = 0; i < 4; ++i)
        succeed("a");
    BOOST_TEST(upstream("a").health == UpstreamHealth::Good);
}

BOOST_AUTO_TEST_CASE(OneJobsFailuresCountOnce)
{
    addUpstream("a");
    addUpstream("b");
    failJob("a", "j1", "shop");
    succeed("b");
    for (int i = 0; i < 10; ++i)
        failJob("a", "j1", "shop");
    BOOST_TEST(!isQuarantined("a"));
}

BOOST_AUTO_TEST_CASE(AJobThatFailsEverywhereDoesNotCountAgainstUpstreams)
{
    addUpstream("a");
    addUpstream("b");
    for (int i = 0; i < 10; ++i) {
        std::string job = "bad-" + std::to_string(i);
        failJob("a", job, "team-" + std::to_string(i));
        succeed("b");
        failJob("b", job, "team-" + std::to_string(i), true);
    }
    BOOST_TEST(!isQuarantined("a"));
    BOOST_TEST(!isQuarantined("b"));
}

BOOST_AUTO_TEST_CASE(NoUpstreamIsQuarantinedWhileNothingSucceeds)
{
    addUpstream("a");
    for (int i = 0; i < 10; ++i)
        failJob("a", "j" + std::to_string(i), "team-" + std::to_string(i));
    BOOST_TEST(!isQuarantined("a"));
}

BOOST_AUTO_TEST_CASE(FailuresFarApartDoNotAddUp)
{
    addUpstream("a");
    addUpstream("b");
    for (int i = 0; i < 10; ++i) {
        failJob("a", "j" + std::to_string(i), "team-" + std::to_string(i));
        succeed("b");
        now += std::chrono::minutes(5);
    }
    BOOST_TEST(!isQuarantined("a"));
}

BOOST_AUTO_TEST_SUITE_END()
