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
#include "tests/support/HttpFake.h"
#include "tests/support/StoreModel.h"

namespace crocuslever::testing {

/// Serves a StoreModel over the JSON gateway protocol of the platform's
/// key-value service, with switches for its faults.
class FakeStore {
public:
    FakeStore(boost::asio::io_context&, const std::string& address, unsigned short port);
    ~FakeStore();
    FakeStore(const FakeStore&) = delete;
    FakeStore& operator=(const FakeStore&) = delete;

    std::string endpoint() const { return m_http.endpoint(); }
    StoreModel& model() { return m_model; }
    void logTo(const std::string& path);
    /// Tells watches of changes made to the model directly.
    void deliver();

    /// The next transactions take effect and their answers are lost.
    void loseAnswers(int count) { m_answersToDrop = count; }
    /// Nothing is answered any more, though connections stay open.
    void setFrozen(bool);
    void breakWatches();
    std::size_t watchCount() const { return m_watches.size(); }
    std::uint64_t calls() const; ///< All there were, a watch counted as one.

private:
    struct Watch {
        ExchangePtr exchange;
        std::string key;
        std::string rangeEnd;
        StoreRevision next { 0 };
        bool progress { false };
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
    HttpFake m_http;
    boost::asio::steady_timer m_timer;
    std::vector<Watch> m_watches;
    std::map<std::string, std::uint64_t> m_calls; ///< By route.
    std::unique_ptr<EventLog> m_log;
    TimePoint m_nextProgress;
    int m_answersToDrop { 0 };
    bool m_frozen { false };
};

} // namespace crocuslever::testing
