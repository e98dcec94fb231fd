#include <boost/test/unit_test.hpp>

#include "platform/PlatformDecode.h"
#include "platform/PlatformSettings.h"

namespace crocuslever::platform {

BOOST_AUTO_TEST_SUITE(PlatformDecodeTest)

BOOST_AUTO_TEST_CASE(DecodesJob)
{
    Result<cell::JobSpec> spec = decodeJobSpec(R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem-mb":256,"estimate-ms":900,"affinity":"r1-3"},)"
                                               R"({"count":20,"cpu":2000,"mem-mb":1024,"estimate-ms":7000,"after":[0],"supports-checkpoint":true,"gang":true}],"max-runs":2,"interval-ms":5})");
    BOOST_REQUIRE(spec.has_value());
    BOOST_CHECK_EQUAL(spec.value().payload, "text");
    BOOST_REQUIRE_EQUAL(spec.value().steps.size(), 2U);
    BOOST_CHECK_EQUAL(spec.value().steps[0].dataRack, "r1-3");
    BOOST_CHECK(!spec.value().steps[0].gang);
    BOOST_CHECK(spec.value().steps[1].gang && spec.value().steps[1].checkpoints);
    BOOST_CHECK(spec.value().steps[1].after == std::vector<int> { 0 });
    BOOST_CHECK(spec.value().steps[1].estimate == std::chrono::seconds(7));
    BOOST_CHECK_EQUAL(spec.value().occurrences, 2);
}

/// Guards against a filter that drops members which count, or keeps those of unknown ones.
BOOST_AUTO_TEST_CASE(IgnoresUnknownMembersOfJobs)
{
    Result<cell::JobSpec> spec = decodeJobSpec(R"({"x":{"steps":[{"count":9}],"a":[[[1]]]},"count":3,"spec":"text","steps":[{"y":[1,{"count":7}],"count":2,"after":[],"spec":"no"},)"
                                               R"({"count":1,"after":[0],"image":"i","z":{}}],"max-runs":3})");
    BOOST_REQUIRE(spec.has_value());
    BOOST_CHECK_EQUAL(spec.value().payload, "text");
    BOOST_REQUIRE_EQUAL(spec.value().steps.size(), 2U);
    BOOST_CHECK_EQUAL(spec.value().steps[0].count, 2);
    BOOST_CHECK(spec.value().steps[1].after == std::vector<int> { 0 });
    BOOST_CHECK_EQUAL(spec.value().steps[1].image, "i");
    BOOST_CHECK_EQUAL(spec.value().occurrences, 3);
    // Values of unknown members count as well for whether the body is JSON.
    BOOST_CHECK(decodeJobSpec(R"({"x":[1,,2],"steps":[{"count":1}]})").has_error());
}

BOOST_AUTO_TEST_CASE(RejectsInvalidJobs)
{
    for (const char* body : { "", "[]", "nonsense", "{}", R"({"steps":[]})", R"({"steps":[{"cpu":1}]})", R"({"steps":[{"count":-1}]})", R"({"steps":[{"count":1,"after":[0]}]})", R"({"steps":[{"count":1e300}]})", R"({"steps":7})" })
        BOOST_CHECK_MESSAGE(decodeJobSpec(body).has_error(), body);
}

BOOST_AUTO_TEST_CASE(DecodesConfiguration)
{
    Result<cell::FleetPolicy> policy = decodePolicy(R"({"version":7,"routes":[{"name":"r","hostname":"h","prefix":"/p/","target-duration-ms":1000,"priority":1,"service":"s","attempts":4,"stretch":2.2,"advice":{"decide-ms":500.0,"period-ms":7.1,"valid-ms":2000},"public":false}],)"
                                                    R"("services":[{"name":"s","enforces-capacity":true}],"tenants":[{"name":"t","api-keys":["k1","k2"],"weight":32,"cap":{"cpu":10,"mem-mb":20,"gpu":0}}]})");
    BOOST_REQUIRE(policy.has_value());
    BOOST_CHECK_EQUAL(policy.value().version, 7);
    const cell::Route* route = findRoute(policy.value(), "h", "/p/x");
    BOOST_REQUIRE(route);
    BOOST_CHECK(route->advice->perUpstream == Duration(7100));
    BOOST_CHECK(findRoute(policy.value(), "h", "/q") == nullptr);
    BOOST_REQUIRE(findTeamOfKey(policy.value(), "k2"));
    BOOST_CHECK_EQUAL(findTeamOfKey(policy.value(), "k2")->limit.milliCpu, 10);
    BOOST_CHECK(findTeamOfKey(policy.value(), "k3") == nullptr);
    BOOST_CHECK(decodePolicy("{\"routes\":[]}").has_error());
}

BOOST_AUTO_TEST_CASE(RejectsForeignDirectoryEntries)
{
    std::string good = R"({"service":"s","address":"10.0.0.1:1","zone":"z","version":"v1","slots":8,"state":"ready","cold-left-ms":0,"capacity":{"cpu":16000,"mem-mb":32768,"gpu":0},"labels":["a","r1-3"],"clock-ms":1,"seq":4,"born":99})";
    std::optional<cell::DirectoryEntry> entry = decodeDirectoryEntry("i-1", good);
    BOOST_REQUIRE(entry.has_value());
    BOOST_CHECK_EQUAL(entry->rack, "r1-3");
    BOOST_CHECK_EQUAL(entry->bornMs, 99);
    BOOST_CHECK_EQUAL(entry->capacity.milliCpu, 16000);
    for (const char* text : { "", "\xff\xfe", "[]", R"({"service":"s"})", R"({"service":"s","address":"a","zone":"z","state":"melting","capacity":{"cpu":1},"seq":1})", R"({"service":4,"address":"a","zone":"z","state":"ready","capacity":{"cpu":1},"seq":1})", R"({"service":"s","address":"a","zone":"z","state":"ready","capacity":7,"seq":1})" })
        BOOST_CHECK_MESSAGE(!decodeDirectoryEntry("i-1", text), text);
}

BOOST_AUTO_TEST_CASE(DecodesRunLists)
{
    cell::PollResult result;
    BOOST_REQUIRE(decodeRunLists(R"({"clock-ms":482113,"born":5,"num-running":[["5c0e7a21d94b36f8.0.1.17",2,"c",41,7]],"ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})", result));
    BOOST_CHECK_EQUAL(result.clockMs, 482113);
    BOOST_REQUIRE_EQUAL(result.running.size(), 1U);
    BOOST_CHECK_EQUAL(result.running[0].percent, 41);
    BOOST_CHECK_EQUAL(result.running[0].gauge, 7);
    BOOST_REQUIRE_EQUAL(result.ended.size(), 1U);
    BOOST_CHECK(result.ended[0].how == cell::RunEnd::Done);
    for (const char* body : { "", "{}", R"({"clock-ms":1,"ended":[[1,"t",1,"melted",""]]})", R"({"clock-ms":1,"num-running":[7]})" })
        BOOST_CHECK_MESSAGE(!decodeRunLists(body, result), body);
}

static std::string makeEntry(const std::string& address, const std::string& cpu, const std::string& born, const std::string& more = "")
{
    return R"({"service":"s","address":")" + address + R"(","zone":"z","state":"ready","seq":4,"capacity":{"cpu":)" + cpu + R"(,"mem-mb":1,"gpu":0},"labels":["a"],"born":)" + born + more + "}";
}

static const std::string kAddress = "10.0.0.9:8080";

// An entry of another writer must name no upstream, and must not end the process.
BOOST_AUTO_TEST_CASE(OddDirectoryEntryIsTakenForAnUpstream)
{
    BOOST_REQUIRE(decodeDirectoryEntry("u", makeEntry(kAddress, "64000", "5")));
    for (const char* address : { "10.0.0.9:0", "10.0.0.9:65536", "10.0.0.9:4294975376", "10.0.0.9:99999999999999999999", "10.0.0.9:-1", "10.0.0.9:80x", "10.0.0.9:", "10.0.0.9", ":8080", "host:8080", "" })
        BOOST_CHECK_MESSAGE(!decodeDirectoryEntry("u", makeEntry(address, "64000", "5")), address);
    for (const char* cpu : { "1e300", "-1e300", "1e400", "-1", "123456789012345678901234567890", "9223372036854775807", "1e15" })
        BOOST_CHECK_MESSAGE(!decodeDirectoryEntry("u", makeEntry(kAddress, cpu, "5")), cpu);
    for (const char* born : { "1e300", "-1e300", "123456789012345678901234567890", "-5", "9223372036854775808" })
        BOOST_CHECK_MESSAGE(!decodeDirectoryEntry("u", makeEntry(kAddress, "64000", born)), born);
    std::optional<cell::DirectoryEntry> late = decodeDirectoryEntry("u", makeEntry(kAddress, "64000", "5", R"(,"remaining-ms":1e300)"));
    BOOST_CHECK(!late || late->remaining < std::chrono::hours(24 * 366));
}

// Nested so deeply that a recursive parser, copy or destructor would use up the stack.
BOOST_AUTO_TEST_CASE(DeeplyNestedEntryEndsTheProcess)
{
    constexpr std::size_t kDepth = 500000;
    std::string nested = std::string(kDepth, '[') + std::string(kDepth, ']');
    std::string objects;
    for (std::size_t n = 0; n < kDepth / 5; ++n)
        objects += "{\"a\":";
    objects += "1" + std::string(kDepth / 5, '}');
    for (const std::string& odd : { nested, objects, std::string(kDepth, '['), "[" + nested }) {
        BOOST_CHECK(!decodeDirectoryEntry("u", odd));
        decodeDirectoryEntry("u", makeEntry(kAddress, "64000", "5", ",\"x\":" + odd));
        decodeDirectoryEntry("u", makeEntry(kAddress, odd, "5"));
        cell::PollResult result;
        decodeRunLists(odd, result);
        decodeRunLists("{\"clock-ms\":1,\"num-running\":" + odd + "}", result);
        BOOST_CHECK(decodeJobSpec("{\"steps\":" + odd + "}").has_error());
        BOOST_CHECK(decodePolicy(odd).has_error());
        (void)decodeWave("{\"machines\":" + odd + "}");
    }
}

// Numbers outside the range of their type wrapped to valid ones.
BOOST_AUTO_TEST_CASE(NumberTooLargeWrapsToAValidOne)
{
    BOOST_CHECK(decodeJobSpec(R"({"steps":[{"count":4294967297}]})").has_error());
    BOOST_CHECK(decodeJobSpec(R"({"steps":[{"count":1},{"count":1,"after":[4294967296]}]})").has_error());
    Result<cell::JobSpec> job = decodeJobSpec(R"({"steps":[{"count":1,"estimate-ms":1e300,"cpu":1e300}]})");
    BOOST_REQUIRE(job.has_value());
    BOOST_CHECK(job.value().steps[0].estimate > Duration(0));
    BOOST_CHECK(job.value().steps[0].each.milliCpu > 0);
    Result<cell::FleetPolicy> policy = decodePolicy(R"({"version":1,"routes":[{"name":"r","attempts":4294967296,"priority":4294967295,"target-duration-ms":1e300}]})");
    BOOST_REQUIRE(policy.has_value());
    BOOST_CHECK_GT(policy.value().routes[0].attempts, 1);
    BOOST_CHECK_GT(policy.value().routes[0].priority, 0);
    BOOST_CHECK(policy.value().routes[0].targetDuration > Duration(0));
    cell::PollResult result;
    BOOST_CHECK(!decodeRunLists(R"({"clock-ms":1,"num-running":[["t",4294967298,"",1,1]]})", result));
    BOOST_CHECK(!decodeRunLists(R"({"clock-ms":1,"ended":[[1e300,"t",1,"done",""]]})", result));
}

BOOST_AUTO_TEST_CASE(ReportsEverySettingsFault)
{
    std::string good = "instance: a\nfailure_domain: d\nlisten:\n  callers: '1.2.3.4:1'\n  readiness: '1.2.3.4:2'\npeers:\n  listen: '1.2.3.4:3'\n  seeds: []\nstore: '1.2.3.4:4'\nstop:\n  grace: 6s\n";
    Result<PlatformSettings> settings = parsePlatformSettings(good, "file");
    BOOST_REQUIRE(settings.has_value());
    BOOST_CHECK(settings.value().cell.stopGrace == std::chrono::milliseconds(4800));
    Result<PlatformSettings> bad = parsePlatformSettings("instance: a\nstop:\n  grace: often\nstorr: x\n", "file");
    BOOST_REQUIRE(bad.has_error());
    for (const char* key : { "failure_domain", "grace", "storr", "store" })
        BOOST_CHECK_MESSAGE(bad.error().message.find(key) != std::string::npos, key);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace crocuslever::platform
