#pragma once

#include <filesystem>
#include <string>
#include <vector>

namespace crocuslever::soak {

/// Keeps the ports of daemons from outgoing connections, to which the system may give any port that nobody is bound to, also
/// while a daemon isn't running. Binds without listening, so that a daemon may still listen there (SO_REUSEADDR).
class PortHolder {
public:
    PortHolder() = default;
    ~PortHolder();
    PortHolder(const PortHolder&) = delete;
    PortHolder& operator=(const PortHolder&) = delete;

    /// Holds the ports on which a daemon with this settings file listens. Throws std::runtime_error if one is taken.
    void holdPortsOf(const std::filesystem::path& settingsFile);

private:
    void hold(int port);

    std::vector<int> m_sockets;
};

} // namespace crocuslever::soak
