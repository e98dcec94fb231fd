#pragma once

#include <filesystem>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "review/standin/Cell.h"
#include "tests/soak/AckLog.h"
#include "tests/soak/LinkGates.h"
#include "tests/soak/SoakChecks.h"
#include "tests/soak/StoreGate.h"
#include "tests/support/PortHolder.h"

namespace crocuslever::soak {

constexpr const char* kQueuePath = "/plan/"; ///< Of the only queue.
constexpr int kAttempts = 4; ///< Of that queue.
constexpr std::size_t kDomains = 3; ///< Instance, worker N is in failure domain N % kDomains.

enum class Direction { Both,
    In,
    Out };

/// Entry instances as real processes, with stand-ins for the store and the workers on loopback.
class SoakCell {
public:
    /// `program`: the daemon; `folder`: for settings, logs and the record of what happened. Changes the working folder to it.
    SoakCell(const std::filesystem::path& program, const std::filesystem::path& folder, std::uint64_t seed);
    ~SoakCell();
    SoakCell(const SoakCell&) = delete;
    SoakCell& operator=(const SoakCell&) = delete;

    bool awaitReady();
    standin::HttpAnswer call(const std::string& method, const std::string& path, const std::string& body, std::size_t instance);

    // Faults.
    StoreGate& gate() { return m_gate; }
    /// Kills the owner's process and starts it again; false: there is no owner.
    bool restartOwner();
    /// The first instance that says that it owns the cell; empty: none.
    std::optional<std::size_t> findOwner();
    /// Cuts a failure domain off from the other ones and the store. Returns a number for heal().
    int cutDomain(std::size_t domain, Direction, LinkGates::CutKind);
    /// Cuts one instance off from all nodes of that kind. Returns a number for heal().
    int cutInstance(std::size_t instance, Node::Kind, LinkGates::CutKind);
    void heal(int cut);
    /// Stops an instance's process; true: until resumeInstance().
    bool pauseInstance(std::size_t instance);
    void resumeInstance(std::size_t instance);
    LinkGates& links() { return m_links; }
    void crashWorkers(std::size_t count);
    void reviveWorkers();

    std::size_t instanceCount() const { return m_instances.size(); }
    std::vector<standin::RunNote> runs() { return m_runs.runsOf(""); }
    const CrashTimes& crashes() const { return m_crashes; }
    std::vector<Acknowledgement> acknowledgements() { return m_acks.acknowledgements(); }
    /// Instances that ended by themselves.
    int endedInstances();
    void note(const std::string& line) { m_record.write(line); }

private:
    std::unique_ptr<standin::Instance> makeInstance(std::size_t n);

    std::mt19937_64 m_random;
    standin::Record m_record;
    standin::RunLog m_runs;
    testing::PortHolder m_ports; ///< Of the instances and the stand-ins.
    std::string m_storeAddress;
    std::string m_gateAddress;
    standin::Store m_store;
    StoreGate m_gate;
    AckLog m_acks;
    LinkGates m_links;
    std::vector<std::unique_ptr<standin::Worker>> m_workers;
    std::vector<std::unique_ptr<standin::Instance>> m_instances;
    std::mutex m_processes; ///< Held while processes are started or ended, or get signals.
    std::vector<std::size_t> m_crashed; ///< Workers that are down.
    CrashTimes m_crashes;
};

} // namespace crocuslever::soak
