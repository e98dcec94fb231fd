#include "src/core/Placement.h"

#include <boost/test/unit_test.hpp>

#include "src/core/Reservations.h"
#include "src/core/UpstreamLifecycle.h"
#include "tests/support/CoreFixture.h"

using namespace crocuslever;
using namespace crocuslever::testing;

static PlacementRequest makeRequest(WorkKind kind)
{
    PlacementRequest request;
    request.kind = kind;
    request.resources = { 1000, 256, 0, 1 };
    return request;
}

/// Adds a running attempt that uses `n` slots of an upstream.
static void occupy(CoreFixture& f, const std::string& upstream, std::int64_t n)
{
    static int number = 0;
    AttemptRow row;
    row.id = AttemptId("occupied-" + std::to_string(++number));
    row.job = JobId("job");
    row.team = TeamId("shop");
    row.upstream = UpstreamId(upstream);
    row.incarnation = f.upstream(upstream).incarnation;
    row.phase = AttemptPhase::Running;
    row.charged = { 1000 * n, 256 * n, 0, n };
    addAttempt(f.state, row, f.now);
}

static std::string place(const CoreFixture& f, const PlacementRequest& request)
{
    PlacementDecision decision = placeTask(f.state, request, f.now);
    return decision.upstream ? decision.upstream->value() : toString(decision.reason);
}

BOOST_FIXTURE_TEST_SUITE(PlacementTest, CoreFixture)

BOOST_AUTO_TEST_CASE(UrgentWorkGoesToTheEmptiestAndBatchIsPacked)
{
    addUpstream("a");
    addUpstream("b");
    addUpstream("c");
    occupy(*this, "a", 3);
    occupy(*this, "b", 5);
    BOOST_TEST(place(*this, makeRequest(WorkKind::Urgent)) == "c");
    BOOST_TEST(place(*this, makeRequest(WorkKind::Batch)) == "b");
}

BOOST_AUTO_TEST_CASE(DeferredWorkLeavesTheHeadroomToUrgentWork)
{
    addUpstream("a");
    occupy(*this, "a", 7);
    BOOST_TEST(place(*this, makeRequest(WorkKind::Batch)) == "overloaded");
    BOOST_TEST(place(*this, makeRequest(WorkKind::Service)) == "overloaded");
    BOOST_TEST(place(*this, makeRequest(WorkKind::Urgent)) == "a");
    occupy(*this, "a", 1);
    BOOST_TEST(place(*this, makeRequest(WorkKind::Urgent)) == "overloaded");
}

BOOST_AUTO_TEST_CASE(EveryResourceMustFit)
{
    addUpstream("a");
    addUpstream("b");
    occupy(*this, "a", 4);
    PlacementRequest request = makeRequest(WorkKind::Batch);
    request.resources.milliCpu = 62000;
    BOOST_TEST(place(*this, request) == "b");
    request.resources.accelerators = 1;
    BOOST_TEST(place(*this, request) == "never_fits");
}

BOOST_AUTO_TEST_CASE(ServicesSpreadOverDomainsThenRacks)
{
    addUpstream("a1", "zone-a", "rack-1");
    addUpstream("a2", "zone-a", "rack-1");
    addUpstream("a3", "zone-a", "rack-2");
    addUpstream("b1", "zone-b", "rack-3");
    occupy(*this, "b1", 5);
    occupy(*this, "a1", 1);
    PlacementRequest request = makeRequest(WorkKind::Service);
    BOOST_TEST(place(*this, request) == "a3");
    request.avoidDomains = { FailureDomainId("zone-a") };
    BOOST_TEST(place(*this, request) == "b1");
    // Domains to avoid are used if no other has room.
    request.avoidDomains.emplace_back("zone-b");
    BOOST_TEST(place(*this, request) == "a3");
    request.avoid = { UpstreamId("a3") };
    BOOST_TEST(place(*this, request) == "a2");
}

BOOST_AUTO_TEST_CASE(NothingIsPlacedWhereNoWorkMayStart)
{
    addUpstream("a");
    UpstreamRow& row = upstream("a");
    ShardRow& shard = state.shards[row.shard];
    auto isPlaced = [&] { return place(*this, makeRequest(WorkKind::Urgent)) == "a"; };
    BOOST_TEST(isPlaced());
    row.health = UpstreamHealth::Quarantined;
    BOOST_TEST(!isPlaced());
    row.health = UpstreamHealth::Good;
    row.reachable = false;
    BOOST_TEST(!isPlaced());
    row.reachable = true;
    shard.phase = ShardPhase::Releasing;
    BOOST_TEST(!isPlaced());
    shard.phase = ShardPhase::Owned;
    ++shard.record.epoch; // The upstream isn't fenced at this epoch.
    BOOST_TEST(!isPlaced());
    --shard.record.epoch;
    state.session.validUntil = now;
    BOOST_TEST(place(*this, makeRequest(WorkKind::Urgent)) == "not_valid");
    state.session.validUntil = now + std::chrono::hours(1);
    BOOST_TEST(isPlaced());
}

BOOST_AUTO_TEST_CASE(ALeavingUpstreamAndADomainOutTakeNothing)
{
    addUpstream("a", "zone-a");
    addUpstream("b", "zone-b");
    UpstreamDescription leaving = makeUpstreamDescription("a", "zone-a");
    leaving.leaving = true;
    listUpstream(leaving);
    BOOST_TEST(place(*this, makeRequest(WorkKind::Batch)) == "b");
    takeDomainOut("zone-b");
    BOOST_TEST(place(*this, makeRequest(WorkKind::Batch)) == "overloaded");
    BOOST_TEST(place(*this, makeRequest(WorkKind::Urgent)) == "overloaded");
    listUpstream(makeUpstreamDescription("a", "zone-a"));
    BOOST_TEST(place(*this, makeRequest(WorkKind::Batch)) == "a");
}

BOOST_AUTO_TEST_CASE(AnUpstreamThatShrankHasNoRoom)
{
    addUpstream("a");
    occupy(*this, "a", 4);
    UpstreamDescription smaller = makeUpstreamDescription("a");
    smaller.capacity.slots = 3;
    listUpstream(smaller);
    BOOST_TEST(place(*this, makeRequest(WorkKind::Urgent)) == "overloaded");
    BOOST_TEST(freeRoom(state, true, now).slots == 0);
}

BOOST_AUTO_TEST_CASE(WhatFitsOnNoUpstreamIsSaidAtOnce)
{
    Resources large { 1000, 256, 0, 8 };
    BOOST_TEST(!neverFits(state, large)); // No upstream is listed yet.
    listUpstream(makeUpstreamDescription("a"));
    BOOST_TEST(!neverFits(state, large));
    BOOST_TEST(neverFits(state, WorkKind::Batch, large)); // One of the 8 slots is urgent headroom.
    large.slots = 9;
    BOOST_TEST(neverFits(state, large));
    unlistUpstream("a");
    BOOST_TEST(!neverFits(state, large));
}

BOOST_AUTO_TEST_SUITE_END()
