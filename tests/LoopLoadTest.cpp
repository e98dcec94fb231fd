#include <boost/test/unit_test.hpp>

#include "src/daemon/LoopLoad.h"

namespace crocuslever {

BOOST_AUTO_TEST_SUITE(LoopLoadTest)

static TimePoint at(std::int64_t ms) { return TimePoint(fromMilliseconds(ms)); }

BOOST_AUTO_TEST_CASE(AttributesTimeToParts)
{
    LoopLoad load;
    markPart(load, "other", at(1000));
    summarizeLoad(load, at(1000));
    markPart(load, "placement", at(1030));
    markPart(load, "commits", at(1035));
    markPart(load, "placement", at(1040));
    recordTurn(load, at(1032), at(1040));
    recordTurn(load, at(1039), at(1041));
    Counters counters;
    setLoadGauges(load, counters);
    BOOST_CHECK_EQUAL(counters.get("loop_milliseconds_total{part=\"placement\"}"), 35);
    BOOST_CHECK_EQUAL(counters.get("loop_milliseconds_total{part=\"other\"}"), 0);
    BOOST_CHECK_EQUAL(counters.get("loop_delay_milliseconds"), 8);
    BOOST_CHECK_EQUAL(summarizeLoad(load, at(1040)), "of 40 ms: placement 35, commits 5, 2 turns, up to 8 ms late, 5 on average");
    BOOST_CHECK_EQUAL(summarizeLoad(load, at(1040)), "of 0 ms: 0 turns, up to 0 ms late, 0 on average");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace crocuslever
