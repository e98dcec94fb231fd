#include "tests/support/FakeStore.h"

#include <algorithm>
#include <exception>
#include <utility>

#include "src/daemon/SystemClock.h"
#include "tests/support/StoreModelJson.h"

namespace crocuslever::testing {

using nlohmann::json;

static constexpr Duration kSweepInterval = std::chrono::milliseconds(20);
static constexpr Duration kProgressInterval = std::chrono::seconds(1);
// The default request limit of the real service, 1.5 MiB.
static constexpr std::size_t kMaximumBodyBytes = 1572864;
// Compaction keeps this many revisions, which bounds the memory of long runs.
static constexpr StoreRevision kHistoryLength = 20000;

static TimePoint now() { return readClock().steady; }

static void refuse(const ExchangePtr& exchange, int status, int code, const std::string& message)
{
    exchange->reply(status, json({ { "error", message }, { "code", code } }).dump());
}

FakeStore::FakeStore(boost::asio::io_context& io, const std::string& address, unsigned short port)
    : m_http(io, address, port)
    , m_timer(io)
{
    addRoutes();
    scheduleSweep();
}

FakeStore::~FakeStore() = default;

void FakeStore::logTo(const std::string& path)
{
    m_log = std::make_unique<EventLog>(path);
}

void FakeStore::addRoutes()
{
    addRoute("/v3/kv/txn", &FakeStore::transact);
    addRoute("/v3/kv/range", &FakeStore::range);
    addRoute("/v3/lease/grant", &FakeStore::grantLease);
    addRoute("/v3/lease/keepalive", &FakeStore::keepLeaseAlive);
    addRoute("/v3/lease/revoke", &FakeStore::revokeLease);
    addRoute("/v3/watch", &FakeStore::openWatch);
    m_http.route("GET", "/fake/stats", [this](const ExchangePtr& exchange) { showStats(exchange); });
}

void FakeStore::addRoute(const std::string& name, void (FakeStore::*handle)(const ExchangePtr&))
{
    m_http.route("POST", name, [this, name, handle](const ExchangePtr& exchange) {
        ++m_calls[name];
        try {
            if (exchange->request().body.size() > kMaximumBodyBytes)
                refuse(exchange, 400, 3, "etcdserver: request is too large");
            else
                (this->*handle)(exchange);
        } catch (const std::exception& e) {
            refuse(exchange, 400, 3, e.what());
        }
    });
}

void FakeStore::setFrozen(bool frozen)
{
    m_frozen = frozen;
    m_http.setFrozen(frozen);
}

std::uint64_t FakeStore::calls() const
{
    std::uint64_t n = 0;
    for (const auto& [name, count] : m_calls)
        n += count;
    return n;
}

void FakeStore::showStats(const ExchangePtr& exchange)
{
    json stats = { { "calls", calls() }, { "by_route", m_calls }, { "revision", m_model.revision() }, { "watches", m_watches.size() } };
    exchange->reply(200, stats.dump());
}

void FakeStore::transact(const ExchangePtr& exchange)
{
    ModelTransaction transaction = readModelTransaction(json::parse(exchange->request().body));
    sweep();
    Result<ModelTransactionResult> result = m_model.transact(transaction);
    if (!result) {
        refuse(exchange, 400, 3, result.error().message);
        return;
    }
    logCommit(transaction, result.value());
    if (m_answersToDrop > 0) {
        --m_answersToDrop;
        exchange->drop();
    } else {
        exchange->reply(200, toJson(result.value()).dump());
    }
    notifyWatches();
}

void FakeStore::logCommit(const ModelTransaction& transaction, const ModelTransactionResult& result)
{
    if (!m_log || !result.succeeded)
        return;
    json event = { { "event", "store_commit" }, { "revision", result.revision }, { "puts", json::array() }, { "deletes", json::array() } };
    for (const ModelOperation& operation : transaction.success) {
        if (operation.kind == ModelOperationKind::Put)
            event["puts"].push_back(operation.key);
        else if (operation.kind == ModelOperationKind::Delete)
            event["deletes"].push_back(operation.key);
    }
    m_log->write(event);
}

void FakeStore::range(const ExchangePtr& exchange)
{
    ModelOperation operation = readModelRange(json::parse(exchange->request().body));
    sweep();
    Result<ModelOperationResult> result = m_model.range(operation);
    if (result)
        exchange->reply(200, toJson(result.value(), m_model.revision()).dump());
    else
        refuse(exchange, 400, 11, result.error().message);
}

void FakeStore::grantLease(const ExchangePtr& exchange)
{
    std::int64_t ttl = readInt64(json::parse(exchange->request().body), "TTL");
    if (ttl <= 0) {
        refuse(exchange, 400, 3, "etcdserver: lease TTL must be above zero");
        return;
    }
    LeaseId lease = m_model.grantLease(ttl, now());
    json answer = { { "header", headerJson(m_model.revision()) }, { "ID", std::to_string(lease) }, { "TTL", std::to_string(ttl) } };
    exchange->reply(200, answer.dump());
}

void FakeStore::keepLeaseAlive(const ExchangePtr& exchange)
{
    LeaseId lease = readInt64(json::parse(exchange->request().body), "ID");
    sweep();
    std::int64_t ttl = m_model.keepLeaseAlive(lease, now());
    json answer = { { "header", headerJson(m_model.revision()) }, { "ID", std::to_string(lease) } };
    if (ttl != 0)
        answer["TTL"] = std::to_string(ttl);
    exchange->reply(200, json({ { "result", answer } }).dump() + "\n");
}

void FakeStore::revokeLease(const ExchangePtr& exchange)
{
    LeaseId lease = readInt64(json::parse(exchange->request().body), "ID");
    if (!m_model.revokeLease(lease)) {
        refuse(exchange, 404, 5, "etcdserver: requested lease not found");
        return;
    }
    exchange->reply(200, json({ { "header", headerJson(m_model.revision()) } }).dump());
    notifyWatches();
}

static std::string cancelledLine(const StoreModel& model)
{
    json result = { { "header", headerJson(model.revision()) }, { "canceled", true }, { "compact_revision", std::to_string(model.compactedRevision()) } };
    return json({ { "result", result } }).dump();
}

void FakeStore::openWatch(const ExchangePtr& exchange)
{
    json request = json::parse(exchange->request().body).at("create_request");
    StoreRevision first = readInt64(request, "start_revision");
    Watch watch { exchange, readBase64(request, "key"), readBase64(request, "range_end"), first, request.value("progress_notify", false) };
    if (watch.next == 0)
        watch.next = m_model.revision() + 1;
    exchange->startStream();
    json created = { { "header", headerJson(m_model.revision()) }, { "created", true } };
    exchange->sendLine(json({ { "result", created } }).dump());
    if (watch.next < m_model.compactedRevision()) {
        exchange->sendLine(cancelledLine(m_model));
        return;
    }
    notifyWatch(watch);
    m_watches.push_back(std::move(watch));
}

void FakeStore::notifyWatches()
{
    auto isClosed = [](const Watch& watch) { return !watch.exchange->isOpen(); };
    m_watches.erase(std::remove_if(m_watches.begin(), m_watches.end(), isClosed), m_watches.end());
    if (m_frozen)
        return;
    for (Watch& watch : m_watches)
        notifyWatch(watch);
}

void FakeStore::notifyWatch(Watch& watch)
{
    if (watch.next > m_model.revision())
        return;
    std::vector<ModelChange> changes = m_model.changesSince(watch.next, watch.key, watch.rangeEnd);
    watch.next = m_model.revision() + 1;
    if (changes.empty())
        return;
    json result = { { "header", headerJson(m_model.revision()) }, { "events", toJson(changes) } };
    watch.exchange->sendLine(json({ { "result", result } }).dump());
}

void FakeStore::breakWatches()
{
    for (Watch& watch : m_watches)
        watch.exchange->drop();
    m_watches.clear();
}

void FakeStore::sendProgress()
{
    json result = { { "header", headerJson(m_model.revision()) } };
    for (Watch& watch : m_watches) {
        if (watch.progress)
            watch.exchange->sendLine(json({ { "result", result } }).dump());
    }
}

void FakeStore::sweep()
{
    std::vector<LeaseId> expired = m_model.expireLeases(now());
    for (LeaseId lease : expired) {
        if (m_log)
            m_log->write({ { "event", "store_lease_expired" }, { "lease", lease } });
    }
    if (m_model.revision() > m_model.compactedRevision() + 2 * kHistoryLength)
        m_model.compact(m_model.revision() - kHistoryLength);
}

void FakeStore::scheduleSweep()
{
    m_timer.expires_after(kSweepInterval);
    m_timer.async_wait([this](const boost::system::error_code& ec) {
        if (ec)
            return;
        sweep();
        notifyWatches();
        if (!m_frozen && now() >= m_nextProgress) {
            m_nextProgress = now() + kProgressInterval;
            sendProgress();
        }
        scheduleSweep();
    });
}

} // namespace crocuslever::testing
