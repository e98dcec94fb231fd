#pragma once

#include <string>

#include "crocuslever/Core.h"

namespace crocuslever {

/// What `/status` shows: members, shards and their owners, upstreams, teams; JSON.
std::string formatStatus(const CoreState&, TimePoint now);

/// What `/metrics` shows: a line "crocuslever_NAME VALUE" for each counter.
std::string formatMetrics(const Counters&);

/// Sets the gauges that are read off the tables.
void setGauges(const CoreState&, TimePoint now, Counters&);

} // namespace crocuslever
