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

static HistoryEvent makeInitialList(bool leaving = false)
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

static HistoryEvent makeNonIdempotentAttempt(HistoryTime t, const std::string& name, const std::string& attempt, const std::string& job)
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

static void expectViolation(const History& history, Invariant invariant)
{
    std::vector<Violation> violations = checkHistory(history);
    BOOST_TEST(!violations.empty(), "no violation was found of: " << toString(invariant));
    for (const Violation& violation : violations)
        BOOST_TEST((violation.invariant == invariant), describe(violations));
}

static void expectNoViolation(const History& history)
{
    std::vector<Violation> violations = checkHistory(history);
    BOOST_TEST(violations.empty(), describe(violations));
}

BOOST_AUTO_TEST_CASE(OvercommitSumsRunningAttempts)
{
    History history { makeInitialList(), makeAttempt(1, "start", "a1", "j1"), makeAttempt(2, "start", "a2", "j2") };
    expectNoViolation(history);
    history.push_back(makeAttempt(3, "start", "a3", "j3"));
    expectViolation(history, Invariant::NoOvercommit);
    history[2] = makeAttempt(2, "end", "a1", "j1");
    expectNoViolation(history);
}

BOOST_AUTO_TEST_CASE(OvercommitReportedByUpstreamIsViolation)
{
    expectViolation({ makeInitialList(), makeAttempt(1, "overcommit", "a1", "j1") }, Invariant::NoOvercommit);
}

BOOST_AUTO_TEST_CASE(UpstreamRestartEndsItsAttempts)
{
    HistoryEvent fence = makeAttempt(3, "fence", "", "");
    fence.incarnation = IncarnationId("i-2");
    HistoryEvent start = makeAttempt(4, "start", "a3", "j3");
    start.incarnation = fence.incarnation;
    expectNoViolation({ makeInitialList(), makeAttempt(1, "start", "a1", "j1"), makeAttempt(2, "start", "a2", "j2"), fence, start });
}

BOOST_AUTO_TEST_CASE(JobNeverRunsTwiceAtOnce)
{
    expectViolation({ makeInitialList(), makeAttempt(1, "start", "a1", "j1"), makeAttempt(2, "start", "a2", "j1", "u-2") }, Invariant::NoConcurrentAttempts);
    expectNoViolation({ makeInitialList(), makeAttempt(1, "start", "a1", "j1"), makeAttempt(2, "lapse", "a1", "j1"), makeAttempt(3, "start", "a2", "j1", "u-2") });
}

BOOST_AUTO_TEST_CASE(UrgentRequestNeverRunsTwiceAtOnce)
{
    HistoryEvent first = makeAttempt(1, "start", "a1", "");
    HistoryEvent second = makeAttempt(2, "start", "a2", "", "u-2");
    expectViolation({ makeInitialList(), first, second }, Invariant::NoConcurrentAttempts);
    second.bodySha256 = "another body";
    expectNoViolation({ makeInitialList(), first, second });
}

BOOST_AUTO_TEST_CASE(GangTasksMayRunTogether)
{
    HistoryEvent send = makeSend(1, "c1", "j1");
    send.tasks = 2;
    HistoryEvent answer = makeAnswer(2, "c1", "accepted");
    answer.job = JobId("j1");
    History history { makeInitialList(), send, answer, makeAttempt(3, "start", "a1", "j1"), makeAttempt(4, "start", "a2", "j1", "u-2") };
    expectNoViolation(history);
    history.push_back(makeAttempt(5, "start", "a3", "j1", "u-2"));
    expectViolation(history, Invariant::NoConcurrentAttempts);
}

BOOST_AUTO_TEST_CASE(NonIdempotentWorkStartsAtMostOnce)
{
    expectViolation({ makeInitialList(), makeNonIdempotentAttempt(1, "start", "a1", "j1"), makeNonIdempotentAttempt(2, "lapse", "a1", "j1"), makeNonIdempotentAttempt(3, "start", "a2", "j1") }, Invariant::StartedAtMostOnce);
    expectNoViolation({ makeInitialList(), makeNonIdempotentAttempt(1, "refuse", "a1", "j1"), makeNonIdempotentAttempt(2, "start", "a2", "j1") });
}

BOOST_AUTO_TEST_CASE(NotRunForbidsStartsBeforeAndAfterTheAnswer)
{
    HistoryEvent send = makeSend(1, "c1", "j1");
    HistoryEvent answer = makeAnswer(3, "c1", "not_run");
    expectViolation({ makeInitialList(), send, makeAttempt(2, "start", "a1", "j1"), answer }, Invariant::NotRunNeverStarted);
    expectViolation({ makeInitialList(), send, answer, makeAttempt(9, "start", "a1", "j1") }, Invariant::NotRunNeverStarted);
    expectNoViolation({ makeInitialList(), send, answer, makeAttempt(9, "start", "a2", "j2") });
    answer.outcome = "outcome_unknown";
    expectNoViolation({ makeInitialList(), send, answer, makeAttempt(9, "start", "a1", "j1") });
}

// A job was sent again under its id after an unknown outcome, and refused; the first call had stored it.
BOOST_AUTO_TEST_CASE(NotRunSpeaksOfItsOwnCall)
{
    History history { makeInitialList(), makeSend(1, "c1", "j1"), makeAnswer(3, "c1", "outcome_unknown"), makeSend(4, "c2", "j1"), makeAnswer(5, "c2", "not_run"), makeAttempt(9, "start", "a1", "j1") };
    expectNoViolation(history);
    history[2].outcome = "not_run";
    expectViolation(history, Invariant::NotRunNeverStarted);
    // A call sent after the start does not excuse it.
    expectViolation({ makeInitialList(), makeSend(1, "c1", "j1"), makeAnswer(3, "c1", "not_run"), makeAttempt(9, "start", "a1", "j1"), makeSend(10, "c2", "j1"), makeAnswer(11, "c2", "accepted") }, Invariant::NotRunNeverStarted);
}

BOOST_AUTO_TEST_CASE(TeamRunsAtMostItsLimit)
{
    History history { makeInitialList(), makeChange(1, 1, 1), makeAttempt(2, "start", "a1", "j1"), makeAttempt(3, "start", "a2", "j2", "u-2") };
    expectViolation(history, Invariant::TeamLimit);
    history[1] = makeChange(1, 1, 2);
    expectNoViolation(history);
}

BOOST_AUTO_TEST_CASE(LoweredLimitAppliesAfterTimeout)
{
    History history { makeInitialList(), makeChange(1, 1, 2), makeAttempt(2, "start", "a1", "j1"), makeChange(kSecond, 2, 1) };
    history.push_back(makeAttempt(2 * kSecond, "start", "a2", "j2", "u-2"));
    expectNoViolation(history);
    history.back().t = 7 * kSecond;
    expectViolation(history, Invariant::TeamLimit);
}

BOOST_AUTO_TEST_CASE(NoStartDuringDomainOutage)
{
    HistoryEvent outage = makeChange(kSecond, 1);
    outage.domainsOut.emplace_back("north");
    History history { makeInitialList(), outage, makeAttempt(5 * kSecond, "start", "a1", "j1") };
    expectNoViolation(history);
    history.back().t = 7 * kSecond;
    expectViolation(history, Invariant::NoStartInOutageDomain);
    history.back().upstream = UpstreamId("u-2");
    expectNoViolation(history);
}

BOOST_AUTO_TEST_CASE(StartsAllowedAfterDomainOutage)
{
    HistoryEvent outage = makeChange(kSecond, 1);
    outage.domainsOut.emplace_back("north");
    expectNoViolation({ makeInitialList(), outage, makeChange(2 * kSecond, 2), makeAttempt(9 * kSecond, "start", "a1", "j1") });
}

BOOST_AUTO_TEST_CASE(LaterChangeDoesNotRestartOutageTimeout)
{
    HistoryEvent first = makeChange(kSecond, 1);
    first.domainsOut.emplace_back("north");
    HistoryEvent second = makeChange(5 * kSecond, 2);
    second.domainsOut = first.domainsOut;
    expectViolation({ makeInitialList(), first, second, makeAttempt(7 * kSecond, "start", "a1", "j1") }, Invariant::NoStartInOutageDomain);
}

BOOST_AUTO_TEST_CASE(NoStartOnLeavingUpstreamAfterTimeout)
{
    HistoryEvent list = makeInitialList(true);
    list.t = kSecond;
    list.name = "list";
    History history { makeInitialList(), list, makeAttempt(5 * kSecond, "start", "a1", "j1") };
    expectNoViolation(history);
    history.back().t = 7 * kSecond;
    expectViolation(history, Invariant::NoStartOnLeavingUpstream);
}

BOOST_AUTO_TEST_CASE(WithdrawnKeyIsRejected)
{
    HistoryEvent change = makeChange(kSecond, 1);
    change.withdrawnKeys.emplace_back("k1");
    History history { makeInitialList(), change, makeSend(5 * kSecond, "c1", "j1"), makeAnswer(8 * kSecond, "c1", "accepted") };
    expectNoViolation(history);
    history[2].t = 7 * kSecond;
    expectViolation(history, Invariant::KeyAuthorization);
    history[3].outcome = "unauthorized";
    expectNoViolation(history);
}

BOOST_AUTO_TEST_CASE(WorkStartsOnlyForTheTeamOfTheKey)
{
    HistoryEvent start = makeAttempt(2, "start", "a1", "j1");
    expectNoViolation({ makeInitialList(), makeSend(1, "c1", "j1"), start });
    start.team = TeamId("bench");
    expectViolation({ makeInitialList(), makeSend(1, "c1", "j1"), start }, Invariant::KeyAuthorization);
}

BOOST_AUTO_TEST_CASE(AnswerMustMatchRequest)
{
    HistoryEvent answer = makeAnswer(2, "c1", "done");
    answer.bodyOk = true;
    expectNoViolation({ makeInitialList(), makeSend(1, "c1", "j1"), answer });
    answer.bodyOk = false;
    expectViolation({ makeInitialList(), makeSend(1, "c1", "j1"), answer }, Invariant::AnswerMatchesRequest);
}

BOOST_AUTO_TEST_CASE(GracefulShutdownFinishesCalls)
{
    HistoryEvent stop = makeInstanceEvent(2, HistorySource::Scenario, "terminate");
    History history { makeInitialList(), makeSend(1, "c1", "j1"), stop, makeAnswer(3, "c1", "cut") };
    expectViolation(history, Invariant::GracefulShutdown);
    history[2].name = "killed";
    expectNoViolation(history);
}

BOOST_AUTO_TEST_CASE(GracefulShutdownExitsWithZero)
{
    HistoryEvent stop = makeInstanceEvent(2, HistorySource::Scenario, "terminate");
    HistoryEvent end = makeInstanceEvent(3, HistorySource::Scenario, "exited");
    expectNoViolation({ makeInitialList(), stop, end });
    end.exitStatus = 1;
    expectViolation({ makeInitialList(), stop, end }, Invariant::GracefulShutdown);
}

BOOST_AUTO_TEST_CASE(RevisionNeverFallsUntilRestart)
{
    HistoryEvent started = makeInstanceEvent(1, HistorySource::Scenario, "started");
    HistoryEvent second = makeInstanceEvent(2, HistorySource::Instance, "configuration", 2);
    HistoryEvent first = makeInstanceEvent(3, HistorySource::Instance, "configuration", 1);
    expectViolation({ makeInitialList(), started, second, first }, Invariant::ConfigurationConverges);
    HistoryEvent restarted = started;
    restarted.t = 3;
    expectNoViolation({ makeInitialList(), started, second, restarted, first });
}

BOOST_AUTO_TEST_CASE(RevisionReachesEveryInstanceInTime)
{
    HistoryEvent started = makeInstanceEvent(1, HistorySource::Scenario, "started");
    HistoryEvent adopted = makeInstanceEvent(4 * kSecond, HistorySource::Instance, "configuration", 1);
    History history { makeInitialList(), started, makeChange(kSecond, 1), adopted };
    expectNoViolation(history);
    history[3].t = 9 * kSecond;
    expectViolation(history, Invariant::ConfigurationConverges);
    history.insert(history.begin() + 3, makeInstanceEvent(2 * kSecond, HistorySource::Scenario, "frozen"));
    expectNoViolation(history);
}

BOOST_AUTO_TEST_CASE(ParsesCompleteLineOnly)
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
