#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "crocuslever/Core.h"

namespace crocuslever::cell::testing {

/// Discrete-event queue with a virtual clock.
class EventQueue {
public:
    using Work = std::function<void()>;

    /// Virtual steady and wall-clock time. The wall clock starts at an arbitrary round value.
    Instant now() const;
    void after(Duration delay, Work work) { m_work.emplace(std::make_pair(m_now + delay, m_next++), std::move(work)); }
    /// Runs all work that is due up to `end`, then sets the clock to `end`.
    void runUntil(TimePoint end);

private:
    TimePoint m_now { std::chrono::seconds(1000) };
    std::uint64_t m_next { 0 };
    std::map<std::pair<TimePoint, std::uint64_t>, Work> m_work;
};

} // namespace crocuslever::cell::testing
