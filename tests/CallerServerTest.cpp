#include "src/callers/CallerServer.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <condition_variable>
#include <deque>
#include <future>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>

#include "src/callers/CallerAnswers.h"
#include "src/callers/CallerRequests.h"

using namespace crocuslever;

namespace {

constexpr std::chrono::seconds kWaitLimit { 30 };
const std::string kKey = "Authorization: Bearer k1.secret\r\n";

/// Runs a server on its own thread and queues its calls for the test to answer.
class ServerUnderTest {
public:
    explicit ServerUnderTest(CallerServerSettings settings = {})
        : m_guard(boost::asio::make_work_guard(m_context))
    {
        settings.listenAddress = "127.0.0.1:0";
        CallerServerSources sources { [this] { return isReady.load(); }, [] { return std::string("crocuslever_x 1\n"); }, [] { return std::string("{}"); } };
        m_server = std::make_unique<CallerServer>(
            m_context, settings, [this](Event event) { handleEvent(std::move(event)); }, sources);
        BOOST_REQUIRE(m_server->open().has_value());
        m_port = m_server->port();
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~ServerUnderTest()
    {
        run([this] { m_server->stop(); });
        m_guard.reset();
        m_context.stop();
        m_thread.join();
    }

    ServerUnderTest(const ServerUnderTest&) = delete;
    ServerUnderTest& operator=(const ServerUnderTest&) = delete;

    /// Runs `action` on the server's thread and waits until it has finished.
    void run(const std::function<void()>& action)
    {
        std::promise<void> done;
        boost::asio::post(m_context, [&] { action(); done.set_value(); });
        done.get_future().wait();
    }

    CallerCall nextCall()
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        BOOST_REQUIRE(m_changed.wait_for(lock, kWaitLimit, [this] { return !m_calls.empty(); }));
        CallerCall call = m_calls.front();
        m_calls.pop_front();
        return call;
    }

    CallId nextGone()
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        BOOST_REQUIRE(m_changed.wait_for(lock, kWaitLimit, [this] { return !m_gone.empty(); }));
        CallId id = m_gone.front();
        m_gone.pop_front();
        return id;
    }

    void reply(const CallerReply& reply)
    {
        run([&] { m_server->reply(reply); });
    }

    void replyDone(CallId id, const std::string& body)
    {
        CallerReply done;
        done.id = id;
        done.outcome = CallOutcome::Done;
        done.status = 200;
        done.body = body;
        reply(done);
    }

    std::int64_t counter(const std::string& name)
    {
        Counters counters;
        run([&] { m_server->report(counters); });
        return counters.get(name);
    }

    bool isDrained()
    {
        bool drained = false;
        run([&] { drained = m_server->isDrained(); });
        return drained;
    }

    void stopAccepting()
    {
        run([this] { m_server->stopAccepting(); });
    }

    std::uint16_t port() const { return m_port; }
    std::atomic<bool> isReady { true };

private:
    void handleEvent(Event event)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (CallerCall* call = std::get_if<CallerCall>(&event))
            m_calls.push_back(std::move(*call));
        if (CallerGone* gone = std::get_if<CallerGone>(&event))
            m_gone.push_back(gone->id);
        m_changed.notify_all();
    }

    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_guard;
    std::unique_ptr<CallerServer> m_server;
    std::uint16_t m_port { 0 };
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<CallerCall> m_calls;
    std::deque<CallId> m_gone;
    std::thread m_thread;
};

struct RawAnswer {
    int status { 0 };
    std::string head;
    std::string body;
};

/// Sends raw bytes and reads answers one by one.
class RawClient {
public:
    explicit RawClient(std::uint16_t port)
        : m_socket(m_context)
    {
        m_socket.connect({ boost::asio::ip::make_address("127.0.0.1"), port });
        timeval limit { kWaitLimit.count(), 0 };
        ::setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    }

    void send(const std::string& bytes)
    {
        boost::system::error_code ec;
        boost::asio::write(m_socket, boost::asio::buffer(bytes), ec);
    }

    void finishSending() { m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send); }
    void close() { m_socket.close(); }

    RawAnswer read()
    {
        RawAnswer answer;
        answer.head = readUntil("\r\n\r\n");
        answer.status = answer.head.size() > 12 ? std::atoi(answer.head.c_str() + 9) : 0;
        std::size_t at = answer.head.find("Content-Length: ");
        std::size_t n = at == std::string::npos ? 0 : std::atoi(answer.head.c_str() + at + 16);
        while (m_buffer.size() < n && receive()) { }
        answer.body = m_buffer.substr(0, n);
        m_buffer.erase(0, n);
        return answer;
    }

    /// Blocks until data arrives or the connection ends; true if it ended with nothing left to read.
    bool isEnded() { return m_buffer.empty() && !receive(); }

private:
    std::string readUntil(const std::string& end)
    {
        while (m_buffer.find(end) == std::string::npos) {
            if (!receive())
                return {};
        }
        std::size_t n = m_buffer.find(end) + end.size();
        std::string head = m_buffer.substr(0, n);
        m_buffer.erase(0, n);
        return head;
    }

    bool receive()
    {
        char buf[4096];
        ssize_t n = ::recv(m_socket.native_handle(), buf, sizeof buf, 0);
        if (n > 0)
            m_buffer.append(buf, static_cast<std::size_t>(n));
        return n > 0;
    }

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
    std::string m_buffer;
};

std::string httpRequest(const std::string& line, const std::string& body = {}, const std::string& headers = kKey)
{
    return line + " HTTP/1.1\r\nHost: x\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

nlohmann::json parse(const RawAnswer& answer)
{
    return nlohmann::json::parse(answer.body, nullptr, false);
}

} // namespace

BOOST_AUTO_TEST_SUITE(CallerServerTest)

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
    const std::string chunked = "POST /v1/urgent/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n" + kKey + "\r\n";
    const BadBytes cases[] = {
        { "no HTTP", "hello\r\n\r\n", 400 },
        { "binary", std::string("\x16\x03\x01\x02\x00\x01\r\n\r\n", 10), 400 },
        { "bad version", "GET /healthz HTTP/9\r\n\r\n", 400 },
        { "bad length", "POST /v1/jobs HTTP/1.1\r\nContent-Length: ten\r\n\r\n", 400 },
        { "length and chunks", "POST /v1/jobs HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400 },
        { "bad chunk", chunked + "zz\r\n", 400 },
        { "large body announced", "POST /v1/jobs HTTP/1.1\r\nContent-Length: 1001\r\n" + kKey + "\r\n", 413 },
        { "large body in chunks", chunked + "500\r\n" + std::string(1280, 'a') + "\r\n0\r\n\r\n", 413 },
        { "large headers", "GET /healthz HTTP/1.1\r\nX: " + std::string(5000, 'a') + "\r\n\r\n", 431 },
        { "endless target", "GET /" + std::string(5000, 'a'), 431 },
        { "truncated header", "GET /healthz HTT", 0 },
        { "truncated body", "POST /v1/jobs HTTP/1.1\r\nContent-Length: 10\r\n" + kKey + "\r\n123", 0 },
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
    client.send("POST /v1/urgent/a HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 3\r\n" + kKey + "\r\n");
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
