#include "src/callers/CallerServer.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <set>

#include "tests/CallerServerFixture.h"

using namespace crocuslever;
using namespace crocuslever::testing;

BOOST_AUTO_TEST_SUITE(CallerServerTest)

struct BadBytes {
    const char* name;
    std::string bytes;
    int status; ///< 0 if the server closes the connection without an answer.
};

BOOST_AUTO_TEST_CASE(MalformedHttpClosesOnlyItsConnection)
{
    CallerServerSettings settings;
    settings.maximumBodyBytes = 1000;
    settings.maximumHeaderBytes = 1000;
    ServerUnderTest server(settings);
    const std::string chunked = "POST /v1/urgent/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n" + kKeyHeader + "\r\n";
    const BadBytes cases[] = {
        { "no HTTP", "hello\r\n\r\n", 400 },
        { "binary", std::string("\x16\x03\x01\x02\x00\x01\r\n\r\n", 10), 400 },
        { "bad version", "GET /healthz HTTP/9\r\n\r\n", 400 },
        { "bad length", "POST /v1/jobs HTTP/1.1\r\nContent-Length: ten\r\n\r\n", 400 },
        { "length and chunks", "POST /v1/jobs HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400 },
        { "bad chunk", chunked + "zz\r\n", 400 },
        { "large body announced", "POST /v1/jobs HTTP/1.1\r\nContent-Length: 1001\r\n" + kKeyHeader + "\r\n", 413 },
        { "large body in chunks", chunked + "500\r\n" + std::string(1280, 'a') + "\r\n0\r\n\r\n", 413 },
        { "large headers", "GET /healthz HTTP/1.1\r\nX: " + std::string(5000, 'a') + "\r\n\r\n", 431 },
        { "endless target", "GET /" + std::string(5000, 'a'), 431 },
        { "truncated header", "GET /healthz HTT", 0 },
        { "truncated body", "POST /v1/jobs HTTP/1.1\r\nContent-Length: 10\r\n" + kKeyHeader + "\r\n123", 0 },
        { "truncated chunk", chunked + "5\r\nab", 0 },
        { "nothing", "", 0 },
    };
    for (const BadBytes& bad : cases) {
        BOOST_TEST_CONTEXT(bad.name)
        {
            RawClient client(server.port());
            client.send(bad.bytes);
            if (bad.status == 0)
                client.finishSending();
            BOOST_TEST(client.read().status == bad.status);
            BOOST_TEST(client.isEnded());
        }
    }
    RawClient client(server.port());
    client.send(httpRequest("GET /healthz"));
    BOOST_TEST(client.read().status == 200);
}

BOOST_AUTO_TEST_CASE(PipelinedRequestsAreAnsweredInOrder)
{
    ServerUnderTest server;
    RawClient client(server.port());
    client.send(httpRequest("POST /v1/urgent/a", "one") + httpRequest("POST /v1/urgent/b", "two") + httpRequest("GET /healthz"));
    CallerCall first = server.nextCall();
    BOOST_TEST(std::get<UrgentRequest>(first.request).spec.body == "one");
    server.replyDone(first.id, "1");
    CallerCall second = server.nextCall();
    BOOST_TEST(std::get<UrgentRequest>(second.request).spec.body == "two");
    server.replyDone(second.id, "2");
    BOOST_TEST(client.read().body == "1");
    BOOST_TEST(client.read().body == "2");
    BOOST_TEST(client.read().body == "ok\n");
}

BOOST_AUTO_TEST_CASE(RepliesOutOfOrderReachTheirOwnCallers)
{
    ServerUnderTest server;
    RawClient one(server.port());
    one.send(httpRequest("POST /v1/urgent/a", "one"));
    CallerCall first = server.nextCall();
    RawClient two(server.port());
    two.send(httpRequest("POST /v1/urgent/a", "two"));
    CallerCall second = server.nextCall();
    server.replyDone(second.id, "for two");
    server.replyDone(first.id, "for one");
    BOOST_TEST(one.read().body == "for one");
    BOOST_TEST(two.read().body == "for two");
}

// A restarted instance took the answers that peers had sent to its predecessor: calls of the same number.
BOOST_AUTO_TEST_CASE(ProcessesNumberTheirCallsAlike)
{
    std::set<CallId> numbers;
    for (int n = 0; n < 3; ++n) {
        ServerUnderTest server;
        RawClient client(server.port());
        client.send(httpRequest("POST /v1/urgent/a", "one"));
        CallerCall call = server.nextCall();
        numbers.insert(call.id);
        server.replyDone(call.id, "done");
        BOOST_TEST(client.read().body == "done");
    }
    BOOST_TEST(numbers.size() == 3U);
}

BOOST_AUTO_TEST_CASE(LateAndDuplicateRepliesAreDroppedAndCounted)
{
    ServerUnderTest server;
    RawClient client(server.port());
    client.send(httpRequest("POST /v1/urgent/a", "one"));
    CallerCall first = server.nextCall();
    server.replyDone(first.id, "1");
    BOOST_TEST(client.read().body == "1");
    client.send(httpRequest("POST /v1/urgent/a", "two"));
    CallerCall second = server.nextCall();
    server.replyDone(first.id, "late");
    server.replyDone(999, "stray");
    server.replyDone(second.id, "2");
    BOOST_TEST(client.read().body == "2");
    BOOST_TEST(server.counter("caller_replies_dropped_total") == 2);
}

BOOST_AUTO_TEST_CASE(CallerDisconnectIsReported)
{
    ServerUnderTest server;
    RawClient client(server.port());
    client.send(httpRequest("POST /v1/urgent/a", "one"));
    CallerCall call = server.nextCall();
    client.close();
    BOOST_TEST(server.nextGone() == call.id);
    server.replyDone(call.id, "nobody reads this");
    BOOST_TEST(server.counter("caller_replies_dropped_total") == 1);
    BOOST_TEST(server.counter("caller_calls_in_flight") == 0);
}

BOOST_AUTO_TEST_CASE(CallsAboveTheLimitAreRefusedAsNotRun)
{
    CallerServerSettings settings;
    settings.maximumCalls = 1;
    ServerUnderTest server(settings);
    RawClient one(server.port());
    one.send(httpRequest("POST /v1/urgent/a", "one"));
    CallerCall call = server.nextCall();
    RawClient two(server.port());
    two.send(httpRequest("POST /v1/urgent/a", "two"));
    RawAnswer refused = two.read();
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(parse(refused)["outcome"] == "not_run");
    BOOST_TEST(refused.head.find("Retry-After: 1\r\n") != std::string::npos);
    server.replyDone(call.id, "1");
    BOOST_TEST(one.read().status == 200);
    two.send(httpRequest("POST /v1/urgent/a", "two again"));
    server.replyDone(server.nextCall().id, "2");
    BOOST_TEST(two.read().body == "2");
}

BOOST_AUTO_TEST_CASE(ConnectionsAboveTheLimitAreRefusedAsNotRun)
{
    CallerServerSettings settings;
    settings.maximumConnections = 1;
    ServerUnderTest server(settings);
    RawClient one(server.port());
    one.send(httpRequest("GET /healthz"));
    BOOST_TEST(one.read().status == 200);
    RawClient two(server.port());
    RawAnswer refused = two.read();
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(parse(refused)["outcome"] == "not_run");
    BOOST_TEST(two.isEnded());
}

BOOST_AUTO_TEST_CASE(SlowAndIdleConnectionsAreClosed)
{
    CallerServerSettings settings;
    settings.idleTimeout = std::chrono::milliseconds(50);
    settings.readTimeout = std::chrono::milliseconds(50);
    ServerUnderTest server(settings);
    RawClient idle(server.port());
    BOOST_TEST(idle.isEnded());
    RawClient slow(server.port());
    slow.send("GET /healthz HT");
    BOOST_TEST(slow.isEnded());
    RawClient slowBody(server.port());
    slowBody.send("POST /v1/jobs HTTP/1.1\r\nContent-Length: 10\r\n\r\n1");
    BOOST_TEST(slowBody.isEnded());
}

BOOST_AUTO_TEST_CASE(ExpectContinueIsAnswered)
{
    ServerUnderTest server;
    RawClient client(server.port());
    client.send("POST /v1/urgent/a HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 3\r\n" + kKeyHeader + "\r\n");
    BOOST_TEST(client.read().status == 100);
    client.send("abc");
    CallerCall call = server.nextCall();
    BOOST_TEST(std::get<UrgentRequest>(call.request).spec.body == "abc");
    server.replyDone(call.id, "x");
    BOOST_TEST(client.read().body == "x");
}

BOOST_AUTO_TEST_CASE(OperationalPathsNeedNoKey)
{
    ServerUnderTest server;
    RawClient client(server.port());
    for (const char* path : { "/healthz", "/readyz", "/metrics", "/status" }) {
        client.send(httpRequest(std::string("GET ") + path, {}, {}));
        BOOST_TEST(client.read().status == 200, path);
    }
    server.isReady = false;
    client.send(httpRequest("GET /readyz", {}, {}));
    BOOST_TEST(client.read().status == 503);
}

BOOST_AUTO_TEST_CASE(StopFinishesCallsInFlightAndClosesOtherConnections)
{
    ServerUnderTest server;
    RawClient idle(server.port());
    idle.send(httpRequest("GET /healthz"));
    BOOST_TEST(idle.read().status == 200);
    RawClient busy(server.port());
    busy.send(httpRequest("POST /v1/urgent/a", "one"));
    CallerCall call = server.nextCall();
    server.stopAccepting();
    BOOST_TEST(idle.isEnded());
    BOOST_TEST(!server.isDrained());
    server.replyDone(call.id, "1");
    RawAnswer answer = busy.read();
    BOOST_TEST(answer.body == "1");
    BOOST_TEST(answer.head.find("Connection: close\r\n") != std::string::npos);
    BOOST_TEST(busy.isEnded());
    busy.close();
    while (!server.isDrained())
        std::this_thread::yield();
    BOOST_CHECK_THROW(RawClient { server.port() }, boost::system::system_error);
}

BOOST_AUTO_TEST_CASE(ConnectionInTheBacklogAtStopIsStillServed)
{
    ServerUnderTest server;
    std::optional<RawClient> client;
    // Connects on the server's thread, so that the connection is still in the backlog at the stop.
    server.run([&] { client.emplace(server.port()); });
    server.stopAccepting();
    client->send(httpRequest("GET /healthz"));
    BOOST_TEST(client->read().status == 200);
    BOOST_TEST(client->isEnded());
}

BOOST_AUTO_TEST_SUITE_END()
