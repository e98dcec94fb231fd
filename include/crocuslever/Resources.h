#pragma once

#include <cstdint>
#include <tuple>

#include "crocuslever/Comparable.h"

namespace crocuslever {

/// An amount of what an upstream has and a task takes.
struct Resources {
    std::int64_t milliCpu { 0 }; ///< Thousandths of a processor core.
    std::int64_t memoryMb { 0 };
    std::int64_t accelerators { 0 };
    std::int64_t slots { 0 }; ///< One for each running task or urgent request.

    auto tie() const { return std::tie(milliCpu, memoryMb, accelerators, slots); }
    bool fitsIn(const Resources& room) const;
    /// True if any amount is below zero.
    bool isNegative() const;
};

Resources operator+(const Resources&, const Resources&);
Resources operator-(const Resources&, const Resources&);
/// The larger of each amount.
Resources maximum(const Resources&, const Resources&);
/// The largest of `part`'s amounts as a fraction of `whole`'s; 0 where `whole` has none.
double dominantFraction(const Resources& part, const Resources& whole);

} // namespace crocuslever
