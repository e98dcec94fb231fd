#include "src/http/HttpClient.h"

#include <atomic>
#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <thread>

#include "tests/support/RunUntil.h"

using namespace crocuslever;
using namespace crocuslever::testing;
namespace asio = boost::asio;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(HttpClientTest)

namespace {

/// Answers one request, on a thread of its own, once it is told to.
class OneAnswer {
public:
    explicit OneAnswer(std::string answer)
        : m_answer(std::move(answer))
        , m_acceptor(m_io, { asio::ip::address_v4::loopback(), 0 })
        , m_thread([this] { serve(); })
    {
    }

    ~OneAnswer()
    {
        m_mayAnswer = true;
        m_thread.join();
    }

    std::string endpoint() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }
    bool hasRequest() const { return m_hasRequest; }
    void answer() { m_mayAnswer = true; }

private:
    void serve()
    {
        asio::ip::tcp::socket socket(m_io);
        m_acceptor.accept(socket);
        asio::streambuf buf;
        asio::read_until(socket, buf, "\r\n\r\n");
        m_hasRequest = true;
        while (!m_mayAnswer)
            std::this_thread::sleep_for(milliseconds(1));
        boost::system::error_code ec;
        asio::write(socket, asio::buffer(m_answer), ec);
        char byte = 0;
        socket.read_some(asio::buffer(&byte, 1), ec); // Until the client closes.
    }

    std::string m_answer;
    asio::io_context m_io;
    asio::ip::tcp::acceptor m_acceptor;
    std::atomic<bool> m_hasRequest { false };
    std::atomic<bool> m_mayAnswer { false };
    std::thread m_thread;
};

/// Sockets that have something to read as soon as they are told to.
class Crowd {
public:
    Crowd(asio::io_context& io, std::size_t count)
    {
        for (std::size_t n = 0; n < count; ++n) {
            m_readers.emplace_back(io);
            m_writers.emplace_back(io);
            asio::local::connect_pair(m_readers.back(), m_writers.back());
            m_readers.back().async_wait(asio::local::stream_protocol::socket::wait_read, [](const boost::system::error_code&) {});
        }
    }

    void speak()
    {
        for (asio::local::stream_protocol::socket& it : m_writers)
            asio::write(it, asio::buffer("x", 1));
    }

private:
    std::vector<asio::local::stream_protocol::socket> m_readers;
    std::vector<asio::local::stream_protocol::socket> m_writers;
};

} // namespace

static const std::string kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

/// The result of a call with a timeout of 100 ms, if the event loop stands still until after it and has `others` sockets to
/// read before that of the call.
static Result<HttpReply> callWithLateLoop(const std::string& answer, std::size_t others)
{
    OneAnswer server(answer);
    asio::io_context io;
    Crowd crowd(io, others);
    HttpClientSettings settings;
    settings.endpoints = { server.endpoint() };
    settings.timeout = milliseconds(100);
    HttpClient client(io, settings);
    std::optional<Result<HttpReply>> result;
    client.send({ "POST", "/", "" }, [&](const Result<HttpReply>& reply) { result = reply; });
    BOOST_REQUIRE(runUntil(io, [&] { return server.hasRequest(); }));
    io.restart();
    io.run_for(milliseconds(10)); // Until the client waits for the answer.
    asio::steady_timer timer(io, milliseconds(1));
    timer.async_wait([](const boost::system::error_code&) {});
    std::this_thread::sleep_for(milliseconds(5));
    crowd.speak();
    server.answer();
    std::this_thread::sleep_for(milliseconds(200));
    BOOST_REQUIRE(runUntil(io, [&] { return result.has_value(); }));
    return *result;
}

// A busy instance took the store and the upstreams for silent, whose answers had arrived.
BOOST_AUTO_TEST_CASE(AnswerThatHasArrivedTimesOutUnread)
{
    for (std::size_t others : { 0U, 300U }) {
        BOOST_TEST_CONTEXT(others << " other sockets")
        {
            Result<HttpReply> result = callWithLateLoop(kAnswer, others);
            BOOST_TEST(result.has_value());
        }
    }
}

// A part of an answer must not keep a call from timing out.
BOOST_AUTO_TEST_CASE(PartOfAnAnswerEndsTheTimeout)
{
    for (std::size_t others : { 0U, 300U }) {
        BOOST_TEST_CONTEXT(others << " other sockets")
        {
            Result<HttpReply> result = callWithLateLoop(kAnswer.substr(0, kAnswer.size() - 1), others);
            BOOST_TEST(result.has_error());
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
