#pragma once

#include "src/cell/CellState.h"

namespace crocuslever::cell {

/// The ticket that is valid for starts of the step on the upstream at that time; null: none known.
const std::string* findTicket(const StepRow&, const UpstreamRow&, TimePoint at);

/// True if the advice service has answered that the step may not run on the upstream.
bool isAdvisedAgainst(const StepRow&, const UpstreamRow&);

/// Asks the advice service which upstreams may run the step, unless a question
/// is in flight or there is no upstream left to ask about. Questions are spread
/// over the instances, since the service serves each instance sequentially. With
/// `mayPreempt` the question includes upstreams where preemption can make room.
/// Returns false if all instances are at their limit of questions.
bool askForAdvice(CellState&, const Route&, const TaskKey& step, bool mayPreempt, const Instant& now, CellActions&);

/// Asks the service on behalf of a peer and sends the result to it.
void answerAdviceQuery(CellState&, const std::string& peer, std::uint64_t call, const AdviceRequest&, CellActions&);

void handleAdviceResult(CellState&, const AdviceResult&, const Instant& now, CellActions&);

} // namespace crocuslever::cell
