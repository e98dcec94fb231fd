#include "src/store/StoreWatcher.h"

#include <algorithm>
#include <utility>

namespace crocuslever {

static constexpr Duration kInitialReopenDelay = std::chrono::milliseconds(50);
static constexpr Duration kMaximumReopenDelay = std::chrono::milliseconds(1000);
static constexpr int kMaximumTimesBehind = 3; ///< Consecutive openings before the watch is reported lost.

StoreWatcher::StoreWatcher(boost::asio::io_context& io, const StoreClientSettings& settings, EventSink sink)
    : m_io(io)
    , m_settings(settings)
    , m_sink(std::move(sink))
    , m_timer(io)
{
}

void StoreWatcher::start(const StoreWatch& watch)
{
    stop();
    m_watch = watch;
    m_failures = 0;
    m_timesBehind = 0;
    open();
}

void StoreWatcher::stop()
{
    m_timer.cancel();
    m_retryToken.reset();
    m_stream.reset();
}

void StoreWatcher::open()
{
    if (m_settings.endpoints.empty())
        return;
    ++m_calls;
    HttpStreamSettings settings;
    settings.endpoint = m_settings.endpoints[m_endpoint % m_settings.endpoints.size()];
    settings.openTimeout = m_settings.timeout;
    settings.silenceTimeout = m_settings.watchSilenceTimeout;
    HttpRequest request { "POST", "/v3/watch", encodeWatch(m_watch) };
    m_stream = std::make_unique<HttpStream>(
        m_io, settings, request,
        [this](const std::string& line) { handleLine(line); },
        [this](const Error&) { scheduleReopen(); });
}

void StoreWatcher::handleLine(const std::string& line)
{
    Result<WatchAnswer> answer = decodeWatch(line);
    if (!answer) {
        scheduleReopen();
        return;
    }
    if (answer.value().cancelled) {
        reportLost();
        return;
    }
    if (answer.value().created && isBehind(answer.value().revision)) {
        handleStoreBehind();
        return;
    }
    m_failures = 0;
    m_timesBehind = 0;
    report(answer.value());
}

bool StoreWatcher::isBehind(StoreRevision storeRevision)
{
    if (m_watch.fromRevision == 0)
        m_watch.fromRevision = storeRevision + 1;
    return storeRevision < m_watch.fromRevision - 1;
}

void StoreWatcher::handleStoreBehind()
{
    // The endpoint is either a lagging replica or a store that was restored to an older state. A
    // replica catches up, or another endpoint is current; after a restore the watch can't continue.
    if (++m_timesBehind >= kMaximumTimesBehind)
        reportLost();
    else
        scheduleReopen();
}

void StoreWatcher::report(const WatchAnswer& answer)
{
    std::uint64_t opening = m_calls;
    for (const StoreWatchEvents& events : answer.events) {
        // The sink may have replaced or stopped the watch.
        if (!m_stream || m_calls != opening)
            return;
        if (events.revision < m_watch.fromRevision)
            continue;
        m_watch.fromRevision = events.revision + 1;
        m_sink(events);
    }
}

void StoreWatcher::scheduleReopen()
{
    m_stream.reset();
    ++m_endpoint;
    Duration delay = kInitialReopenDelay * (1 << std::min(m_failures, 5));
    ++m_failures;
    m_timer.expires_after(std::min(delay, kMaximumReopenDelay));
    m_retryToken = std::make_shared<RetryToken>();
    // An expired timer whose handler is already queued can't be cancelled. The weak pointer makes
    // the handler do nothing if the watcher was stopped or destroyed in the meantime.
    m_timer.async_wait([this, token = std::weak_ptr<RetryToken>(m_retryToken)](const boost::system::error_code& ec) {
        if (!ec && !token.expired())
            open();
    });
}

void StoreWatcher::reportLost()
{
    stop();
    ++m_endpoint;
    m_sink(StoreWatchLost {});
}

} // namespace crocuslever
