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

struct ProcessCellSettings {
    std::string programFolder; ///< Folder of crocusleverd and the fake services.
    int instances { 3 };
    int upstreams { 6 }; ///< Number of simulated upstreams, spread over three failure domains.
    int upperLimit { 20 }; ///< Most tasks that the team runs at a time.
};

/// What the caller knows of a job that it submitted.
struct SubmittedJob {
    std::string id; ///< Idempotency id, chosen by the caller.
    std::string body;
    std::string job; ///< Job id assigned by the cell; empty until one submission is accepted.
    std::string outcome; ///< Outcome of the last submission.
};

/// An urgent request whose answer is still outstanding.
struct PendingUrgentCall {
    nlohmann::json line; ///< The event that logged the request; also the base of the answer's event.
    std::string body;
    std::future<ClientAnswer> answer;
};

/// A cell of real processes on the loopback address: the instances, the fake store, instance list
/// and upstreams, and a fault proxy with one link to the store for each instance. The destructor
/// kills all processes and removes their files. Instances and upstreams are numbered from 0.
class ProcessCell {
public:
    explicit ProcessCell(const ProcessCellSettings&);
    ~ProcessCell();
    ProcessCell(const ProcessCell&) = delete;
    ProcessCell& operator=(const ProcessCell&) = delete;

    int size() const { return static_cast<int>(m_instances.size()); }
    /// Waits until every instance is ready, with every shard owned, and answers an urgent request;
    /// false after 90 s.
    bool waitUntilReady();

    // Callers.
    /// Sends an urgent request that runs for `sleepMs` ms, and waits for its answer.
    ClientAnswer callUrgent(int instance, int sleepMs = 20);
    /// Sends an urgent request without waiting; finishUrgentCall() collects the answer.
    PendingUrgentCall beginUrgentCall(int instance, int sleepMs);
    ClientAnswer finishUrgentCall(PendingUrgentCall&);
    /// Submits a batch job that runs for `sleepMs` ms. `outcome` tells whether it was accepted.
    SubmittedJob submit(int instance, bool idempotent, int sleepMs);
    /// Submits the job again under the same idempotency id.
    void resubmit(int instance, SubmittedJob&);
    /// Requests the result of a job and logs whether it belongs to the job. True once the job has
    /// ended, also if its outcome is unknown or its result has expired.
    bool fetchResult(int instance, const SubmittedJob&);
    /// HTTP status and body of the last fetchResult().
    std::string lastResultAnswer() const { return m_lastResultAnswer; }

    // Operators.
    Configuration configuration() const { return m_configuration; }
    /// Replaces the last applied configuration by compare-and-swap and sets the next revision; false
    /// on a conflict.
    bool apply(Configuration);
    /// Replaces `base` by compare-and-swap, as an operator whose copy may be outdated; false on a
    /// conflict.
    bool applyBasedOn(const Configuration& base, Configuration);
    /// True once every instance has logged this or a later revision as applied.
    bool isAppliedEverywhere(std::uint64_t revision);
    /// Lists the upstream as leaving or live.
    void setLeaving(int upstream, bool leaving);

    // Faults.
    /// Kills with SIGKILL and waits for the process to end.
    void kill(int instance);
    /// Starts a new process for the instance.
    void start(int instance);
    /// Stops the process with SIGSTOP until thaw().
    void freeze(int instance);
    void thaw(int instance);
    /// Requests a graceful shutdown with SIGTERM.
    void terminate(int instance);
    /// False if the process hasn't ended after 90 s.
    bool waitForExit(int instance);
    /// Sets the fault of the instance's link to the store: "pass", "cut", "freeze", "reset" or
    /// "drop-answers". Throws if the proxy refuses the mode.
    void setStoreLinkMode(int instance, const std::string& mode);

    /// All events logged so far by the test, the upstreams and the instances, sorted by time.
    History history() const;
    /// The ends of the processes' logs, for the report of a failed test.
    std::string logTails() const;

    /// Polls the condition every 50 ms; false if it doesn't hold within `limit`.
    static bool waitFor(const std::function<bool()>&, Duration limit = std::chrono::seconds(90));

private:
    struct Instance {
        std::string name;
        int callerPort { 0 };
        int peerPort { 0 };
        int storeLink { 0 }; ///< Port of the fault proxy that leads to the store.
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

    ProcessCellSettings m_settings;
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
    std::string m_lastResultAnswer;
};

} // namespace crocuslever::testing
