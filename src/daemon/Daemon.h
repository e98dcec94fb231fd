#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <string>

#include "crocuslever/Core.h"
#include "src/callers/CallerServer.h"
#include "src/config/SettingsFile.h"
#include "src/daemon/InstanceEventLog.h"
#include "src/daemon/Logging.h"
#include "src/peer/PeerTransport.h"
#include "src/platform/InstanceListClient.h"
#include "src/store/StoreClient.h"
#include "src/upstream/UpstreamClient.h"

namespace crocuslever {

/// One scheduler instance: passes the events of its clients and servers to the core and executes
/// the core's actions, all on one thread.
class Daemon {
public:
    Daemon(const Settings&, Logger, const std::string& eventLogFile);

    /// Opens the listening ports for peers and callers.
    Result<void> open();
    /// Runs until the shutdown that SIGTERM or SIGINT requests is complete. True if no call was left
    /// unanswered; false after a second signal or a missed shutdown deadline.
    bool run();

private:
    void enqueueEvent(Event);
    void handleEvents();
    bool refuseAfterShutdown(const Event&);
    void runTick();
    void scheduleTick(Duration);
    void dispatchActions();

    void perform(const CallerReply&);
    void perform(const PeerSend&);
    void perform(const LogLine&);
    void perform(const ShutdownComplete&);

    void awaitSignal();
    void handleSignal();
    void advanceShutdown(TimePoint now);
    void stop(bool clean, const std::string& why);

    void recordStateChanges(TimePoint now);
    void logListFailure(const Error&);
    std::string collectMetrics();
    void log(LogLevel, const std::string& step, const std::string& message);

    Settings m_settings;
    Logger m_logger;
    InstanceEventLog m_eventLog;
    boost::asio::io_context m_context;
    boost::asio::steady_timer m_tickTimer;
    boost::asio::signal_set m_signals;
    CoreState m_state;
    StoreClient m_store;
    UpstreamClient m_upstreams;
    PeerTransport m_peers;
    InstanceListClient m_instanceList;
    CallerServer m_callers;

    std::deque<Event> m_events;
    bool m_handlingPosted { false };
    Actions m_actions;
    TimePoint m_lastTick;
    Counters m_loopCounters;

    bool m_shuttingDown { false };
    bool m_coreShutdownRequested { false }; ///< The core has been requested to shut down.
    bool m_coreShutdownComplete { false }; ///< The core has reported that its shutdown is complete.
    bool m_stopped { false };
    bool m_stoppedCleanly { false };
    int m_unansweredCalls { 0 }; ///< Calls that the core had in flight when its shutdown completed.
    TimePoint m_shutdownSince;

    std::uint64_t m_recordedRevision { 0 };
    bool m_recordedReady { false };
    TimePoint m_nextListFailureLog;
};

} // namespace crocuslever
