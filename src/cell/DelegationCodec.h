#pragma once

#include "src/cell/Messages.h"

namespace crocuslever::cellwire {
class UpstreamAnswer;
class UpstreamCall;
} // namespace crocuslever::cellwire

namespace crocuslever::cell {

// Calls to upstreams and their results as messages between an owner and its delegates.

void encode(const UpstreamPoll&, cellwire::UpstreamCall&);
void encode(const RunStart&, cellwire::UpstreamCall&);
void encode(const RunStop&, cellwire::UpstreamCall&);
void encode(const RunPace&, cellwire::UpstreamCall&);
/// The action that carries the call out; none if the call is of an unknown kind.
std::optional<CellAction> decodeCall(const cellwire::UpstreamCall&, Ticket);

void encode(const PollResult&, cellwire::UpstreamAnswer&);
void encode(const OrderResult&, cellwire::UpstreamAnswer&);
PollResult decodePollResult(const cellwire::UpstreamAnswer&, Ticket);
OrderResult decodeOrderResult(const cellwire::UpstreamAnswer&, Ticket);

} // namespace crocuslever::cell
