#include "tests/support/UpstreamModel.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "src/codec/Encoding.h"

using namespace crocuslever;
using namespace crocuslever::testing;

BOOST_AUTO_TEST_SUITE(UpstreamModelTest)

static constexpr ShardIndex kShard = 3;
static const TimePoint kStart = TimePoint(std::chrono::seconds(100));
static const Duration kLease = std::chrono::seconds(5);

static UpstreamModel makeModel()
{
    return UpstreamModel({ UpstreamId("u-001"), IncarnationId("first"), { 8000, 4096, 0, 2 } });
}

static UpstreamFenceResult fence(UpstreamModel& model, Epoch epoch, TimePoint now = kStart)
{
    return model.fence({ UpstreamId("u-001"), "", kShard, epoch, InstanceId("e-1") }, now);
}

static UpstreamStart makeStart(const std::string& attempt, Epoch epoch, const std::string& body = R"({"sleep_ms":1000})")
{
    UpstreamStart command;
    command.upstream = UpstreamId("u-001");
    command.shard = kShard;
    command.epoch = epoch;
    command.incarnation = IncarnationId("first");
    command.attempt = AttemptId(attempt);
    command.spec.body = body;
    command.lease = kLease;
    return command;
}

static UpstreamSyncResult sync(UpstreamModel& model, Epoch epoch, TimePoint now, std::vector<AttemptId> renew, std::vector<AttemptId> acknowledge = {})
{
    return model.sync({ UpstreamId("u-001"), "", kShard, epoch, IncarnationId("first"), kLease, std::move(renew), std::move(acknowledge) }, now);
}

static UpstreamStopResult stop(UpstreamModel& model, const std::string& attempt, Epoch epoch, StopMode mode = StopMode::Stop, TimePoint now = kStart)
{
    return model.stop({ UpstreamId("u-001"), "", kShard, epoch, IncarnationId("first"), AttemptId(attempt), mode }, now);
}

static int countEvents(UpstreamModel& model, const std::string& name)
{
    std::vector<UpstreamModelEvent> events = model.takeEvents();
    return static_cast<int>(std::count_if(events.begin(), events.end(), [&](const UpstreamModelEvent& e) { return e.name == name; }));
}

/// The expected outcome of each call at `epoch` after a fence at `fenced`; 0: no fence.
struct EpochCase {
    Epoch fenced;
    Epoch epoch;
    UpstreamOutcome fence;
    UpstreamOutcome start;
    UpstreamOutcome sync;
    UpstreamOutcome stop;
};

static const EpochCase kEpochCases[] = {
    { 0, 1, UpstreamOutcome::Ok, UpstreamOutcome::StaleEpoch, UpstreamOutcome::Ok, UpstreamOutcome::Ok },
    { 5, 4, UpstreamOutcome::StaleEpoch, UpstreamOutcome::StaleEpoch, UpstreamOutcome::StaleEpoch, UpstreamOutcome::StaleEpoch },
    { 5, 5, UpstreamOutcome::Ok, UpstreamOutcome::Ok, UpstreamOutcome::Ok, UpstreamOutcome::Ok },
    { 5, 6, UpstreamOutcome::Ok, UpstreamOutcome::StaleEpoch, UpstreamOutcome::Ok, UpstreamOutcome::Ok },
};

BOOST_AUTO_TEST_CASE(CallsAreCheckedAgainstFencedEpoch)
{
    for (const EpochCase& c : kEpochCases) {
        BOOST_TEST_CONTEXT("fenced " << c.fenced << ", called at " << c.epoch)
        {
            UpstreamModel model = makeModel();
            if (c.fenced > 0)
                BOOST_REQUIRE((fence(model, c.fenced).outcome == UpstreamOutcome::Ok));
            BOOST_TEST((model.start(makeStart("a", c.epoch), kStart).outcome == c.start));
            BOOST_TEST((sync(model, c.epoch, kStart, {}).outcome == c.sync));
            BOOST_TEST((stop(model, "b", c.epoch).outcome == c.stop));
            BOOST_TEST((fence(model, c.epoch).outcome == c.fence));
        }
    }
}

BOOST_AUTO_TEST_CASE(RefusedStartRunsNothing)
{
    UpstreamModel model = makeModel();
    fence(model, 5);
    model.start(makeStart("a", 4), kStart);
    BOOST_TEST(model.used().slots == 0);
    BOOST_TEST(countEvents(model, "start") == 0);
}

BOOST_AUTO_TEST_CASE(ShardsAreFencedSeparately)
{
    UpstreamModel model = makeModel();
    fence(model, 5);
    UpstreamStart other = makeStart("a", 1);
    other.shard = kShard + 1;
    model.fence({ UpstreamId("u-001"), "", kShard + 1, 1, InstanceId("e-2") }, kStart);
    BOOST_TEST((model.start(other, kStart).outcome == UpstreamOutcome::Ok));
}

BOOST_AUTO_TEST_CASE(WrongIncarnationIsRefused)
{
    UpstreamModel model = makeModel();
    fence(model, 1);
    UpstreamStart command = makeStart("a", 1);
    command.incarnation = IncarnationId("earlier");
    BOOST_TEST((model.start(command, kStart).outcome == UpstreamOutcome::WrongIncarnation));
    UpstreamSyncResult synced = model.sync({ UpstreamId("u-001"), "", kShard, 1, IncarnationId("earlier"), kLease, {}, {} }, kStart);
    BOOST_TEST((synced.outcome == UpstreamOutcome::WrongIncarnation));
    BOOST_TEST(synced.incarnation.value() == "first");
    UpstreamStopResult stopped = model.stop({ UpstreamId("u-001"), "", kShard, 1, IncarnationId("earlier"), AttemptId("a"), StopMode::Stop }, kStart);
    BOOST_TEST((stopped.outcome == UpstreamOutcome::WrongIncarnation));
}

BOOST_AUTO_TEST_CASE(FenceListsEveryAttempt)
{
    UpstreamModel model = makeModel();
    fence(model, 1);
    model.start(makeStart("running", 1), kStart);
    model.start(makeStart("ended", 1, "at once"), kStart);
    model.start(makeStart("stopped", 1), kStart);
    stop(model, "stopped", 1);
    UpstreamFenceResult result = fence(model, 2);
    std::map<std::string, AttemptState> states;
    for (const AttemptStatus& status : result.attempts)
        states[status.attempt.value()] = status.state;
    BOOST_TEST(states.size() == 3u);
    BOOST_TEST((states["running"] == AttemptState::Running));
    BOOST_TEST((states["ended"] == AttemptState::Ended));
    BOOST_TEST((states["stopped"] == AttemptState::Stopped));
}

BOOST_AUTO_TEST_CASE(RepeatedStartRunsOnce)
{
    UpstreamModel model = makeModel();
    fence(model, 1);
    model.start(makeStart("a", 1), kStart);
    UpstreamStartAnswer again = model.start(makeStart("a", 1), kStart);
    BOOST_TEST((again.outcome == UpstreamOutcome::Ok));
    BOOST_TEST((again.status.state == AttemptState::Running));
    BOOST_TEST(model.used().slots == 1);
    UpstreamStartAnswer late = model.start(makeStart("a", 1), kStart + std::chrono::seconds(2));
    BOOST_TEST((late.status.state == AttemptState::Ended));
    sync(model, 1, kStart + std::chrono::seconds(2), {}, { AttemptId("a") });
    // The model drops an acknowledged result but remembers that the attempt ran.
    UpstreamStartAnswer forgotten = model.start(makeStart("a", 1), kStart + std::chrono::seconds(3));
    BOOST_TEST((forgotten.outcome == UpstreamOutcome::Unknown));
    BOOST_TEST(countEvents(model, "start") == 1);
}

BOOST_AUTO_TEST_CASE(StopBeforeStartPreventsStart)
{
    for (StopMode mode : { StopMode::Stop, StopMode::Checkpoint }) {
        UpstreamModel model = makeModel();
        fence(model, 1);
        BOOST_TEST((stop(model, "a", 1, mode).status.state == AttemptState::NeverStarted));
        BOOST_TEST((model.start(makeStart("a", 1), kStart).outcome == UpstreamOutcome::Refused));
        BOOST_TEST((sync(model, 1, kStart, { AttemptId("a") }).attempts.at(0).state == AttemptState::NeverStarted));
        BOOST_TEST(countEvents(model, "start") == 0);
    }
}

BOOST_AUTO_TEST_CASE(ThrottleOfUnknownAttemptHasNoEffect)
{
    UpstreamModel model = makeModel();
    fence(model, 1);
    BOOST_TEST((stop(model, "a", 1, StopMode::Throttle).status.state == AttemptState::Unknown));
    BOOST_TEST((model.start(makeStart("a", 1), kStart).outcome == UpstreamOutcome::Ok));
}

BOOST_AUTO_TEST_CASE(ThrottledTaskTakesLonger)
{
    UpstreamModel model = makeModel();
    fence(model, 1);
    model.start(makeStart("a", 1), kStart);
    stop(model, "a", 1, StopMode::Throttle);
    BOOST_TEST((model.status(AttemptId("a"), kStart).state == AttemptState::Running));
    model.advance(kStart + std::chrono::milliseconds(1500));
    BOOST_TEST((model.status(AttemptId("a"), kStart).state == AttemptState::Running));
    model.advance(kStart + std::chrono::milliseconds(2000));
    BOOST_TEST((model.status(AttemptId("a"), kStart).state == AttemptState::Ended));
}

BOOST_AUTO_TEST_CASE(StoppedAttemptNeverRestarts)
{
    UpstreamModel model = makeModel();
    fence(model, 1);
    model.start(makeStart("a", 1), kStart);
    BOOST_TEST((stop(model, "a", 1).status.state == AttemptState::Stopped));
    BOOST_TEST(model.used().slots == 0);
    UpstreamStartAnswer again = model.start(makeStart("a", 1), kStart);
    BOOST_TEST((again.status.state == AttemptState::Stopped));
    BOOST_TEST(countEvents(model, "start") == 1);
}

BOOST_AUTO_TEST_CASE(StopOfEndedAttemptReturnsResult)
{
    UpstreamModel model = makeModel();
    fence(model, 1);
    model.start(makeStart("a", 1, R"({"echo":"e"})"), kStart);
    UpstreamStopResult result = stop(model, "a", 1);
    BOOST_TEST((result.status.state == AttemptState::Ended));
    BOOST_TEST(result.status.result.body == "answer:" + sha256Hex(R"({"echo":"e"})") + ":e");
}

BOOST_AUTO_TEST_CASE(ExpiredLeaseStopsAttempt)
{
    UpstreamModel model = makeModel();
    fence(model, 1);
    model.start(makeStart("a", 1, R"({"sleep_ms":60000})"), kStart);
    TimePoint renewedAt = kStart + std::chrono::seconds(4);
    BOOST_TEST((sync(model, 1, renewedAt, { AttemptId("a") }).attempts.at(0).leaseLeft == kLease));
    model.advance(renewedAt + kLease - Duration(1));
    BOOST_TEST((model.status(AttemptId("a"), renewedAt).state == AttemptState::Running));
    BOOST_TEST((*model.nextChange() == renewedAt + kLease));
    model.advance(renewedAt + kLease);
    BOOST_TEST((model.status(AttemptId("a"), renewedAt).state == AttemptState::Stopped));
    BOOST_TEST(model.used().slots == 0);
    BOOST_TEST(countEvents(model, "lapse") == 1);
    // A renewal after the lease expired doesn't restart the attempt.
    BOOST_TEST((sync(model, 1, renewedAt + kLease, { AttemptId("a") }).attempts.at(0).state == AttemptState::Stopped));
}

BOOST_AUTO_TEST_CASE(EndAfterLeaseExpiryCountsAsStopped)
{
    // The lease (5 s) expires before the task ends (6 s), but the model is advanced only later, as
    // if its process had been frozen in between.
    UpstreamModel model = makeModel();
    fence(model, 1);
    model.start(makeStart("a", 1, R"({"sleep_ms":6000})"), kStart);
    model.advance(kStart + std::chrono::seconds(10));
    BOOST_TEST((model.status(AttemptId("a"), kStart).state == AttemptState::Stopped));
}

BOOST_AUTO_TEST_CASE(ResultsAreKeptUntilAcknowledged)
{
    UpstreamModel model = makeModel();
    fence(model, 1);
    model.start(makeStart("a", 1, "x"), kStart);
    for (int n = 0; n < 2; ++n) {
        UpstreamSyncResult result = sync(model, 1, kStart, {});
        BOOST_REQUIRE(result.attempts.size() == 1u);
        BOOST_TEST(result.attempts[0].result.body == "answer:" + sha256Hex("x") + ":");
    }
    BOOST_TEST(sync(model, 1, kStart, {}, { AttemptId("a") }).attempts.empty());
    BOOST_TEST(fence(model, 2).attempts.empty());
}

BOOST_AUTO_TEST_CASE(SyncListsRenewedAttemptsOnce)
{
    UpstreamModel model = makeModel();
    fence(model, 1);
    model.start(makeStart("ended", 1, "x"), kStart);
    model.start(makeStart("running", 1), kStart);
    UpstreamSyncResult result = sync(model, 1, kStart, { AttemptId("ended"), AttemptId("running"), AttemptId("unheard") });
    std::map<std::string, AttemptState> states;
    for (const AttemptStatus& status : result.attempts)
        states[status.attempt.value()] = status.state;
    BOOST_TEST(result.attempts.size() == 3u);
    BOOST_TEST((states["ended"] == AttemptState::Ended));
    BOOST_TEST((states["running"] == AttemptState::Running));
    BOOST_TEST((states["unheard"] == AttemptState::Unknown));
}

BOOST_AUTO_TEST_CASE(OvercommitIsRefusedPermanentlyAndLogged)
{
    UpstreamModel model = makeModel();
    fence(model, 1);
    model.start(makeStart("a", 1), kStart);
    model.start(makeStart("b", 1), kStart);
    BOOST_TEST((model.start(makeStart("c", 1), kStart).outcome == UpstreamOutcome::Refused));
    BOOST_TEST(countEvents(model, "overcommit") == 1);
    stop(model, "a", 1);
    BOOST_TEST((model.start(makeStart("c", 1), kStart).outcome == UpstreamOutcome::Refused));
    BOOST_TEST((model.start(makeStart("d", 1), kStart).outcome == UpstreamOutcome::Ok));
}

BOOST_AUTO_TEST_CASE(TaskBodyControlsSimulation)
{
    UpstreamModel model = makeModel();
    fence(model, 1);
    BOOST_TEST((model.start(makeStart("ok", 1, "\xff"), kStart).status.result.succeeded));
    AttemptStatus failed = model.start(makeStart("fail", 1, R"({"fail":true,"exit_status":422})"), kStart).status;
    BOOST_TEST(!failed.result.succeeded);
    BOOST_TEST(failed.result.status == 422);
    model.setBehaviour({ true, Duration::zero() });
    BOOST_TEST(!model.start(makeStart("all", 1, "{}"), kStart).status.result.succeeded);
    model.setBehaviour({ false, std::chrono::milliseconds(5) });
    BOOST_TEST((model.start(makeStart("slow", 1, "{}"), kStart).status.state == AttemptState::Running));
}

BOOST_AUTO_TEST_CASE(ServiceRunsUntilStopped)
{
    UpstreamModel model = makeModel();
    fence(model, 1);
    UpstreamStart command = makeStart("a", 1, "");
    command.spec.kind = WorkKind::Service;
    model.start(command, kStart);
    for (int n = 1; n <= 100; ++n)
        sync(model, 1, kStart + n * std::chrono::seconds(4), { AttemptId("a") });
    BOOST_TEST((model.status(AttemptId("a"), kStart).state == AttemptState::Running));
}

BOOST_AUTO_TEST_SUITE_END()
