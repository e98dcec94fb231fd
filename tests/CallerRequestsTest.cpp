#include "src/callers/CallerRequests.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "src/callers/CallerAnswers.h"
#include "tests/CallerServerFixture.h"

using namespace crocuslever;
using namespace crocuslever::testing;

BOOST_AUTO_TEST_SUITE(CallerRequestsTest)

BOOST_AUTO_TEST_CASE(UrgentBodyAndResultPassThroughUnchanged)
{
    ServerUnderTest server;
    RawClient client(server.port());
    std::string bytes("\0\xff\r\n{\"", 6);
    client.send(httpRequest("POST /v1/urgent/tolerance-lookup?idempotent=true&milli_cpu=500&deadline_ms=1500", bytes));
    CallerCall call = server.nextCall();
    const TaskSpec& spec = std::get<UrgentRequest>(call.request).spec;
    BOOST_TEST(call.key == "k1.secret");
    BOOST_TEST(spec.service == "tolerance-lookup");
    BOOST_TEST(spec.body == bytes);
    BOOST_TEST(spec.idempotent);
    BOOST_TEST(spec.resources.milliCpu == 500);
    BOOST_TEST(spec.resources.memoryMb == 256);
    BOOST_TEST(toMilliseconds(spec.deadline) == 1500);
    server.replyDone(call.id, bytes + bytes);
    RawAnswer answer = client.read();
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.body == bytes + bytes);
    BOOST_TEST(answer.head.find("Crocuslever-Task-Status: 200\r\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(SubmissionFieldsAreParsed)
{
    ServerUnderTest server;
    RawClient client(server.port());
    nlohmann::json body { { "id", "plan-17" }, { "kind", "gang" }, { "service", "refit-plan" }, { "idempotent", true },
        { "resources", { { "milli_cpu", 2000 }, { "memory_mb", 512 }, { "accelerators", 1 } } }, { "task_count", 4 },
        { "maximum_attempts", 2 }, { "run_time_ms", 60000 }, { "deadline_ms", 90000 }, { "body", "collar 9" } };
    client.send(httpRequest("POST /v1/jobs", body.dump()));
    CallerCall call = server.nextCall();
    const JobSubmission& submission = std::get<JobSubmission>(call.request);
    BOOST_TEST(submission.idempotencyId == "plan-17");
    BOOST_TEST((submission.spec.kind == WorkKind::Gang));
    BOOST_TEST((submission.spec.resources == Resources { 2000, 512, 1, 1 }));
    BOOST_TEST(submission.spec.taskCount == 4);
    BOOST_TEST(submission.spec.maximumAttempts == 2);
    BOOST_TEST(toMilliseconds(submission.spec.runTime) == 60000);
    BOOST_TEST(toMilliseconds(submission.spec.deadline) == 90000);
    BOOST_TEST(submission.spec.body == "collar 9");
    CallerReply reply;
    reply.id = call.id;
    reply.outcome = CallOutcome::Accepted;
    reply.job = JobId("0123abcd");
    server.reply(reply);
    RawAnswer answer = client.read();
    BOOST_TEST(answer.status == 202);
    BOOST_TEST(parse(answer)["job"] == "0123abcd");
    BOOST_TEST(parse(answer)["outcome"] == "accepted");
}

BOOST_AUTO_TEST_CASE(BinaryBodyIsDecodedFromBase64)
{
    CallerHttpRequest request { "POST", "/v1/jobs", "Bearer k1.s", R"({"id":"a","kind":"batch","service":"s","body_base64":"AP8K"})" };
    std::variant<CallerCall, CallerHttpAnswer> parsed = parseCallerRequest(request);
    BOOST_REQUIRE(std::holds_alternative<CallerCall>(parsed));
    BOOST_TEST(std::get<JobSubmission>(std::get<CallerCall>(parsed).request).spec.body == std::string("\0\xff\n", 3));
}

BOOST_AUTO_TEST_CASE(OmittedFieldsAreLeftToTheConfiguration)
{
    std::variant<CallerCall, CallerHttpAnswer> parsed = parseCallerRequest({ "POST", "/v1/jobs", "Bearer k1.s", R"({"id":"a","kind":"batch","service":"s"})" });
    BOOST_REQUIRE(std::holds_alternative<CallerCall>(parsed));
    TaskSpec spec = std::get<JobSubmission>(std::get<CallerCall>(parsed).request).spec;
    BOOST_TEST((spec.resources == Resources { 0, 0, 0, 1 }));
    BOOST_TEST(spec.maximumAttempts == 100);
    BOOST_TEST(!spec.idempotent);
}

struct JobPath {
    const char* method;
    const char* target;
    CallKind kind;
};

BOOST_AUTO_TEST_CASE(EachJobPathMapsToItsCallKind)
{
    static const JobPath kPaths[] = {
        { "GET", "/v1/jobs/abc", CallKind::Query },
        { "GET", "/v1/jobs/abc/result", CallKind::Result },
        { "DELETE", "/v1/jobs/abc", CallKind::Cancellation },
    };
    for (const JobPath& path : kPaths) {
        std::variant<CallerCall, CallerHttpAnswer> parsed = parseCallerRequest({ path.method, path.target, "Bearer k1.s", {} });
        BOOST_REQUIRE(std::holds_alternative<CallerCall>(parsed));
        BOOST_TEST((kindOf(std::get<CallerCall>(parsed)) == path.kind), path.target);
    }
}

struct BadRequest {
    const char* line;
    const char* body;
    const char* authorization;
    int status;
    const char* message; ///< Substring expected in the answer's message.
};

static const char* const kValidAuthorization = "Bearer k1.s";

static const BadRequest kBadRequests[] = {
    { "POST /v1/urgent/x", "", "", 401, "show a key" },
    { "POST /v1/urgent/x", "", "k1.s", 401, "show a key" },
    { "POST /v1/urgent/x", "", "Basic k1.s", 401, "show a key" },
    { "POST /v1/urgent/x", "", "Bearer k1", 401, "show a key" },
    { "POST /v1/urgent/x", "", "Bearer .s", 401, "show a key" },
    { "POST /v1/urgent/x", "", "Bearer k1.", 401, "show a key" },
    { "GET /", "", kValidAuthorization, 404, "no such path" },
    { "GET /v2/jobs/a", "", kValidAuthorization, 404, "no such path" },
    { "GET /v1/jobs/a/results", "", kValidAuthorization, 404, "no such path" },
    { "GET /v1/jobs/a/result/b", "", kValidAuthorization, 404, "no such path" },
    { "GET /v1/jobs/a%20b", "", kValidAuthorization, 404, "no such path" },
    { "POST /v1/urgent", "", kValidAuthorization, 404, "no such path" },
    { "GET /v1/urgent/x", "", kValidAuthorization, 405, "this path takes POST" },
    { "GET /v1/jobs", "", kValidAuthorization, 405, "this path takes POST" },
    { "PUT /v1/jobs/a", "", kValidAuthorization, 405, "this path takes GET, DELETE" },
    { "POST /v1/jobs/a/result", "", kValidAuthorization, 405, "this path takes GET" },
    { "POST /v1/urgent/a%2fb", "", kValidAuthorization, 400, "service: must be" },
    { "POST /v1/urgent/x?milli_cpu=-1", "", kValidAuthorization, 400, "milli_cpu: must be a whole number from 0" },
    { "POST /v1/urgent/x?milli_cpu=1.5", "", kValidAuthorization, 400, "milli_cpu: must be a whole number" },
    { "POST /v1/urgent/x?milli_cpu=99999999999999999999", "", kValidAuthorization, 400, "milli_cpu: must be a whole number" },
    { "POST /v1/urgent/x?idempotent=1", "", kValidAuthorization, 400, "idempotent: must be true or false" },
    { "POST /v1/urgent/x?deadline_ms=0", "", kValidAuthorization, 400, "deadline_ms: must be a whole number from 1" },
    { "POST /v1/urgent/x?priority=9", "", kValidAuthorization, 400, "priority: unknown key" },
    { "POST /v1/urgent/x?memory_mb=1&memory_mb=2", "", kValidAuthorization, 400, "memory_mb: given twice" },
    { "GET /v1/jobs/a?wait=true", "", kValidAuthorization, 400, "wait: unknown key" },
    { "POST /v1/jobs", "", kValidAuthorization, 400, "not JSON" },
    { "POST /v1/jobs", "{", kValidAuthorization, 400, "not JSON" },
    { "POST /v1/jobs", "{\"id\":\"a\"} x", kValidAuthorization, 400, "not JSON" },
    { "POST /v1/jobs", "\xff\xfe", kValidAuthorization, 400, "not JSON" },
    { "POST /v1/jobs", "[]", kValidAuthorization, 400, "must be a JSON object" },
    { "POST /v1/jobs", R"({"kind":"batch","service":"s"})", kValidAuthorization, 400, "id: missing" },
    { "POST /v1/jobs", R"({"id":"","kind":"batch","service":"s"})", kValidAuthorization, 400, "id: must be 1 to 128" },
    { "POST /v1/jobs", R"({"id":7,"kind":"batch","service":"s"})", kValidAuthorization, 400, "id: must be a string" },
    { "POST /v1/jobs", R"({"id":"a","service":"s"})", kValidAuthorization, 400, "kind: missing" },
    { "POST /v1/jobs", R"({"id":"a","kind":"urgent","service":"s"})", kValidAuthorization, 400, "kind: must be batch, gang or service" },
    { "POST /v1/jobs", R"({"id":"a","kind":"cron","service":"s"})", kValidAuthorization, 400, "kind: must be batch, gang or service" },
    { "POST /v1/jobs", R"({"id":"a","kind":"batch"})", kValidAuthorization, 400, "service: missing" },
    { "POST /v1/jobs", R"({"id":"a","kind":"batch","service":"s","idempotent":"true"})", kValidAuthorization, 400, "idempotent: must be true or false" },
    { "POST /v1/jobs", R"({"id":"a","kind":"batch","service":"s","task_count":2})", kValidAuthorization, 400, "task_count: must be 1 for batch" },
    { "POST /v1/jobs", R"({"id":"a","kind":"gang","service":"s","task_count":0})", kValidAuthorization, 400, "task_count: must be a whole number from 1" },
    { "POST /v1/jobs", R"({"id":"a","kind":"gang","service":"s","task_count":18446744073709551615})", kValidAuthorization, 400, "task_count: must be a whole number" },
    { "POST /v1/jobs", R"({"id":"a","kind":"batch","service":"s","run_time_ms":-1})", kValidAuthorization, 400, "run_time_ms: must be a whole number from 0" },
    { "POST /v1/jobs", R"({"id":"a","kind":"batch","service":"s","maximum_attempts":1.0})", kValidAuthorization, 400, "maximum_attempts: must be a whole number" },
    { "POST /v1/jobs", R"({"id":"a","kind":"batch","service":"s","resources":[]})", kValidAuthorization, 400, "resources: must be an object" },
    { "POST /v1/jobs", R"({"id":"a","kind":"batch","service":"s","resources":{"milli_cpu":-5}})", kValidAuthorization, 400, "resources.milli_cpu: must be a whole number from 0" },
    { "POST /v1/jobs", R"({"id":"a","kind":"batch","service":"s","resources":{"gpus":1}})", kValidAuthorization, 400, "resources.gpus: unknown key" },
    { "POST /v1/jobs", R"({"id":"a","kind":"batch","service":"s","priority":1})", kValidAuthorization, 400, "priority: unknown key" },
    { "POST /v1/jobs", R"({"id":"a","kind":"batch","service":"s","body":{}})", kValidAuthorization, 400, "body: must be a string" },
    { "POST /v1/jobs", R"({"id":"a","kind":"batch","service":"s","body_base64":"a"})", kValidAuthorization, 400, "body_base64: must be base64" },
    { "POST /v1/jobs", R"({"id":"a","kind":"batch","service":"s","body_base64":"===="})", kValidAuthorization, 400, "body_base64: must be base64" },
    { "POST /v1/jobs", R"({"id":"a","kind":"batch","service":"s","body":"x","body_base64":"AP8K"})", kValidAuthorization, 400, "body: must be left out" },
};

BOOST_AUTO_TEST_CASE(BadRequestsAreRefusedWithTheReason)
{
    ServerUnderTest server;
    RawClient client(server.port()); // One connection for all: a bad request must not close it.
    for (const BadRequest& bad : kBadRequests) {
        BOOST_TEST_CONTEXT(bad.line << " " << bad.body)
        {
            std::string header = *bad.authorization ? std::string("Authorization: ") + bad.authorization + "\r\n" : std::string();
            client.send(httpRequest(bad.line, bad.body, header));
            RawAnswer answer = client.read();
            BOOST_TEST(answer.status == bad.status);
            BOOST_REQUIRE(parse(answer).is_object());
            std::string message = parse(answer)["message"];
            BOOST_TEST(message.find(bad.message) != std::string::npos, message);
            BOOST_TEST(parse(answer).contains("outcome"));
            BOOST_TEST(parse(answer).contains("reason"));
            BOOST_TEST(parse(answer).contains("job"));
        }
    }
    BOOST_TEST(server.counter("caller_calls_in_flight") == 0);
}

BOOST_AUTO_TEST_CASE(AllErrorsOfASubmissionAreReportedTogether)
{
    std::variant<CallerCall, CallerHttpAnswer> parsed = parseCallerRequest({ "POST", "/v1/jobs", kValidAuthorization, R"({"kind":"x","resources":{"memory_mb":"1"}})" });
    BOOST_REQUIRE(std::holds_alternative<CallerHttpAnswer>(parsed));
    std::string body = std::get<CallerHttpAnswer>(parsed).body;
    for (const char* key : { "id: missing", "kind: must", "service: missing", "resources.memory_mb: must" })
        BOOST_TEST(body.find(key) != std::string::npos, key);
}

struct ExpectedAnswer {
    CallOutcome outcome;
    RefusalReason reason;
    CallKind kind;
    JobState state;
    int taskStatus;
    int status;
    bool isRawBody; ///< The body is the task's raw answer.
};

BOOST_AUTO_TEST_CASE(RepliesMapToHttpStatusAndBody)
{
    static const ExpectedAnswer kExpectedAnswers[] = {
        { CallOutcome::Done, RefusalReason::None, CallKind::Urgent, JobState::Queued, 200, 200, true },
        { CallOutcome::Done, RefusalReason::TaskFailed, CallKind::Urgent, JobState::Queued, 500, 200, true },
        { CallOutcome::Accepted, RefusalReason::None, CallKind::Submission, JobState::Queued, 0, 202, false },
        { CallOutcome::Done, RefusalReason::None, CallKind::Query, JobState::Running, 0, 200, false },
        { CallOutcome::Done, RefusalReason::None, CallKind::Result, JobState::Running, 0, 202, false },
        { CallOutcome::Done, RefusalReason::None, CallKind::Result, JobState::Succeeded, 200, 200, true },
        { CallOutcome::Done, RefusalReason::TaskFailed, CallKind::Result, JobState::Failed, 500, 200, true },
        { CallOutcome::Done, RefusalReason::NeverFits, CallKind::Result, JobState::Failed, 0, 410, false },
        { CallOutcome::Done, RefusalReason::Cancelled, CallKind::Result, JobState::Cancelled, 0, 410, false },
        { CallOutcome::Done, RefusalReason::UpstreamLost, CallKind::Result, JobState::OutcomeUnknown, 0, 504, false },
        { CallOutcome::Accepted, RefusalReason::None, CallKind::Cancellation, JobState::Running, 0, 202, false },
        { CallOutcome::Done, RefusalReason::None, CallKind::Cancellation, JobState::Cancelled, 0, 200, false },
        { CallOutcome::NotRun, RefusalReason::Overloaded, CallKind::Urgent, JobState::Queued, 0, 503, false },
        { CallOutcome::NotRun, RefusalReason::StoreUnavailable, CallKind::Submission, JobState::Queued, 0, 503, false },
        { CallOutcome::NotRun, RefusalReason::TeamLimit, CallKind::Urgent, JobState::Queued, 0, 429, false },
        { CallOutcome::NotRun, RefusalReason::QueueFull, CallKind::Submission, JobState::Queued, 0, 429, false },
        { CallOutcome::NotRun, RefusalReason::NeverFits, CallKind::Urgent, JobState::Queued, 0, 422, false },
        { CallOutcome::Unknown, RefusalReason::DeadlinePassed, CallKind::Urgent, JobState::Queued, 0, 504, false },
        { CallOutcome::Invalid, RefusalReason::BadRequest, CallKind::Submission, JobState::Queued, 0, 400, false },
        { CallOutcome::Unauthorized, RefusalReason::None, CallKind::Query, JobState::Queued, 0, 401, false },
        { CallOutcome::NotFound, RefusalReason::None, CallKind::Query, JobState::Queued, 0, 404, false },
    };
    for (const ExpectedAnswer& expected : kExpectedAnswers) {
        CallerReply reply;
        reply.outcome = expected.outcome;
        reply.reason = expected.reason;
        reply.jobState = expected.state;
        reply.status = expected.taskStatus;
        reply.body = "whole";
        reply.retryAfter = std::chrono::milliseconds(1200);
        CallerHttpAnswer answer = formatReply(reply, expected.kind);
        BOOST_TEST_CONTEXT(toString(expected.outcome) << " " << toString(expected.reason) << " " << toString(expected.state))
        {
            BOOST_TEST(answer.status == expected.status);
            BOOST_TEST((answer.body == "whole") == expected.isRawBody);
            bool isRetried = expected.status == 429 || expected.status == 503;
            std::pair<std::string, std::string> retryAfter { "Retry-After", "2" };
            BOOST_TEST((std::count(answer.headers.begin(), answer.headers.end(), retryAfter) == 1) == isRetried);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
