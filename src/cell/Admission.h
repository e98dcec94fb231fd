#pragma once

#include <optional>

#include "src/cell/CellState.h"

namespace crocuslever::cellwire {
class AdmissionNotice;
class RefusalReport;
} // namespace crocuslever::cellwire

namespace crocuslever::cell {

// Bounds what the cell accepts by what can be started in time. The owner plans it and notifies all instances; each applies the
// plan to the jobs that reach it, and reports what it turned away. An instance without a recent plan applies the limit in the
// owner's record, which is coarser and older.

/// Plans what is accepted, if this instance is the owner, or reports to the owner what was turned away.
void tickAdmission(CellState&, const Instant& now, CellActions&);

/// True if the job of that route and team must be turned away. The same job gets the same answer while the cell accepts as much.
bool isTurnedAway(const CellState&, const Route&, const std::string& team, const std::string& jobId, TimePoint now);

/// When the caller of a job that was turned away may come back: once the work ahead of it has been started, spread so that not
/// all return together.
Duration retryAfterOverload(CellState&, const Route&, TimePoint now);

/// Counts a job that the cell has accepted. Only the owner does.
void recordAccepted(CellState&, const JobRow&);
/// Counts a job that this instance turns away.
void recordRefused(CellState&, const std::string& route, const std::string& team, const JobSpec&);

void handleRefusalReport(CellState&, const cellwire::RefusalReport&);
void handleAdmissionNotice(CellState&, const cellwire::AdmissionNotice&, const Instant& now);

/// What the cell accepts of a priority class as this instance knows it, in thousandths.
std::int64_t acceptedOfClass(const CellState&, int priority, TimePoint now);
/// The same of what the team offers on the route.
std::int64_t acceptedOfTeam(const CellState&, const Route&, const std::string& team, TimePoint now);
/// The wait of a job of that priority class that is accepted now; unset: no recent plan is known.
std::optional<Duration> expectedWait(const CellState&, int priority, TimePoint now);

} // namespace crocuslever::cell
