// Queries between the instances of a cell, some of which are late.

#include <boost/test/unit_test.hpp>

#include "cell.pb.h"
#include "src/cell/PeerCalls.h"
#include "src/cell/PeerFrames.h"

using namespace crocuslever;
using namespace crocuslever::cell;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(CellPeerCallsTest)

static Instant at(Duration time) { return { TimePoint(time), 0 }; }

namespace {

/// An instance that counts the answers and the timeouts of its queries.
struct Asker {
    void ask(Duration timeout, Duration now)
    {
        cellwire::PeerMessage query;
        query.mutable_job_query()->set_id("job");
        auto then = [this](CellState&, const cellwire::PeerMessage* answer, const Instant&, CellActions&) { ++(answer ? answers : timeouts); };
        queryPeer(state, "peer", std::move(query), timeout, then, at(now), actions);
    }

    /// The parts of a turn that deal with queries; it does the rest meanwhile.
    void turn(Duration now, Duration rest)
    {
        tickPeerCalls(state, at(now), actions);
        tickFrames(state, at(now + rest), actions);
    }

    CellState state { CellSettings {}, StoreFormat {} };
    CellActions actions;
    int answers { 0 };
    int timeouts { 0 };
};

} // namespace

// An owner whose turns took longer than the timeout took its delegates for dead before they had its queries.
BOOST_AUTO_TEST_CASE(QueryTimesOutInTheTurnThatMakesIt)
{
    Asker asker;
    asker.ask(milliseconds(300), milliseconds(1000));
    asker.turn(milliseconds(1000), milliseconds(500));
    asker.turn(milliseconds(1500), milliseconds(250));
    BOOST_TEST(asker.timeouts == 0);
    asker.turn(milliseconds(1750), milliseconds(49));
    BOOST_TEST(asker.timeouts == 0);
    asker.turn(milliseconds(1800), milliseconds(1));
    BOOST_TEST(asker.timeouts == 1);
    asker.turn(milliseconds(9000), milliseconds(1));
    BOOST_TEST(asker.timeouts == 1);
}

// A renewal of the lease within a long turn began the timeouts of the queries that were still to leave.
BOOST_AUTO_TEST_CASE(RenewalWithinATurnBeginsTheTimeouts)
{
    Asker asker;
    asker.state.membership.lease = 1;
    asker.ask(milliseconds(300), milliseconds(1000));
    CellActions renewal;
    tickLease(asker.state, at(milliseconds(1000)), renewal);
    BOOST_TEST(renewal.size() == 1U);
    asker.turn(milliseconds(1000), milliseconds(500));
    asker.turn(milliseconds(1500), milliseconds(1));
    BOOST_TEST(asker.timeouts == 0);
}

// The timeout of a query that is made while frames are unread must not begin anew in each turn.
BOOST_AUTO_TEST_CASE(QueryNeverTimesOutWhileFramesArrive)
{
    Asker asker;
    asker.ask(milliseconds(300), milliseconds(1000));
    asker.turn(milliseconds(1000), milliseconds(1));
    asker.state.hasUnreadFrames = true;
    asker.turn(milliseconds(1010), milliseconds(1));
    asker.turn(milliseconds(1400), milliseconds(1));
    BOOST_TEST(asker.timeouts == 0);
    asker.state.hasUnreadFrames = false;
    asker.turn(milliseconds(1401), milliseconds(1));
    BOOST_TEST(asker.timeouts == 1);
}

BOOST_AUTO_TEST_SUITE_END()
