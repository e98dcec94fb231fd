#pragma once

#include <cstdint>
#include <tuple>

#include "crocuslever/Comparable.h"

namespace crocuslever {

/// Amounts of the resources that upstreams provide and tasks use.
struct Resources {
    std::int64_t milliCpu { 0 }; ///< Thousandths of a processor core.
    std::int64_t memoryMb { 0 };
    std::int64_t accelerators { 0 };
    std::int64_t slots { 0 }; ///< One is used by each running task or urgent request.

    auto tie() const { return std::tie(milliCpu, memoryMb, accelerators, slots); }
    /// True if no amount exceeds the same amount of `room`.
    bool fitsIn(const Resources& room) const;
    /// True if any amount is negative.
    bool isNegative() const;
};

Resources operator+(const Resources&, const Resources&);
Resources operator-(const Resources&, const Resources&);
/// The element-wise maximum.
Resources maximum(const Resources&, const Resources&);
/// The element-wise minimum.
Resources minimum(const Resources&, const Resources&);
/// The largest fraction that any amount of `part` is of the same amount of `whole`.
/// Amounts of which `whole` has none count as 0.
double dominantFraction(const Resources& part, const Resources& whole);

} // namespace crocuslever
