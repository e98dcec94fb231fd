#pragma once

#include <cstdint>

#include "crocuslever/Time.h"

namespace crocuslever::cell {

/// How much the cell turns away because its owner couldn't serve it in time.
struct AdmissionLimit {
    /// Number of priority classes that are turned away, the least urgent first. A fraction is a share of the next class.
    std::int64_t turnedAwayThousandths { 0 };
    Duration backlog { 0 }; ///< Time until the owner has worked off what waits; 0: nothing is turned away.

    bool operator==(const AdmissionLimit& other) const { return turnedAwayThousandths == other.turnedAwayThousandths && backlog == other.backlog; }
    bool operator!=(const AdmissionLimit& other) const { return !(*this == other); }
};

} // namespace crocuslever::cell
