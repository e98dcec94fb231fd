#pragma once

#include <tuple>
#include <vector>

#include "src/cell/CellState.h"

namespace crocuslever::cell {

/// Whether a job that starts now can meet its objective. The order is that of placement.
enum class Timeliness {
    InTime, ///< It can still meet its objective.
    Late,
    Useless, ///< Too late to be of any use.
};

/// A step with tasks to place, and its sort key. Its pointers are valid for one placement pass.
struct Candidate {
    JobRow* job { nullptr };
    const Route* route { nullptr };
    TaskKey step; ///< `index` is unused.
    Timeliness timeliness { Timeliness::InTime };
    int priority { 0 };
    int teamExcess { 0 }; ///< How far the team is above its share; see excessRank().
    std::int64_t acceptedMs { 0 };
    bool mayPreempt { true }; ///< It may take room from others, now or by reservation.

    bool operator<(const Candidate& other) const
    {
        return std::tie(timeliness, priority, teamExcess, acceptedMs, step) < std::tie(other.timeliness, other.priority, other.teamExcess, other.acceptedMs, other.step);
    }
};

Timeliness classifyTimeliness(const JobRow&, const Route&, std::int64_t wallMs);

/// The steps with tasks to place, in the order of placement: what can meet its objective first, then by
/// priority, then teams within their share before others, then by age.
/// `onlyUrgent`: only those of the most urgent class that are in time.
std::vector<Candidate> collectCandidates(CellState&, bool onlyUrgent, const Instant& now);

StepRow& rowOf(const Candidate&);
const StepSpec& specOf(const Candidate&);
/// Indexes of the step's tasks that may start now. A task whose run was lost with its upstream waits unless that was
/// before `lossesKnownUntil`: a successor may have seen the run end.
std::vector<int> waitingTasks(const Candidate&, TimePoint lossesKnownUntil, TimePoint now);

} // namespace crocuslever::cell
