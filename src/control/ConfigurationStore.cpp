#include "src/control/ConfigurationStore.h"

#include <algorithm>
#include <utility>

#include "src/codec/RecordCodec.h"
#include "src/control/RunContext.h"
#include "src/core/StoreKeys.h"

namespace crocuslever {

static constexpr int kMostSends = 5; ///< Of one transaction.
static constexpr int kMostRounds = 8; ///< Of read, change and commit.
static constexpr std::chrono::milliseconds kPause(200);

ConfigurationStore::ConfigurationStore(boost::asio::io_context& io, const StoreClientSettings& settings)
    : m_io(io)
    , m_client(io, settings, [this](const Event& event) { take(event); })
{
}

void ConfigurationStore::take(const Event& event)
{
    if (auto range = std::get_if<StoreRangeResult>(&event))
        m_range = *range;
    else if (auto transaction = std::get_if<StoreTransactionResult>(&event))
        m_transaction = *transaction;
}

void ConfigurationStore::pause() { runFor(m_io, kPause); }

// An entry with revision 0 where the key isn't there.
static StoreEntry findEntry(const std::vector<StoreEntry>& entries)
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
        return Error { ErrorCode::Unavailable, "store.read", "", "the store gave no answer" };
    return findEntry(m_range->entries);
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
    for (int n = 1; entry.has_error() && n < kMostSends; ++n) {
        pause();
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

// What became of our change, now that the key is known to have been modified since `before`.
static void judge(CommitReport& report, const std::string& document, const StoreEntry& entry, bool answerLost)
{
    if (answerLost && entry.value == document) {
        report.outcome = CommitOutcome::Committed;
        return;
    }
    report.outcome = CommitOutcome::Conflict;
    Result<StoredConfiguration> now = decodeEntry(entry);
    if (now)
        report.now = now.value().configuration;
    // More than one change since: ours may have been one of those that were overwritten.
    bool isOnlyChange = report.now && report.now->revision == report.after.revision;
    if (answerLost && !isOnlyChange)
        report.outcome = CommitOutcome::Unknown;
}

CommitReport ConfigurationStore::commit(const StoredConfiguration& before, Configuration changed)
{
    changed.revision = before.configuration.revision + 1;
    CommitReport report { CommitOutcome::Unknown, before.configuration, changed, std::nullopt };
    std::string document = encodeConfiguration(changed);
    for (int n = 0; n < kMostSends; ++n) {
        StoreTransactionResult result = transact(before.modRevision, document);
        if (result.outcome == StoreOutcome::Committed) {
            report.outcome = CommitOutcome::Committed;
            return report;
        }
        if (result.outcome == StoreOutcome::Conflict) {
            judge(report, document, findEntry(result.read), n > 0);
            return report;
        }
        Result<StoreEntry> there = readEntry();
        if (there && there.value().modRevision != before.modRevision) {
            judge(report, document, there.value(), true);
            return report;
        }
        // Sent again it can't take effect twice: the comparison fails if the first did.
        pause();
    }
    return report;
}

Result<CommitReport> ConfigurationStore::change(const ConfigurationChange& make)
{
    CommitReport report;
    bool mayBeDone = false;
    for (int n = 0; n < kMostRounds; ++n) {
        Result<StoredConfiguration> before = read();
        if (before.has_error() && mayBeDone)
            return report;
        if (before.has_error())
            return before.error();
        Result<Configuration> changed = make(before.value().configuration, mayBeDone);
        if (changed.has_error())
            return changed.error();
        if (changed.value() == before.value().configuration)
            return CommitReport { CommitOutcome::Committed, changed.value(), changed.value(), std::nullopt };
        report = commit(before.value(), changed.value());
        if (report.outcome == CommitOutcome::Committed || (report.outcome == CommitOutcome::Unknown && !report.now))
            return report;
        mayBeDone = mayBeDone || report.outcome == CommitOutcome::Unknown;
    }
    // One of the earlier rounds may have taken effect, though the last did not.
    if (mayBeDone)
        report.outcome = CommitOutcome::Unknown;
    return report;
}

} // namespace crocuslever
