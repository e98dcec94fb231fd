#pragma once

#include <functional>
#include <future>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "crocuslever/Configuration.h"
#include "tests/support/CallerClient.h"
#include "tests/support/EventLog.h"
#include "tests/support/HistoryChecker.h"
#include "tests/support/Process.h"

namespace crocuslever::testing {

struct CellSettings {
    std::string programFolder; ///< Folder of the programs.
    int instances { 3 };
    int upstreams { 6 }; ///< Spread over three failure domains.
    int upperLimit { 20 }; ///< Of each team.
};

/// A submission as its caller remembers it.
struct SubmittedJob {
    std::string id; ///< The caller's.
    std::string body;
    std::string job; ///< Empty: not known to be accepted.
    std::string outcome; ///< Of the last answer.
};

/// A lookup that has been sent and not yet waited for.
struct PendingLookUp {
    nlohmann::json line; ///< Of the event log.
    std::string body;
    std::future<ClientAnswer> answer;
};

/// A whole cell of real processes on the loopback address, with a fault proxy
/// before the store, one link for each instance. Everything ends with this.
class Cell {
public:
    explicit Cell(const CellSettings&);
    ~Cell();
    Cell(const Cell&) = delete;
    Cell& operator=(const Cell&) = delete;

    int size() const { return static_cast<int>(m_instances.size()); }
    /// True once every instance takes work and every shard has an owner.
    bool waitUntilReady();

    // Callers.
    ClientAnswer lookUp(int instance, int sleepMs = 20);
    PendingLookUp beginLookUp(int instance, int sleepMs);
    ClientAnswer finishLookUp(PendingLookUp&);
    SubmittedJob submit(int instance, bool idempotent, int sleepMs);
    /// Submits again under the same id.
    void resubmit(int instance, SubmittedJob&);
    /// True once the job has ended; its answer is checked.
    bool fetch(int instance, const SubmittedJob&);
    std::string lastFetch() const { return m_lastFetch; }

    // Operators.
    Configuration configuration() const { return m_configuration; }
    /// Compares and swaps by the revision that it replaces; false if another change came first.
    bool apply(Configuration);
    /// As an operator who read `base`, which may be outdated by now.
    bool applyOver(const Configuration& base, Configuration);
    bool isInForce(std::uint64_t revision);
    void setLeaving(int upstream, bool leaving);

    // Faults.
    void kill(int instance);
    void start(int instance);
    void freeze(int instance);
    void thaw(int instance);
    void terminate(int instance);
    bool waitForExit(int instance);
    /// "pass", "cut", "freeze", "reset" or "drop-answers".
    void setStoreLink(int instance, const std::string& mode);

    History history() const;
    std::string tails() const;

    static bool waitFor(const std::function<bool()>&, Duration limit = std::chrono::seconds(90));

private:
    struct Instance {
        std::string name;
        int callerPort { 0 };
        int peerPort { 0 };
        int storeLink { 0 };
        std::unique_ptr<Process> process;
        bool terminating { false };
    };

    std::string path(const std::string& file) const { return m_folder + "/" + file; }
    void startFakeServices();
    void writeList();
    void writeSettings(int instance);
    void logFault(int instance, const std::string& event, int exitStatus = 0);
    ClientAnswer call(int instance, ClientRequest, const std::string& kind, const std::string& body, bool idempotent, SubmittedJob*);
    nlohmann::json logSend(int instance, const std::string& kind, const std::string& body, bool idempotent);
    void logAnswer(nlohmann::json& line, const ClientAnswer&, const std::string& body);
    ClientRequest makeUrgentRequest(int instance, int sleepMs) const;

    CellSettings m_settings;
    std::string m_folder;
    std::unique_ptr<EventLog> m_log;
    int m_storePort { 0 };
    int m_listPort { 0 };
    int m_controlPort { 0 };
    int m_upstreamPort { 0 };
    std::vector<bool> m_leaving;
    std::vector<std::unique_ptr<Process>> m_fakeServices;
    std::vector<Instance> m_instances;
    Configuration m_configuration;
    int m_nextCall { 0 };
    std::string m_lastFetch;
};

} // namespace crocuslever::testing
