#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>

#include "crocuslever/Configuration.h"
#include "crocuslever/Error.h"
#include "src/store/StoreClient.h"

namespace crocuslever {

/// The configuration as it is in the store, with what a compare-and-swap needs.
struct StoredConfiguration {
    Configuration configuration;
    StoreRevision modRevision { 0 }; ///< 0: there is none yet.
};

enum class CommitOutcome {
    Committed, ///< In the store.
    Conflict, ///< Surely not done: somebody else's change was first.
    Unknown, ///< It may have taken effect, or may yet.
};

struct CommitReport {
    CommitOutcome outcome { CommitOutcome::Unknown };
    Configuration before; ///< What the change was made from.
    Configuration after; ///< With its new revision.
    std::optional<Configuration> current; ///< What is there in its place, where that was read.
};

/// Makes the new configuration from the one in the store. `mayBeDone`: an
/// earlier try got no answer, so the change may be in there already.
using ConfigurationChange = std::function<Result<Configuration>(const Configuration&, bool mayBeApplied)>;

/// The operators' hand on the configuration: every change is one
/// compare-and-swap. Calls run the io_context until they are done.
class ConfigurationStore {
public:
    ConfigurationStore(boost::asio::io_context&, const StoreClientSettings&);
    ConfigurationStore(const ConfigurationStore&) = delete;
    ConfigurationStore& operator=(const ConfigurationStore&) = delete;

    /// An error has code Unavailable if the store gave no answer.
    Result<StoredConfiguration> read();
    /// Puts the configuration there, with the next revision, if nobody has
    /// changed it since it was read. A lost answer is looked into.
    CommitReport commit(const StoredConfiguration& before, Configuration changed);
    /// Reads, changes and commits, again after each conflict: for changes that
    /// commute with those of others. Commits nothing where nothing changes.
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
