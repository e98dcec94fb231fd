#pragma once

#include <string>

#include "crocuslever/Core.h"

namespace crocuslever {

/// The body of `/status`: members, shards and their owners, upstreams and teams, as JSON.
std::string formatStatus(const CoreState&, TimePoint now);

/// The body of `/metrics`: one line "crocuslever_NAME VALUE" for each counter.
std::string formatMetrics(const Counters&);

/// Sets the gauges that are computed from the state's tables.
void setGauges(const CoreState&, TimePoint now, Counters&);

} // namespace crocuslever
