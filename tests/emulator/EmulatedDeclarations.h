#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "src/cell/Messages.h"

namespace crocuslever::cell::testing {

/// The operators' declarations in the emulated store, with the history of their changes. Tests change `policy` and
/// `evacuated` directly; changes are found by comparison at the next call.
class EmulatedDeclarations {
public:
    FleetPolicy policy;
    std::set<std::string> evacuated; ///< Failure domains.

    /// All entries, and the revision.
    StoreReply list();
    /// The changes after the revision. While deaf, none, but the current revision. HistoryLost: they are forgotten.
    StoreReply changesAfter(StoreRevision);
    std::optional<Declaration> decode(const StoreEntry&) const;
    void setDeaf(bool isDeaf) { m_isDeaf = isDeaf; }
    void forgetHistory();
    /// Number of configurations in all answers.
    int configurationsRead() const { return m_configurationsRead; }

private:
    struct Change {
        StoreRevision revision { 0 };
        StoreEntry entry;
        bool isDeleted { false };
    };

    std::vector<StoreEntry> entries() const;
    void recordChanges();

    std::map<std::string, StoreEntry> m_recorded; ///< The entries when changes were last recorded.
    std::vector<Change> m_changes;
    StoreRevision m_revision { 1 };
    StoreRevision m_historyStart { 0 }; ///< Changes up to this revision are forgotten.
    int m_configurationsRead { 0 };
    bool m_isDeaf { false };
};

} // namespace crocuslever::cell::testing
