#define BOOST_TEST_MODULE crocuslever_hostile
#include <boost/test/unit_test.hpp>

#include "tests/hostile/HostileCrowd.h"
#include "tests/hostile/HostileDaemon.h"

// Each test guards against a daemon that ends, or grows with what hostile clients send, or serves nobody else meanwhile. They
// check nothing that depends on the speed of the machine.

namespace crocuslever::hostile {

namespace {

// The crowds and bounds were fixed on a daemon without budgets, where 13 of these 18 tests failed.
constexpr std::size_t kCrowd = 400;
constexpr std::size_t kReadinessCrowd = 60;
constexpr std::size_t kLegalBodyBytes = 262144;
constexpr std::size_t kMaximumDescriptors = 900;
constexpr std::int64_t kMaximumMemoryKib = 65536;
constexpr std::int64_t kMaximumMemoryOfOneBodyKib = 20480; ///< Bodies are decoded one at a time.
constexpr std::int64_t kMaximumMemoryAtReadinessKib = 20480;
constexpr std::size_t kOnePiece = 1U << 20;
constexpr std::size_t kSmallPiece = 1400;

const char* const kJobPath = "/plan/00000000000000aa";
const char* const kOtherPath = "/no/route/here";

} // namespace

static std::string makeHead(const std::string& path, const std::string& fields)
{
    return "POST " + path + " HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Token key-of-the-team\r\n" + fields + "\r\n";
}

static std::string makeRequest(const std::string& path, const std::string& body)
{
    return makeHead(path, "Content-Length: " + std::to_string(body.size()) + "\r\n") + body;
}

/// A request with a body of this size, without its last bytes.
static std::string makeUnfinishedRequest(const std::string& path, std::size_t bytes)
{
    constexpr std::size_t kMissing = 10;
    return makeHead(path, "Content-Length: " + std::to_string(bytes) + "\r\n") + std::string(bytes - kMissing, ' ');
}

/// The same in chunks, without the last one.
static std::string makeUnfinishedChunks(const std::string& path, std::size_t bytes, std::size_t chunkBytes)
{
    std::string text = makeHead(path, "Transfer-Encoding: chunked\r\n");
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", chunkBytes);
    for (std::size_t n = 0; n + chunkBytes <= bytes; n += chunkBytes)
        text += size + std::string(chunkBytes, ' ') + "\r\n";
    return text;
}

static void checkDaemon(HostileDaemon& daemon, std::int64_t maximumMemoryKib = kMaximumMemoryKib)
{
    daemon.awaitSteadyMemory();
    std::size_t descriptors = daemon.openDescriptors();
    BOOST_CHECK(daemon.acceptsJob());
    BOOST_CHECK(daemon.answersReadiness());
    BOOST_CHECK(daemon.isAlive());
    std::int64_t memory = daemon.peakMemoryKib();
    BOOST_TEST_MESSAGE("peak memory " << memory << " KiB, open descriptors " << descriptors);
    BOOST_CHECK_LE(memory, maximumMemoryKib);
    BOOST_CHECK_LE(descriptors, kMaximumDescriptors);
}

/// The crowd stays connected while the daemon is checked.
static void playBytes(const std::string& bytes, std::size_t pieceBytes)
{
    HostileDaemon daemon;
    HostileCrowd crowd(daemon.callers(), kCrowd);
    crowd.send(bytes, pieceBytes);
    checkDaemon(daemon);
}

BOOST_AUTO_TEST_SUITE(HostileTest)

BOOST_AUTO_TEST_CASE(UnfinishedBodiesInOnePiece) { playBytes(makeUnfinishedRequest(kJobPath, kLegalBodyBytes), kOnePiece); }

BOOST_AUTO_TEST_CASE(UnfinishedBodiesInSmallPieces) { playBytes(makeUnfinishedRequest(kJobPath, kLegalBodyBytes), kSmallPiece); }

BOOST_AUTO_TEST_CASE(UnfinishedBodiesInChunks) { playBytes(makeUnfinishedChunks(kJobPath, kLegalBodyBytes, 1000), kOnePiece); }

BOOST_AUTO_TEST_CASE(UnfinishedBodiesInSmallChunks) { playBytes(makeUnfinishedChunks(kJobPath, kLegalBodyBytes, 16), kSmallPiece); }

BOOST_AUTO_TEST_CASE(UnfinishedBodiesAtAPathWithoutARoute) { playBytes(makeUnfinishedRequest(kOtherPath, kLegalBodyBytes), kOnePiece); }

BOOST_AUTO_TEST_CASE(UnfinishedBodiesAtTheReadinessAddress)
{
    HostileDaemon daemon;
    HostileCrowd crowd(daemon.readiness(), kReadinessCrowd);
    crowd.send(makeUnfinishedRequest("/-/ready", 1000000), kOnePiece);
    checkDaemon(daemon, kMaximumMemoryAtReadinessKib);
}

BOOST_AUTO_TEST_CASE(ConnectionsWithoutARequestAtTheReadinessAddress)
{
    HostileDaemon daemon;
    HostileCrowd crowd(daemon.readiness(), kReadinessCrowd);
    checkDaemon(daemon);
}

BOOST_AUTO_TEST_CASE(BodiesFarOverTheLimit)
{
    constexpr std::size_t kFarTooLarge = 4000000;
    std::string bytes = makeHead(kJobPath, "Content-Length: " + std::to_string(kFarTooLarge) + "\r\n") + std::string(kFarTooLarge, ' ');
    playBytes(bytes, kOnePiece);
}

BOOST_AUTO_TEST_CASE(ChunksFarOverTheLimit) { playBytes(makeUnfinishedChunks(kOtherPath, 1000000, 1000), kOnePiece); }

BOOST_AUTO_TEST_CASE(ManyHeaderFields)
{
    std::string fields;
    while (fields.size() < 15000)
        fields += "a:\r\n";
    playBytes(makeHead(kJobPath, fields + "Content-Length: 1000\r\n"), kOnePiece);
}

BOOST_AUTO_TEST_CASE(HalfSentHeaders)
{
    std::string head = makeHead(kJobPath, "A: " + std::string(15000, 'a') + "\r\n");
    playBytes(head.substr(0, head.size() - 2), kSmallPiece);
}

/// Sends bodies of legal size whose values are that short, one after the other on a few connections.
static void playValues(const std::string& prefix, const std::string& value, const std::string& suffix)
{
    std::string body = prefix;
    while (!value.empty() && body.size() + value.size() + suffix.size() <= kLegalBodyBytes)
        body += value;
    body += suffix;
    HostileDaemon daemon;
    HostileCrowd crowd(daemon.callers(), 8);
    crowd.send(makeRequest(kJobPath, body), kOnePiece);
    checkDaemon(daemon, kMaximumMemoryOfOneBodyKib);
}

BOOST_AUTO_TEST_CASE(ManyShortFields)
{
    std::string fields;
    for (int n = 0; fields.size() + 16 < kLegalBodyBytes; ++n)
        fields += "\"" + std::to_string(n) + "\":1,";
    playValues("{" + fields, "", "\"spec\":\"\"}");
}

BOOST_AUTO_TEST_CASE(ManyEmptyObjects) { playValues("{\"steps\":[", "{},", "{}]}"); }

BOOST_AUTO_TEST_CASE(ManyNestedArrays) { playValues("{\"a\":", "[", ""); }

BOOST_AUTO_TEST_CASE(ManyArraysInUnknownFields) { playValues("{\"a\":[", "[],", "[]]}"); }

BOOST_AUTO_TEST_CASE(PipelinedRequestsWithoutReading)
{
    HostileDaemon daemon;
    HostileCrowd crowd(daemon.callers(), kCrowd);
    crowd.sendRepeatedly(makeRequest(kOtherPath, ""), 1000000);
    checkDaemon(daemon);
}

BOOST_AUTO_TEST_CASE(PipelinedRequestsAtTheReadinessAddress)
{
    HostileDaemon daemon;
    HostileCrowd crowd(daemon.readiness(), kReadinessCrowd);
    crowd.sendRepeatedly("GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n", 1000000);
    checkDaemon(daemon);
}

BOOST_AUTO_TEST_CASE(SlowSendersAndReaders)
{
    HostileDaemon daemon;
    HostileCrowd crowd(daemon.callers(), kCrowd);
    std::string request = makeUnfinishedRequest(kJobPath, kLegalBodyBytes);
    // A byte at a time, then the most that a connection takes, with a few bytes read between.
    for (std::size_t n = 0; n < 100; ++n)
        crowd.send(request.substr(n, 1), 1);
    crowd.readSome(1);
    crowd.send(request.substr(100), kSmallPiece);
    checkDaemon(daemon);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace crocuslever::hostile
