#include "platform/PlatformExplain.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <nlohmann/json.hpp>

namespace crocuslever::platform {

BOOST_AUTO_TEST_SUITE(PlatformExplainTest)

using Json = nlohmann::json;

static constexpr int kOk = 200;
static constexpr int kBadRequest = 400;
static constexpr int kNotOwner = 409;

static std::string question(const std::string& job) { return Json { { "host", "h" }, { "path", "/p/" }, { "job", job } }.dump(); }

/// The core of an instance; with a configuration, that of the owner.
struct Instance {
    Instance()
        : state({}, {})
    {
        now.steady += std::chrono::seconds(100);
    }

    void becomeOwner()
    {
        auto policy = std::make_shared<cell::FleetPolicy>();
        cell::Route route;
        route.name = "route";
        route.host = "h";
        route.prefix = "/p/";
        route.isPublic = true;
        policy->routes = { route };
        indexRoutes(*policy);
        state.configuration.value = policy;
        state.configuration.confirmation.revision = 1;
        state.configuration.confirmation.at = now.steady;
        state.ownership.phase = cell::OwnerPhase::Deciding;
    }

    ServerResponse ask(const std::string& body) { return answerExplainRequest(state, body, now); }

    cell::CellState state;
    Instant now;
};

BOOST_AUTO_TEST_CASE(AnotherInstanceNamesTheOwner)
{
    Instance instance;
    instance.state.membership.ownerInstance = "entry-2";
    instance.state.membership.ownerAddress = "10.0.0.2:7000";
    ServerResponse response = instance.ask(question(R"({"steps":[{"count":1}]})"));
    BOOST_TEST(response.status == kNotOwner);
    BOOST_TEST(Json::parse(response.body)["owner"] == "entry-2");
    BOOST_TEST(Json::parse(response.body)["owner_address"] == "10.0.0.2:7000");
}

BOOST_AUTO_TEST_CASE(OwnerExplains)
{
    Instance instance;
    instance.becomeOwner();
    ServerResponse response = instance.ask(question(R"({"steps":[{"count":3,"cpu":500}]})"));
    BOOST_TEST(response.status == kOk);
    Json answer = Json::parse(response.body);
    BOOST_TEST(answer["decision"] == "accepted");
    BOOST_TEST(answer["route"] == "route");
    BOOST_TEST(answer["steps"][0]["tasks"] == 3);
    BOOST_TEST(answer["expected_wait_ms"].is_null());
}

// A job that can't be read is refused by the cell with 400, which is an answer to the question.
BOOST_AUTO_TEST_CASE(FaultOfTheJobIsExplained)
{
    Instance instance;
    instance.becomeOwner();
    ServerResponse response = instance.ask(question("{}"));
    BOOST_TEST(response.status == kOk);
    BOOST_TEST(Json::parse(response.body)["decision"] == "malformed");
    BOOST_TEST(Json::parse(response.body)["reason"] == "the job has no steps");
}

BOOST_AUTO_TEST_CASE(OtherBodiesAreRefused)
{
    Instance instance;
    instance.becomeOwner();
    // Deep nesting must not exhaust the stack.
    for (const std::string& body : { std::string(), std::string("[]"), std::string("{}"), std::string(R"({"job":{"steps":[]}})"), std::string(500000, '[') })
        BOOST_TEST(instance.ask(body).status == kBadRequest);
    std::string nested = R"({"job":)" + std::string(200000, '[') + std::string(200000, ']') + "}";
    BOOST_TEST(instance.ask(nested).status == kBadRequest);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace crocuslever::platform
