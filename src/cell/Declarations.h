#pragma once

#include "src/cell/CellState.h"

namespace crocuslever::cellwire {
class ConfigurationQuery;
}

namespace crocuslever::cell {

/// Keeps the configuration current, and for an owner also the evacuated failure domains and the maintenance waves.
void tickDeclarations(CellState&, const Instant& now, CellActions&);

/// True if the configuration is recent enough to tell a caller that it does not allow a call.
bool isConfigurationCurrent(const CellState&, TimePoint now);
/// True if the store seems to serve no instance: neither this one nor the peers that it has asked, none of which knows a
/// newer configuration. No change of a declaration can be confirmed then, so that old ones may be acted on.
bool isStoreAwayFromFleet(const CellState&, TimePoint now);
/// How long ago the configuration was last confirmed, for logs: "1200 ms ago" or "never".
std::string describeAge(const Confirmation&, TimePoint now);

/// Answers a peer that asks which configuration this instance has, and how old it is.
void answerConfigurationQuery(CellState&, const Asker&, const cellwire::ConfigurationQuery&, const Instant& now, CellActions&);

} // namespace crocuslever::cell
