#include "tests/support/UpstreamServer.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <list>
#include <optional>
#include <set>
#include <utility>

#include "src/codec/Encoding.h"
#include "src/daemon/SystemClock.h"
#include "tests/support/UpstreamServerCodec.h"

namespace crocuslever::testing {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using ErrorCondition = boost::system::error_code;
using Json = nlohmann::json;

static constexpr std::uint64_t kMaximumBodyBytes = std::uint64_t(64) << 20;
static constexpr std::uint32_t kMaximumHeaderBytes = 16384;

namespace {

struct Session {
    explicit Session(Tcp::socket accepted)
        : socket(std::move(accepted))
    {
    }

    Tcp::socket socket;
    boost::beast::flat_buffer buf;
    std::optional<http::request_parser<http::string_body>> parser;
    http::response<http::string_body> response;
    std::string call;
};

using SessionPtr = std::shared_ptr<Session>;

/// A start call that is answered once the attempt has ended.
struct ResultWaiter {
    SessionPtr session;
    AttemptId attempt;
};

} // namespace

class UpstreamServer::Impl : public std::enable_shared_from_this<UpstreamServer::Impl> {
public:
    Impl(asio::io_context& context, const UpstreamServerSettings& settings, std::shared_ptr<EventLog> log)
        : m_acceptor(context, Tcp::endpoint(asio::ip::address_v4::loopback(), settings.port))
        , m_timer(context)
        , m_model(settings.model)
        , m_connections(static_cast<std::size_t>(settings.connections))
        , m_log(std::move(log))
    {
    }

    void accept();
    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    void setBehaviour(const UpstreamBehaviour& behaviour) { m_model.setBehaviour(behaviour); }
    void stop();

private:
    void startSession(Tcp::socket);
    void read(const SessionPtr&);
    void handleRequest(const SessionPtr&, const http::request<http::string_body>&);
    UpstreamHttpAnswer handleFence(const UpstreamHttpRequest&);
    UpstreamHttpAnswer handleSync(const UpstreamHttpRequest&);
    UpstreamHttpAnswer handleStop(const UpstreamHttpRequest&);
    UpstreamHttpAnswer handleBehaviour(const UpstreamHttpRequest&);
    void handleStart(const SessionPtr&, const UpstreamHttpRequest&);
    bool isAddressedHere(const UpstreamId& id) const { return id == m_model.settings().id; }
    void write(const SessionPtr&, const UpstreamHttpAnswer&);
    void close(const SessionPtr&);
    void advanceModel();
    void closeOnDisconnect(const SessionPtr&);
    void answerWaiters();
    void armTimer();
    void log(const UpstreamModelEvent&);

    Tcp::acceptor m_acceptor;
    asio::steady_timer m_timer;
    UpstreamModel m_model;
    std::size_t m_connections;
    std::shared_ptr<EventLog> m_log;
    std::set<SessionPtr> m_sessions;
    std::list<ResultWaiter> m_waiters;
    bool m_stopped { false };
};

void UpstreamServer::Impl::accept()
{
    m_acceptor.async_accept([self = shared_from_this()](ErrorCondition ec, Tcp::socket socket) {
        if (self->m_stopped || ec == asio::error::operation_aborted)
            return;
        if (!ec)
            self->startSession(std::move(socket));
        self->accept();
    });
}

void UpstreamServer::Impl::startSession(Tcp::socket socket)
{
    if (m_sessions.size() >= m_connections) {
        UpstreamModelEvent event;
        event.name = "overcommit";
        event.reason = "connections";
        log(event);
        return;
    }
    ErrorCondition ec;
    socket.set_option(Tcp::no_delay(true), ec);
    SessionPtr session = std::make_shared<Session>(std::move(socket));
    m_sessions.insert(session);
    read(session);
}

void UpstreamServer::Impl::close(const SessionPtr& session)
{
    ErrorCondition ec;
    session->socket.close(ec);
    m_sessions.erase(session);
}

void UpstreamServer::Impl::read(const SessionPtr& session)
{
    session->parser.emplace();
    session->parser->header_limit(kMaximumHeaderBytes);
    session->parser->body_limit(kMaximumBodyBytes);
    http::async_read(session->socket, session->buf, *session->parser, [self = shared_from_this(), session](ErrorCondition ec, std::size_t) {
        if (ec || self->m_stopped)
            self->close(session);
        else
            self->handleRequest(session, session->parser->release());
    });
}

static bool isStopTarget(const std::string& target)
{
    const std::string prefix = "/v1/attempts/";
    const std::string suffix = "/stop";
    return target.size() > prefix.size() + suffix.size() && target.compare(0, prefix.size(), prefix) == 0
        && target.compare(target.size() - suffix.size(), suffix.size(), suffix) == 0;
}

void UpstreamServer::Impl::handleRequest(const SessionPtr& session, const http::request<http::string_body>& message)
{
    UpstreamHttpRequest request { std::string(message.target()), std::string(message[kMetadataHeader]), message.body() };
    session->call = std::string(message[kCallIdHeader]);
    if (message.method() == http::verb::put && request.target == "/fake/behaviour")
        write(session, handleBehaviour(request));
    else if (message.method() != http::verb::post)
        write(session, { 405, "", "" });
    else if (request.target == "/v1/fence")
        write(session, handleFence(request));
    else if (request.target == "/v1/sync")
        write(session, handleSync(request));
    else if (request.target == "/v1/attempts")
        handleStart(session, request);
    else if (isStopTarget(request.target))
        write(session, handleStop(request));
    else
        write(session, { 404, "", "" });
    advanceModel();
}

UpstreamHttpAnswer UpstreamServer::Impl::handleFence(const UpstreamHttpRequest& request)
{
    UpstreamFence command;
    if (!decodeCommand(request, command))
        return { 400, "", "" };
    if (!isAddressedHere(command.upstream))
        return { 421, "", "" };
    return encodeAnswer(m_model.fence(command, readClock().steady));
}

UpstreamHttpAnswer UpstreamServer::Impl::handleSync(const UpstreamHttpRequest& request)
{
    UpstreamSync command;
    if (!decodeCommand(request, command))
        return { 400, "", "" };
    if (!isAddressedHere(command.upstream))
        return { 421, "", "" };
    return encodeAnswer(m_model.sync(command, readClock().steady));
}

UpstreamHttpAnswer UpstreamServer::Impl::handleStop(const UpstreamHttpRequest& request)
{
    UpstreamStop command;
    if (!decodeCommand(request, command))
        return { 400, "", "" };
    if (!isAddressedHere(command.upstream))
        return { 421, "", "" };
    UpstreamStopResult result = m_model.stop(command, readClock().steady);
    result.status.attempt = command.attempt;
    return encodeAnswer(result, m_model.settings());
}

void UpstreamServer::Impl::handleStart(const SessionPtr& session, const UpstreamHttpRequest& request)
{
    UpstreamStart command;
    if (!decodeCommand(request, command)) {
        write(session, { 400, "", "" });
        return;
    }
    if (!isAddressedHere(command.upstream)) {
        write(session, { 421, "", "" });
        return;
    }
    UpstreamStartAnswer answer = m_model.start(command, readClock().steady);
    if (!command.waitForResult || answer.outcome != UpstreamOutcome::Ok || answer.status.state != AttemptState::Running) {
        write(session, encodeAnswer(answer, m_model.settings()));
        return;
    }
    m_waiters.push_back({ session, command.attempt });
    closeOnDisconnect(session);
}

void UpstreamServer::Impl::closeOnDisconnect(const SessionPtr& session)
{
    // A waiting caller sends nothing, so a readable socket means that the caller closed it.
    session->socket.async_wait(Tcp::socket::wait_read, [self = shared_from_this(), session](ErrorCondition ec) {
        auto it = std::find_if(self->m_waiters.begin(), self->m_waiters.end(), [&](const ResultWaiter& w) { return w.session == session; });
        if (ec || it == self->m_waiters.end())
            return;
        self->m_waiters.erase(it);
        self->close(session);
    });
}

UpstreamHttpAnswer UpstreamServer::Impl::handleBehaviour(const UpstreamHttpRequest& request)
{
    Json json = Json::parse(request.body, nullptr, false);
    if (!json.is_object())
        return { 400, "", "" };
    UpstreamBehaviour behaviour;
    behaviour.failAll = json.value("fail_all", false);
    behaviour.extraTime = fromMilliseconds(json.value("slow_ms", std::int64_t(0)));
    m_model.setBehaviour(behaviour);
    return { 200, "", "" };
}

void UpstreamServer::Impl::write(const SessionPtr& session, const UpstreamHttpAnswer& answer)
{
    // Events must be logged before the answer is sent, so that no later event of another process
    // can appear ahead of them.
    for (const UpstreamModelEvent& event : m_model.takeEvents())
        log(event);
    http::response<http::string_body>& response = session->response;
    response = {};
    response.version(11);
    response.result(static_cast<unsigned>(answer.status));
    response.set(kCallIdHeader, session->call);
    if (!answer.metadata.empty())
        response.set(kMetadataHeader, answer.metadata);
    response.body() = answer.body;
    response.prepare_payload();
    http::async_write(session->socket, response, [self = shared_from_this(), session](ErrorCondition ec, std::size_t) {
        if (ec || self->m_stopped)
            self->close(session);
        else
            self->read(session);
    });
}

void UpstreamServer::Impl::advanceModel()
{
    m_model.advance(readClock().steady);
    for (const UpstreamModelEvent& event : m_model.takeEvents())
        log(event);
    answerWaiters();
    armTimer();
}

void UpstreamServer::Impl::answerWaiters()
{
    TimePoint now = readClock().steady;
    for (auto it = m_waiters.begin(); it != m_waiters.end();) {
        AttemptStatus status = m_model.status(it->attempt, now);
        if (status.state == AttemptState::Running) {
            ++it;
            continue;
        }
        SessionPtr session = it->session;
        it = m_waiters.erase(it);
        write(session, encodeAnswer(UpstreamStartAnswer { UpstreamOutcome::Ok, status, "" }, m_model.settings()));
    }
}

void UpstreamServer::Impl::armTimer()
{
    std::optional<TimePoint> next = m_model.nextChange();
    if (!next || m_stopped) {
        m_timer.cancel();
        return;
    }
    m_timer.expires_at(*next);
    m_timer.async_wait([self = shared_from_this()](ErrorCondition ec) {
        if (!ec && !self->m_stopped)
            self->advanceModel();
    });
}

void UpstreamServer::Impl::log(const UpstreamModelEvent& event)
{
    if (!m_log)
        return;
    const UpstreamStart& command = event.command;
    Json json { { "source", "upstream" }, { "upstream", m_model.settings().id.value() },
        { "incarnation", m_model.settings().incarnation.value() }, { "event", event.name },
        { "attempt", command.attempt.value() }, { "job", command.job.value() }, { "team", command.team.value() },
        { "service", command.spec.service }, { "kind", toString(command.spec.kind) },
        { "idempotent", command.spec.idempotent }, { "shard", command.shard }, { "epoch", command.epoch },
        { "resources", encodeResources(command.spec.resources) }, { "reason", event.reason },
        { "body_sha256", sha256Hex(command.spec.body) } };
    if (event.name == "end")
        json["result"] = { { "succeeded", event.result.succeeded }, { "status", event.result.status }, { "sha256", sha256Hex(event.result.body) } };
    m_log->write(std::move(json));
}

void UpstreamServer::Impl::stop()
{
    m_stopped = true;
    ErrorCondition ec;
    m_acceptor.close(ec);
    m_timer.cancel();
    m_waiters.clear();
    for (const SessionPtr& session : m_sessions)
        session->socket.close(ec);
    m_sessions.clear();
}

UpstreamServer::UpstreamServer(asio::io_context& context, const UpstreamServerSettings& settings, std::shared_ptr<EventLog> log)
    : m_impl(std::make_shared<Impl>(context, settings, std::move(log)))
{
    m_impl->accept();
}

UpstreamServer::~UpstreamServer() { m_impl->stop(); }

std::uint16_t UpstreamServer::port() const { return m_impl->port(); }

void UpstreamServer::setBehaviour(const UpstreamBehaviour& behaviour) { m_impl->setBehaviour(behaviour); }

void UpstreamServer::stop() { m_impl->stop(); }

} // namespace crocuslever::testing
