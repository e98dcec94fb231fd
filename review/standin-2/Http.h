#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

/// A small blocking HTTP/1.1 server and client on loopback, one thread a connection.
namespace sim {

using Json = nlohmann::json;

inline std::int64_t steadyMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

inline std::int64_t wallMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

inline void sleepMs(std::int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

struct Request {
    std::string method;
    std::string path; ///< Without the query.
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

struct Answer {
    int status { 0 }; ///< 0 at the server: the connection is closed without an answer. 0 at the client: no answer.
    std::string body;
};

inline sockaddr_in addressOf(const std::string& address)
{
    sockaddr_in in {};
    in.sin_family = AF_INET;
    std::size_t colon = address.rfind(':');
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &in.sin_addr);
    in.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    return in;
}

/// A loopback address whose port is free now, below the ports that the system gives to outgoing connections. Cases that run
/// beside each other take theirs from different ranges.
inline std::string freeAddress()
{
    constexpr int kFirst = 15000;
    constexpr int kRanges = 84;
    constexpr int kRange = 200;
    static int next = 0;
    while (next < kRange) {
        std::string address = "127.0.0.1:" + std::to_string(kFirst + ::getpid() % kRanges * kRange + next++);
        int fd = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in in = addressOf(address);
        bool isFree = ::bind(fd, reinterpret_cast<sockaddr*>(&in), sizeof in) == 0;
        ::close(fd);
        if (isFree)
            return address;
    }
    return "127.0.0.1:0";
}

/// Reads HTTP messages from a socket.
class Reader {
public:
    explicit Reader(int fd)
        : m_fd(fd)
    {
    }

    /// Reads a start line, headers and body. False: the connection has ended, or the time is over.
    bool read(std::string& startLine, std::map<std::string, std::string>& headers, std::string& body, std::int64_t deadlineMs = 0)
    {
        std::size_t end;
        while ((end = m_buf.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(deadlineMs))
                return false;
        }
        std::string head = m_buf.substr(0, end);
        m_buf.erase(0, end + 4);
        std::size_t at = head.find("\r\n");
        startLine = head.substr(0, at);
        headers.clear();
        while (at != std::string::npos) {
            std::size_t next = head.find("\r\n", at + 2);
            std::string line = head.substr(at + 2, next == std::string::npos ? next : next - at - 2);
            std::size_t colon = line.find(':');
            std::string name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
            std::size_t from = colon == std::string::npos ? line.size() : line.find_first_not_of(' ', colon + 1);
            headers[name] = from == std::string::npos ? std::string() : line.substr(from);
            at = next;
        }
        std::size_t length = headers.count("content-length") > 0 ? std::stoul(headers["content-length"]) : 0;
        while (m_buf.size() < length) {
            if (!fill(deadlineMs))
                return false;
        }
        body = m_buf.substr(0, length);
        m_buf.erase(0, length);
        return true;
    }

private:
    bool fill(std::int64_t deadlineMs)
    {
        if (deadlineMs != 0) {
            pollfd it { m_fd, POLLIN, 0 };
            std::int64_t left = deadlineMs - steadyMs();
            if (left <= 0 || ::poll(&it, 1, static_cast<int>(left)) <= 0)
                return false;
        }
        char bytes[65536];
        ssize_t n = ::recv(m_fd, bytes, sizeof bytes, 0);
        if (n <= 0)
            return false;
        m_buf.append(bytes, static_cast<std::size_t>(n));
        return true;
    }

    int m_fd;
    std::string m_buf;
};

inline bool sendAll(int fd, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        ssize_t n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

class Server {
public:
    using Handler = std::function<Answer(const Request&)>;

    Server(const std::string& address, Handler handler)
        : m_handler(std::move(handler))
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int on = 1;
        ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in in = addressOf(address);
        m_isOpen = ::bind(m_listener, reinterpret_cast<sockaddr*>(&in), sizeof in) == 0 && ::listen(m_listener, kBacklog) == 0;
        m_thread = std::thread([this] { accept(); });
    }

    ~Server() { stop(); }

    bool isOpen() const { return m_isOpen; }

    /// Closes the listener and resets all connections, as the end of a process does.
    void stop()
    {
        if (m_stopped.exchange(true))
            return;
        ::shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        ::close(m_listener);
        std::vector<std::thread> threads;
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            for (int fd : m_open)
                ::shutdown(fd, SHUT_RDWR);
            threads.swap(m_threads);
        }
        for (std::thread& it : threads)
            it.join();
    }

    /// While deaf, the server takes no connection: once the queue of its listener is full, new ones hang as behind a cut.
    void setDeaf(bool isDeaf)
    {
        m_isDeaf = isDeaf;
        ::listen(m_listener, isDeaf ? 0 : kBacklog);
    }

private:
    void accept()
    {
        while (!m_stopped) {
            if (m_isDeaf) {
                sleepMs(2);
                continue;
            }
            int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (m_stopped)
                    return;
                sleepMs(5);
                continue;
            }
            while (m_isDeaf && !m_stopped)
                sleepMs(2);
            std::lock_guard<std::mutex> lock(m_mutex);
            m_open.push_back(fd);
            m_threads.emplace_back([this, fd] { serve(fd); });
        }
    }

    void serve(int fd)
    {
        int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        Reader reader(fd);
        std::string line;
        Request request;
        while (!m_stopped && reader.read(line, request.headers, request.body)) {
            std::size_t first = line.find(' ');
            std::size_t second = line.find(' ', first + 1);
            request.method = line.substr(0, first);
            parseTarget(line.substr(first + 1, second - first - 1), request);
            Answer answer = m_handler(request);
            if (answer.status == 0 || m_stopped)
                break;
            std::string text = "HTTP/1.1 " + std::to_string(answer.status) + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body;
            if (!sendAll(fd, text))
                break;
        }
        std::lock_guard<std::mutex> lock(m_mutex);
        m_open.erase(std::find(m_open.begin(), m_open.end(), fd));
        ::close(fd);
    }

    static void parseTarget(const std::string& target, Request& request)
    {
        std::size_t mark = target.find('?');
        request.path = target.substr(0, mark);
        request.query.clear();
        while (mark != std::string::npos) {
            std::size_t next = target.find('&', mark + 1);
            std::string pair = target.substr(mark + 1, next == std::string::npos ? next : next - mark - 1);
            std::size_t equals = pair.find('=');
            request.query[pair.substr(0, equals)] = equals == std::string::npos ? std::string() : pair.substr(equals + 1);
            mark = next;
        }
    }

    static constexpr int kBacklog = 512;

    Handler m_handler;
    std::atomic<bool> m_isDeaf { false };
    int m_listener { -1 };
    bool m_isOpen { false };
    std::atomic<bool> m_stopped { false };
    std::thread m_thread;
    std::mutex m_mutex;
    std::vector<int> m_open;
    std::vector<std::thread> m_threads;
};

/// One call on a connection of its own.
inline Answer call(const std::string& address, const std::string& method, const std::string& path, const std::map<std::string, std::string>& headers, const std::string& body, std::int64_t timeoutMs)
{
    std::int64_t deadline = steadyMs() + timeoutMs;
    Answer answer;
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in in = addressOf(address);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&in), sizeof in) == 0) {
        std::string text = method + " " + path + " HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
        for (const auto& [name, value] : headers)
            text += name + ": " + value + "\r\n";
        std::string line;
        std::map<std::string, std::string> answered;
        std::string content;
        if (sendAll(fd, text + "\r\n" + body) && Reader(fd).read(line, answered, content, deadline) && line.size() > 12)
            answer = { std::stoi(line.substr(9, 3)), content };
    }
    ::close(fd);
    return answer;
}

} // namespace sim
