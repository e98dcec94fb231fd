#include "src/upstream/UpstreamClient.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <optional>

#include "src/codec/Base64.h"
#include "src/codec/Encoding.h"
#include "src/upstream/HttpPool.h"
#include "tests/support/UpstreamServer.h"
#include "tests/support/UpstreamServerCodec.h"

using namespace crocuslever;
using namespace crocuslever::testing;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

BOOST_AUTO_TEST_SUITE(UpstreamClientTest)

static const std::string kBinary("\0\xff\r\n\r\nbody", 10);

/// Answers each request with the bytes that a function returns for its head; an empty
/// string sends no answer.
class ScriptedServer {
public:
    using Script = std::function<std::string(const std::string& head)>;

    ScriptedServer(asio::io_context& context, Script script)
        : m_acceptor(context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , m_script(std::move(script))
    {
        accept();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }
    int connections() const { return m_connections; }
    int requests() const { return m_requests; }
    void setClosing(bool closing) { m_closing = closing; }
    void closeAll()
    {
        for (const std::shared_ptr<Connection>& connection : m_connected)
            connection->socket.close();
        m_connected.clear();
    }

private:
    struct Connection {
        explicit Connection(Tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }
        Tcp::socket socket;
        asio::streambuf buf;
        std::string answer;
    };

    void accept()
    {
        m_acceptor.async_accept([this](const boost::system::error_code& ec, Tcp::socket socket) {
            if (ec)
                return;
            ++m_connections;
            m_connected.push_back(std::make_shared<Connection>(std::move(socket)));
            readHead(m_connected.back());
            accept();
        });
    }

    void readHead(const std::shared_ptr<Connection>& connection)
    {
        asio::async_read_until(connection->socket, connection->buf, "\r\n\r\n", [this, connection](const boost::system::error_code& ec, std::size_t n) {
            if (ec)
                return;
            std::string head(asio::buffers_begin(connection->buf.data()), asio::buffers_begin(connection->buf.data()) + static_cast<std::ptrdiff_t>(n));
            connection->buf.consume(n);
            readBody(connection, head);
        });
    }

    void readBody(const std::shared_ptr<Connection>& connection, const std::string& head)
    {
        std::size_t start = head.find("Content-Length: ");
        std::size_t length = start == std::string::npos ? 0 : std::stoul(head.substr(start + 16));
        std::size_t missing = length > connection->buf.size() ? length - connection->buf.size() : 0;
        asio::async_read(connection->socket, connection->buf, asio::transfer_exactly(missing), [this, connection, head, length](const boost::system::error_code& ec, std::size_t) {
            if (ec)
                return;
            connection->buf.consume(length);
            ++m_requests;
            answer(connection, head);
        });
    }

    void answer(const std::shared_ptr<Connection>& connection, const std::string& head)
    {
        connection->answer = m_script(head);
        asio::async_write(connection->socket, asio::buffer(connection->answer), [this, connection](const boost::system::error_code& ec, std::size_t) {
            if (m_closing)
                connection->socket.close();
            else if (!ec)
                readHead(connection);
        });
    }

    Tcp::acceptor m_acceptor;
    Script m_script;
    std::vector<std::shared_ptr<Connection>> m_connected;
    int m_connections { 0 };
    int m_requests { 0 };
    bool m_closing { false };
};

struct Fixture {
    explicit Fixture(UpstreamClientSettings settings = {})
        : client(context, settings, [this](Event event) { events.push_back(std::move(event)); })
    {
    }

    /// Runs the event loop until the condition holds; fails after 60 s, so that a hang ends the test.
    void runUntil(const std::function<bool()>& condition)
    {
        std::chrono::steady_clock::time_point limit = std::chrono::steady_clock::now() + std::chrono::seconds(60);
        while (!condition()) {
            BOOST_REQUIRE(std::chrono::steady_clock::now() < limit);
            context.run_one_for(std::chrono::milliseconds(100));
        }
    }

    template <typename ResultEvent, typename Command>
    ResultEvent call(const Command& command)
    {
        std::size_t count = events.size();
        client.execute(command);
        BOOST_TEST(events.size() == count); // No event may be reported from within execute().
        runUntil([&] { return events.size() > count; });
        BOOST_REQUIRE(std::holds_alternative<ResultEvent>(events.back()));
        return std::get<ResultEvent>(events.back());
    }

    asio::io_context context;
    std::vector<Event> events;
    UpstreamClient client;
};

static UpstreamServerSettings serverSettings()
{
    UpstreamServerSettings settings;
    settings.model = { UpstreamId("u-001"), IncarnationId("first"), { 64000, 65536, 0, 8 } };
    return settings;
}

static std::string addressOf(const UpstreamServer& server) { return "127.0.0.1:" + std::to_string(server.port()); }

static UpstreamStart makeStart(const std::string& address, const std::string& attempt, std::string body = kBinary)
{
    UpstreamStart command;
    command.upstream = UpstreamId("u-001");
    command.address = address;
    command.shard = 3;
    command.epoch = 1;
    command.incarnation = IncarnationId("first");
    command.attempt = AttemptId(attempt);
    command.job = JobId("j");
    command.team = TeamId("team \xff\n");
    command.spec.service = "lookup";
    command.spec.body = std::move(body);
    command.lease = std::chrono::seconds(30);
    command.waitForResult = true;
    return command;
}

static UpstreamFence makeFence(const std::string& address, Epoch epoch = 1)
{
    return { UpstreamId("u-001"), address, 3, epoch, InstanceId("e-1") };
}

static UpstreamClientSettings shortTimeout()
{
    UpstreamClientSettings settings;
    settings.timeout = std::chrono::milliseconds(50);
    return settings;
}

// Tests with the simulated upstream.

BOOST_AUTO_TEST_CASE(ResultIsReturnedUnchanged)
{
    Fixture f;
    UpstreamServer server(f.context, serverSettings(), nullptr);
    UpstreamFenceResult fenced = f.call<UpstreamFenceResult>(makeFence(addressOf(server)));
    BOOST_TEST((fenced.outcome == UpstreamOutcome::Ok));
    BOOST_TEST(fenced.incarnation.value() == "first");
    UpstreamStartResult started = f.call<UpstreamStartResult>(makeStart(addressOf(server), "a/1 é"));
    BOOST_TEST((started.outcome == UpstreamOutcome::Ok));
    BOOST_TEST(started.attempt.value() == "a/1 é");
    BOOST_TEST(started.ended);
    BOOST_TEST(started.result.succeeded);
    BOOST_TEST(started.result.body == "answer:" + sha256Hex(kBinary) + ":");
    BOOST_TEST(f.client.calls() == 2u);
    BOOST_TEST(f.client.rejectedAnswers() == 0u);
}

BOOST_AUTO_TEST_CASE(StartWaitsForTheResult)
{
    Fixture f;
    UpstreamServer server(f.context, serverSettings(), nullptr);
    f.call<UpstreamFenceResult>(makeFence(addressOf(server)));
    std::string body = R"({"sleep_ms":20,"echo":"later"})";
    UpstreamStartResult started = f.call<UpstreamStartResult>(makeStart(addressOf(server), "a", body));
    BOOST_TEST(started.ended);
    BOOST_TEST(started.result.body == "answer:" + sha256Hex(body) + ":later");
}

BOOST_AUTO_TEST_CASE(OutcomesOfTheUpstreamAreReported)
{
    Fixture f;
    UpstreamServer server(f.context, serverSettings(), nullptr);
    std::string address = addressOf(server);
    f.call<UpstreamFenceResult>(makeFence(address, 2));
    BOOST_TEST((f.call<UpstreamStartResult>(makeStart(address, "a")).outcome == UpstreamOutcome::StaleEpoch));
    BOOST_TEST((f.call<UpstreamFenceResult>(makeFence(address, 1)).outcome == UpstreamOutcome::StaleEpoch));
    UpstreamStart command = makeStart(address, "b");
    command.epoch = 2;
    command.incarnation = IncarnationId("earlier");
    UpstreamStartResult wrong = f.call<UpstreamStartResult>(command);
    BOOST_TEST((wrong.outcome == UpstreamOutcome::WrongIncarnation));
    BOOST_TEST(wrong.incarnation.value() == "first");
    command.incarnation = IncarnationId("first");
    command.spec.resources.slots = 9;
    BOOST_TEST((f.call<UpstreamStartResult>(command).outcome == UpstreamOutcome::Refused));
}

BOOST_AUTO_TEST_CASE(SyncAndStopReportAttempts)
{
    Fixture f;
    UpstreamServer server(f.context, serverSettings(), nullptr);
    std::string address = addressOf(server);
    f.call<UpstreamFenceResult>(makeFence(address));
    UpstreamStart slow = makeStart(address, "slow", R"({"sleep_ms":3600000})");
    slow.waitForResult = false;
    BOOST_TEST(!f.call<UpstreamStartResult>(slow).ended);
    f.call<UpstreamStartResult>(makeStart(address, "quick"));
    UpstreamSync sync { UpstreamId("u-001"), address, 3, 1, IncarnationId("first"), std::chrono::seconds(30), { AttemptId("slow") }, {} };
    UpstreamSyncResult synced = f.call<UpstreamSyncResult>(sync);
    BOOST_REQUIRE(synced.attempts.size() == 2u);
    BOOST_TEST(synced.attempts[0].attempt.value() == "quick");
    BOOST_TEST(synced.attempts[0].result.body == "answer:" + sha256Hex(kBinary) + ":");
    BOOST_TEST((synced.attempts[1].state == AttemptState::Running));
    BOOST_TEST((synced.attempts[1].leaseLeft > Duration::zero()));
    BOOST_TEST((synced.attempts[1].resources == slow.spec.resources));
    UpstreamStop stop { UpstreamId("u-001"), address, 3, 1, IncarnationId("first"), AttemptId("slow"), StopMode::Stop };
    BOOST_TEST((f.call<UpstreamStopResult>(stop).status.state == AttemptState::Stopped));
    stop.attempt = AttemptId("unheard");
    BOOST_TEST((f.call<UpstreamStopResult>(stop).status.state == AttemptState::NeverStarted));
    stop.attempt = AttemptId("quick");
    BOOST_TEST(f.call<UpstreamStopResult>(stop).status.result.body == "answer:" + sha256Hex(kBinary) + ":");
    // Starting a stopped attempt again is neither run nor refused, because the attempt had begun.
    BOOST_TEST((f.call<UpstreamStartResult>(slow).outcome == UpstreamOutcome::Unknown));
}

BOOST_AUTO_TEST_CASE(ManyCallsShareFewConnections)
{
    UpstreamClientSettings settings;
    settings.connectionsPerUpstream = 3;
    settings.timeout = std::chrono::seconds(60);
    Fixture f(settings);
    UpstreamServerSettings limited = serverSettings();
    limited.connections = 3;
    UpstreamServer server(f.context, limited, nullptr);
    f.call<UpstreamFenceResult>(makeFence(addressOf(server)));
    f.events.clear();
    for (int n = 0; n < 300; ++n)
        f.client.execute(makeStart(addressOf(server), "a" + std::to_string(n), std::to_string(n)));
    f.runUntil([&] { return f.events.size() == 300; });
    for (const Event& event : f.events) {
        const UpstreamStartResult& result = std::get<UpstreamStartResult>(event);
        BOOST_TEST(result.result.body == "answer:" + sha256Hex(result.attempt.value().substr(1)) + ":");
    }
}

BOOST_AUTO_TEST_CASE(AnswerOfAnotherUpstreamAtTheAddressIsRejected)
{
    Fixture f;
    UpstreamServer server(f.context, serverSettings(), nullptr);
    UpstreamFence command = makeFence(addressOf(server));
    command.upstream = UpstreamId("u-002");
    BOOST_TEST((f.call<UpstreamFenceResult>(command).outcome == UpstreamOutcome::Unknown));
}

// Tests of connection faults.

static std::string callOf(const std::string& head)
{
    std::size_t start = head.find(kCallIdHeader) + std::string(kCallIdHeader).size() + 2;
    return head.substr(start, head.find('\r', start) - start);
}

static std::string format(const UpstreamHttpAnswer& answer, const std::string& call)
{
    return "HTTP/1.1 200 OK\r\n" + std::string(kCallIdHeader) + ": " + call + "\r\n" + kMetadataHeader + ": " + answer.metadata
        + "\r\nContent-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body;
}

static UpstreamHttpAnswer endedAnswer(const std::string& attempt, const std::string& body)
{
    UpstreamStartAnswer answer;
    answer.outcome = UpstreamOutcome::Ok;
    answer.status.attempt = AttemptId(attempt);
    answer.status.state = AttemptState::Ended;
    answer.status.result = { true, 200, body };
    return encodeAnswer(answer, { UpstreamId("u-001"), IncarnationId("first"), {} });
}

BOOST_AUTO_TEST_CASE(ConnectionIsReused)
{
    Fixture f;
    ScriptedServer server(f.context, [](const std::string& head) { return format(endedAnswer("a", "x"), callOf(head)); });
    for (int n = 0; n < 3; ++n)
        BOOST_TEST((f.call<UpstreamStartResult>(makeStart(server.address(), "a")).outcome == UpstreamOutcome::Ok));
    BOOST_TEST(server.connections() == 1);
}

BOOST_AUTO_TEST_CASE(ATruncatedAnswerIsUnknown)
{
    std::string whole = format(endedAnswer("a", "some result"), "");
    for (std::size_t cut : { std::size_t(1), whole.size() / 2, whole.size() - 1 }) {
        Fixture f;
        ScriptedServer server(f.context, [cut](const std::string& head) { return format(endedAnswer("a", "some result"), callOf(head)).substr(0, cut + callOf(head).size()); });
        server.setClosing(true);
        UpstreamStartResult result = f.call<UpstreamStartResult>(makeStart(server.address(), "a"));
        BOOST_TEST((result.outcome == UpstreamOutcome::Unknown));
        BOOST_TEST(!result.ended);
        BOOST_TEST(server.requests() == 1);
    }
}

BOOST_AUTO_TEST_CASE(AnAnswerWithoutALengthIsUnknown)
{
    Fixture f;
    ScriptedServer server(f.context, [](const std::string& head) {
        UpstreamHttpAnswer answer = endedAnswer("a", "x");
        return "HTTP/1.1 200 OK\r\n" + std::string(kCallIdHeader) + ": " + callOf(head) + "\r\n" + kMetadataHeader + ": " + answer.metadata + "\r\n\r\nx";
    });
    server.setClosing(true);
    BOOST_TEST((f.call<UpstreamStartResult>(makeStart(server.address(), "a")).outcome == UpstreamOutcome::Unknown));
}

BOOST_AUTO_TEST_CASE(ASilentUpstreamIsUnknown)
{
    Fixture f(shortTimeout());
    ScriptedServer server(f.context, [](const std::string&) { return ""; });
    BOOST_TEST((f.call<UpstreamStartResult>(makeStart(server.address(), "a")).outcome == UpstreamOutcome::Unknown));
}

BOOST_AUTO_TEST_CASE(AFrozenUpstreamIsUnknown)
{
    // The kernel accepts connections and buffers data for a process that is stopped.
    Fixture f(shortTimeout());
    Tcp::acceptor acceptor(f.context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    BOOST_TEST((f.call<UpstreamStartResult>(makeStart(address, "a")).outcome == UpstreamOutcome::Unknown));
    UpstreamSync sync { UpstreamId("u-001"), address, 3, 1, IncarnationId("first"), std::chrono::seconds(30), {}, {} };
    BOOST_TEST((f.call<UpstreamSyncResult>(sync).outcome == UpstreamOutcome::Unknown));
}

BOOST_AUTO_TEST_CASE(TimeoutOfAStartOverridesTheDefault)
{
    UpstreamClientSettings settings;
    settings.timeout = std::chrono::hours(1);
    Fixture f(settings);
    ScriptedServer server(f.context, [](const std::string&) { return ""; });
    UpstreamStart command = makeStart(server.address(), "a");
    command.timeout = std::chrono::milliseconds(50);
    BOOST_TEST((f.call<UpstreamStartResult>(command).outcome == UpstreamOutcome::Unknown));
}

static std::string closedAddress(asio::io_context& context)
{
    Tcp::acceptor acceptor(context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

BOOST_AUTO_TEST_CASE(ARefusedConnectionIsUnreachable)
{
    Fixture f;
    std::string address = closedAddress(f.context);
    BOOST_TEST((f.call<UpstreamStartResult>(makeStart(address, "a")).outcome == UpstreamOutcome::Unreachable));
    BOOST_TEST((f.call<UpstreamFenceResult>(makeFence(address)).outcome == UpstreamOutcome::Unreachable));
    BOOST_TEST((f.call<UpstreamFenceResult>(makeFence("not an address")).outcome == UpstreamOutcome::Unreachable));
}

BOOST_AUTO_TEST_CASE(CallThatTimesOutWaitingForAConnectionIsUnreachable)
{
    UpstreamClientSettings settings = shortTimeout();
    settings.connectionsPerUpstream = 1;
    Fixture f(settings);
    ScriptedServer server(f.context, [](const std::string&) { return ""; });
    UpstreamStart first = makeStart(server.address(), "first");
    first.timeout = std::chrono::hours(1);
    f.client.execute(first);
    UpstreamStartResult second = f.call<UpstreamStartResult>(makeStart(server.address(), "second"));
    BOOST_TEST(second.attempt.value() == "second");
    BOOST_TEST((second.outcome == UpstreamOutcome::Unreachable));
    BOOST_TEST(server.requests() == 1);
}

BOOST_AUTO_TEST_CASE(AnswerForAnotherAttemptIsRejected)
{
    Fixture f;
    std::string attempt = "other";
    ScriptedServer server(f.context, [&](const std::string& head) { return format(endedAnswer(attempt, "x"), callOf(head)); });
    UpstreamStartResult result = f.call<UpstreamStartResult>(makeStart(server.address(), "a"));
    BOOST_TEST((result.outcome == UpstreamOutcome::Unknown));
    BOOST_TEST(!result.ended);
    BOOST_TEST(f.client.rejectedAnswers() == 1u);
    // The connection that delivered the wrong answer must not be reused.
    attempt = "a";
    BOOST_TEST((f.call<UpstreamStartResult>(makeStart(server.address(), "a")).outcome == UpstreamOutcome::Ok));
    BOOST_TEST(server.connections() == 2);
}

BOOST_AUTO_TEST_CASE(AnswerWithAnotherCallIdIsRejected)
{
    Fixture f;
    ScriptedServer server(f.context, [](const std::string&) { return format(endedAnswer("a", "x"), "1-1"); });
    BOOST_TEST((f.call<UpstreamStartResult>(makeStart(server.address(), "a")).outcome == UpstreamOutcome::Unknown));
}

BOOST_AUTO_TEST_CASE(CorruptedResultIsRejected)
{
    Fixture f;
    ScriptedServer server(f.context, [](const std::string& head) {
        UpstreamHttpAnswer answer = endedAnswer("a", "right");
        answer.body = "wrong";
        return format(answer, callOf(head));
    });
    BOOST_TEST((f.call<UpstreamStartResult>(makeStart(server.address(), "a")).outcome == UpstreamOutcome::Unknown));
    BOOST_TEST(f.client.rejectedAnswers() == 1u);
}

BOOST_AUTO_TEST_CASE(ResultOverTheLimitIsRejected)
{
    UpstreamClientSettings settings;
    settings.maximumResultBytes = 100;
    Fixture f(settings);
    std::size_t length = 100;
    ScriptedServer server(f.context, [&](const std::string& head) { return format(endedAnswer("a", std::string(length, 'x')), callOf(head)); });
    BOOST_TEST(f.call<UpstreamStartResult>(makeStart(server.address(), "a")).ended);
    length = 101;
    BOOST_TEST((f.call<UpstreamStartResult>(makeStart(server.address(), "a")).outcome == UpstreamOutcome::Unknown));
}

BOOST_AUTO_TEST_CASE(ListWithOneCorruptedResultIsRejected)
{
    Fixture f;
    ScriptedServer server(f.context, [](const std::string& head) {
        UpstreamFenceResult result;
        result.upstream = UpstreamId("u-001");
        result.outcome = UpstreamOutcome::Ok;
        AttemptStatus good;
        good.attempt = AttemptId("good");
        good.state = AttemptState::Ended;
        good.result.body = "good";
        AttemptStatus bad = good;
        bad.result.body = "bad!";
        result.attempts = { good, bad };
        UpstreamHttpAnswer answer = encodeAnswer(result);
        answer.body.replace(answer.body.find(encodeBase64("bad!")), 8, encodeBase64("dab!"));
        return format(answer, callOf(head));
    });
    UpstreamFenceResult result = f.call<UpstreamFenceResult>(makeFence(server.address()));
    BOOST_TEST((result.outcome == UpstreamOutcome::Unknown));
    BOOST_TEST(result.attempts.empty());
}

BOOST_AUTO_TEST_CASE(AStartIsNotSentAgainAfterAReusedConnectionCloses)
{
    Fixture f;
    ScriptedServer server(f.context, [&](const std::string& head) { return server.requests() == 1 ? format(endedAnswer("a", "x"), callOf(head)) : ""; });
    BOOST_TEST((f.call<UpstreamStartResult>(makeStart(server.address(), "a")).outcome == UpstreamOutcome::Ok));
    server.setClosing(true);
    BOOST_TEST((f.call<UpstreamStartResult>(makeStart(server.address(), "b")).outcome == UpstreamOutcome::Unknown));
    BOOST_TEST(server.requests() == 2);
    BOOST_TEST(server.connections() == 1);
}

BOOST_AUTO_TEST_CASE(ConnectionClosedWhileIdleIsNotReused)
{
    Fixture f;
    ScriptedServer server(f.context, [](const std::string& head) { return format(endedAnswer("a", "x"), callOf(head)); });
    f.call<UpstreamStartResult>(makeStart(server.address(), "a"));
    server.closeAll();
    BOOST_TEST((f.call<UpstreamStartResult>(makeStart(server.address(), "a")).outcome == UpstreamOutcome::Ok));
    BOOST_TEST(server.connections() == 2);
}

BOOST_AUTO_TEST_CASE(SurplusBytesAfterTheAnswerCloseTheConnection)
{
    Fixture f;
    ScriptedServer server(f.context, [](const std::string& head) { return format(endedAnswer("a", "x"), callOf(head)) + "HTTP/1.1 200 OK\r\n"; });
    f.call<UpstreamStartResult>(makeStart(server.address(), "a"));
    f.call<UpstreamStartResult>(makeStart(server.address(), "a"));
    BOOST_TEST(server.connections() == 2);
}

BOOST_AUTO_TEST_CASE(NothingIsReportedAfterStop)
{
    Fixture f;
    ScriptedServer server(f.context, [](const std::string&) { return ""; });
    f.client.execute(makeStart(server.address(), "a"));
    f.runUntil([&] { return server.requests() == 1; });
    f.client.stop();
    f.client.execute(makeStart(server.address(), "b"));
    f.context.run_for(std::chrono::milliseconds(1));
    BOOST_TEST(f.events.empty());
}

BOOST_AUTO_TEST_SUITE_END()
