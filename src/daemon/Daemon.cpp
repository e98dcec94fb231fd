#include "src/daemon/Daemon.h"

#include <boost/asio/post.hpp>
#include <csignal>
#include <utility>

#include "src/daemon/ProcessUsage.h"
#include "src/daemon/StatusReport.h"
#include "src/daemon/SystemClock.h"

namespace crocuslever {

static constexpr Duration kTickInterval = std::chrono::milliseconds(10);
/// Bursts of events share one tick, so that the cost of ticks does not grow with their number.
static constexpr Duration kMinimumTickInterval = std::chrono::milliseconds(1);
/// Added to the core's shutdown deadline for replies that are still being written.
static constexpr Duration kReplyWriteGracePeriod = std::chrono::seconds(5);
static constexpr Duration kListFailureLogInterval = std::chrono::seconds(30);

static StoreClientSettings storeSettings(const Settings& settings)
{
    StoreClientSettings store;
    store.endpoints = settings.storeEndpoints;
    store.timeout = settings.storeTimeout;
    return store;
}

static UpstreamClientSettings upstreamSettings(const Settings& settings)
{
    UpstreamClientSettings upstreams;
    upstreams.timeout = settings.upstreamTimeout;
    upstreams.connectionsPerUpstream = settings.connectionsPerUpstream;
    upstreams.maximumResultBytes = settings.maximumResultBytes;
    return upstreams;
}

static PeerTransportSettings peerSettings(const Settings& settings)
{
    PeerTransportSettings peers;
    peers.self = settings.core.self;
    peers.bindAddress = settings.peerBindAddress;
    peers.publicKey = settings.core.peerPublicKey;
    peers.secretKey = settings.peerSecretKey;
    peers.insecure = settings.peersInsecure;
    return peers;
}

static InstanceListSettings instanceListSettings(const Settings& settings)
{
    InstanceListSettings list;
    list.url = settings.instanceListUrl;
    list.interval = settings.instanceListInterval;
    return list;
}

Daemon::Daemon(const Settings& settings, Logger logger, const std::string& eventLogFile)
    : m_settings(settings)
    , m_logger(std::move(logger))
    , m_eventLog(settings.core.self, eventLogFile)
    , m_context(1)
    , m_tickTimer(m_context)
    , m_signals(m_context, SIGTERM, SIGINT)
    , m_state(settings.core)
    , m_store(m_context, storeSettings(settings), [this](Event event) { enqueueEvent(std::move(event)); })
    , m_upstreams(m_context, upstreamSettings(settings), [this](Event event) { enqueueEvent(std::move(event)); })
    , m_peers(m_context, peerSettings(settings), [this](Event event) { enqueueEvent(std::move(event)); })
    , m_instanceList(
          m_context, instanceListSettings(settings), [this](Event event) { enqueueEvent(std::move(event)); }, [this](const Error& error) { logListFailure(error); })
    , m_callers(m_context, settings.callers, [this](Event event) { enqueueEvent(std::move(event)); },
          { [this] { return !m_shuttingDown && isReady(m_state, readClock().steady); }, [this] { return collectMetrics(); },
              [this] { return formatStatus(m_state, readClock().steady); } })
{
    m_peers.setErrorHandler([this](const Error& error) { m_logger.write(LogLevel::Debug, error, readClock().wallMs); });
}

Result<void> Daemon::open()
{
    Result<void> peers = m_peers.open();
    if (peers.has_error())
        return peers;
    return m_callers.open();
}

bool Daemon::run()
{
    m_state.startedAt = readClock().steady;
    awaitSignal();
    m_instanceList.start();
    scheduleTick(Duration::zero());
    log(LogLevel::Info, "daemon", "started; listening for callers on " + m_settings.callers.listenAddress + "; peer address " + m_settings.core.peerAddress);
    m_context.run();
    return m_stoppedCleanly;
}

void Daemon::enqueueEvent(Event event)
{
    // Events may be reported from within execute(), so they are queued and handled later.
    m_events.push_back(std::move(event));
    if (std::exchange(m_handlingPosted, true))
        return;
    boost::asio::post(m_context, [this] { handleEvents(); });
}

void Daemon::handleEvents()
{
    m_handlingPosted = false;
    std::deque<Event> events = std::exchange(m_events, {});
    m_loopCounters.add("events_total", static_cast<std::int64_t>(events.size()));
    // Read the clock for each event: a lease may expire while a burst is processed.
    for (const Event& event : events) {
        if (!refuseAfterShutdown(event))
            handleEvent(m_state, event, readClock(), m_actions);
    }
    dispatchActions();
    Duration sinceTick = readClock().steady - m_lastTick;
    if (sinceTick >= kMinimumTickInterval)
        runTick();
    else
        scheduleTick(kMinimumTickInterval - sinceTick);
}

bool Daemon::refuseAfterShutdown(const Event& event)
{
    // The lease has been revoked. Calls still read from open connections must not reach the core,
    // because it could no longer complete them.
    const CallerCall* call = std::get_if<CallerCall>(&event);
    if (!m_coreShutdownComplete || !call)
        return false;
    CallerReply reply;
    reply.id = call->id;
    reply.outcome = CallOutcome::NotRun;
    reply.reason = RefusalReason::ShuttingDown;
    reply.message = "this instance is stopping";
    m_callers.reply(reply);
    return true;
}

void Daemon::runTick()
{
    if (m_stopped)
        return;
    Instant now = readClock();
    m_lastTick = now.steady;
    tick(m_state, now, m_actions);
    dispatchActions();
    recordStateChanges(now.steady);
    advanceShutdown(now.steady);
    m_loopCounters.add("ticks_total");
    m_loopCounters.add("tick_microseconds_total", (readClock().steady - now.steady).count());
    scheduleTick(kTickInterval);
}

void Daemon::scheduleTick(Duration delay)
{
    if (m_stopped)
        return;
    m_tickTimer.expires_after(delay);
    m_tickTimer.async_wait([this](const boost::system::error_code& ec) {
        if (!ec)
            runTick();
    });
}

void Daemon::dispatchActions()
{
    Actions actions = std::exchange(m_actions, {});
    auto dispatch = [this](const auto& action) {
        using Command = std::decay_t<decltype(action)>;
        if constexpr (std::is_same_v<Command, StoreTransaction> || std::is_same_v<Command, StoreRange> || std::is_same_v<Command, StoreLeaseGrant> || std::is_same_v<Command, StoreLeaseKeepAlive> || std::is_same_v<Command, StoreLeaseRevoke> || std::is_same_v<Command, StoreWatch>)
            m_store.execute(action);
        else if constexpr (std::is_same_v<Command, UpstreamFence> || std::is_same_v<Command, UpstreamStart> || std::is_same_v<Command, UpstreamSync> || std::is_same_v<Command, UpstreamStop>)
            m_upstreams.execute(action);
        else
            perform(action);
    };
    for (const Action& action : actions)
        std::visit(dispatch, action);
}

void Daemon::perform(const CallerReply& reply) { m_callers.reply(reply); }

void Daemon::perform(const PeerSend& message) { m_peers.send(message); }

void Daemon::perform(const LogLine& line) { m_logger.write(line, readClock().wallMs); }

void Daemon::perform(const ShutdownComplete& complete)
{
    m_coreShutdownComplete = true;
    m_unansweredCalls = complete.requestsLeft;
    m_callers.stopAccepting();
}

void Daemon::awaitSignal()
{
    m_signals.async_wait([this](const boost::system::error_code& ec, int) {
        if (!ec)
            handleSignal();
    });
}

void Daemon::handleSignal()
{
    if (m_shuttingDown)
        return stop(false, "second termination signal received");
    m_shuttingDown = true;
    m_shutdownSince = readClock().steady;
    m_eventLog.write(m_shutdownSince, "shutdown", m_recordedRevision);
    m_callers.beginDraining();
    log(LogLevel::Info, "daemon", "termination signal received; shutting down once the drain time has passed");
    awaitSignal();
}

void Daemon::advanceShutdown(TimePoint now)
{
    if (!m_shuttingDown)
        return;
    if (now >= m_shutdownSince + m_settings.drainTime && !std::exchange(m_coreShutdownRequested, true))
        enqueueEvent(ShutdownRequested {});
    if (m_coreShutdownComplete && m_callers.isDrained())
        return stop(m_unansweredCalls == 0, m_unansweredCalls == 0 ? "all calls answered and all shards released" : "shutdown deadline exceeded");
    if (now >= m_shutdownSince + m_settings.drainTime + m_settings.core.shutdownDeadline + kReplyWriteGracePeriod)
        stop(false, "shutdown deadline exceeded");
}

static std::string describeUnfinished(const CoreState& state, int requestsLeft)
{
    std::size_t calls = std::max(state.calls.size(), static_cast<std::size_t>(requestsLeft));
    return std::to_string(calls) + " calls, " + std::to_string(state.storeQueue.waiting.size()) + " store writes and "
        + std::to_string(state.attempts.size()) + " attempts left";
}

void Daemon::stop(bool clean, const std::string& why)
{
    m_stopped = true;
    m_stoppedCleanly = clean;
    log(clean ? LogLevel::Info : LogLevel::Warning, "daemon", "stopped: " + why + "; " + describeUnfinished(m_state, m_unansweredCalls));
    m_eventLog.write(readClock().steady, "stopped", m_recordedRevision);
    m_tickTimer.cancel();
    m_signals.cancel();
    m_callers.stop();
    m_instanceList.stop();
    m_upstreams.stop();
    m_store.stop();
    m_peers.stop();
    m_context.stop();
}

void Daemon::recordStateChanges(TimePoint now)
{
    std::uint64_t revision = m_state.configuration.current->revision;
    bool ready = !m_shuttingDown && isReady(m_state, now);
    if (revision != m_recordedRevision)
        m_eventLog.write(now, "configuration", revision);
    if (ready != m_recordedReady)
        m_eventLog.write(now, ready ? "ready" : "not_ready", revision);
    m_recordedRevision = revision;
    m_recordedReady = ready;
}

void Daemon::logListFailure(const Error& error)
{
    m_loopCounters.add("list_failures_total");
    Instant now = readClock();
    if (now.steady < m_nextListFailureLog)
        return;
    m_nextListFailureLog = now.steady + kListFailureLogInterval;
    m_logger.write(LogLevel::Warning, error, now.wallMs);
}

static void setPeerCounters(const PeerTransportCounters& peers, Counters& counters)
{
    counters.set("peer_messages_sent_total", static_cast<std::int64_t>(peers.messagesSent));
    counters.set("peer_bytes_sent_total", static_cast<std::int64_t>(peers.bytesSent));
    counters.set("peer_messages_received_total", static_cast<std::int64_t>(peers.messagesReceived));
    counters.set("peer_bytes_received_total", static_cast<std::int64_t>(peers.bytesReceived));
    counters.set("peer_messages_dropped_total", static_cast<std::int64_t>(peers.dropped));
    counters.set("peer_messages_malformed_total", static_cast<std::int64_t>(peers.malformed));
}

std::string Daemon::collectMetrics()
{
    Counters counters = m_state.counters;
    for (const auto& [name, value] : m_loopCounters.values())
        counters.set(name, value);
    setGauges(m_state, readClock().steady, counters);
    setPeerCounters(m_peers.counters(), counters);
    setProcessGauges(counters);
    m_callers.report(counters);
    counters.set("store_calls_total", static_cast<std::int64_t>(m_store.calls()));
    counters.set("upstream_calls_total", static_cast<std::int64_t>(m_upstreams.calls()));
    return formatMetrics(counters);
}

void Daemon::log(LogLevel level, const std::string& step, const std::string& message)
{
    m_logger.write({ level, step, {}, {}, message }, readClock().wallMs);
}

} // namespace crocuslever
