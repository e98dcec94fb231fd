#include "tests/support/StoreModel.h"

#include <boost/test/unit_test.hpp>

using namespace crocuslever;
using namespace crocuslever::testing;

BOOST_AUTO_TEST_SUITE(StoreModelTest)

static const TimePoint kStart { std::chrono::seconds(100) };

static ModelOperation put(const std::string& key, const std::string& value, LeaseId lease = 0)
{
    return { ModelOperationKind::Put, key, "", value, lease };
}

static ModelOperation erase(const std::string& key)
{
    return { ModelOperationKind::Delete, key, "", "" };
}

static ModelOperation rangeOf(const std::string& key, const std::string& end, std::size_t limit = 0, StoreRevision revision = 0)
{
    return { ModelOperationKind::Range, key, end, "", 0, limit, revision };
}

static StoreRevision commit(StoreModel& model, std::vector<ModelOperation> operations)
{
    return model.transact({ {}, std::move(operations), {} }).value().revision;
}

static std::string valueOf(const StoreModel& model, const std::string& key, StoreRevision revision = 0)
{
    std::vector<StoreEntry> entries = model.range(rangeOf(key, "", 0, revision)).value().entries;
    return entries.empty() ? "none" : entries[0].value;
}

BOOST_AUTO_TEST_CASE(TransactionIsOneRevision)
{
    StoreModel model;
    StoreRevision revision = commit(model, { put("a", "1"), put("b", "2") });
    BOOST_TEST(revision == 2);
    std::vector<StoreEntry> entries = model.range(rangeOf("a", "c")).value().entries;
    BOOST_TEST_REQUIRE(entries.size() == 2U);
    BOOST_TEST(entries[0].modRevision == 2);
    BOOST_TEST(entries[1].modRevision == 2);
}

BOOST_AUTO_TEST_CASE(FailedCompareRunsFailureOperationsOnly)
{
    StoreModel model;
    commit(model, { put("a", "1") });
    ModelTransaction transaction;
    transaction.compares = { { "a", std::nullopt, 2 }, { "b", std::nullopt, 7 } };
    transaction.success = { put("a", "2") };
    transaction.failure = { rangeOf("a", "") };
    ModelTransactionResult result = model.transact(transaction).value();
    BOOST_TEST(!result.succeeded);
    BOOST_TEST(result.results[0].entries[0].value == "1");
    BOOST_TEST(model.revision() == 2);
}

BOOST_AUTO_TEST_CASE(RevisionZeroMatchesMissingKey)
{
    StoreModel model;
    ModelTransaction create { { { "a", std::nullopt, 0 } }, { put("a", "1") }, {} };
    BOOST_TEST(model.transact(create).value().succeeded);
    BOOST_TEST(!model.transact(create).value().succeeded);
    commit(model, { erase("a") });
    BOOST_TEST(model.transact(create).value().succeeded);
}

BOOST_AUTO_TEST_CASE(ValuesAreCompared)
{
    StoreModel model;
    commit(model, { put("a", "1") });
    auto holds = [&](const std::string& key, const std::string& value) {
        return model.transact({ { { key, value, 0 } }, {}, {} }).value().succeeded;
    };
    BOOST_TEST(holds("a", "1"));
    BOOST_TEST(!holds("a", "2"));
    BOOST_TEST(!holds("b", ""));
}

BOOST_AUTO_TEST_CASE(ReadAtOlderRevisionSeesOlderValue)
{
    StoreModel model;
    StoreRevision first = commit(model, { put("a", "1"), put("b", "1") });
    commit(model, { put("a", "2"), erase("b") });
    BOOST_TEST(valueOf(model, "a", first) == "1");
    BOOST_TEST(valueOf(model, "b", first) == "1");
    BOOST_TEST(valueOf(model, "a") == "2");
    BOOST_TEST(valueOf(model, "b") == "none");
    BOOST_TEST(!model.range(rangeOf("a", "", 0, 99)).has_value());
}

BOOST_AUTO_TEST_CASE(LimitedRangeReportsMore)
{
    StoreModel model;
    commit(model, { put("a", "1"), put("b", "2"), put("c", "3") });
    ModelOperationResult result = model.range(rangeOf("a", "z", 2)).value();
    BOOST_TEST(result.entries.size() == 2U);
    BOOST_TEST(result.more);
    BOOST_TEST(!model.range(rangeOf("a", "z", 3)).value().more);
}

BOOST_AUTO_TEST_CASE(ExpiredLeaseDeletesItsKeys)
{
    StoreModel model;
    LeaseId lease = model.grantLease(4, kStart);
    commit(model, { put("a", "1", lease), put("b", "1") });
    BOOST_TEST(model.keepLeaseAlive(lease, kStart + std::chrono::seconds(3)) == 4);
    BOOST_TEST(model.expireLeases(kStart + std::chrono::milliseconds(6999)).empty());
    BOOST_TEST(valueOf(model, "a") == "1");
    BOOST_TEST(model.expireLeases(kStart + std::chrono::seconds(7)).size() == 1U);
    BOOST_TEST(valueOf(model, "a") == "none");
    BOOST_TEST(valueOf(model, "b") == "1");
    BOOST_TEST(model.keepLeaseAlive(lease, kStart + std::chrono::seconds(7)) == 0);
}

BOOST_AUTO_TEST_CASE(KeyOverwrittenWithoutLeaseSurvivesRevoke)
{
    StoreModel model;
    LeaseId lease = model.grantLease(4, kStart);
    commit(model, { put("a", "1", lease) });
    commit(model, { put("a", "2") });
    BOOST_TEST(model.revokeLease(lease));
    BOOST_TEST(!model.revokeLease(lease));
    BOOST_TEST(valueOf(model, "a") == "2");
}

BOOST_AUTO_TEST_CASE(InvalidTransactionChangesNothing)
{
    StoreModel model;
    BOOST_TEST(!model.transact({ {}, { put("a", "1"), put("a", "2") }, {} }).has_value());
    BOOST_TEST(!model.transact({ {}, { put("a", "1"), put("b", "2", 77) }, {} }).has_value());
    std::vector<ModelOperation> many(129, put("", ""));
    for (std::size_t i = 0; i < many.size(); ++i)
        many[i].key = "k" + std::to_string(i);
    BOOST_TEST(!model.transact({ {}, many, {} }).has_value());
    BOOST_TEST(model.revision() == 1);
}

BOOST_AUTO_TEST_CASE(ChangesAreOrderedFromGivenRevision)
{
    StoreModel model;
    commit(model, { put("a", "1") });
    StoreRevision second = commit(model, { put("a", "2"), put("x", "1") });
    commit(model, { erase("a") });
    std::vector<ModelChange> changes = model.changesSince(second, "a", "b");
    BOOST_TEST_REQUIRE(changes.size() == 2U);
    BOOST_TEST(changes[0].entry.value == "2");
    BOOST_TEST(changes[1].deleted);
    BOOST_TEST(changes[1].entry.modRevision == second + 1);
}

BOOST_AUTO_TEST_CASE(CompactionKeepsVersionsStillReadable)
{
    StoreModel model;
    commit(model, { put("a", "1"), put("b", "1") });
    StoreRevision second = commit(model, { put("a", "2") });
    StoreRevision third = commit(model, { put("a", "3") });
    model.compact(second);
    BOOST_TEST(valueOf(model, "a", second) == "2");
    BOOST_TEST(valueOf(model, "b", second) == "1");
    BOOST_TEST(!model.range(rangeOf("a", "", 0, second - 1)).has_value());
    BOOST_TEST(model.changesSince(third, "a", "b").size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
