#include "src/cell/PeerCalls.h"
#include "src/cell/PeerFrames.h"

#include <boost/test/unit_test.hpp>

#include "cell.pb.h"

namespace crocuslever::cell {

BOOST_AUTO_TEST_SUITE(PeerCallsTest)

static constexpr Duration kTimeout = std::chrono::milliseconds(300);

/// The core of an instance that asks a peer.
struct AskingInstance {
    AskingInstance()
        : state({}, {})
    {
    }

    /// Sends a query and keeps its number.
    void ask()
    {
        cellwire::PeerMessage query;
        query.mutable_count_query()->set_route("jobs");
        auto then = [this](CellState&, const cellwire::PeerMessage* answer, const Instant&, CellActions&) { ++(answer ? answers : timeouts); };
        CellActions actions;
        queryPeer(state, "10.0.0.2:1", std::move(query), kTimeout, then, now, actions);
        cellwire::PeerMessage sent;
        BOOST_REQUIRE(sent.ParseFromString(std::get<SendPeerFrame>(actions.at(0)).bytes));
        call = sent.call();
        // The query leaves at the end of a turn; its timeout begins with the next one.
        runTurn(Duration(0));
        runTurn(Duration(0));
    }

    cellwire::PeerMessage makeAnswer() const
    {
        cellwire::PeerMessage answer;
        answer.set_sender("10.0.0.2:1");
        answer.set_call(call);
        answer.mutable_count_answer()->set_known(true);
        return answer;
    }

    void receive(const cellwire::PeerMessage& message)
    {
        CellActions actions;
        handleEvent(state, PeerFrame { "e-2", message.SerializeAsString() }, now, actions);
    }

    void runTurn(Duration later)
    {
        now.steady += later;
        CellActions actions;
        tickPeerCalls(state, now, actions);
        tickFrames(state, now, actions);
    }

    Instant now { TimePoint(std::chrono::seconds(100)), 1000000 };
    CellState state;
    std::uint64_t call { 0 };
    int answers { 0 };
    int timeouts { 0 };
};

BOOST_FIXTURE_TEST_CASE(QueryIsGivenUpAtItsDeadline, AskingInstance)
{
    ask();
    runTurn(kTimeout - std::chrono::milliseconds(1));
    BOOST_TEST(timeouts == 0);
    runTurn(std::chrono::milliseconds(1));
    BOOST_TEST(timeouts == 1);
    runTurn(kTimeout);
    BOOST_TEST(timeouts == 1);
}

// A busy instance took peers for dead whose answers had arrived in time, and waited to be read.
BOOST_FIXTURE_TEST_CASE(QueryTimesOutWhileItsAnswerIsUnread, AskingInstance)
{
    ask();
    state.hasUnreadFrames = true;
    for (int n = 0; n < 5; ++n)
        runTurn(kTimeout);
    BOOST_TEST(timeouts == 0);
    receive(makeAnswer());
    BOOST_TEST(answers == 1);
    state.hasUnreadFrames = false;
    runTurn(kTimeout);
    BOOST_TEST(answers == 1);
    BOOST_TEST(timeouts == 0);
    BOOST_TEST(state.counters.get("peer_timeouts_total") == 0);
}

// A peer that doesn't answer was waited for without an end.
BOOST_FIXTURE_TEST_CASE(QueryGoesOnOnceAllFramesHaveBeenRead, AskingInstance)
{
    ask();
    state.hasUnreadFrames = true;
    runTurn(2 * kTimeout);
    state.hasUnreadFrames = false;
    runTurn(std::chrono::milliseconds(10));
    BOOST_TEST(timeouts == 1);
    receive(makeAnswer());
    BOOST_TEST(answers == 0);
    BOOST_TEST(state.counters.get("peer_late_answers_total") == 1);
}

// Each joined frame counted as a late answer, so that the counter told nothing of a busy instance.
BOOST_FIXTURE_TEST_CASE(JoinedFrameCountsAsALateAnswer, AskingInstance)
{
    ask();
    cellwire::PeerMessage joined;
    joined.add_frames(makeAnswer().SerializeAsString());
    receive(joined);
    BOOST_TEST(answers == 1);
    BOOST_TEST(state.counters.get("peer_late_answers_total") == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace crocuslever::cell
