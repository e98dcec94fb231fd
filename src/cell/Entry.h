#pragma once

#include <optional>

#include "src/cell/CellState.h"

namespace crocuslever::cell {

// The entry side: every instance takes callers' calls. A job is stored before
// it is accepted; a refusal is said only if the job can't run by this call.

void handleEntryCall(CellState&, const EntryCall&, const Instant& now, CellActions&);
/// Tries again what the store refused, and answers what took too long.
void tickEntry(CellState&, const Instant& now, CellActions&);

/// What the owner knows of a job; nothing if this instance isn't the owner or doesn't know it.
std::optional<JobState> lookUpJob(const CellState&, const std::string& id);

/// What the record of an ended job says.
std::optional<JobState> parseEndedState(const std::string& text);

} // namespace crocuslever::cell
