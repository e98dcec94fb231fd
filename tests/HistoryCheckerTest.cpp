#include "tests/support/HistoryChecker.h"

#include <boost/test/unit_test.hpp>

using namespace crocuslever;
using namespace crocuslever::testing;

BOOST_AUTO_TEST_SUITE(HistoryCheckerTest)

static constexpr HistoryTime kSecond = 1000000;

static HistoryEvent makeEvent(HistoryTime t, HistorySource source, const std::string& name)
{
    HistoryEvent event;
    event.t = t;
    event.source = source;
    event.name = name;
    return event;
}

static HistoryEvent makeBegin(bool leaving = false)
{
    HistoryEvent event = makeEvent(0, HistorySource::Scenario, "begin");
    event.upstreams.push_back({ UpstreamId("u-1"), FailureDomainId("north"), { 2000, 512, 0, 2 }, leaving });
    event.upstreams.push_back({ UpstreamId("u-2"), FailureDomainId("south"), { 2000, 512, 0, 2 }, false });
    return event;
}

static HistoryEvent makeAttempt(HistoryTime t, const std::string& name, const std::string& attempt, const std::string& job, const std::string& upstream = "u-1")
{
    HistoryEvent event = makeEvent(t, HistorySource::Upstream, name);
    event.upstream = UpstreamId(upstream);
    event.incarnation = IncarnationId("i-1");
    event.attempt = AttemptId(attempt);
    event.job = JobId(job);
    event.team = TeamId("shopfloor");
    event.kind = "batch";
    event.idempotent = true;
    event.resources = { 1000, 256, 0, 1 };
    event.bodySha256 = "body of " + job;
    return event;
}

static HistoryEvent makeOnce(HistoryTime t, const std::string& name, const std::string& attempt, const std::string& job)
{
    HistoryEvent event = makeAttempt(t, name, attempt, job);
    event.idempotent = false;
    return event;
}

static HistoryEvent makeChange(HistoryTime t, std::uint64_t revision, int limit = 10)
{
    HistoryEvent event = makeEvent(t, HistorySource::Operator, "apply");
    event.revision = revision;
    event.limits[TeamId("shopfloor")] = limit;
    return event;
}

static HistoryEvent makeInstanceEvent(HistoryTime t, HistorySource source, const std::string& name, std::uint64_t revision = 0)
{
    HistoryEvent event = makeEvent(t, source, name);
    event.instance = InstanceId("n-1");
    event.revision = revision;
    return event;
}

static HistoryEvent makeSend(HistoryTime t, const std::string& call, const std::string& body)
{
    HistoryEvent event = makeInstanceEvent(t, HistorySource::Caller, "send");
    event.call = call;
    event.team = TeamId("shopfloor");
    event.key = "k1";
    event.bodySha256 = "body of " + body;
    return event;
}

static HistoryEvent makeAnswer(HistoryTime t, const std::string& call, const std::string& outcome)
{
    HistoryEvent event = makeInstanceEvent(t, HistorySource::Caller, "answer");
    event.call = call;
    event.outcome = outcome;
    return event;
}

static void checkBreaks(const History& history, Invariant invariant)
{
    std::vector<Violation> violations = checkHistory(history);
    BOOST_TEST(!violations.empty(), "nothing was found against: " << toString(invariant));
    for (const Violation& violation : violations)
        BOOST_TEST((violation.invariant == invariant), describe(violations));
}

static void checkHolds(const History& history)
{
    std::vector<Violation> violations = checkHistory(history);
    BOOST_TEST(violations.empty(), describe(violations));
}

BOOST_AUTO_TEST_CASE(OvercommitIsTheSumOfWhatRuns)
{
    History history { makeBegin(), makeAttempt(1, "start", "a1", "j1"), makeAttempt(2, "start", "a2", "j2") };
    checkHolds(history);
    history.push_back(makeAttempt(3, "start", "a3", "j3"));
    checkBreaks(history, Invariant::NoOvercommit);
    history[2] = makeAttempt(2, "end", "a1", "j1");
    checkHolds(history);
}

BOOST_AUTO_TEST_CASE(AnUpstreamsOwnOvercommitCounts)
{
    checkBreaks({ makeBegin(), makeAttempt(1, "overcommit", "a1", "j1") }, Invariant::NoOvercommit);
}

BOOST_AUTO_TEST_CASE(ARestartFreesWhatRan)
{
    HistoryEvent fence = makeAttempt(3, "fence", "", "");
    fence.incarnation = IncarnationId("i-2");
    HistoryEvent start = makeAttempt(4, "start", "a3", "j3");
    start.incarnation = fence.incarnation;
    checkHolds({ makeBegin(), makeAttempt(1, "start", "a1", "j1"), makeAttempt(2, "start", "a2", "j2"), fence, start });
}

BOOST_AUTO_TEST_CASE(AJobRunsInOnePlace)
{
    checkBreaks({ makeBegin(), makeAttempt(1, "start", "a1", "j1"), makeAttempt(2, "start", "a2", "j1", "u-2") }, Invariant::OnePlaceAtATime);
    checkHolds({ makeBegin(), makeAttempt(1, "start", "a1", "j1"), makeAttempt(2, "lapse", "a1", "j1"), makeAttempt(3, "start", "a2", "j1", "u-2") });
}

BOOST_AUTO_TEST_CASE(AnUrgentRequestRunsInOnePlace)
{
    HistoryEvent first = makeAttempt(1, "start", "a1", "");
    HistoryEvent second = makeAttempt(2, "start", "a2", "", "u-2");
    checkBreaks({ makeBegin(), first, second }, Invariant::OnePlaceAtATime);
    second.bodySha256 = "another body";
    checkHolds({ makeBegin(), first, second });
}

BOOST_AUTO_TEST_CASE(TheTasksOfAGangRunTogether)
{
    HistoryEvent send = makeSend(1, "c1", "j1");
    send.tasks = 2;
    HistoryEvent answer = makeAnswer(2, "c1", "accepted");
    answer.job = JobId("j1");
    History history { makeBegin(), send, answer, makeAttempt(3, "start", "a1", "j1"), makeAttempt(4, "start", "a2", "j1", "u-2") };
    checkHolds(history);
    history.push_back(makeAttempt(5, "start", "a3", "j1", "u-2"));
    checkBreaks(history, Invariant::OnePlaceAtATime);
}

BOOST_AUTO_TEST_CASE(NonIdempotentWorkStartsAtMostOnce)
{
    checkBreaks({ makeBegin(), makeOnce(1, "start", "a1", "j1"), makeOnce(2, "lapse", "a1", "j1"), makeOnce(3, "start", "a2", "j1") }, Invariant::StartedAtMostOnce);
    checkHolds({ makeBegin(), makeOnce(1, "refuse", "a1", "j1"), makeOnce(2, "start", "a2", "j1") });
}

BOOST_AUTO_TEST_CASE(NotRunIsTrueBeforeAndAfterTheAnswer)
{
    HistoryEvent send = makeSend(1, "c1", "j1");
    HistoryEvent answer = makeAnswer(3, "c1", "not_run");
    checkBreaks({ makeBegin(), send, makeAttempt(2, "start", "a1", "j1"), answer }, Invariant::NotRunIsTrue);
    checkBreaks({ makeBegin(), send, answer, makeAttempt(9, "start", "a1", "j1") }, Invariant::NotRunIsTrue);
    checkHolds({ makeBegin(), send, answer, makeAttempt(9, "start", "a2", "j2") });
    answer.outcome = "outcome_unknown";
    checkHolds({ makeBegin(), send, answer, makeAttempt(9, "start", "a1", "j1") });
}

BOOST_AUTO_TEST_CASE(ATeamRunsAtMostItsLimit)
{
    History history { makeBegin(), makeChange(1, 1, 1), makeAttempt(2, "start", "a1", "j1"), makeAttempt(3, "start", "a2", "j2", "u-2") };
    checkBreaks(history, Invariant::TeamLimit);
    history[1] = makeChange(1, 1, 2);
    checkHolds(history);
}

BOOST_AUTO_TEST_CASE(ALoweredLimitBitesAfterAFewSeconds)
{
    History history { makeBegin(), makeChange(1, 1, 2), makeAttempt(2, "start", "a1", "j1"), makeChange(kSecond, 2, 1) };
    history.push_back(makeAttempt(2 * kSecond, "start", "a2", "j2", "u-2"));
    checkHolds(history);
    history.back().t = 7 * kSecond;
    checkBreaks(history, Invariant::TeamLimit);
}

BOOST_AUTO_TEST_CASE(NothingStartsInADomainThatIsOut)
{
    HistoryEvent outage = makeChange(kSecond, 1);
    outage.domainsOut.emplace_back("north");
    History history { makeBegin(), outage, makeAttempt(5 * kSecond, "start", "a1", "j1") };
    checkHolds(history);
    history.back().t = 7 * kSecond;
    checkBreaks(history, Invariant::NothingStartsInADomainOut);
    history.back().upstream = UpstreamId("u-2");
    checkHolds(history);
}

BOOST_AUTO_TEST_CASE(ADomainThatIsBackTakesWork)
{
    HistoryEvent outage = makeChange(kSecond, 1);
    outage.domainsOut.emplace_back("north");
    checkHolds({ makeBegin(), outage, makeChange(2 * kSecond, 2), makeAttempt(9 * kSecond, "start", "a1", "j1") });
}

BOOST_AUTO_TEST_CASE(AnotherChangeDoesNotDelayAnOutage)
{
    HistoryEvent first = makeChange(kSecond, 1);
    first.domainsOut.emplace_back("north");
    HistoryEvent second = makeChange(5 * kSecond, 2);
    second.domainsOut = first.domainsOut;
    checkBreaks({ makeBegin(), first, second, makeAttempt(7 * kSecond, "start", "a1", "j1") }, Invariant::NothingStartsInADomainOut);
}

BOOST_AUTO_TEST_CASE(NothingStartsOnAnUpstreamThatLeaves)
{
    HistoryEvent list = makeBegin(true);
    list.t = kSecond;
    list.name = "list";
    History history { makeBegin(), list, makeAttempt(5 * kSecond, "start", "a1", "j1") };
    checkHolds(history);
    history.back().t = 7 * kSecond;
    checkBreaks(history, Invariant::NothingStartsOnALeavingUpstream);
}

BOOST_AUTO_TEST_CASE(AWithdrawnKeyStopsWorking)
{
    HistoryEvent change = makeChange(kSecond, 1);
    change.withdrawnKeys.emplace_back("k1");
    History history { makeBegin(), change, makeSend(5 * kSecond, "c1", "j1"), makeAnswer(8 * kSecond, "c1", "accepted") };
    checkHolds(history);
    history[2].t = 7 * kSecond;
    checkBreaks(history, Invariant::OnlyTheKeysTeam);
    history[3].outcome = "unauthorized";
    checkHolds(history);
}

BOOST_AUTO_TEST_CASE(WorkIsTakenOnlyForTheKeysTeam)
{
    HistoryEvent start = makeAttempt(2, "start", "a1", "j1");
    checkHolds({ makeBegin(), makeSend(1, "c1", "j1"), start });
    start.team = TeamId("bench");
    checkBreaks({ makeBegin(), makeSend(1, "c1", "j1"), start }, Invariant::OnlyTheKeysTeam);
}

BOOST_AUTO_TEST_CASE(AnAnswerBelongsToItsRequest)
{
    HistoryEvent answer = makeAnswer(2, "c1", "done");
    answer.bodyOk = true;
    checkHolds({ makeBegin(), makeSend(1, "c1", "j1"), answer });
    answer.bodyOk = false;
    checkBreaks({ makeBegin(), makeSend(1, "c1", "j1"), answer }, Invariant::AnswersBelongToRequests);
}

BOOST_AUTO_TEST_CASE(AGracefulStopCutsNoCall)
{
    HistoryEvent stop = makeInstanceEvent(2, HistorySource::Scenario, "terminate");
    History history { makeBegin(), makeSend(1, "c1", "j1"), stop, makeAnswer(3, "c1", "cut") };
    checkBreaks(history, Invariant::GracefulStopCutsNothing);
    history[2].name = "killed";
    checkHolds(history);
}

BOOST_AUTO_TEST_CASE(AGracefulStopEndsCleanly)
{
    HistoryEvent stop = makeInstanceEvent(2, HistorySource::Scenario, "terminate");
    HistoryEvent end = makeInstanceEvent(3, HistorySource::Scenario, "exited");
    checkHolds({ makeBegin(), stop, end });
    end.exitStatus = 1;
    checkBreaks({ makeBegin(), stop, end }, Invariant::GracefulStopCutsNothing);
}

BOOST_AUTO_TEST_CASE(ARevisionNeverFallsInOneLife)
{
    HistoryEvent started = makeInstanceEvent(1, HistorySource::Scenario, "started");
    HistoryEvent second = makeInstanceEvent(2, HistorySource::Instance, "configuration", 2);
    HistoryEvent first = makeInstanceEvent(3, HistorySource::Instance, "configuration", 1);
    checkBreaks({ makeBegin(), started, second, first }, Invariant::ConfigurationInForce);
    HistoryEvent restarted = started;
    restarted.t = 3;
    checkHolds({ makeBegin(), started, second, restarted, first });
}

BOOST_AUTO_TEST_CASE(ARevisionIsInForceEverywhereWithinSeconds)
{
    HistoryEvent started = makeInstanceEvent(1, HistorySource::Scenario, "started");
    HistoryEvent adopted = makeInstanceEvent(4 * kSecond, HistorySource::Instance, "configuration", 1);
    History history { makeBegin(), started, makeChange(kSecond, 1), adopted };
    checkHolds(history);
    history[3].t = 9 * kSecond;
    checkBreaks(history, Invariant::ConfigurationInForce);
    history.insert(history.begin() + 3, makeInstanceEvent(2 * kSecond, HistorySource::Scenario, "frozen"));
    checkHolds(history);
}

BOOST_AUTO_TEST_CASE(ALineIsParsedWhole)
{
    std::optional<HistoryEvent> event = parseHistoryEvent(
        R"({"t":5,"source":"upstream","event":"start","upstream":"u-001","incarnation":"x","attempt":"a","job":"j","team":"t",)"
        R"("kind":"batch","idempotent":true,"resources":{"milli_cpu":7,"memory_mb":8,"accelerators":0,"slots":1},"body_sha256":"00"})");
    BOOST_REQUIRE(event.has_value());
    BOOST_TEST((event->source == HistorySource::Upstream));
    BOOST_TEST(event->attempt.value() == "a");
    BOOST_TEST(event->resources.milliCpu == 7);
    BOOST_TEST(event->idempotent);
    BOOST_TEST(!parseHistoryEvent(R"({"t":5,"source":"upst)").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
