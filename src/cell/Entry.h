#pragma once

#include <optional>

#include "src/cell/CellState.h"

namespace crocuslever::cell {

// Callers' calls, which every instance serves. A job is stored before it is
// acknowledged, and a call is refused only if it can never start the job.

void handleEntryCall(CellState&, const EntryCall&, const Instant& now, CellActions&);
/// Validates the call and fills in its route, team and job id. Returns the reply to an invalid call.
std::optional<EntryReply> checkCall(const CellState&, EntryRow&);
/// Retries failed store calls, and answers calls whose time is up.
void tickEntry(CellState&, const Instant& now, CellActions&);

/// The job's state as the owner knows it; empty if this instance is not the owner or does not know the job.
std::optional<JobState> lookUpJob(const CellState&, const std::string& id);

/// Parses the stored state of an ended job; empty if it is invalid.
std::optional<JobState> parseEndedState(const std::string& text);

} // namespace crocuslever::cell
