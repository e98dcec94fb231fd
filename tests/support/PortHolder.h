#pragma once

#include <filesystem>
#include <string>
#include <vector>

namespace crocuslever::testing {

/// Keeps loopback ports for the servers of a test. A port that is merely free when it is asked for may be given to the next
/// one who asks, or to an outgoing connection, before its server listens or while that is down. Binds without listening, so
/// that a server may still listen there (with SO_REUSEADDR).
class PortHolder {
public:
    PortHolder() = default;
    ~PortHolder();
    PortHolder(const PortHolder&) = delete;
    PortHolder& operator=(const PortHolder&) = delete;

    /// Returns "127.0.0.1:port" with a port that nobody else is bound to. Throws std::runtime_error if there is none.
    std::string holdFreeAddress();
    /// Holds the ports on which a daemon with this settings file listens. False, and none of them is held, if one is taken.
    bool holdPortsOf(const std::filesystem::path& settingsFile);

private:
    bool hold(int port);
    void release(std::size_t count);

    std::vector<int> m_sockets;
};

} // namespace crocuslever::testing
