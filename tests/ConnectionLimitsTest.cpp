#include <boost/test/unit_test.hpp>

#include "src/http/ConnectionLimits.h"

namespace crocuslever {

BOOST_AUTO_TEST_SUITE(ConnectionLimitsTest)

/// Guards against one address that takes all connections, and against counts that are not given back.
BOOST_AUTO_TEST_CASE(ConnectionsAreLimitedInTotalAndByAddress)
{
    ConnectionLimits limits;
    limits.connections = 3;
    limits.connectionsPerAddress = 2;
    ConnectionUse use;
    BOOST_CHECK(admitConnection(limits, use, "a") == ConnectionLimit::None);
    BOOST_CHECK(admitConnection(limits, use, "a") == ConnectionLimit::None);
    BOOST_CHECK(admitConnection(limits, use, "a") == ConnectionLimit::ConnectionsPerAddress);
    BOOST_CHECK(admitConnection(limits, use, "b") == ConnectionLimit::None);
    BOOST_CHECK(admitConnection(limits, use, "c") == ConnectionLimit::Connections);
    releaseConnection(use, "a");
    BOOST_CHECK(admitConnection(limits, use, "c") == ConnectionLimit::None);
    for (const char* address : { "a", "b", "c" })
        releaseConnection(use, address);
    BOOST_CHECK_EQUAL(use.connections, 0U);
    BOOST_CHECK(use.connectionsByAddress.empty());
}

/// Guards against requests that together hold more than the budget.
BOOST_AUTO_TEST_CASE(HeldBytesAreLimitedInTotal)
{
    ConnectionLimits limits;
    limits.heldBytes = 100;
    ConnectionUse use;
    std::size_t first = 0;
    std::size_t second = 0;
    BOOST_CHECK(reserveBytes(limits, use, first, 60));
    BOOST_CHECK(!reserveBytes(limits, use, second, 41));
    BOOST_CHECK_EQUAL(second, 0U);
    BOOST_CHECK(reserveBytes(limits, use, second, 40));
    BOOST_CHECK(!reserveBytes(limits, use, first, 61));
    BOOST_CHECK_EQUAL(first, 60U);
    releaseBytes(use, second);
    BOOST_CHECK(reserveBytes(limits, use, first, 100));
    releaseBytes(use, first);
    BOOST_CHECK_EQUAL(use.heldBytes, 0U);
}

BOOST_AUTO_TEST_CASE(WaitingRequestsAreLimited)
{
    ConnectionLimits limits;
    limits.waitingRequests = 1;
    ConnectionUse use;
    BOOST_CHECK(admitRequest(limits, use));
    BOOST_CHECK(!admitRequest(limits, use));
    releaseRequest(use);
    BOOST_CHECK(admitRequest(limits, use));
}

/// Guards against defaults that the clients of the smallest instance meet: 80 of them, each with the largest body and header.
BOOST_AUTO_TEST_CASE(OrderlyClientsMeetNoDefault)
{
    constexpr std::int64_t kSmallestMemoryMb = 160;
    constexpr std::size_t kClients = 80;
    constexpr std::size_t kBodyBytes = 262144;
    constexpr std::size_t kUnusedBytes = 32768; // Of a body of unknown length.
    constexpr std::size_t kHeaderBytes = 32768; // Of 512 fields.
    ConnectionLimits limits = deriveLimits(kSmallestMemoryMb, 512);
    ConnectionUse use;
    std::size_t held[kClients] = {};
    for (std::size_t& it : held) {
        BOOST_CHECK(admitConnection(limits, use, "balancer") == ConnectionLimit::None);
        BOOST_CHECK(reserveBytes(limits, use, it, kBodyBytes + kUnusedBytes + kHeaderBytes));
        BOOST_CHECK(admitRequest(limits, use));
    }
}

/// Guards against one log line per refusal.
BOOST_AUTO_TEST_CASE(RefusalsFormPeriods)
{
    RefusalPeriod period;
    TimePoint now;
    BOOST_CHECK(beginRefusal(period, now));
    BOOST_CHECK(!beginRefusal(period, now + std::chrono::seconds(5)));
    BOOST_CHECK(!endRefusal(period, now + std::chrono::seconds(14)));
    BOOST_CHECK(endRefusal(period, now + std::chrono::seconds(15)));
    BOOST_CHECK(!endRefusal(period, now + std::chrono::seconds(16)));
    BOOST_CHECK(beginRefusal(period, now + std::chrono::seconds(17)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace crocuslever
