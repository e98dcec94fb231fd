#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace crocuslever::hostile {

/// Connections of clients that send what they are told, never read, and stay open.
class HostileCrowd {
public:
    /// Opens the connections. Those that fail are left out.
    HostileCrowd(const std::string& address, std::size_t count);
    ~HostileCrowd();
    HostileCrowd(const HostileCrowd&) = delete;
    HostileCrowd& operator=(const HostileCrowd&) = delete;

    /// Sends the bytes on each connection, in pieces of at most `pieceBytes` that take turns. Ends when everything is sent or
    /// when no connection has taken a byte for a second.
    void send(const std::string& bytes, std::size_t pieceBytes);
    /// Sends the text again and again until no connection takes any more, or each has taken `limitBytes`.
    void sendRepeatedly(const std::string& text, std::size_t limitBytes);
    /// Reads up to so many bytes from each connection without waiting for them.
    void readSome(std::size_t bytes);

private:
    struct Client {
        int socket { -1 };
        std::size_t sent { 0 }; ///< Of the bytes of the current call of send().
    };

    std::vector<Client> m_clients;
};

} // namespace crocuslever::hostile
