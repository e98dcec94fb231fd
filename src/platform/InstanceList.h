#pragma once

#include <string>

#include "crocuslever/Error.h"
#include "crocuslever/UpstreamProtocol.h"

namespace crocuslever {

/// Decodes the platform's list of upstreams, in the Prometheus HTTP service discovery format. Each
/// group has one target and the labels upstream, failure_domain, rack, state (live or leaving),
/// milli_cpu, memory_mb, slots, connections and optionally accelerators; other labels are ignored.
/// A single malformed group makes the whole list an error.
Result<UpstreamListUpdate> decodeInstanceList(const std::string& body);

} // namespace crocuslever
