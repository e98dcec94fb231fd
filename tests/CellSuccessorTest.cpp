// What an instance that acquires the cell takes for granted of the owners before it.

#include <boost/test/unit_test.hpp>

#include "src/cell/Keys.h"
#include "src/cell/RecordCodec.h"
#include "tests/CellFixture.h"
#include "tests/StoreCallsFixture.h"

namespace crocuslever::cell::testing {

BOOST_AUTO_TEST_SUITE(CellSuccessorTest)

/// The core of instance "i0", which acquires a cell whose owner "i9" has restarted.
struct SuccessorFixture : StoreCallsFixture {
    SuccessorFixture()
        : StoreCallsFixture("i0", 120)
    {
        state.membership.registered = true;
        state.configuration.value = std::make_shared<const FleetPolicy>();
    }

    /// Lists the instances with an epoch, and an owner unless its token is 0.
    void list(int epoch, const OwnerRecord& owner, const std::string& incarnation)
    {
        std::vector<StoreEntry> entries { { kEpochKey, std::to_string(epoch), 20 + epoch }, { kInstancePrefix + std::string("i9"), encodeInstance({ "i9", incarnation, 120, "" }), 21 } };
        if (owner.token != 0)
            entries.push_back({ kOwnerKey, encodeOwner(owner), 20 });
        runTick();
        answer(listing, entries);
        now.steady += std::chrono::milliseconds(500);
        runTick();
    }

    void acquire()
    {
        BOOST_REQUIRE(state.ownership.phase == OwnerPhase::Acquiring);
        answer(change, {});
        BOOST_REQUIRE(state.ownership.phase == OwnerPhase::Recovering);
    }

    /// Until then an owner that acted until `lastOrders` may have runs that go on.
    bool awaitsRunsOrderedUntil(TimePoint lastOrders) const { return state.ownership.earlierRunsEnd >= lastOrders + state.settings.runLease; }
};

// The owner before the previous one was cut off with its upstreams and gave orders; a third owner started its tasks again.
BOOST_FIXTURE_TEST_CASE(ThirdOwnerForgetsTheFirst, SuccessorFixture)
{
    TimePoint secondSeenAt = now.steady;
    list(5, { "i9", "i9", "i9-1", 5, 0 }, "i9-1");
    list(5, { "i9", "i9", "i9-1", 5, 0 }, "i9-2");
    acquire();
    BOOST_CHECK(awaitsRunsOrderedUntil(secondSeenAt + state.settings.ownerLeaseTimeout));
}

// Tasks waited for orders that no owner could have given any more.
BOOST_FIXTURE_TEST_CASE(SuccessorWaitsForOwnersThatHaveLongEnded, SuccessorFixture)
{
    list(5, { "i9", "i9", "i9-1", 5, 0, true }, "i9-1");
    list(5, { "i9", "i9", "i9-1", 5, 0, true }, "i9-2");
    acquire();
    BOOST_CHECK(awaitsRunsOrderedUntil(now.steady));
    BOOST_CHECK(!awaitsRunsOrderedUntil(now.steady + std::chrono::seconds(1)));
}

// The owner key says when no earlier owner can give orders any more, also after it was written under a new lease.
BOOST_FIXTURE_TEST_CASE(OwnerSaysThatEarlierOwnersHaveEnded, CellFixture)
{
    std::size_t seenBy = other();
    emulator.runFor(std::chrono::seconds(2));
    BOOST_CHECK(!emulator.core(seenBy).ownership.isPredecessorSettled);
    emulator.runFor(std::chrono::seconds(6));
    BOOST_CHECK(emulator.core(seenBy).ownership.isPredecessorSettled);
    std::size_t former = owner();
    emulator.kill(former);
    BOOST_REQUIRE(emulator.runUntil(std::chrono::seconds(6), [&] { return emulator.owner().has_value(); }));
    emulator.runFor(std::chrono::seconds(1));
    std::size_t third = 3 - former - owner();
    BOOST_CHECK(!emulator.core(third).ownership.isPredecessorSettled);
}

// An answer of the store without any keys was taken for its word that there is no successor.
BOOST_FIXTURE_TEST_CASE(ListingWithoutTheEpochConfirmsTheOwner, SuccessorFixture)
{
    list(5, { "i9", "i9", "i9-1", 5, 0 }, "i9-1");
    Confirmation before = state.membership.listing;
    answer(listing, {});
    BOOST_CHECK(state.membership.listing == before);
}

// The same, and the previous owner was never listed to this instance.
BOOST_FIXTURE_TEST_CASE(UnknownOwnerCountsAsGone, SuccessorFixture)
{
    list(5, {}, "i9-1");
    list(5, {}, "i9-1");
    acquire();
    BOOST_CHECK(awaitsRunsOrderedUntil(now.steady + state.settings.ownerLeaseTimeout));
}

// The same, and the owner that was listed was not the last one.
BOOST_FIXTURE_TEST_CASE(OwnerThatWasNotListedCountsAsGone, SuccessorFixture)
{
    list(4, { "i9", "i9", "i9-1", 4, 0 }, "i9-1");
    list(5, {}, "i9-2");
    list(5, {}, "i9-2");
    acquire();
    BOOST_CHECK(awaitsRunsOrderedUntil(now.steady + state.settings.ownerLeaseTimeout));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace crocuslever::cell::testing
