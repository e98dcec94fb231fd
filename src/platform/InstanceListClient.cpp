#include "src/platform/InstanceListClient.h"

#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "src/http/HttpClient.h"
#include "src/platform/InstanceList.h"

namespace crocuslever {

static constexpr std::uint64_t kMaximumListBytes = 16777216;
static constexpr int kStatusOk = 200;

namespace {

struct UrlParts {
    std::string endpoint;
    std::string target;
};

} // namespace

static UrlParts splitUrl(const std::string& url)
{
    static const std::string kScheme = "http://";
    std::size_t begin = url.rfind(kScheme, 0) == 0 ? kScheme.size() : 0;
    std::size_t slash = url.find('/', begin);
    if (slash == std::string::npos)
        return { url.substr(begin), "/" };
    return { url.substr(begin, slash - begin), url.substr(slash) };
}

class InstanceListClient::Impl : public std::enable_shared_from_this<InstanceListClient::Impl> {
public:
    Impl(boost::asio::io_context& io, const InstanceListSettings& settings, EventSink sink, ErrorHandler onError)
        : m_settings(settings)
        , m_url(splitUrl(settings.url))
        , m_sink(std::move(sink))
        , m_onError(std::move(onError))
        , m_http(io, { { m_url.endpoint }, settings.timeout, 1, kMaximumListBytes })
        , m_timer(io)
    {
    }

    void poll()
    {
        m_http.send({ "GET", m_url.target, "" }, [self = shared_from_this()](const Result<HttpReply>& reply) {
            self->handleReply(reply);
            self->scheduleNextPoll();
        });
    }

    void stop()
    {
        m_stopped = true;
        m_http.stop();
        m_timer.cancel();
    }

private:
    void handleReply(const Result<HttpReply>& reply)
    {
        if (!reply) {
            m_onError(reply.error());
            return;
        }
        if (reply.value().status != kStatusOk) {
            report(ErrorCode::Unknown, "HTTP status " + std::to_string(reply.value().status));
            return;
        }
        Result<UpstreamListUpdate> update = decodeInstanceList(reply.value().body);
        if (update)
            m_sink(std::move(update.value()));
        else
            report(update.error().code, update.error().message);
    }

    void report(ErrorCode code, const std::string& message)
    {
        m_onError({ code, "platform.list", m_url.endpoint, message });
    }

    void scheduleNextPoll()
    {
        if (m_stopped)
            return;
        m_timer.expires_after(m_settings.interval);
        m_timer.async_wait([self = shared_from_this()](const boost::system::error_code&) {
            if (!self->m_stopped)
                self->poll();
        });
    }

    InstanceListSettings m_settings;
    UrlParts m_url;
    EventSink m_sink;
    ErrorHandler m_onError;
    HttpClient m_http;
    boost::asio::steady_timer m_timer;
    bool m_stopped { false };
};

InstanceListClient::InstanceListClient(boost::asio::io_context& io, const InstanceListSettings& settings, EventSink sink, ErrorHandler onError)
    : m_impl(std::make_shared<Impl>(io, settings, std::move(sink), std::move(onError)))
{
}

InstanceListClient::~InstanceListClient() { stop(); }

void InstanceListClient::start() { m_impl->poll(); }

void InstanceListClient::stop() { m_impl->stop(); }

} // namespace crocuslever
