#include "src/platform/InstanceList.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "src/platform/InstanceListClient.h"
#include "tests/support/FakeInstanceList.h"
#include "tests/support/RunUntil.h"

using namespace crocuslever;
using namespace crocuslever::testing;
using nlohmann::json;

BOOST_AUTO_TEST_SUITE(InstanceListTest)

static json makeGroup(const std::string& id, const std::string& state)
{
    json labels = { { "upstream", id }, { "failure_domain", "kumasi-1" }, { "rack", "r1" }, { "state", state },
        { "milli_cpu", "64000" }, { "memory_mb", "262144" }, { "accelerators", "2" }, { "slots", "8" }, { "connections", "64" } };
    return { { "targets", { "127.0.0.1:21001" } }, { "labels", labels } };
}

static json makeList() { return json::array({ makeGroup("u-01", "live"), makeGroup("u-02", "leaving") }); }

BOOST_AUTO_TEST_CASE(ListIsDecoded)
{
    std::vector<UpstreamDescription> upstreams = decodeInstanceList(makeList().dump()).value().upstreams;
    BOOST_TEST_REQUIRE(upstreams.size() == 2U);
    UpstreamDescription expected { UpstreamId("u-01"), "127.0.0.1:21001", FailureDomainId("kumasi-1"), RackId("r1"), { 64000, 262144, 2, 8 }, 64, false };
    BOOST_TEST((upstreams[0] == expected));
    BOOST_TEST(upstreams[1].leaving);
    BOOST_TEST(decodeInstanceList("[]").value().upstreams.empty());
}

BOOST_AUTO_TEST_CASE(UnknownLabelsAreIgnored)
{
    json list = makeList();
    list[0]["labels"]["__meta_owner"] = "x";
    list[0]["labels"].erase("accelerators");
    BOOST_TEST(decodeInstanceList(list.dump()).value().upstreams[0].capacity.accelerators == 0);
}

struct Malformed {
    const char* pointer;
    json value;
    const char* message; ///< Substring expected in the error's message.
};

BOOST_AUTO_TEST_CASE(MalformedGroupIsReportedWithItsPath)
{
    const std::vector<Malformed> cases {
        { "/0", 3, "[0]: must be an object" },
        { "/0/targets", json::array(), "[0].targets: must hold one address" },
        { "/0/targets", { "a:1", "b:2" }, "[0].targets: must hold one address" },
        { "/0/targets/0", 7, "[0].targets: must hold one address" },
        { "/1/labels", nullptr, "[1].labels: must be an object" },
        { "/1/labels/upstream", "", "[1].labels.upstream: must not be empty" },
        { "/1/labels/upstream", "u-01", "[1].labels.upstream: is listed twice" },
        { "/1/labels/state", "asleep", "[1].labels.state: must be live or leaving" },
        { "/1/labels/slots", "8.5", "[1].labels.slots: must be a whole number" },
        { "/1/labels/slots", "-1", "[1].labels.slots: must be a whole number" },
        { "/1/labels/slots", "99999999999999999999", "[1].labels.slots: must be a whole number" },
        { "/1/labels/slots", 8, "[1].labels.slots: must be a string" },
    };
    for (const Malformed& malformed : cases) {
        json list = makeList();
        list[json::json_pointer(malformed.pointer)] = malformed.value;
        Result<UpstreamListUpdate> result = decodeInstanceList(list.dump());
        BOOST_TEST_REQUIRE(!result.has_value(), malformed.message);
        BOOST_TEST(result.error().message.find(malformed.message) != std::string::npos, result.error().message);
    }
}

BOOST_AUTO_TEST_CASE(InvalidJsonIsRefused)
{
    std::string text = makeList().dump();
    for (std::size_t n = 0; n < text.size(); ++n)
        BOOST_TEST(!decodeInstanceList(text.substr(0, n)).has_value());
    for (const char* garbage : { "{}", "null", "3", "[[]]" })
        BOOST_TEST(!decodeInstanceList(garbage).has_value());
}

struct Fixture {
    Fixture()
        : list(io, "127.0.0.1", 0, Duration(0))
    {
        list.set(makeList().dump());
        settings.url = list.url();
        settings.interval = std::chrono::milliseconds(5);
        settings.timeout = std::chrono::milliseconds(200);
    }

    InstanceListClient& client()
    {
        if (!opened) {
            opened = std::make_unique<InstanceListClient>(
                io, settings, [this](const Event& event) { lists.push_back(std::get<UpstreamListUpdate>(event).upstreams); },
                [this](const Error& error) { errors.push_back(error); });
        }
        return *opened;
    }

    boost::asio::io_context io;
    FakeInstanceList list;
    InstanceListSettings settings;
    std::vector<std::vector<UpstreamDescription>> lists;
    std::vector<Error> errors;
    std::unique_ptr<InstanceListClient> opened;
};

BOOST_FIXTURE_TEST_CASE(ListChangeIsReported, Fixture)
{
    client().start();
    BOOST_TEST_REQUIRE(runUntil(io, [&] { return !lists.empty(); }));
    BOOST_TEST(lists.back().size() == 2U);
    list.set(json::array({ makeGroup("u-03", "live") }).dump());
    BOOST_TEST_REQUIRE(runUntil(io, [&] { return lists.back().size() == 1; }));
    BOOST_TEST(lists.back()[0].id.value() == "u-03");
}

BOOST_FIXTURE_TEST_CASE(MalformedListIsReportedOnlyAsAnError, Fixture)
{
    list.set("[{}]");
    client().start();
    BOOST_TEST_REQUIRE(runUntil(io, [&] { return !errors.empty(); }));
    BOOST_TEST(errors[0].peer == list.endpoint());
    BOOST_TEST(lists.empty());
    list.set(makeList().dump());
    BOOST_TEST_REQUIRE(runUntil(io, [&] { return !lists.empty(); }));
}

BOOST_FIXTURE_TEST_CASE(PollingContinuesAfterATimeout, Fixture)
{
    list.setFrozen(true);
    client().start();
    BOOST_TEST_REQUIRE(runUntil(io, [&] { return errors.size() >= 2; }));
    BOOST_TEST(lists.empty());
    list.setFrozen(false);
    BOOST_TEST_REQUIRE(runUntil(io, [&] { return !lists.empty(); }));
}

BOOST_FIXTURE_TEST_CASE(ErrorStatusIsReported, Fixture)
{
    settings.url = "http://" + list.endpoint() + "/nothing";
    client().start();
    BOOST_TEST_REQUIRE(runUntil(io, [&] { return !errors.empty(); }));
    BOOST_TEST(errors[0].message == "HTTP status 404");
}

BOOST_FIXTURE_TEST_CASE(NothingIsReportedAfterAStop, Fixture)
{
    client().start();
    client().stop();
    for (int i = 0; i < 100; ++i) {
        io.restart();
        io.poll();
    }
    BOOST_TEST(lists.empty());
    BOOST_TEST(errors.empty());
}

BOOST_AUTO_TEST_CASE(ReplacementBecomesVisibleAfterTheLag)
{
    boost::asio::io_context io;
    FakeInstanceList list(io, "127.0.0.1", 0, std::chrono::seconds(3));
    TimePoint start { std::chrono::seconds(1000) };
    list.set("old");
    list.replaceAfterLag("new", start);
    BOOST_TEST(list.visible(start + std::chrono::milliseconds(2999)) == "old");
    BOOST_TEST(list.visible(start + std::chrono::seconds(3)) == "new");
}

BOOST_AUTO_TEST_SUITE_END()
