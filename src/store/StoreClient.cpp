#include "src/store/StoreClient.h"

#include <utility>

#include "src/daemon/SystemClock.h"
#include "src/http/HttpClient.h"
#include "src/store/StoreJson.h"
#include "src/store/StoreWatcher.h"

namespace crocuslever {

static constexpr int kPageLimit = 500; ///< Keys per page; halved when an answer exceeds kMaximumAnswerBytes.
static constexpr std::uint64_t kMaximumAnswerBytes = 33554432;
/// For an answer of the largest size over a slow link.
static constexpr Duration kTransferTimeout = std::chrono::seconds(8);
static constexpr std::size_t kReadConnections = 4;
static constexpr std::size_t kWriteConnections = 2;
static constexpr std::size_t kLeaseConnections = 2;
static constexpr int kStatusOk = 200;

static HttpClientSettings clientSettings(const StoreClientSettings& settings, std::size_t connections)
{
    return { settings.endpoints, settings.timeout, connections, kMaximumAnswerBytes, kTransferTimeout };
}

namespace {

/// State of a range that is being read page by page.
struct RangeRead {
    Ticket ticket { 0 };
    RangePageRequest next;
    StoreRangeResult result;
};

} // namespace

class StoreClient::Impl {
public:
    Impl(boost::asio::io_context& io, const StoreClientSettings& settings, EventSink sink)
        : m_sink(std::move(sink))
        , m_writes(io, clientSettings(settings, kWriteConnections))
        , m_reads(io, clientSettings(settings, kReadConnections))
        , m_leases(io, clientSettings(settings, kLeaseConnections))
        , m_watcher(io, settings, m_sink)
    {
    }

    void transact(const StoreTransaction& transaction)
    {
        Ticket ticket = transaction.ticket;
        m_writes.send({ "POST", "/v3/kv/txn", encodeTransaction(transaction) }, [this, ticket](const Result<HttpReply>& reply) {
            reportTransaction(ticket, reply);
        });
    }

    void read(const StoreRange& range)
    {
        RangeRead read;
        read.ticket = range.ticket;
        read.next = { range.prefix, rangeEndOf(range.prefix), 0, kPageLimit };
        read.result.ticket = range.ticket;
        readPage(std::move(read));
    }

    void lease(Ticket ticket, const std::string& target, const std::string& body, LeaseId expected)
    {
        TimePoint sentAt = readClock().steady;
        m_leases.send({ "POST", target, body }, [this, ticket, expected, sentAt](const Result<HttpReply>& reply) {
            reportLease(ticket, expected, sentAt, reply);
        });
    }

    void revoke(const StoreLeaseRevoke& command)
    {
        // The answer is ignored, because a lease that isn't revoked expires anyway.
        m_leases.send({ "POST", "/v3/lease/revoke", encodeLeaseRequest(command.lease) }, [](const Result<HttpReply>&) {});
    }

    void watch(const StoreWatch& command) { m_watcher.start(command); }

    void stop()
    {
        m_writes.stop();
        m_reads.stop();
        m_leases.stop();
        m_watcher.stop();
    }

    std::uint64_t calls() const { return m_writes.calls() + m_reads.calls() + m_leases.calls() + m_watcher.calls(); }

private:
    void reportTransaction(Ticket ticket, const Result<HttpReply>& reply)
    {
        // Without a complete, well-formed answer it is unknown whether the transaction took effect.
        StoreTransactionResult result;
        if (reply && reply.value().status == kStatusOk) {
            Result<StoreTransactionResult> answer = decodeTransaction(reply.value().body);
            if (answer)
                result = answer.value();
        }
        result.ticket = ticket;
        m_sink(std::move(result));
    }

    void readPage(RangeRead read)
    {
        HttpRequest request { "POST", "/v3/kv/range", encodeRange(read.next) };
        m_reads.send(std::move(request), [this, read = std::move(read)](const Result<HttpReply>& reply) mutable {
            handlePage(std::move(read), reply);
        });
    }

    void handlePage(RangeRead read, const Result<HttpReply>& reply)
    {
        if (!reply && reply.error().code == ErrorCode::TooLarge && read.next.limit > 1) {
            read.next.limit /= 2;
            readPage(std::move(read));
            return;
        }
        if (!reply || reply.value().status != kStatusOk) {
            reportRangeFailure(read);
            return;
        }
        Result<RangePageResult> page = decodeRange(reply.value().body);
        if (page)
            appendPage(std::move(read), page.value());
        else
            reportRangeFailure(read);
    }

    void appendPage(RangeRead read, RangePageResult& page)
    {
        // All pages are read at the revision of the first, so that the result is a consistent snapshot.
        if (read.next.revision == 0) {
            read.next.revision = page.revision;
            read.result.revision = page.revision;
        }
        for (StoreEntry& entry : page.entries)
            read.result.entries.push_back(std::move(entry));
        if (page.more) {
            read.next.firstKey = read.result.entries.back().key + '\0';
            readPage(std::move(read));
            return;
        }
        read.result.ok = true;
        m_sink(std::move(read.result));
    }

    void reportRangeFailure(const RangeRead& read)
    {
        StoreRangeResult result;
        result.ticket = read.ticket;
        m_sink(std::move(result));
    }

    void reportLease(Ticket ticket, LeaseId expected, TimePoint sentAt, const Result<HttpReply>& reply)
    {
        StoreLeaseResult result;
        result.ticket = ticket;
        result.lease = expected;
        result.sentAt = sentAt;
        if (reply && reply.value().status == kStatusOk)
            applyLeaseAnswer(decodeLease(reply.value().body), expected, result);
        else if (reply && expected != 0 && isLeaseNotFound(reply.value().body))
            result.ok = result.expired = true;
        m_sink(result);
    }

    static void applyLeaseAnswer(const Result<LeaseAnswer>& answer, LeaseId expected, StoreLeaseResult& result)
    {
        if (!answer || (expected != 0 && answer.value().lease != expected))
            return;
        result.ok = true;
        result.lease = answer.value().lease;
        result.expired = answer.value().ttlSeconds <= 0;
    }

    EventSink m_sink;
    HttpClient m_writes;
    HttpClient m_reads;
    HttpClient m_leases;
    StoreWatcher m_watcher;
};

StoreClient::StoreClient(boost::asio::io_context& io, const StoreClientSettings& settings, EventSink sink)
    : m_impl(std::make_unique<Impl>(io, settings, std::move(sink)))
{
}

StoreClient::~StoreClient() { stop(); }

void StoreClient::execute(const StoreTransaction& command) { m_impl->transact(command); }

void StoreClient::execute(const StoreRange& command) { m_impl->read(command); }

void StoreClient::execute(const StoreLeaseGrant& command)
{
    m_impl->lease(command.ticket, "/v3/lease/grant", encodeLeaseGrant(command.ttlSeconds), 0);
}

void StoreClient::execute(const StoreLeaseKeepAlive& command)
{
    m_impl->lease(command.ticket, "/v3/lease/keepalive", encodeLeaseRequest(command.lease), command.lease);
}

void StoreClient::execute(const StoreLeaseRevoke& command) { m_impl->revoke(command); }

void StoreClient::execute(const StoreWatch& command) { m_impl->watch(command); }

void StoreClient::stop() { m_impl->stop(); }

std::uint64_t StoreClient::calls() const { return m_impl->calls(); }

} // namespace crocuslever
