#pragma once

#include "src/cell/CellState.h"

namespace crocuslever::cell {

/// The ticket that lets tasks of the step start there at that time; null: none is known to hold.
const std::string* findTicket(const StepRow&, const UpstreamRow&, TimePoint at);

/// True if the advice service has said that the step may not run there.
bool isAdvisedAgainst(const StepRow&, const UpstreamRow&);

/// Asks the advice service about the step, unless a question is in flight or
/// the tickets at hand suffice. The instances share the questions, since the
/// service serves one at a time for each of them. A step that may
/// preempt asks about upstreams that can make room, too. False: no instance has time.
bool askForAdvice(CellState&, const Route&, const TaskKey& step, bool mayPreempt, const Instant& now, CellActions&);

/// Answers a peer's query by asking the service from here.
void answerAdviceQuery(CellState&, const std::string& peer, std::uint64_t call, const AskAdvice&, CellActions&);

void handleAdviceResult(CellState&, const AdviceResult&, const Instant& now, CellActions&);

} // namespace crocuslever::cell
