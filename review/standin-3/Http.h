#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/tcp.h>
#include <set>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>
#include <vector>

// A blocking HTTP/1.1 server and client on loopback, just large enough for the stand-ins.

namespace standin3 {

constexpr const char* kHost = "127.0.0.1";

struct Request {
    std::string method;
    std::string path; ///< Without the query.
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

struct Answer {
    int status { 0 }; ///< 0: none arrived.
    std::string body;
};

inline sockaddr_in loopback(int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, kHost, &address.sin_addr);
    return address;
}

inline int openListener(int port)
{
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = loopback(port);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(fd, 512) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

/// A port that was free a moment ago. No two calls return the same one.
inline int freePort()
{
    static std::mutex mutex;
    static std::set<int> taken;
    std::lock_guard<std::mutex> lock(mutex);
    for (int n = 0; n < 100; ++n) {
        int fd = openListener(0);
        sockaddr_in address {};
        socklen_t length = sizeof address;
        ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
        ::close(fd);
        if (taken.insert(ntohs(address.sin_port)).second)
            return ntohs(address.sin_port);
    }
    throw std::runtime_error("no free port");
}

inline std::string addressOf(int port) { return std::string(kHost) + ":" + std::to_string(port); }

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

/// Reads one message from the connection. `buf` keeps what belongs to the next one.
inline bool readMessage(int fd, std::string& buf, std::string& firstLine, std::map<std::string, std::string>& headers, std::string& body)
{
    std::size_t end = std::string::npos;
    char chunk[16384];
    while ((end = buf.find("\r\n\r\n")) == std::string::npos) {
        ssize_t n = ::recv(fd, chunk, sizeof chunk, 0);
        if (n <= 0)
            return false;
        buf.append(chunk, static_cast<std::size_t>(n));
    }
    std::string head = buf.substr(0, end + 2);
    buf.erase(0, end + 4);
    std::size_t begin = head.find("\r\n");
    firstLine = head.substr(0, begin);
    headers.clear();
    for (begin += 2; begin < head.size();) {
        std::size_t stop = head.find("\r\n", begin);
        std::string line = head.substr(begin, stop - begin);
        std::size_t colon = line.find(':');
        std::string name = line.substr(0, colon);
        for (char& c : name)
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        std::size_t value = colon == std::string::npos ? line.size() : line.find_first_not_of(' ', colon + 1);
        headers[name] = value < line.size() ? line.substr(value) : std::string();
        begin = stop + 2;
    }
    std::size_t length = headers.count("content-length") > 0 ? std::strtoul(headers["content-length"].c_str(), nullptr, 10) : 0;
    while (buf.size() < length) {
        ssize_t n = ::recv(fd, chunk, sizeof chunk, 0);
        if (n <= 0)
            return false;
        buf.append(chunk, static_cast<std::size_t>(n));
    }
    body = buf.substr(0, length);
    buf.erase(0, length);
    return true;
}

/// One thread for each connection. The handler may block.
class Server {
public:
    using Handler = std::function<Answer(const Request&)>;

    Server(int port, Handler handler)
        : m_port(port)
        , m_handler(std::move(handler))
    {
        m_listener = openListener(port);
        if (m_listener < 0)
            throw std::runtime_error("port " + std::to_string(port) + " can't be bound");
        m_accepting = std::thread([this] { accept(); });
    }

    ~Server() { stop(); }

    /// Closes the port and all connections, as a process that ends does.
    void stop()
    {
        if (m_stopped.exchange(true))
            return;
        ::shutdown(m_listener, SHUT_RDWR);
        m_accepting.join();
        ::close(m_listener);
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            for (int fd : m_connections)
                ::shutdown(fd, SHUT_RDWR);
        }
        for (std::thread& it : m_threads)
            it.join();
    }

    int port() const { return m_port; }

private:
    void accept()
    {
        while (!m_stopped) {
            int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::lock_guard<std::mutex> lock(m_mutex);
            m_connections.insert(fd);
            m_threads.emplace_back([this, fd] { serve(fd); });
        }
    }

    void serve(int fd)
    {
        std::string buf;
        std::string line;
        Request request;
        while (!m_stopped && readMessage(fd, buf, line, request.headers, request.body)) {
            parseLine(line, request);
            Answer answer = m_handler(request);
            // A process that has ended answers nothing.
            if (m_stopped || answer.status == 0)
                break;
            std::string head = "HTTP/1.1 " + std::to_string(answer.status) + " x\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n";
            if (!sendAll(fd, head + answer.body))
                break;
        }
        std::lock_guard<std::mutex> lock(m_mutex);
        m_connections.erase(fd);
        ::close(fd);
    }

    static void parseLine(const std::string& line, Request& request)
    {
        std::size_t a = line.find(' ');
        std::size_t b = line.find(' ', a + 1);
        request.method = line.substr(0, a);
        std::string target = line.substr(a + 1, b - a - 1);
        std::size_t mark = target.find('?');
        request.path = target.substr(0, mark);
        request.query.clear();
        std::string rest = mark == std::string::npos ? std::string() : target.substr(mark + 1);
        while (!rest.empty()) {
            std::size_t amp = rest.find('&');
            std::string pair = rest.substr(0, amp);
            std::size_t equals = pair.find('=');
            request.query[pair.substr(0, equals)] = equals == std::string::npos ? std::string() : pair.substr(equals + 1);
            rest = amp == std::string::npos ? std::string() : rest.substr(amp + 1);
        }
    }

    int m_port;
    Handler m_handler;
    int m_listener { -1 };
    std::atomic<bool> m_stopped { false };
    std::mutex m_mutex;
    std::set<int> m_connections;
    std::vector<std::thread> m_threads;
    std::thread m_accepting;
};

/// A client's connection, which stays open from call to call while the server keeps it.
class Client {
public:
    explicit Client(int port)
        : m_port(port)
    {
    }
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;
    ~Client() { close(); }

    Answer call(const std::string& method, const std::string& path, const std::string& headers, const std::string& body, int timeoutMs)
    {
        if (m_fd < 0 && !connect())
            return {};
        timeval timeout { timeoutMs / 1000, (timeoutMs % 1000) * 1000 };
        ::setsockopt(m_fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
        std::string request = method + " " + path + " HTTP/1.1\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        std::string line;
        std::map<std::string, std::string> fields;
        Answer answer;
        if (!sendAll(m_fd, request) || !readMessage(m_fd, m_buf, line, fields, answer.body)) {
            close();
            return {};
        }
        answer.status = std::atoi(line.substr(line.find(' ') + 1).c_str());
        if (fields["connection"] == "close")
            close();
        return answer;
    }

    void close()
    {
        if (m_fd >= 0)
            ::close(m_fd);
        m_fd = -1;
        m_buf.clear();
    }

private:
    bool connect()
    {
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = loopback(m_port);
        int on = 1;
        ::setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        if (::connect(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0)
            return true;
        close();
        return false;
    }

    int m_port;
    int m_fd { -1 };
    std::string m_buf;
};

} // namespace standin3
