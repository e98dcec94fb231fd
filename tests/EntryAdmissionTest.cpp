#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>

#include "src/cell/Entry.h"
#include "src/cell/Keys.h"

namespace crocuslever::cell {

BOOST_AUTO_TEST_SUITE(EntryAdmissionTest)

static const std::string kJob = "0123456789abcdef";
static const std::string kUrgent = "/urgent/";
static const std::string kDeferrable = "/deferrable/";
static constexpr CallId kCall = 5;
static constexpr Duration kCallerTimeout = std::chrono::milliseconds(2000);
static constexpr AdmissionLimit kDeferrableAway { 1000, std::chrono::seconds(3) };
static constexpr AdmissionLimit kAllAway { 2000, std::chrono::seconds(3) };

static Route makeRoute(const std::string& prefix, int priority)
{
    Route route;
    route.name = prefix;
    route.prefix = prefix;
    route.priority = priority;
    route.isPublic = true;
    return route;
}

/// The core of an instance that owns nothing, whose store the test plays.
struct EntryInstance {
    EntryInstance()
        : state({}, {})
    {
        auto policy = std::make_shared<FleetPolicy>();
        policy->routes = { makeRoute(kUrgent, 0), makeRoute(kDeferrable, 1) };
        indexRoutes(*policy);
        state.configuration.value = policy;
        state.configuration.confirmation.revision = 1;
        state.membership.admission = kDeferrableAway;
    }

    void deliver(const CellEvent& event)
    {
        state.configuration.confirmation.at = now.steady;
        handleEvent(state, event, now, actions);
    }

    void call(Verb verb, const std::string& path)
    {
        EntryCall made;
        made.id = kCall;
        made.verb = verb;
        made.path = path;
        made.callerTimeout = kCallerTimeout;
        if (verb == Verb::Submit)
            made.spec = JobSpec {};
        deliver(made);
    }

    /// The next action of that type; fails if the oldest one is another.
    template <typename Action>
    Action take()
    {
        BOOST_REQUIRE(!actions.empty());
        CellAction first = actions.front();
        actions.erase(actions.begin());
        if (std::holds_alternative<LogLine>(first))
            return take<Action>();
        BOOST_REQUIRE(std::holds_alternative<Action>(first));
        return std::get<Action>(first);
    }

    bool isQuiet() const
    {
        return std::all_of(actions.begin(), actions.end(), [](const CellAction& it) { return std::holds_alternative<LogLine>(it); });
    }

    void answer(Ticket ticket, StoreStatus status, std::vector<StoreEntry> entries = {})
    {
        StoreReply reply;
        reply.ticket = ticket;
        reply.status = status;
        reply.entries = std::move(entries);
        deliver(reply);
    }

    /// Answers the read of the key that has to be the next action.
    void answerRead(const std::string& key, StoreStatus status, const std::string& value = {})
    {
        StoreRead read = take<StoreRead>();
        BOOST_TEST(read.key == key);
        std::vector<StoreEntry> entries;
        if (status == StoreStatus::Ok)
            entries.push_back({ key, value, 9 });
        answer(read.ticket, status, entries);
    }

    void run(Duration time)
    {
        for (TimePoint end = now.steady + time; now.steady < end;) {
            now.steady += std::chrono::milliseconds(10);
            state.configuration.confirmation.at = now.steady;
            tickEntry(state, now, actions);
        }
    }

    /// Answers all calls to the store with that status until the call is answered.
    EntryReply runUntilReply(StoreStatus status)
    {
        for (TimePoint end = now.steady + kCallerTimeout; now.steady < end; run(std::chrono::milliseconds(10))) {
            CellActions made = std::move(actions);
            actions.clear();
            for (const CellAction& action : made) {
                if (const EntryReply* reply = std::get_if<EntryReply>(&action))
                    return *reply;
                if (const StoreRead* read = std::get_if<StoreRead>(&action))
                    answer(read->ticket, status);
                if (const StoreChange* change = std::get_if<StoreChange>(&action))
                    answer(change->ticket, status);
                // The outage of the store is another matter.
                state.membership.storeFailures = 0;
            }
        }
        BOOST_FAIL("the call was not answered within the caller's timeout");
        return {};
    }

    Instant now { TimePoint(std::chrono::seconds(100)), 1000000 };
    CellState state;
    CellActions actions;
};

static void checkOverloaded(const EntryReply& reply)
{
    BOOST_TEST((reply.outcome == EntryOutcome::Overloaded));
    BOOST_TEST(reply.id == kCall);
    BOOST_TEST((reply.retryAfter >= std::chrono::seconds(1)));
    BOOST_TEST((reply.retryAfter <= std::chrono::seconds(20)));
    BOOST_TEST(!reply.reason.empty());
}

BOOST_FIXTURE_TEST_CASE(SubmissionIsTurnedAwayAfterReadingTheStore, EntryInstance)
{
    call(Verb::Submit, kDeferrable + kJob);
    answerRead(jobKey(kJob), StoreStatus::NotFound);
    answerRead(endedKey(kJob), StoreStatus::NotFound);
    checkOverloaded(take<EntryReply>());
    BOOST_TEST(isQuiet());
    BOOST_TEST(state.entries.empty());
    BOOST_TEST(state.counters.get("entry_answers_total{outcome=\"overloaded\"}") == 1);
}

// The caller had no answer to an earlier call that stored the job, and would give it up, or submit it as another.
BOOST_FIXTURE_TEST_CASE(StoredJobIsTurnedAway, EntryInstance)
{
    call(Verb::Submit, kDeferrable + kJob);
    answerRead(jobKey(kJob), StoreStatus::Ok, "record");
    BOOST_TEST((take<EntryReply>().outcome == EntryOutcome::Accepted));
    BOOST_TEST(isQuiet());
}

// The job ended between the two reads.
BOOST_FIXTURE_TEST_CASE(EndedJobIsTurnedAway, EntryInstance)
{
    for (JobState ended : { JobState::Completed, JobState::Failed, JobState::Cancelled }) {
        call(Verb::Submit, kDeferrable + kJob);
        answerRead(jobKey(kJob), StoreStatus::NotFound);
        answerRead(endedKey(kJob), StoreStatus::Ok, toString(ended));
        BOOST_TEST((take<EntryReply>().outcome == EntryOutcome::Accepted));
    }
}

BOOST_FIXTURE_TEST_CASE(MoreUrgentSubmissionIsTurnedAway, EntryInstance)
{
    call(Verb::Submit, kUrgent + kJob);
    StoreChange change = take<StoreChange>();
    answer(change.ticket, StoreStatus::Ok);
    BOOST_TEST((take<EntryReply>().outcome == EntryOutcome::Accepted));
}

BOOST_FIXTURE_TEST_CASE(SubmissionReadsTheStoreWithoutOverload, EntryInstance)
{
    state.membership.admission = {};
    call(Verb::Submit, kDeferrable + kJob);
    StoreChange change = take<StoreChange>();
    answer(change.ticket, StoreStatus::Ok);
    BOOST_TEST((take<EntryReply>().outcome == EntryOutcome::Accepted));
}

// A read that fails tells nothing of the job.
BOOST_FIXTURE_TEST_CASE(SubmissionIsTurnedAwayWithoutAnAnswerOfTheStore, EntryInstance)
{
    for (StoreStatus status : { StoreStatus::NoAnswer, StoreStatus::Refused }) {
        call(Verb::Submit, kDeferrable + kJob);
        answerRead(jobKey(kJob), status);
        BOOST_TEST(isQuiet());
        run(std::chrono::milliseconds(120));
        answerRead(jobKey(kJob), StoreStatus::NotFound);
        answerRead(endedKey(kJob), status);
        BOOST_TEST(isQuiet());
        run(std::chrono::milliseconds(120));
        answerRead(jobKey(kJob), StoreStatus::Ok, "record");
        BOOST_TEST((take<EntryReply>().outcome == EntryOutcome::Accepted));
    }
}

BOOST_FIXTURE_TEST_CASE(SubmissionThatOnlyReadIsAnsweredUnknown, EntryInstance)
{
    call(Verb::Submit, kDeferrable + kJob);
    EntryReply reply = runUntilReply(StoreStatus::NoAnswer);
    BOOST_TEST((reply.outcome == EntryOutcome::Refused));
    BOOST_TEST((reply.retryAfter > Duration(0)));
}

// The limit was lifted while the store didn't answer.
BOOST_FIXTURE_TEST_CASE(SubmissionIsTurnedAwayAfterTheLimitIsLifted, EntryInstance)
{
    call(Verb::Submit, kDeferrable + kJob);
    answerRead(jobKey(kJob), StoreStatus::Refused);
    state.membership.admission = {};
    run(std::chrono::milliseconds(120));
    answer(take<StoreChange>().ticket, StoreStatus::Ok);
    BOOST_TEST((take<EntryReply>().outcome == EntryOutcome::Accepted));
}

/// Submits a job whose first attempt to store gets `status`, just before its class is turned away.
static void submitBeforeTheLimit(EntryInstance& entry, StoreStatus status)
{
    entry.state.membership.admission = {};
    entry.call(Verb::Submit, kDeferrable + kJob);
    StoreChange change = entry.take<StoreChange>();
    entry.state.membership.admission = kAllAway;
    entry.answer(change.ticket, status);
    BOOST_TEST(entry.isQuiet());
}

// The attempt may have taken effect, or may do so later, so that the caller must not take the job for turned away.
BOOST_FIXTURE_TEST_CASE(SubmissionThatMayBeStoredIsTurnedAway, EntryInstance)
{
    submitBeforeTheLimit(*this, StoreStatus::NoAnswer);
    run(std::chrono::milliseconds(120));
    // It is stored again, without a read.
    answer(take<StoreChange>().ticket, StoreStatus::Ok);
    BOOST_TEST((take<EntryReply>().outcome == EntryOutcome::Accepted));
}

BOOST_AUTO_TEST_CASE(SubmissionThatMayBeStoredIsAnsweredAsNotStored)
{
    for (StoreStatus then : { StoreStatus::NoAnswer, StoreStatus::Refused, StoreStatus::NotFound }) {
        EntryInstance entry;
        submitBeforeTheLimit(entry, StoreStatus::NoAnswer);
        BOOST_TEST((entry.runUntilReply(then).outcome == EntryOutcome::Unknown));
    }
}

// The store stopped serving this instance after the attempt.
BOOST_FIXTURE_TEST_CASE(SubmissionThatMayBeStoredIsRefusedDuringAnOutage, EntryInstance)
{
    submitBeforeTheLimit(*this, StoreStatus::NoAnswer);
    state.membership.storeFailures = 10;
    run(std::chrono::milliseconds(120));
    BOOST_TEST((take<EntryReply>().outcome == EntryOutcome::Unknown));
}

// No answer came before the caller's timeout.
BOOST_FIXTURE_TEST_CASE(SubmissionInFlightIsAnsweredAsNotStored, EntryInstance)
{
    state.membership.admission = {};
    call(Verb::Submit, kDeferrable + kJob);
    StoreChange change = take<StoreChange>();
    state.membership.admission = kAllAway;
    run(kCallerTimeout);
    BOOST_TEST((take<EntryReply>().outcome == EntryOutcome::Unknown));
    answer(change.ticket, StoreStatus::NoAnswer);
    BOOST_TEST(isQuiet());
}

// Nothing was stored, so that the class of the job decides as for a new call.
BOOST_FIXTURE_TEST_CASE(SubmissionThatTheStoreRefusedIsAcceptedBeyondTheLimit, EntryInstance)
{
    submitBeforeTheLimit(*this, StoreStatus::Refused);
    state.membership.admission = kDeferrableAway;
    run(std::chrono::milliseconds(120));
    answerRead(jobKey(kJob), StoreStatus::NotFound);
    answerRead(endedKey(kJob), StoreStatus::NotFound);
    checkOverloaded(take<EntryReply>());
}

// Callers could not see or end what had been accepted.
BOOST_AUTO_TEST_CASE(LookupIsTurnedAway)
{
    EntryInstance entry;
    entry.state.membership.admission = kAllAway;
    entry.call(Verb::Lookup, kDeferrable + kJob);
    entry.answerRead(jobKey(kJob), StoreStatus::Ok, "record");
    EntryReply found = entry.take<EntryReply>();
    BOOST_TEST((found.outcome == EntryOutcome::State));
    entry.call(Verb::Lookup, kDeferrable + kJob);
    entry.answerRead(jobKey(kJob), StoreStatus::NotFound);
    entry.answerRead(endedKey(kJob), StoreStatus::Ok, toString(JobState::Completed));
    BOOST_TEST((entry.take<EntryReply>().state == JobState::Completed));
    entry.call(Verb::Lookup, kDeferrable + kJob);
    entry.answerRead(jobKey(kJob), StoreStatus::NotFound);
    entry.answerRead(endedKey(kJob), StoreStatus::NotFound);
    BOOST_TEST((entry.take<EntryReply>().outcome == EntryOutcome::Gone));
}

BOOST_AUTO_TEST_CASE(QueueLengthIsTurnedAway)
{
    EntryInstance entry;
    entry.state.membership.admission = kAllAway;
    entry.state.ownership.phase = OwnerPhase::Deciding;
    entry.call(Verb::Lookup, kDeferrable);
    BOOST_TEST((entry.take<EntryReply>().outcome == EntryOutcome::Count));
}

BOOST_AUTO_TEST_CASE(CancellationIsTurnedAway)
{
    EntryInstance entry;
    entry.state.membership.admission = kAllAway;
    entry.call(Verb::Cancel, kDeferrable + kJob);
    entry.answerRead(jobKey(kJob), StoreStatus::Ok, "record");
    StoreChange change = entry.take<StoreChange>();
    BOOST_TEST(change.puts.at(0).key == cancelKey(kJob));
    entry.answer(change.ticket, StoreStatus::Ok);
    BOOST_TEST((entry.take<EntryReply>().outcome == EntryOutcome::Cancelled));
    entry.call(Verb::Cancel, kDeferrable + kJob);
    entry.answerRead(jobKey(kJob), StoreStatus::NotFound);
    entry.answerRead(endedKey(kJob), StoreStatus::NotFound);
    // It is answered once a submission that is still on its way can't store the job any more.
    LeaseGrant grant = entry.take<LeaseGrant>();
    StoreReply granted;
    granted.ticket = grant.ticket;
    granted.status = StoreStatus::Ok;
    granted.lease = 3;
    entry.deliver(granted);
    StoreChange withdrawal = entry.take<StoreChange>();
    BOOST_TEST((withdrawal.conditions == std::vector<StoreCompare> { { jobKey(kJob), 0 }, { endedKey(kJob), 0 } }));
    BOOST_TEST(withdrawal.puts.at(0).key == endedKey(kJob));
    BOOST_TEST(withdrawal.puts.at(0).lease == 3);
    BOOST_TEST(entry.isQuiet());
    entry.answer(withdrawal.ticket, StoreStatus::Ok);
    BOOST_TEST((entry.take<EntryReply>().outcome == EntryOutcome::Gone));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace crocuslever::cell
