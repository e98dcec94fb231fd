// The commands of crocusctl that submitters use, and explain-placement.

#include "tests/ControlFixture.h"
#include "tests/support/FakeHttpServer.h"

using namespace crocuslever;
using namespace crocuslever::testing;

BOOST_AUTO_TEST_SUITE(JobCommandsTest)

struct JobFixture : ControlFixture {
    JobFixture()
        : entry(io, "127.0.0.1", 0)
    {
    }

    void answer(const std::string& method, const std::string& path, int status, const std::string& body)
    {
        entry.route(method, path, [this, status, body](const ExchangePtr& exchange) {
            lastBody = exchange->request().body;
            if (remainingDrops-- > 0)
                exchange->drop();
            else
                exchange->reply(status, body);
        });
    }

    ExitCode runJob(const std::string& command)
    {
        Arguments arguments;
        arguments.command = command;
        arguments.operands = { "abc" };
        arguments.entries = { entry.endpoint() };
        arguments.key = "archive-1.secret";
        arguments.id = "plan-1";
        arguments.service = "refit";
        arguments.kind = "batch";
        arguments.body = "collar 9";
        return run(arguments);
    }

    FakeHttpServer entry;
    std::string lastBody;
    int remainingDrops { 0 };
};

BOOST_FIXTURE_TEST_CASE(SubmitIsRetriedAfterLostReply, JobFixture)
{
    answer("POST", "/v1/jobs", 202, R"({"job":"abc","outcome":"accepted","state":"queued"})");
    remainingDrops = 1;
    BOOST_TEST(runJob("submit") == ExitOk);
    BOOST_TEST(out.str() == "job: abc\noutcome: accepted\nstate: queued\n");
    nlohmann::json sent = nlohmann::json::parse(lastBody);
    BOOST_TEST(sent["id"] == "plan-1");
    BOOST_TEST(sent["body_base64"] == "Y29sbGFyIDk=");
}

BOOST_FIXTURE_TEST_CASE(UnansweredSubmitIsReportedAsUnknown, JobFixture)
{
    answer("POST", "/v1/jobs", 202, "{}");
    remainingDrops = 1000;
    BOOST_TEST(runJob("submit") == ExitUnknown);
    BOOST_TEST(err.str().find("may have taken effect") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(RefusalShowsItsReason, JobFixture)
{
    answer("POST", "/v1/jobs", 429, R"({"outcome":"not_run","reason":"queue_full","message":"full","job":"","retry_after_ms":1000})");
    BOOST_TEST(runJob("submit") == ExitRefused);
    BOOST_TEST(err.str().find("reason: queue_full") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(ResultIsPrintedByteForByte, JobFixture)
{
    std::string bytes("a\0b\n", 4);
    answer("GET", "/v1/jobs/abc/result", 200, bytes);
    answer("GET", "/v1/jobs/abc", 200, R"({"job":"abc","state":"failed"})");
    BOOST_TEST(runJob("result") == ExitRefused);
    BOOST_TEST((out.str() == bytes));
}

BOOST_FIXTURE_TEST_CASE(UnknownOutcomeHasItsOwnExitCode, JobFixture)
{
    answer("GET", "/v1/jobs/abc/result", 504, R"({"job":"abc","state":"outcome_unknown"})");
    BOOST_TEST(runJob("result") == ExitUnknown);
}

// Explanations

struct ExplainFixture : JobFixture {
    ExitCode explain(const std::string& specFile)
    {
        Arguments arguments;
        arguments.command = "explain-placement";
        arguments.instance = entry.endpoint();
        arguments.specFile = specFile;
        arguments.host = "h";
        arguments.path = "/p/";
        arguments.key = "k";
        return run(arguments);
    }

    TemporaryFile spec { R"({"steps":[{"count":1}]})" };
};

BOOST_FIXTURE_TEST_CASE(ExplanationIsPrinted, ExplainFixture)
{
    answer("POST", "/explain-placement", 200, R"({"decision":"accepted","reason":"","route":"r","team":"t","priority":1,"expected_wait_ms":null,"jobs_waiting":4,)"
                                              R"("steps":[{"tasks":1,"within_limit":1,"upstreams":9,"fit_now":2,"left_out":{"draining":7},"choices":[{"upstream":"u4","domain":"d1","fits":3}]}]})");
    BOOST_TEST(explain(spec.path) == ExitOk);
    nlohmann::json sent = nlohmann::json::parse(lastBody);
    BOOST_TEST(sent["job"] == R"({"steps":[{"count":1}]})");
    BOOST_TEST(sent["key"] == "k");
    for (const char* part : { "accepted\n", "route r, priority 1, team t", "not known", "4 jobs wait", "of 9 upstreams 2 have room", "left out, draining: 7", "choice: u4 (d1), fits 3" })
        BOOST_TEST(out.str().find(part) != std::string::npos, part << " is missing in " << out.str());
}

BOOST_FIXTURE_TEST_CASE(ExplainedRefusalHasItsExitCode, ExplainFixture)
{
    answer("POST", "/explain-placement", 200, R"({"decision":"overloaded","reason":"full"})");
    BOOST_TEST(explain(spec.path) == ExitRefused);
    BOOST_TEST(out.str() == "overloaded: full\n");
}

BOOST_FIXTURE_TEST_CASE(OwnerToAskIsNamed, ExplainFixture)
{
    answer("POST", "/explain-placement", 409, R"({"owner":"entry-2","owner_address":"10.0.0.2:7000"})");
    BOOST_TEST(explain(spec.path) == ExitUnknown);
    BOOST_TEST(err.str().find("ask instance entry-2 (its peers call it at 10.0.0.2:7000)") != std::string::npos);
}

// An older instance answers any request with its metrics.
BOOST_FIXTURE_TEST_CASE(MetricsAreNoExplanation, ExplainFixture)
{
    answer("POST", "/explain-placement", 200, "owner 1\n");
    BOOST_TEST(explain(spec.path) == ExitUnknown);
    BOOST_TEST(out.str().empty());
}

BOOST_FIXTURE_TEST_CASE(SpecificationThatIsNoJsonIsNotSent, ExplainFixture)
{
    TemporaryFile broken("{");
    BOOST_TEST(explain(broken.path) == ExitInvalidFile);
    BOOST_TEST(explain("/nonexistent") == ExitInvalidFile);
    BOOST_TEST(lastBody.empty());
}

BOOST_AUTO_TEST_SUITE_END()
