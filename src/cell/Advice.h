#pragma once

#include "src/cell/CellState.h"

namespace crocuslever::cell {

/// True if the ticket is valid for a start that is sent at that time.
bool isValidAt(const StepAdvice::Grant&, TimePoint at);

/// The ticket that is valid for starts of the step on the upstream at that time; null: none known.
const std::string* findTicket(const StepRow&, const UpstreamRow&, TimePoint at);

/// True if the advice service has answered that the step may not run on the upstream.
bool isAdvisedAgainst(const StepRow&, const UpstreamRow&);

/// An instance through which the advice service can be asked.
struct Adviser {
    std::string instance;
    AdviceLoad* load { nullptr };
};

/// The live instances that are not in backoff, in a stable order. The loads are the state's.
std::vector<Adviser> findAdvisers(CellState&, TimePoint now);

/// An upstream that accepts work, with its free processor share when the list that holds it was made.
struct RankedUpstream {
    const UpstreamRow* upstream { nullptr };
    std::int64_t freeMilliCpu { 0 };
};

/// The upstreams with the most free processor share first.
std::vector<RankedUpstream> rankByRoom(const std::vector<UpstreamRow*>& open);

/// A step that needs tickets.
struct AdviceNeed {
    const Route* route { nullptr };
    TaskKey step; ///< `index` is unused.
    bool mayPreempt { false }; ///< Also ask about upstreams where preemption can make room.
};

/// Asks the advice service which upstreams may run the step, unless a question is in flight or there is no
/// upstream left to ask about. `byRoom` holds all that accept work, see rankByRoom().
/// Questions are spread over the advisers, since the service serves each instance
/// sequentially. Returns false if all advisers are at their limit of questions.
bool askForAdvice(CellState&, const AdviceNeed&, const std::vector<RankedUpstream>& byRoom, const std::vector<Adviser>&, const Instant& now, CellActions&);

/// Asks the service on behalf of a peer and sends the result to it.
void answerAdviceQuery(CellState&, const Asker&, const AdviceRequest&, CellActions&);

void handleAdviceResult(CellState&, const AdviceResult&, const Instant& now, CellActions&);

} // namespace crocuslever::cell
