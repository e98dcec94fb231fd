#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "review/standin/Cell.h"
#include "tests/support/PortHolder.h"
#include "tests/support/Process.h"

namespace crocuslever::hostile {

/// One daemon as a real process with a store and an upstream on loopback addresses. It is ready after the construction.
class HostileDaemon {
public:
    /// Throws if the daemon is not ready within 30 s.
    HostileDaemon();
    ~HostileDaemon();
    HostileDaemon(const HostileDaemon&) = delete;
    HostileDaemon& operator=(const HostileDaemon&) = delete;

    const std::string& callers() const { return m_callers; }
    const std::string& readiness() const { return m_readiness; }
    bool isAlive();
    /// Largest resident memory of the process so far, in KiB.
    std::int64_t peakMemoryKib() const;
    /// Waits until the peak has not changed for a second; the daemon still reads what was sent until then.
    void awaitSteadyMemory() const;
    std::size_t openDescriptors() const;
    /// Hands a job in from an address of its own, again while it is refused or not answered. False if it isn't accepted within 30 s.
    bool acceptsJob();
    /// Asks for the readiness in the same way; false if the daemon doesn't say within 30 s that it is ready.
    bool answersReadiness();

private:
    void writeSettings() const;
    /// Throws with the end of the daemon's log.
    [[noreturn]] void fail(const std::string& what);
    std::string processFile(const std::string& name) const;

    std::string m_folder;
    testing::PortHolder m_ports;
    std::string m_storeAddress { m_ports.holdFreeAddress() };
    std::string m_callers { m_ports.holdFreeAddress() };
    std::string m_readiness { m_ports.holdFreeAddress() };
    std::string m_peers { m_ports.holdFreeAddress() };
    standin::Record m_record;
    standin::RunLog m_runs;
    standin::Store m_store;
    standin::Worker m_worker;
    std::unique_ptr<testing::Process> m_process;
    int m_nextJob { 1 };
};

} // namespace crocuslever::hostile
