#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <condition_variable>
#include <deque>
#include <future>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>

#include "src/callers/CallerServer.h"

namespace crocuslever::testing {

constexpr std::chrono::seconds kWaitLimit { 30 };
/// Header line with a valid key.
inline const std::string kKeyHeader = "Authorization: Bearer k1.secret\r\n";

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

/// An HTTP answer as it was received.
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

/// A request with this first line, without its version.
inline std::string httpRequest(const std::string& line, const std::string& body = {}, const std::string& headers = kKeyHeader)
{
    return line + " HTTP/1.1\r\nHost: x\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The body of the answer as JSON; discarded if it is none.
inline nlohmann::json parse(const RawAnswer& answer)
{
    return nlohmann::json::parse(answer.body, nullptr, false);
}

} // namespace crocuslever::testing
