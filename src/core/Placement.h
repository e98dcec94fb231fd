#pragma once

#include <optional>
#include <set>
#include <vector>

#include "crocuslever/Core.h"

namespace crocuslever {

/// What a placement asks for.
struct PlacementRequest {
    WorkKind kind { WorkKind::Batch };
    Resources resources;
    bool probe { false }; ///< Idempotent: may go to an upstream in quarantine as its probe.
    std::vector<UpstreamId> avoid; ///< Never there.
    std::vector<FailureDomainId> avoidDomains; ///< Rather not there.
};

struct PlacementDecision {
    std::optional<UpstreamId> upstream;
    RefusalReason reason { RefusalReason::None }; ///< When there is none.
};

/// Picks an own upstream by the policy of the kind: urgent to the emptiest,
/// batch packed, gangs and services spread.
PlacementDecision placeTask(const CoreState&, const PlacementRequest&, TimePoint now);

/// True if no listed upstream of the whole cell is large enough, even when empty.
bool neverFits(const CoreState&, const Resources&);
/// The same for one kind: deferred work leaves the headroom for urgent work free.
bool neverFits(const CoreState&, WorkKind, const Resources&);

} // namespace crocuslever
