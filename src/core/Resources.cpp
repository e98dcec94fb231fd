#include "crocuslever/Resources.h"

#include <algorithm>

namespace crocuslever {

bool Resources::fitsIn(const Resources& room) const
{
    return milliCpu <= room.milliCpu && memoryMb <= room.memoryMb && accelerators <= room.accelerators && slots <= room.slots;
}

bool Resources::isNegative() const
{
    return milliCpu < 0 || memoryMb < 0 || accelerators < 0 || slots < 0;
}

Resources operator+(const Resources& a, const Resources& b)
{
    return { a.milliCpu + b.milliCpu, a.memoryMb + b.memoryMb, a.accelerators + b.accelerators, a.slots + b.slots };
}

Resources operator-(const Resources& a, const Resources& b)
{
    return { a.milliCpu - b.milliCpu, a.memoryMb - b.memoryMb, a.accelerators - b.accelerators, a.slots - b.slots };
}

Resources maximum(const Resources& a, const Resources& b)
{
    return { std::max(a.milliCpu, b.milliCpu), std::max(a.memoryMb, b.memoryMb),
        std::max(a.accelerators, b.accelerators), std::max(a.slots, b.slots) };
}

Resources minimum(const Resources& a, const Resources& b) { return a + b - maximum(a, b); }

static double fraction(std::int64_t part, std::int64_t whole)
{
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0;
}

double dominantFraction(const Resources& part, const Resources& whole)
{
    return std::max({ fraction(part.milliCpu, whole.milliCpu), fraction(part.memoryMb, whole.memoryMb),
        fraction(part.accelerators, whole.accelerators), fraction(part.slots, whole.slots) });
}

} // namespace crocuslever
