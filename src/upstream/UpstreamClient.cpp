#include "src/upstream/UpstreamClient.h"

#include <utility>

#include "src/upstream/HttpPool.h"
#include "src/upstream/UpstreamCodec.h"

namespace crocuslever {

/// Limit of an attempt list, which carries every result that is not yet acknowledged.
static constexpr std::int64_t kMaximumListBytes = std::int64_t(32) << 20;

// Results of calls without a valid answer.

static UpstreamFenceResult failedResult(const UpstreamFence& command, UpstreamOutcome outcome)
{
    return { command.upstream, command.shard, command.epoch, outcome, {}, {} };
}

static UpstreamStartResult failedResult(const UpstreamStart& command, UpstreamOutcome outcome)
{
    return { command.upstream, command.attempt, outcome, false, {}, {} };
}

static UpstreamSyncResult failedResult(const UpstreamSync& command, UpstreamOutcome outcome)
{
    return { command.upstream, command.shard, command.epoch, outcome, {}, {} };
}

static UpstreamStopResult failedResult(const UpstreamStop& command, UpstreamOutcome outcome)
{
    UpstreamStopResult result;
    result.upstream = command.upstream;
    result.attempt = command.attempt;
    result.outcome = outcome;
    return result;
}

class UpstreamClient::Impl {
public:
    Impl(boost::asio::io_context& context, UpstreamClientSettings clientSettings, EventSink eventSink)
        : settings(clientSettings)
        , sink(std::move(eventSink))
        , pool(context, clientSettings.connectionsPerUpstream)
    {
    }

    template <typename Command>
    void execute(const Command& command, Duration timeout, std::int64_t maximumBodyBytes)
    {
        ++calls;
        HttpExchange exchange { command.address, encodeRequest(command), timeout, maximumBodyBytes, {} };
        exchange.completion = [this, command](HttpOutcome outcome, const UpstreamHttpAnswer& answer) { return report(command, outcome, answer); };
        pool.send(std::move(exchange));
    }

    template <typename Command>
    bool report(const Command& command, HttpOutcome outcome, const UpstreamHttpAnswer& answer)
    {
        if (outcome != HttpOutcome::Answered) {
            sink(failedResult(command, outcome == HttpOutcome::NotSent ? UpstreamOutcome::Unreachable : UpstreamOutcome::Unknown));
            return false;
        }
        decltype(decodeAnswer(command, answer)) decoded = decodeAnswer(command, answer);
        if (!decoded) {
            ++rejectedAnswers;
            sink(failedResult(command, UpstreamOutcome::Unknown));
            return false;
        }
        sink(std::move(decoded.value()));
        return true;
    }

    UpstreamClientSettings settings;
    EventSink sink;
    std::uint64_t calls { 0 };
    std::uint64_t rejectedAnswers { 0 };
    HttpPool pool; // Last, so that it is destroyed before the members that its completions use.
};

UpstreamClient::UpstreamClient(boost::asio::io_context& context, UpstreamClientSettings settings, EventSink sink)
    : m_impl(std::make_unique<Impl>(context, settings, std::move(sink)))
{
}

UpstreamClient::~UpstreamClient() = default;

void UpstreamClient::execute(const UpstreamFence& command)
{
    m_impl->execute(command, m_impl->settings.timeout, kMaximumListBytes);
}

void UpstreamClient::execute(const UpstreamStart& command)
{
    Duration timeout = command.timeout > Duration::zero() ? command.timeout : m_impl->settings.timeout;
    m_impl->execute(command, timeout, m_impl->settings.maximumResultBytes);
}

void UpstreamClient::execute(const UpstreamSync& command)
{
    m_impl->execute(command, m_impl->settings.timeout, kMaximumListBytes);
}

void UpstreamClient::execute(const UpstreamStop& command)
{
    // The status carries the result as base64, which is a third longer, and some other fields.
    m_impl->execute(command, m_impl->settings.timeout, 2 * m_impl->settings.maximumResultBytes + 4096);
}

void UpstreamClient::stop() { m_impl->pool.stop(); }

std::uint64_t UpstreamClient::calls() const { return m_impl->calls; }

std::uint64_t UpstreamClient::rejectedAnswers() const { return m_impl->rejectedAnswers; }

} // namespace crocuslever
