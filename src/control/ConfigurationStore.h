#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>

#include "crocuslever/Configuration.h"
#include "crocuslever/Error.h"
#include "src/store/StoreClient.h"

namespace crocuslever {

/// The configuration in the store, with the revision that a compare-and-swap expects.
struct StoredConfiguration {
    Configuration configuration;
    StoreRevision modRevision { 0 }; ///< 0: no configuration is stored yet.
};

enum class CommitOutcome {
    Committed, ///< In the store.
    Conflict, ///< Surely not in the store: another change was committed first.
    Unknown, ///< May be in the store, or may still get there.
};

struct CommitReport {
    CommitOutcome outcome { CommitOutcome::Unknown };
    Configuration before; ///< The configuration that was changed.
    Configuration after; ///< The changed configuration, with its new revision.
    std::optional<Configuration> current; ///< What the store holds instead of `after`; unset if not read.
};

/// Returns the changed configuration for the one in the store. `mayBeApplied`: an earlier try got no
/// answer, so the store may contain the change already.
using ConfigurationChange = std::function<Result<Configuration>(const Configuration&, bool mayBeApplied)>;

/// Reads and changes the configuration in the store for operators. Every change is one
/// compare-and-swap. Calls run the io_context until they are done.
class ConfigurationStore {
public:
    ConfigurationStore(boost::asio::io_context&, const StoreClientSettings&);
    ConfigurationStore(const ConfigurationStore&) = delete;
    ConfigurationStore& operator=(const ConfigurationStore&) = delete;

    /// Unavailable if the store did not answer.
    Result<StoredConfiguration> read();
    /// Stores the configuration under the next revision, unless it was changed since `before` was
    /// read. If the answer is lost, reads the store to find out whether the change was committed.
    CommitReport commit(const StoredConfiguration& before, Configuration changed);
    /// Reads, changes and commits, and retries after a conflict; only for changes that commute with
    /// those of other operators. Writes nothing if the change has no effect.
    Result<CommitReport> change(const ConfigurationChange&);

private:
    Result<StoreEntry> readEntry();
    StoreTransactionResult transact(StoreRevision, const std::string& document);
    void handleEvent(const Event&);
    void waitBeforeRetry();

    boost::asio::io_context& m_io;
    std::optional<StoreRangeResult> m_range;
    std::optional<StoreTransactionResult> m_transaction;
    Ticket m_nextTicket { 1 };
    StoreClient m_client;
};

} // namespace crocuslever
