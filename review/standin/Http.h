#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/tcp.h>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

/// A small blocking HTTP/1.1 server and client for loopback addresses.
namespace standin {

struct HttpRequest {
    std::string method;
    std::string path; ///< Without the query.
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

struct HttpAnswer {
    int status { 200 };
    std::string body;
};

/// Splits "IP:port".
inline sockaddr_in toSocketAddress(const std::string& address)
{
    sockaddr_in out {};
    std::size_t colon = address.find(':');
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
    return out;
}

/// Reads one message from a socket. Bytes of the next one stay in the buffer.
class MessageReader {
public:
    explicit MessageReader(int socket)
        : m_socket(socket)
    {
    }

    /// Returns false at the end of the connection.
    bool read(std::string& startLine, std::map<std::string, std::string>& headers, std::string& body)
    {
        std::size_t end = std::string::npos;
        while ((end = m_buf.find("\r\n\r\n")) == std::string::npos) {
            if (!receive())
                return false;
        }
        std::string head = m_buf.substr(0, end + 2);
        m_buf.erase(0, end + 4);
        std::size_t lineEnd = head.find("\r\n");
        startLine = head.substr(0, lineEnd);
        headers.clear();
        for (std::size_t begin = lineEnd + 2; begin < head.size(); begin = lineEnd + 2) {
            lineEnd = head.find("\r\n", begin);
            addHeader(head.substr(begin, lineEnd - begin), headers);
        }
        std::size_t length = headers.count("content-length") ? std::stoul(headers["content-length"]) : 0;
        while (m_buf.size() < length) {
            if (!receive())
                return false;
        }
        body = m_buf.substr(0, length);
        m_buf.erase(0, length);
        return true;
    }

private:
    static void addHeader(const std::string& line, std::map<std::string, std::string>& headers)
    {
        std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            return;
        std::string name = line.substr(0, colon);
        for (char& c : name)
            c = static_cast<char>(std::tolower(c));
        std::size_t value = line.find_first_not_of(' ', colon + 1);
        headers[name] = value == std::string::npos ? "" : line.substr(value);
    }

    bool receive()
    {
        char bytes[65536];
        ssize_t n = ::recv(m_socket, bytes, sizeof bytes, 0);
        if (n <= 0)
            return false;
        m_buf.append(bytes, static_cast<std::size_t>(n));
        return true;
    }

    int m_socket;
    std::string m_buf;
};

inline bool sendAll(int socket, const std::string& bytes)
{
    for (std::size_t sent = 0; sent < bytes.size();) {
        ssize_t n = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

/// One thread for each connection. The handler returns nothing to close the connection without an answer.
class HttpServer {
public:
    using Handler = std::function<std::optional<HttpAnswer>(const HttpRequest&)>;

    HttpServer(std::string address, Handler handler)
        : m_address(std::move(address))
        , m_handler(std::move(handler))
    {
    }
    ~HttpServer() { close(); }
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    void open()
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM, 0);
        int on = 1;
        ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address = toSocketAddress(m_address);
        if (::bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(m_listener, 512) != 0)
            throw std::runtime_error("can't listen on " + m_address);
        m_isOpen = true;
        m_acceptor = std::thread([this, listener = m_listener] { accept(listener); });
    }

    /// Stops listening and resets all connections, as the end of a process would.
    void close()
    {
        if (!m_isOpen.exchange(false))
            return;
        ::shutdown(m_listener, SHUT_RDWR);
        m_acceptor.join();
        ::close(m_listener);
        std::set<int> connections;
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            connections = m_connections;
            for (int socket : connections)
                ::shutdown(socket, SHUT_RDWR);
        }
        while (m_threads > 0)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }

private:
    void accept(int listener)
    {
        while (m_isOpen) {
            int socket = ::accept(listener, nullptr, nullptr);
            if (socket < 0)
                continue;
            ++m_threads;
            std::thread([this, socket] {
                serve(socket);
                --m_threads;
            }).detach();
        }
    }

    void serve(int socket)
    {
        int on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            m_connections.insert(socket);
        }
        MessageReader reader(socket);
        std::string line;
        HttpRequest request;
        while (m_isOpen && reader.read(line, request.headers, request.body)) {
            parseStartLine(line, request);
            std::optional<HttpAnswer> answer = m_handler(request);
            if (!answer || !m_isOpen)
                break;
            std::string text = "HTTP/1.1 " + std::to_string(answer->status) + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(answer->body.size()) + "\r\n\r\n" + answer->body;
            if (!sendAll(socket, text))
                break;
        }
        std::lock_guard<std::mutex> lock(m_mutex);
        m_connections.erase(socket);
        ::close(socket);
    }

    static void parseStartLine(const std::string& line, HttpRequest& request)
    {
        std::size_t first = line.find(' ');
        std::size_t second = line.find(' ', first + 1);
        request.method = line.substr(0, first);
        std::string target = line.substr(first + 1, second - first - 1);
        std::size_t mark = target.find('?');
        request.path = target.substr(0, mark);
        request.query.clear();
        while (mark != std::string::npos) {
            std::size_t next = target.find('&', mark + 1);
            std::string pair = target.substr(mark + 1, next == std::string::npos ? next : next - mark - 1);
            std::size_t equals = pair.find('=');
            if (equals != std::string::npos)
                request.query[pair.substr(0, equals)] = pair.substr(equals + 1);
            mark = next;
        }
    }

    std::string m_address;
    Handler m_handler;
    std::atomic<bool> m_isOpen { false };
    std::atomic<int> m_threads { 0 };
    int m_listener { -1 };
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::set<int> m_connections;
};

/// Sends one request on a new connection. Status 0: no answer.
inline HttpAnswer callHttp(const std::string& address, const std::string& method, const std::string& target, const std::map<std::string, std::string>& headers, const std::string& body, int timeoutMs)
{
    int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    timeval timeout { timeoutMs / 1000, timeoutMs % 1000 * 1000 };
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
    sockaddr_in to = toSocketAddress(address);
    HttpAnswer answer { 0, "" };
    std::string text = method + " " + target + " HTTP/1.1\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    text += "\r\n" + body;
    bool isSent = ::connect(socket, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0 && sendAll(socket, text);
    std::string line;
    std::map<std::string, std::string> answerHeaders;
    MessageReader reader(socket);
    if (isSent && reader.read(line, answerHeaders, answer.body))
        answer.status = std::stoi(line.substr(line.find(' ') + 1));
    ::close(socket);
    return answer;
}

} // namespace standin
