#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tests/support/EventLog.h"
#include "tests/support/FakeHttpServer.h"
#include "tests/support/StoreModel.h"

namespace crocuslever::testing {

/// Serves a StoreModel over the JSON gateway protocol of the platform's key-value service, and
/// simulates faults of that service.
class FakeStore {
public:
    FakeStore(boost::asio::io_context&, const std::string& address, unsigned short port);
    ~FakeStore();
    FakeStore(const FakeStore&) = delete;
    FakeStore& operator=(const FakeStore&) = delete;

    std::string endpoint() const { return m_http.endpoint(); }
    StoreModel& model() { return m_model; }
    /// Logs commits and expired leases to an event log at this path.
    void logTo(const std::string& path);
    /// Sends the watches all changes that they haven't seen, also those made to the model directly.
    void notifyWatches();

    /// Executes the next `count` transactions but closes their connections without an answer.
    void dropAnswers(int count) { m_answersToDrop = count; }
    /// While frozen, requests get no answer and watches no events; connections stay open.
    void setFrozen(bool);
    /// Closes the connections of all watches.
    void breakWatches();
    std::size_t watchCount() const { return m_watches.size(); }
    std::uint64_t calls() const; ///< Requests so far; a watch counts once.

private:
    struct Watch {
        ExchangePtr exchange;
        std::string key;
        std::string rangeEnd;
        StoreRevision next { 0 }; ///< First revision not sent yet.
        bool progress { false }; ///< Wants progress notifications.
    };

    void addRoutes();
    void addRoute(const std::string& name, void (FakeStore::*)(const ExchangePtr&));
    void transact(const ExchangePtr&);
    void range(const ExchangePtr&);
    void grantLease(const ExchangePtr&);
    void keepLeaseAlive(const ExchangePtr&);
    void revokeLease(const ExchangePtr&);
    void openWatch(const ExchangePtr&);
    void showStats(const ExchangePtr&);
    void logCommit(const ModelTransaction&, const ModelTransactionResult&);
    void notifyWatch(Watch&);
    void sendProgress();
    void sweep();
    void scheduleSweep();

    StoreModel m_model;
    FakeHttpServer m_http;
    boost::asio::steady_timer m_timer;
    std::vector<Watch> m_watches;
    std::map<std::string, std::uint64_t> m_calls; ///< Number of requests by route.
    std::unique_ptr<EventLog> m_log;
    TimePoint m_nextProgress;
    int m_answersToDrop { 0 };
    bool m_frozen { false };
};

} // namespace crocuslever::testing
