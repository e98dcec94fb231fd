#pragma once

#include <chrono>

namespace crocuslever {

/// Monotonic time, in microseconds. Functions that make decisions take the time as a parameter.
using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Whole milliseconds, rounded towards zero; for messages and logs.
constexpr std::int64_t toMilliseconds(Duration d) { return std::chrono::duration_cast<std::chrono::milliseconds>(d).count(); }
constexpr Duration fromMilliseconds(std::int64_t n) { return std::chrono::milliseconds(n); }

} // namespace crocuslever
