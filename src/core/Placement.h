#pragma once

#include <optional>
#include <set>
#include <vector>

#include "crocuslever/Core.h"

namespace crocuslever {

/// The requirements of one task.
struct PlacementRequest {
    WorkKind kind { WorkKind::Batch };
    Resources resources;
    bool probe { false }; ///< The work is idempotent and may probe a quarantined upstream.
    std::vector<UpstreamId> avoid; ///< Excluded upstreams.
    std::vector<FailureDomainId> avoidDomains; ///< Gangs and services use these only if no other has room.
};

struct PlacementDecision {
    std::optional<UpstreamId> upstream; ///< Empty: refused.
    RefusalReason reason { RefusalReason::None }; ///< Why no upstream was found.
};

/// Picks one of this instance's upstreams by the policy of the kind: the emptiest for urgent
/// work, best fit for batch work, spread over domains and racks for gangs and services.
PlacementDecision placeTask(const CoreState&, const PlacementRequest&, TimePoint now);

/// True if no listed upstream of the whole cell is large enough for urgent work of this size,
/// even when empty. False while no upstream is listed.
bool neverFits(const CoreState&, const Resources&);
/// As above for one kind of work; deferred kinds can't use the headroom for urgent work.
bool neverFits(const CoreState&, WorkKind, const Resources&);

} // namespace crocuslever
