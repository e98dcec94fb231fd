#include "src/core/UrgentCalls.h"

#include <boost/test/unit_test.hpp>

#include "src/core/Calls.h"
#include "src/core/UpstreamLifecycle.h"
#include "tests/support/CoreFixture.h"

using namespace crocuslever;
using namespace crocuslever::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Plays the entry instance, which routes calls to owners.
struct EntryFixture : CoreFixture {
    static constexpr Duration kDeadline = milliseconds(2300);

    CallRow& call(CallId id, bool idempotent, const std::string& team = "shop")
    {
        CallRow& row = state.calls[id];
        row.id = id;
        row.team = TeamId(team);
        row.urgent = true;
        row.spec = makeSpec(WorkKind::Urgent, idempotent);
        row.deadline = now + kDeadline;
        return row;
    }

    void route(CallId id) { routeUrgentCall(state, state.calls.at(id), now, actions); }

    /// Routes a new call; returns the owner that it was sent to, or an empty id.
    InstanceId send(CallId id, bool idempotent)
    {
        call(id, idempotent);
        route(id);
        return state.calls.at(id).sentTo;
    }

    void answer(CallId id, const InstanceId& from, CallOutcome outcome, RefusalReason reason = RefusalReason::None)
    {
        CallerReply reply;
        reply.outcome = outcome;
        reply.reason = reason;
        reply.body = "0.02 mm";
        handleUrgentAnswer(state, from, { id, reply }, now, actions);
    }

    void wait(Duration d)
    {
        now += d;
        runUrgentCalls(state, now, actions);
    }

    /// Number of calls sent to owners since the last use.
    std::size_t sends() { return takeMessages<UrgentCall>().size(); }

    std::vector<CallerReply> replies() { return takeActions<CallerReply>(); }
};

/// Plays the owner of one upstream, "a".
struct OwnerFixture : CoreFixture {
    OwnerFixture()
    {
        addMember("entry-2", 0);
        addUpstream("a");
    }

    std::vector<UpstreamStart> call(bool idempotent, Duration timeLeft = seconds(2))
    {
        UrgentCall message { 9, TeamId("shop"), makeSpec(WorkKind::Urgent, idempotent), timeLeft, 0, now };
        handleUrgentCall(state, InstanceId("entry-2"), message, now, actions);
        return takeActions<UpstreamStart>();
    }

    std::vector<CallerReply> replies()
    {
        std::vector<CallerReply> list;
        for (UrgentAnswer& answer : takeMessages<UrgentAnswer>()) {
            BOOST_TEST(answer.call == 9U);
            list.push_back(std::move(answer.reply));
        }
        return list;
    }

    CallOutcome outcome()
    {
        std::vector<CallerReply> list = replies();
        BOOST_REQUIRE(list.size() == 1U);
        return list[0].outcome;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(UrgentEntryTest, EntryFixture)

BOOST_AUTO_TEST_CASE(ACallGoesOnlyToOwnersThatAreUpAndHaveRoom)
{
    addMember("full", 0);
    addMember("silent", 100);
    addMember("stopping", 100);
    addMember("good", 8);
    state.members.at(InstanceId("silent")).lastHeard = now - seconds(5);
    state.members.at(InstanceId("stopping")).heartbeat.shuttingDown = true;
    for (CallId id = 1; id <= 8; ++id)
        BOOST_TEST(send(id, true) == InstanceId("good"));
    // Each send is deducted from the owner's room at once, before its next heartbeat.
    BOOST_TEST(send(9, true) == InstanceId());
    BOOST_TEST(!state.calls.at(9).sent);
}

BOOST_AUTO_TEST_CASE(TheEmptierOfTwoIsChosenAndThisInstanceOnATie)
{
    addMember("full", 1);
    addMember("empty", 1000);
    for (CallId id = 1; id <= 20; ++id)
        BOOST_TEST(send(id, true) == InstanceId("empty"));
    state.members.erase(InstanceId("empty"));
    addMember("entry-1", 1);
    BOOST_TEST(send(21, true) == InstanceId("entry-1"));
}

BOOST_AUTO_TEST_CASE(AnOwnerWithAGrantForTheTeamIsPreferred)
{
    addMember("broke", 1000);
    addMember("granted", 8);
    state.escrow.grants[TeamId("shop")][SessionId("granted.session")] = 2;
    BOOST_TEST(send(1, true) == InstanceId("granted"));
}

BOOST_AUTO_TEST_CASE(ARefusalGoesToAnotherOwnerWithinTheRetryBudget)
{
    addMember("a", 1000);
    addMember("b", 1000);
    InstanceId first = send(1, false);
    answer(1, first, CallOutcome::NotRun, RefusalReason::Overloaded);
    BOOST_TEST(state.calls.at(1).sent);
    BOOST_TEST(state.calls.at(1).sentTo != first);
    std::size_t n = sends();
    for (int i = 0; i < 50 && state.calls.count(1) != 0; ++i) {
        if (state.calls.at(1).sent)
            answer(1, state.calls.at(1).sentTo, CallOutcome::NotRun, RefusalReason::Overloaded);
        else
            wait(milliseconds(25));
        n += sends();
    }
    BOOST_TEST(n <= 8U);
    std::vector<CallerReply> list = replies();
    BOOST_TEST_REQUIRE(list.size() == 1U);
    BOOST_TEST(list[0].outcome == CallOutcome::NotRun);
    BOOST_TEST((list[0].retryAfter > Duration(0)));
}

BOOST_AUTO_TEST_CASE(AnAnswerFromAnotherOwnerIsIgnored)
{
    addMember("a", 8);
    send(1, true);
    answer(1, InstanceId("b"), CallOutcome::Done);
    answer(2, InstanceId("a"), CallOutcome::Done);
    BOOST_TEST(replies().empty());
    BOOST_TEST(state.counters.get("ignored_answers_total{kind=\"urgent\"}") == 2);
    answer(1, InstanceId("a"), CallOutcome::Done);
    BOOST_TEST(replies().at(0).body == "0.02 mm");
}

BOOST_AUTO_TEST_CASE(AnUnknownOutcomeOfNonIdempotentWorkIsReturnedToTheCaller)
{
    addMember("a", 8);
    addMember("b", 8);
    answer(1, send(1, false), CallOutcome::Unknown, RefusalReason::UpstreamLost);
    BOOST_TEST(replies().at(0).outcome == CallOutcome::Unknown);
    BOOST_TEST(sends() == 1U);
}

BOOST_AUTO_TEST_CASE(IdempotentWorkOfUnknownOutcomeIsRetriedElsewhereOnlyAfterTheLease)
{
    addMember("a", 8);
    addMember("b", 8);
    InstanceId first = send(1, true);
    answer(1, first, CallOutcome::Unknown);
    BOOST_TEST(sends() == 1U);
    Duration lease = state.settings.urgentLease + kLeaseMargin;
    wait(lease - milliseconds(1));
    BOOST_TEST(sends() == 0U);
    for (auto& [id, member] : state.members)
        member.lastHeard = now;
    wait(milliseconds(1));
    BOOST_TEST(sends() == 1U);
    BOOST_TEST(state.calls.at(1).sentTo != first);
    // After one owner's unknown outcome, another owner's refusal must not lead to NotRun.
    answer(1, state.calls.at(1).sentTo, CallOutcome::NotRun, RefusalReason::Overloaded);
    wait(kDeadline);
    BOOST_TEST(replies().at(0).outcome == CallOutcome::Unknown);
}

BOOST_AUTO_TEST_CASE(ADeadOwnersIdempotentCallIsTriedElsewhereAfterTheLease)
{
    addMember("a", 8);
    addMember("b", 8);
    InstanceId first = send(1, true);
    InstanceId other(first == InstanceId("a") ? "b" : "a");
    send(2, false);
    state.calls.at(2).sentTo = first;
    sends();
    Duration lease = state.settings.urgentLease + kLeaseMargin;
    state.members.at(other).lastHeard = now + lease;
    wait(lease - milliseconds(1));
    BOOST_TEST(sends() == 0U);
    wait(milliseconds(1));
    BOOST_TEST(sends() == 1U); // The non-idempotent call isn't retried.
    BOOST_TEST(state.calls.at(1).sentTo == other);
    wait(kDeadline);
    for (const CallerReply& reply : replies())
        BOOST_TEST(reply.outcome == CallOutcome::Unknown);
}

BOOST_AUTO_TEST_CASE(ASlowOwnerThatIsUpKeepsTheCall)
{
    addMember("a", 8);
    addMember("b", 8);
    send(1, true);
    sends();
    for (int i = 0; i < 20; ++i) {
        for (auto& [id, member] : state.members)
            member.lastHeard = now;
        wait(milliseconds(100));
    }
    BOOST_TEST(sends() == 0U);
}

BOOST_AUTO_TEST_CASE(WithoutRoomACallWaitsAndIsRefusedAtTheDeadline)
{
    call(1, false);
    route(1);
    BOOST_TEST(replies().empty());
    wait(kDeadline);
    BOOST_TEST(replies().at(0).outcome == CallOutcome::NotRun);
    call(2, false);
    route(2);
    addMember("late", 8);
    wait(milliseconds(50));
    BOOST_TEST(sends() == 1U);
}

BOOST_AUTO_TEST_CASE(TheQueueIsBoundedForAllAndForEachTeam)
{
    CallId id = 0;
    auto countRefused = [&](const std::string& team, int n) {
        for (int i = 0; i < n; ++i) {
            call(++id, false, team);
            route(id);
        }
        return replies().size();
    };
    BOOST_TEST(countRefused("greedy", 200) > 100U);
    BOOST_TEST(countRefused("modest", 10) == 0U);
    for (int i = 0; i < 20; ++i)
        countRefused("team-" + std::to_string(i), 20);
    BOOST_TEST(state.calls.size() <= 256U);
}

BOOST_AUTO_TEST_CASE(WaitingCallsOfTheTeamWithTheLeastShareGoFirst)
{
    call(1, false, "rich");
    call(2, false, "poor");
    route(1);
    route(2);
    addMember("a", 1);
    Heartbeat& beat = state.members.at(InstanceId("a")).heartbeat;
    beat.capacity = { 1000, 1000, 0, 8 };
    beat.teams = { { TeamId("rich"), 5, 0, 0, { 0, 0, 0, 5 } } };
    wait(milliseconds(50));
    BOOST_TEST(!state.calls.at(1).sent);
    BOOST_TEST(state.calls.at(2).sent);
}

BOOST_AUTO_TEST_CASE(AWaitingCallWhoseCallerIsGoneIsDropped)
{
    call(1, false);
    route(1);
    state.calls.at(1).callerGone = true;
    wait(milliseconds(1));
    BOOST_TEST(state.calls.empty());
    BOOST_TEST(replies().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(UrgentOwnerTest, OwnerFixture)

BOOST_AUTO_TEST_CASE(TheWholeAnswerGoesBackAndTheRoomIsReturned)
{
    std::vector<UpstreamStart> starts = call(false);
    BOOST_TEST_REQUIRE(starts.size() == 1U);
    BOOST_TEST(starts[0].waitForResult);
    BOOST_TEST((starts[0].timeout < seconds(2)));
    BOOST_TEST(upstream("a").reserved.slots == 1);
    answerStart(starts[0].attempt.value(), UpstreamOutcome::Ok, true, { false, 422, "worn out" });
    CallerReply reply = replies().at(0);
    BOOST_TEST(reply.outcome == CallOutcome::Done);
    BOOST_TEST(reply.reason == RefusalReason::TaskFailed);
    BOOST_TEST(reply.status == 422);
    BOOST_TEST(reply.body == "worn out");
    BOOST_TEST(upstream("a").reserved.slots == 0);
    BOOST_TEST(state.escrow.teamQuotas[TeamId("shop")].running == 0);
    BOOST_TEST(upstream("a").toAcknowledge.size() == 1U);
}

BOOST_AUTO_TEST_CASE(UrgentWorkUsesTheHeadroomButNeverMoreThanTheCapacity)
{
    for (int i = 0; i < 8; ++i)
        BOOST_TEST(call(false).size() == 1U);
    BOOST_TEST(call(false).empty());
    BOOST_TEST(outcome() == CallOutcome::NotRun);
    BOOST_TEST(upstream("a").reserved.slots == 8);
}

BOOST_AUTO_TEST_CASE(RefusalsSayWhy)
{
    auto reasonOf = [&](Duration timeLeft = seconds(2)) {
        BOOST_TEST(call(false, timeLeft).empty());
        return replies().at(0).reason;
    };
    BOOST_TEST(reasonOf(milliseconds(5)) == RefusalReason::DeadlinePassed);
    state.escrow.teamQuotas[TeamId("shop")].granted = 0;
    BOOST_TEST(reasonOf() == RefusalReason::TeamLimit);
    BOOST_TEST(state.escrow.teamQuotas[TeamId("shop")].refusedStarts == 1);
    state.escrow.teamQuotas[TeamId("shop")].granted = 10;
    state.shuttingDown = true;
    BOOST_TEST(reasonOf() == RefusalReason::ShuttingDown);
    state.shuttingDown = false;
    state.session.validUntil = now;
    BOOST_TEST(reasonOf() == RefusalReason::NotValid);
}

BOOST_AUTO_TEST_CASE(CallsAreNotStartedShortlyAfterAPauseOfTheProcess)
{
    now += seconds(2);
    BOOST_TEST(call(true).empty());
    BOOST_TEST(outcome() == CallOutcome::NotRun);
    tickOwner();
    BOOST_TEST(call(true).empty());
    BOOST_TEST(outcome() == CallOutcome::NotRun);
    advance(milliseconds(300));
    BOOST_TEST(call(true).size() == 1U);
}

BOOST_AUTO_TEST_CASE(ACallThatDidNotStartIsRetriedOnAnotherUpstreamOnce)
{
    addUpstream("b");
    addUpstream("c");
    UpstreamStart first = call(false).at(0);
    answerStart(first.attempt.value(), UpstreamOutcome::Unreachable);
    BOOST_TEST(replies().empty());
    UpstreamStart second = takeActions<UpstreamStart>().at(0);
    BOOST_TEST(second.upstream != first.upstream);
    BOOST_TEST(second.attempt != first.attempt);
    answerStart(second.attempt.value(), UpstreamOutcome::Refused);
    BOOST_TEST(takeActions<UpstreamStart>().empty());
    BOOST_TEST(outcome() == CallOutcome::NotRun);
}

BOOST_AUTO_TEST_CASE(AStartOfUnknownOutcomeIsResolvedByAStopBeforeTheReply)
{
    addUpstream("b");
    auto stopAs = [&](bool idempotent, UpstreamOutcome result, AttemptState end) {
        UpstreamStart sent = call(idempotent).at(0);
        answerStart(sent.attempt.value(), UpstreamOutcome::Unknown);
        BOOST_TEST(replies().empty());
        BOOST_TEST(takeActions<UpstreamStart>().empty());
        BOOST_TEST(takeActions<UpstreamStop>().size() == 1U);
        answerStop(sent.attempt.value(), result, end, { true, 200, "late" });
    };
    stopAs(false, UpstreamOutcome::Ok, AttemptState::Ended);
    BOOST_TEST(replies().at(0).body == "late");
    stopAs(false, UpstreamOutcome::Ok, AttemptState::Stopped);
    BOOST_TEST(takeActions<UpstreamStart>().empty());
    BOOST_TEST(outcome() == CallOutcome::Unknown);
    stopAs(true, UpstreamOutcome::Ok, AttemptState::Stopped); // Idempotent and stopped, so it is started elsewhere.
    BOOST_TEST(takeActions<UpstreamStart>().size() == 1U);
    stopAs(false, UpstreamOutcome::Ok, AttemptState::NeverStarted);
    BOOST_TEST(takeActions<UpstreamStart>().size() == 1U);
    stopAs(true, UpstreamOutcome::Unknown, AttemptState::Unknown);
    BOOST_TEST(takeActions<UpstreamStart>().empty());
    BOOST_TEST(outcome() == CallOutcome::Unknown);
}

BOOST_AUTO_TEST_CASE(UrgentWorkOnARestartedUpstreamIsRetriedOnlyIfIdempotent)
{
    UpstreamStart kept = call(false).at(0);
    UpstreamStart moved = call(true).at(0);
    addUpstream("b");
    now += seconds(1);
    state.upstreams.lastTickAt = now;
    tickOwner();
    takeActions<UpstreamSync>();
    answerSync("a", UpstreamOutcome::WrongIncarnation);
    tickOwner();
    answerFence("a", "life-2");
    BOOST_TEST(attempt(kept.attempt.value()) == nullptr);
    BOOST_TEST(outcome() == CallOutcome::Unknown);
    std::vector<UpstreamStart> starts = takeActions<UpstreamStart>();
    BOOST_TEST_REQUIRE(starts.size() == 1U);
    BOOST_TEST(starts[0].upstream == UpstreamId("b"));
}

BOOST_AUTO_TEST_CASE(UrgentLeasesAreNotRenewed)
{
    UpstreamStart sent = call(true).at(0);
    BOOST_TEST((sent.lease == state.settings.urgentLease));
    advance(milliseconds(1100));
    BOOST_TEST(takeActions<UpstreamSync>().at(0).renew.empty());
}

BOOST_AUTO_TEST_CASE(CallersOfALostShardGetAnUnknownOutcome)
{
    call(false);
    dropUpstreamState(state, upstream("a").shard, now, actions);
    BOOST_TEST(outcome() == CallOutcome::Unknown);
    BOOST_TEST(state.attempts.empty());
}

BOOST_AUTO_TEST_SUITE_END()
