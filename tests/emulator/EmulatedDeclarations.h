#pragma once

#include <set>
#include <string>

#include "src/cell/Messages.h"

namespace crocuslever::cell::testing {

/// The operators' declarations in the emulated store. Tests change `policy` and `evacuated` directly; changes of the
/// configuration are found by its version at the next call.
class EmulatedDeclarations {
public:
    FleetPolicy policy;
    std::set<std::string> evacuated; ///< Failure domains.

    StoreReply check(const ConfigurationCheck&);
    StoreReply listEvacuations() const;
    std::optional<Declaration> decode(const StoreEntry&) const;
    /// Number of configurations in all answers.
    int configurationsRead() const { return m_configurationsRead; }

private:
    std::int64_t m_recordedVersion { 0 };
    StoreRevision m_revision { 0 }; ///< Of the configuration.
    int m_configurationsRead { 0 };
};

} // namespace crocuslever::cell::testing
