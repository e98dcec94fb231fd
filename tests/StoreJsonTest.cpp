#include "src/store/StoreJson.h"

#include <boost/test/unit_test.hpp>

#include "src/codec/Base64.h"

using namespace crocuslever;

BOOST_AUTO_TEST_SUITE(StoreJsonTest)

BOOST_AUTO_TEST_CASE(Base64RoundTripsEveryLengthAndByte)
{
    std::string bytes;
    for (int i = 0; i < 600; ++i) {
        BOOST_TEST(decodeBase64(encodeBase64(bytes)).value() == bytes);
        bytes += static_cast<char>(i);
    }
    BOOST_TEST(encodeBase64("foob") == "Zm9vYg==");
}

BOOST_AUTO_TEST_CASE(InvalidBase64IsRefused)
{
    for (const char* text : { "a", "ab", "abc", "abc\n", "a=bc", "====", "ab=c", "ab c", "abcd=", " abc", "\xff\xff\xff\xff" })
        BOOST_TEST(!decodeBase64(text).has_value(), text);
}

BOOST_AUTO_TEST_CASE(TheEndOfARangeIsTheNextPrefix)
{
    BOOST_TEST(rangeEndOf("/a/") == "/a0");
    BOOST_TEST(rangeEndOf("a\xff") == "b");
    BOOST_TEST(rangeEndOf("\xff\xff") == std::string(1, '\0'));
    BOOST_TEST(rangeEndOf("") == std::string(1, '\0'));
}

BOOST_AUTO_TEST_CASE(TransactionAnswerAcceptsNumbersAndStrings)
{
    BOOST_TEST((decodeTransaction(R"({"header":{"revision":"7"},"succeeded":true})").value().outcome == StoreOutcome::Committed));
    BOOST_TEST(decodeTransaction(R"({"header":{"revision":7}})").value().revision == 7);
    BOOST_TEST((decodeTransaction(R"({"header":{"revision":"7"}})").value().outcome == StoreOutcome::Conflict));
}

BOOST_AUTO_TEST_CASE(MalformedTransactionAnswersAreErrors)
{
    for (const char* text : { "", "{}", "[]", "null", "true", R"({"succeeded":true})", R"({"header":{"revision":"x"},"succeeded":true})",
             R"({"header":{"revision":"99999999999999999999"}})", R"({"header":[],"succeeded":true})", R"({"header":{"revision":"7"},"succeeded":"true"})",
             R"({"header":{"revision":"7"},"responses":[{"response_range":{"kvs":[{"key":"!"}]}}]})",
             R"({"header":{"revision":"7"},"responses":[{"response_range":{"kvs":[3]}}]})" })
        BOOST_TEST(!decodeTransaction(text).has_value(), text);
}

BOOST_AUTO_TEST_CASE(MalformedRangeAnswersAreErrors)
{
    for (const char* text : { "", "{}", "7", R"({"header":{"revision":"7"},"more":true})", R"({"header":{"revision":"7"},"kvs":[{"key":"","value":"YQ=="}]})",
             R"({"header":{"revision":"7"},"kvs":[{"key":"YQ==","value":7}]})", R"({"header":{"revision":"7"},"kvs":7})" })
        BOOST_TEST(!decodeRange(text).has_value(), text);
    BOOST_TEST(decodeRange(R"({"header":{"revision":"7"}})").value().entries.empty());
}

BOOST_AUTO_TEST_CASE(LeaseAnswerIsReadWithAndWithoutWrapper)
{
    BOOST_TEST(decodeLease(R"({"ID":"5","TTL":"4"})").value().ttlSeconds == 4);
    BOOST_TEST(decodeLease(R"({"result":{"ID":"5","TTL":"4"}})").value().lease == 5);
    BOOST_TEST(decodeLease(R"({"result":{"ID":"5"}})").value().ttlSeconds == 0);
    for (const char* text : { "", "{}", "[]", R"({"TTL":"4"})", R"({"ID":{}})", R"({"ID":"5","TTL":"soon"})" })
        BOOST_TEST(!decodeLease(text).has_value(), text);
    BOOST_TEST(isLeaseNotFound(R"({"error":"x","code":5})"));
    BOOST_TEST(!isLeaseNotFound(R"({"error":"x","code":14})"));
    BOOST_TEST(!isLeaseNotFound("not found"));
}

BOOST_AUTO_TEST_CASE(ChangesOfOneKeyInOneAnswerStaySeparate)
{
    std::string line = R"({"result":{"header":{"revision":"9"},"events":[)"
                       R"({"kv":{"key":"YQ==","value":"MQ==","mod_revision":"7"}},)"
                       R"({"type":"DELETE","kv":{"key":"YQ==","mod_revision":"8"}},)"
                       R"({"type":"PUT","kv":{"key":"YQ==","mod_revision":"9"}}]}})";
    std::vector<StoreWatchEvents> events = decodeWatch(line).value().events;
    BOOST_TEST_REQUIRE(events.size() == 3U);
    BOOST_TEST(events[0].puts[0].value == "1");
    BOOST_TEST(events[1].deletes[0] == "a");
    BOOST_TEST(events[2].revision == 9);
}

BOOST_AUTO_TEST_CASE(MalformedWatchLinesAreErrors)
{
    for (const char* text : { "", "{}", R"({"error":{"code":14}})", R"({"result":{}})", R"({"result":7})",
             R"({"result":{"header":{"revision":"9"},"events":[{}]}})", R"({"result":{"header":{"revision":"9"},"events":[7]}})" })
        BOOST_TEST(!decodeWatch(text).has_value(), text);
}

BOOST_AUTO_TEST_SUITE_END()
