// Messages between instances that reach another process than the one they are meant for: the next one at the same address.

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "cell.pb.h"
#include "src/cell/Keys.h"
#include "src/cell/Membership.h"
#include "src/cell/PeerCalls.h"
#include "src/cell/RecordCodec.h"

namespace crocuslever::cell {

BOOST_AUTO_TEST_SUITE(PeerProcessesTest)

namespace wire = crocuslever::cellwire;

static constexpr Duration kTimeout = std::chrono::milliseconds(400);
static const std::string kAskerAddress = "10.0.0.1:1";
static const std::string kPeerAddress = "10.0.0.2:1";

/// Revision in all answers of the store.
static constexpr StoreRevision kRevision = 77;

namespace {

/// A process of an instance, with the frames that it sends and the calls that it makes.
struct Process {
    Process(const std::string& address, const std::string& incarnation)
        : state(makeSettings(address, incarnation), {})
    {
    }

    static CellSettings makeSettings(const std::string& address, const std::string& incarnation)
    {
        CellSettings settings;
        settings.instance = address;
        settings.address = address;
        settings.incarnation = incarnation;
        return settings;
    }

    /// Sends the query to the peer. Its answer or timeout is counted.
    void ask(wire::PeerMessage query)
    {
        auto then = [this](CellState&, const wire::PeerMessage* answer, const Instant&, CellActions&) { ++(answer ? answers : failures); };
        queryPeer(state, kPeerAddress, std::move(query), kTimeout, then, now, actions);
    }

    /// Ends the turn; returns the frames that leave.
    std::vector<std::string> sentFrames()
    {
        CellActions ticked = std::move(actions);
        actions.clear();
        systems().back().tick(state, now, ticked);
        std::vector<std::string> frames;
        for (const CellAction& action : ticked) {
            const SendPeerFrame* frame = std::get_if<SendPeerFrame>(&action);
            if (frame)
                frames.push_back(frame->bytes);
        }
        return frames;
    }

    void receive(const std::vector<std::string>& frames)
    {
        for (const std::string& bytes : frames)
            handleEvent(state, PeerFrame { "", bytes }, now, actions);
    }

    /// Answers the calls that the process has made on behalf of others.
    void answerCalls()
    {
        CellActions made = std::move(actions);
        actions.clear();
        for (const CellAction& action : made) {
            const StoreRead* read = std::get_if<StoreRead>(&action);
            const StoreChange* change = std::get_if<StoreChange>(&action);
            const UpstreamPoll* poll = std::get_if<UpstreamPoll>(&action);
            const AdviceRequest* request = std::get_if<AdviceRequest>(&action);
            if (read)
                handleEvent(state, StoreReply { read->ticket, StoreStatus::Ok, kRevision, {}, {}, 0 }, now, actions);
            else if (change)
                handleEvent(state, StoreReply { change->ticket, StoreStatus::Ok, kRevision, {}, {}, 0 }, now, actions);
            else if (poll)
                handleEvent(state, PollResult { poll->ticket, OrderOutcome::Ok, 0, 0, {}, {} }, now, actions);
            else if (request)
                handleEvent(state, AdviceResult { request->ticket, true, {}, Duration(0) }, now, actions);
            else
                actions.push_back(action);
        }
    }

    std::size_t countCalls() const
    {
        return static_cast<std::size_t>(std::count_if(actions.begin(), actions.end(), [](const CellAction& it) { return !std::holds_alternative<SendPeerFrame>(it) && !std::holds_alternative<LogLine>(it); }));
    }

    Instant now { TimePoint(std::chrono::seconds(100)), 1000000 };
    CellState state;
    CellActions actions;
    int answers { 0 };
    int failures { 0 };
};

} // namespace

/// A query of each kind.
static std::vector<wire::PeerMessage> makeQueries()
{
    std::vector<wire::PeerMessage> queries(7);
    queries[0].mutable_job_query()->set_id("0000000000000001");
    queries[1].mutable_count_query()->set_route("jobs");
    queries[2].mutable_advice_query()->set_step("0000000000000001.0.0");
    queries[3].mutable_store_query()->set_kind(wire::StoreQuery::READ);
    queries[4].mutable_store_query()->set_kind(wire::StoreQuery::CHANGE);
    queries[5].mutable_configuration_query()->set_wants_record(false);
    queries[6].mutable_upstream_call()->set_kind(wire::UpstreamCall::POLL);
    return queries;
}

/// The frames with which a process at the peer's address answers those of an asker.
static std::vector<std::string> answersOf(Process& peer, const std::vector<std::string>& queries)
{
    peer.receive(queries);
    peer.answerCalls();
    return peer.sentFrames();
}

// review/14: a job that ran was shown as completed, by the answer to a question about another job that the process before
// had asked; so were answers of the store, of advice and of upstreams taken.
BOOST_AUTO_TEST_CASE(ProcessTakesTheAnswersToItsPredecessor)
{
    for (const wire::PeerMessage& query : makeQueries()) {
        BOOST_TEST_CONTEXT("query of kind " << query.body_case())
        {
            Process former(kAskerAddress, "1");
            Process peer(kPeerAddress, "9");
            former.ask(query);
            std::vector<std::string> late = answersOf(peer, former.sentFrames());
            BOOST_TEST(late.size() == 1U);

            Process next(kAskerAddress, "2");
            next.ask(query);
            std::vector<std::string> queries = next.sentFrames();
            next.receive(late);
            BOOST_TEST(next.answers == 0);
            next.receive(answersOf(peer, queries));
            BOOST_TEST(next.answers == 1);
            BOOST_TEST(next.state.counters.get("peer_messages_for_other_processes_total{kind=\"answer\"}") == 1);
            BOOST_TEST(next.state.counters.get("peer_late_answers_total") == 0);
        }
    }
}

// A change of the store, or an order to an upstream, that waited for a process was carried out by the next one at its address,
// long after the asker had given it up.
BOOST_AUTO_TEST_CASE(ProcessCarriesOutTheQueriesToItsPredecessor)
{
    for (const wire::PeerMessage& query : makeQueries()) {
        BOOST_TEST_CONTEXT("query of kind " << query.body_case())
        {
            Process asker(kAskerAddress, "1");
            Process former(kPeerAddress, "8");
            asker.ask(query);
            asker.receive(answersOf(former, asker.sentFrames()));
            BOOST_TEST(asker.answers == 1);

            Process next(kPeerAddress, "9");
            asker.ask(query);
            next.receive(asker.sentFrames());
            BOOST_TEST(next.countCalls() == 0U);
            // The asker learns so at once, and the next query is for the process that is there now.
            asker.receive(next.sentFrames());
            BOOST_TEST(asker.answers == 1);
            BOOST_TEST(asker.failures == 1);
            asker.ask(query);
            asker.receive(answersOf(next, asker.sentFrames()));
            BOOST_TEST(asker.answers == 2);
        }
    }
}

// Queries of one turn leave as one frame, to which the same holds.
BOOST_AUTO_TEST_CASE(JoinedQueriesAreCarriedOutByTheNextProcess)
{
    Process asker(kAskerAddress, "1");
    Process former(kPeerAddress, "8");
    for (const wire::PeerMessage& query : makeQueries())
        asker.ask(query);
    std::vector<std::string> first = asker.sentFrames();
    BOOST_TEST(first.size() == 1U);
    asker.receive(answersOf(former, first));
    BOOST_TEST(asker.answers == 7);

    Process next(kPeerAddress, "9");
    for (const wire::PeerMessage& query : makeQueries())
        asker.ask(query);
    next.receive(asker.sentFrames());
    BOOST_TEST(next.countCalls() == 0U);
    asker.receive(next.sentFrames());
    BOOST_TEST(asker.answers == 7);
    BOOST_TEST(asker.failures == 7);
}

// A notice to a former owner was taken by the next process at its address.
BOOST_AUTO_TEST_CASE(ProcessTakesTheNoticesToItsPredecessor)
{
    Process sender(kAskerAddress, "1");
    Process former(kPeerAddress, "8");
    sender.ask(makeQueries().front());
    sender.receive(answersOf(former, sender.sentFrames()));
    wire::PeerMessage notice;
    notice.mutable_admission_notice()->set_token(5);
    notifyPeer(sender.state, kPeerAddress, notice, sender.actions);

    Process next(kPeerAddress, "9");
    next.receive(sender.sentFrames());
    BOOST_TEST(next.state.admissionPlan.token == 0);
    BOOST_TEST(next.state.counters.get("peer_messages_for_other_processes_total{kind=\"notice\"}") == 1);
    BOOST_TEST(next.sentFrames().empty());
}

// The first query after the store has shown that the peer was restarted must not be refused.
BOOST_AUTO_TEST_CASE(QueryIsForAProcessThatTheStoreShowsAsReplaced)
{
    Process asker(kAskerAddress, "1");
    Process former(kPeerAddress, "8");
    asker.ask(makeQueries().front());
    asker.receive(answersOf(former, asker.sentFrames()));
    Process next(kPeerAddress, "9");
    asker.state.membership.nextList = asker.now.steady;
    tickMembership(asker.state, asker.now, asker.actions);
    Ticket listing = 0;
    for (const CellAction& action : asker.actions) {
        const StoreList* list = std::get_if<StoreList>(&action);
        listing = list ? list->ticket : listing;
    }
    StoreEntry entry { std::string(kInstancePrefix) + "peer", encodeInstance({ kPeerAddress, "9", 100, "a" }), kRevision };
    handleEvent(asker.state, StoreReply { listing, StoreStatus::Ok, kRevision, { entry }, {}, 0 }, asker.now, asker.actions);
    asker.actions.clear();
    asker.ask(makeQueries().front());
    asker.receive(answersOf(next, asker.sentFrames()));
    BOOST_TEST(asker.answers == 2);
}

static std::string withoutProcesses(const std::string& bytes)
{
    wire::PeerMessage message;
    BOOST_REQUIRE(message.ParseFromString(bytes));
    message.clear_sender_process();
    message.clear_receiver_process();
    return message.SerializeAsString();
}

static std::vector<std::string> withoutProcesses(std::vector<std::string> frames)
{
    for (std::string& bytes : frames)
        bytes = withoutProcesses(bytes);
    return frames;
}

// During an upgrade a peer of the version before neither names its process nor looks at that of the receiver.
BOOST_AUTO_TEST_CASE(PeerOfAnEarlierVersionGetsNoAnswers)
{
    for (const wire::PeerMessage& query : makeQueries()) {
        Process asker(kAskerAddress, "1");
        Process peer(kPeerAddress, "9");
        asker.ask(query);
        asker.receive(withoutProcesses(answersOf(peer, withoutProcesses(asker.sentFrames()))));
        BOOST_TEST(asker.answers == 1);
    }
}

// Its answers name only the number of the query, which is hardly that of another process's query.
BOOST_AUTO_TEST_CASE(ProcessTakesTheAnswersOfAnEarlierVersionToItsPredecessor)
{
    Process former(kAskerAddress, "1");
    Process peer(kPeerAddress, "9");
    former.ask(makeQueries().front());
    std::vector<std::string> late = withoutProcesses(answersOf(peer, withoutProcesses(former.sentFrames())));
    Process next(kAskerAddress, "2");
    next.ask(makeQueries().front());
    next.receive(late);
    BOOST_TEST(next.answers == 0);
}

// An answer of another kind, or of another peer, was taken for the failure of the one that was asked.
BOOST_AUTO_TEST_CASE(AnswerThatDoesNotFitEndsTheQuery)
{
    Process asker(kAskerAddress, "1");
    Process peer(kPeerAddress, "9");
    asker.ask(makeQueries().front());
    std::vector<std::string> right = answersOf(peer, asker.sentFrames());
    wire::PeerMessage answer;
    BOOST_REQUIRE(answer.ParseFromString(right.at(0)));
    wire::PeerMessage ofOther = answer;
    ofOther.set_sender("10.0.0.3:1");
    wire::PeerMessage ofOtherKind = answer;
    ofOtherKind.mutable_count_answer()->set_known(true);
    asker.receive({ ofOther.SerializeAsString(), ofOtherKind.SerializeAsString() });
    BOOST_TEST(asker.answers + asker.failures == 0);
    BOOST_TEST(asker.state.counters.get("peer_wrong_answers_total") == 2);
    asker.receive(right);
    BOOST_TEST(asker.answers == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace crocuslever::cell
