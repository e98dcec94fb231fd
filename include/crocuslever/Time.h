#pragma once

#include <chrono>

namespace crocuslever {

/// Monotonic time as every deciding function takes it.
using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Whole milliseconds, rounded down; for messages and logs.
constexpr std::int64_t toMilliseconds(Duration d) { return std::chrono::duration_cast<std::chrono::milliseconds>(d).count(); }
constexpr Duration fromMilliseconds(std::int64_t n) { return std::chrono::milliseconds(n); }

} // namespace crocuslever
