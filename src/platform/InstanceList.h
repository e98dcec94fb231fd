#pragma once

#include <string>

#include "crocuslever/Error.h"
#include "crocuslever/UpstreamProtocol.h"

namespace crocuslever {

/// Reads the platform's list of instances: JSON of the published Prometheus HTTP
/// service discovery format, one target in each group, with the labels upstream,
/// failure_domain, rack, state (live or leaving), milli_cpu, memory_mb, slots,
/// connections and optionally accelerators. A list with any malformed row is refused whole.
Result<UpstreamListUpdate> decodeInstanceList(const std::string& body);

} // namespace crocuslever
