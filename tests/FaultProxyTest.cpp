#include "tests/support/FaultProxy.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "src/daemon/SystemClock.h"
#include "src/http/HttpClient.h"
#include "tests/support/RunUntil.h"

using namespace crocuslever;
using namespace crocuslever::testing;
using boost::system::error_code;
using tcp = boost::asio::ip::tcp;

BOOST_AUTO_TEST_SUITE(FaultProxyTest)

/// One end of a TCP connection, which collects the data that it receives.
struct TcpEnd {
    explicit TcpEnd(boost::asio::io_context& io)
        : socket(io)
    {
    }

    void read()
    {
        socket.async_read_some(boost::asio::buffer(buf), [this](error_code ec, std::size_t n) {
            received.append(buf.data(), n);
            error = ec;
            if (!ec)
                read();
        });
    }

    void write(const std::string& text) { boost::asio::write(socket, boost::asio::buffer(text)); }

    tcp::socket socket;
    std::array<char, 4096> buf {};
    std::string received;
    error_code error;
};

struct Fixture {
    Fixture()
        : acceptor(io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
        , proxy(io, "127.0.0.1", 0)
        , client(io)
        , server(io)
    {
        port = proxy.addLink(0, acceptor.local_endpoint().port());
        acceptor.async_accept(server.socket, [this](error_code ec) { accepted = !ec; });
    }

    void connectClient()
    {
        client.socket.connect(tcp::endpoint(boost::asio::ip::address_v4::loopback(), port));
        client.read();
    }

    void connectBoth()
    {
        connectClient();
        BOOST_TEST_REQUIRE(runUntil(io, [&] { return accepted; }));
        server.read();
    }

    void setMode(LinkMode mode, Duration delay = Duration(0)) { proxy.findLink(port)->setFault({ mode, delay }); }
    LinkStats stats() { return proxy.findLink(port)->stats(); }

    boost::asio::io_context io;
    tcp::acceptor acceptor;
    FaultProxy proxy;
    unsigned short port { 0 };
    TcpEnd client;
    TcpEnd server;
    bool accepted { false };
};

BOOST_FIXTURE_TEST_CASE(DataIsForwardedBothWays, Fixture)
{
    connectBoth();
    std::string large(300000, 'x');
    client.write("ask");
    server.write("answer");
    BOOST_TEST_REQUIRE(runUntil(io, [&] { return client.received == "answer" && server.received == "ask"; }));
    boost::asio::async_write(server.socket, boost::asio::buffer(large), [](error_code, std::size_t) {});
    BOOST_TEST_REQUIRE(runUntil(io, [&] { return client.received == "answer" + large; }));
    BOOST_TEST(stats().bytesForward == 3U);
    BOOST_TEST(stats().accepted == 1U);
}

BOOST_FIXTURE_TEST_CASE(HalfCloseIsForwarded, Fixture)
{
    connectBoth();
    client.write("last");
    client.socket.shutdown(tcp::socket::shutdown_send);
    BOOST_TEST_REQUIRE(runUntil(io, [&] { return server.error == boost::asio::error::eof; }));
    BOOST_TEST(server.received == "last");
    server.write("reply");
    server.socket.close();
    BOOST_TEST_REQUIRE(runUntil(io, [&] { return client.error == boost::asio::error::eof; }));
    BOOST_TEST(client.received == "reply");
    BOOST_TEST_REQUIRE(runUntil(io, [&] { return stats().bytesBack == 5; }));
}

BOOST_FIXTURE_TEST_CASE(CutClosesAndRefusesConnections, Fixture)
{
    connectBoth();
    setMode(LinkMode::Cut);
    BOOST_TEST_REQUIRE(runUntil(io, [&] { return client.error && server.error; }));
    tcp::endpoint endpoint(boost::asio::ip::address_v4::loopback(), port);
    tcp::socket refused(io);
    error_code ec;
    refused.connect(endpoint, ec);
    BOOST_TEST((ec == boost::asio::error::connection_refused));
    setMode(LinkMode::Pass);
    TcpEnd retry(io);
    BOOST_TEST_REQUIRE(runUntil(io, [&] {
        retry.socket.close();
        retry.socket.connect(endpoint, ec);
        return !ec;
    }));
}

BOOST_FIXTURE_TEST_CASE(FreezeHoldsDataUntilItEnds, Fixture)
{
    connectBoth();
    setMode(LinkMode::Freeze);
    client.write("ask");
    server.write("answer");
    TcpEnd second(io);
    second.socket.connect(tcp::endpoint(boost::asio::ip::address_v4::loopback(), port));
    BOOST_TEST_REQUIRE(runUntil(io, [&] { return stats().accepted == 2; }));
    for (int i = 0; i < 100; ++i) {
        io.restart();
        io.poll();
    }
    BOOST_TEST(client.received.empty());
    BOOST_TEST(server.received.empty());
    BOOST_TEST(!client.error);
    setMode(LinkMode::Pass);
    BOOST_TEST_REQUIRE(runUntil(io, [&] { return client.received == "answer" && server.received == "ask"; }));
}

BOOST_FIXTURE_TEST_CASE(ResetClosesOldAndNewConnections, Fixture)
{
    connectBoth();
    setMode(LinkMode::Reset);
    BOOST_TEST_REQUIRE(runUntil(io, [&] { return client.error && server.error; }));
    BOOST_TEST((client.error == boost::asio::error::connection_reset));
    TcpEnd second(io);
    second.socket.connect(tcp::endpoint(boost::asio::ip::address_v4::loopback(), port));
    second.read();
    BOOST_TEST_REQUIRE(runUntil(io, [&] { return static_cast<bool>(second.error); }));
}

BOOST_FIXTURE_TEST_CASE(DropAnswersStillForwardsRequests, Fixture)
{
    connectBoth();
    setMode(LinkMode::DropAnswers);
    client.write("ask");
    BOOST_TEST_REQUIRE(runUntil(io, [&] { return server.received == "ask"; }));
    server.write("answer");
    BOOST_TEST_REQUIRE(runUntil(io, [&] { return static_cast<bool>(client.error); }));
    BOOST_TEST(client.received.empty());
    BOOST_TEST(stats().bytesLost == 6U);
}

BOOST_FIXTURE_TEST_CASE(DelayAppliesToEveryByte, Fixture)
{
    constexpr Duration kDelay = std::chrono::milliseconds(30);
    connectBoth();
    setMode(LinkMode::Pass, kDelay);
    TimePoint sentAt = readClock().steady;
    client.write("ask");
    BOOST_TEST_REQUIRE(runUntil(io, [&] { return server.received == "ask"; }));
    BOOST_TEST((readClock().steady - sentAt >= kDelay));
}

BOOST_FIXTURE_TEST_CASE(ControlPortSetsModesAndRejectsBadInput, Fixture)
{
    HttpClient http(io, { { proxy.controlEndpoint() } });
    auto call = [&](const std::string& method, const std::string& target, const std::string& body) {
        std::optional<HttpReply> reply;
        http.send({ method, target, body }, [&](const Result<HttpReply>& result) { reply = result.value(); });
        BOOST_TEST_REQUIRE(runUntil(io, [&] { return reply.has_value(); }));
        return *reply;
    };
    std::string target = "/link/" + std::to_string(port);
    BOOST_TEST(call("PUT", target, R"({"mode":"drop-answers","delay_ms":7})").status == 200);
    BOOST_TEST((proxy.findLink(port)->fault().mode == LinkMode::DropAnswers));
    BOOST_TEST(call("PUT", target, R"({"mode":"sideways"})").status == 400);
    BOOST_TEST(call("PUT", target, R"({"mode":"cut","delay_ms":-1})").status == 400);
    BOOST_TEST(call("PUT", target, "mode").status == 400);
    BOOST_TEST(call("PUT", "/link/1", R"({"mode":"cut"})").status == 404);
    BOOST_TEST(call("GET", "/stats", "").body.find(R"("delay_ms":7)") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
