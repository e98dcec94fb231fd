#include "src/control/ConfigurationStore.h"

#include <algorithm>
#include <utility>

#include "src/codec/RecordCodec.h"
#include "src/control/RunIoContext.h"
#include "src/core/StoreKeys.h"

namespace crocuslever {

static constexpr int kMaximumTries = 5; ///< Tries of a read or of one transaction.
static constexpr int kMaximumRounds = 8; ///< Rounds of reading, changing and committing.
static constexpr std::chrono::milliseconds kRetryInterval(200);

ConfigurationStore::ConfigurationStore(boost::asio::io_context& io, const StoreClientSettings& settings)
    : m_io(io)
    , m_client(io, settings, [this](const Event& event) { handleEvent(event); })
{
}

void ConfigurationStore::handleEvent(const Event& event)
{
    if (auto range = std::get_if<StoreRangeResult>(&event))
        m_range = *range;
    else if (auto transaction = std::get_if<StoreTransactionResult>(&event))
        m_transaction = *transaction;
}

void ConfigurationStore::waitBeforeRetry() { runFor(m_io, kRetryInterval); }

// Returns an entry with revision 0 if the key does not exist.
static StoreEntry findConfigurationEntry(const std::vector<StoreEntry>& entries)
{
    auto it = std::find_if(entries.begin(), entries.end(), [](const StoreEntry& entry) { return entry.key == kConfigurationKey; });
    return it == entries.end() ? StoreEntry { kConfigurationKey, {}, 0 } : *it;
}

Result<StoreEntry> ConfigurationStore::readEntry()
{
    m_range.reset();
    m_client.execute(StoreRange { m_nextTicket++, kConfigurationKey });
    runUntilSet(m_io, m_range);
    if (!m_range->ok)
        return Error { ErrorCode::Unavailable, "store.read", "", "the store did not answer" };
    return findConfigurationEntry(m_range->entries);
}

static Result<StoredConfiguration> decodeEntry(const StoreEntry& entry)
{
    if (entry.modRevision == 0)
        return StoredConfiguration {};
    Result<Configuration> configuration = decodeConfiguration(entry.value);
    if (configuration.has_error())
        return configuration.error();
    return StoredConfiguration { configuration.value(), entry.modRevision };
}

Result<StoredConfiguration> ConfigurationStore::read()
{
    Result<StoreEntry> entry = readEntry();
    for (int n = 1; entry.has_error() && n < kMaximumTries; ++n) {
        waitBeforeRetry();
        entry = readEntry();
    }
    if (entry.has_error())
        return entry.error();
    return decodeEntry(entry.value());
}

StoreTransactionResult ConfigurationStore::transact(StoreRevision expected, const std::string& document)
{
    StoreTransaction transaction;
    transaction.ticket = m_nextTicket++;
    transaction.compares.push_back({ kConfigurationKey, expected });
    transaction.puts.push_back({ kConfigurationKey, document, 0 });
    transaction.readOnConflict.push_back(kConfigurationKey);
    m_transaction.reset();
    m_client.execute(transaction);
    runUntilSet(m_io, m_transaction);
    return *m_transaction;
}

// Determines the outcome of our change, given that the key was modified since `before`.
static void resolveOutcome(CommitReport& report, const std::string& document, const StoreEntry& entry, bool answerLost)
{
    if (answerLost && entry.value == document) {
        report.outcome = CommitOutcome::Committed;
        return;
    }
    report.outcome = CommitOutcome::Conflict;
    Result<StoredConfiguration> current = decodeEntry(entry);
    if (current)
        report.current = current.value().configuration;
    // After more than one change, ours may have been committed and overwritten.
    bool isOnlyChange = report.current && report.current->revision == report.after.revision;
    if (answerLost && !isOnlyChange)
        report.outcome = CommitOutcome::Unknown;
}

CommitReport ConfigurationStore::commit(const StoredConfiguration& before, Configuration changed)
{
    changed.revision = before.configuration.revision + 1;
    CommitReport report { CommitOutcome::Unknown, before.configuration, changed, std::nullopt };
    std::string document = encodeConfiguration(changed);
    for (int n = 0; n < kMaximumTries; ++n) {
        StoreTransactionResult result = transact(before.modRevision, document);
        if (result.outcome == StoreOutcome::Committed) {
            report.outcome = CommitOutcome::Committed;
            return report;
        }
        if (result.outcome == StoreOutcome::Conflict) {
            resolveOutcome(report, document, findConfigurationEntry(result.read), n > 0);
            return report;
        }
        Result<StoreEntry> stored = readEntry();
        if (stored && stored.value().modRevision != before.modRevision) {
            resolveOutcome(report, document, stored.value(), true);
            return report;
        }
        // Safe to send again: the comparison fails if an earlier try took effect.
        waitBeforeRetry();
    }
    return report;
}

Result<CommitReport> ConfigurationStore::change(const ConfigurationChange& makeChange)
{
    CommitReport report;
    bool mayBeApplied = false;
    for (int n = 0; n < kMaximumRounds; ++n) {
        Result<StoredConfiguration> before = read();
        if (before.has_error() && mayBeApplied)
            return report;
        if (before.has_error())
            return before.error();
        Result<Configuration> changed = makeChange(before.value().configuration, mayBeApplied);
        if (changed.has_error())
            return changed.error();
        if (changed.value() == before.value().configuration)
            return CommitReport { CommitOutcome::Committed, changed.value(), changed.value(), std::nullopt };
        report = commit(before.value(), changed.value());
        if (report.outcome == CommitOutcome::Committed || (report.outcome == CommitOutcome::Unknown && !report.current))
            return report;
        mayBeApplied = mayBeApplied || report.outcome == CommitOutcome::Unknown;
    }
    // An earlier round may have taken effect, although the last one did not.
    if (mayBeApplied)
        report.outcome = CommitOutcome::Unknown;
    return report;
}

} // namespace crocuslever
