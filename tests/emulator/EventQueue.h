#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "crocuslever/Core.h"

namespace crocuslever::cell::testing {

/// Virtual time: things to do, in the order of their times.
class EventQueue {
public:
    using Work = std::function<void()>;

    /// Both clocks; the wall clock starts at an arbitrary round time.
    Instant now() const;
    void after(Duration delay, Work work) { m_work.emplace(std::make_pair(m_now + delay, m_next++), std::move(work)); }
    /// Does all that is due up to `end`, and ends there.
    void runUntil(TimePoint end);

private:
    TimePoint m_now { std::chrono::seconds(1000) };
    std::uint64_t m_next { 0 };
    std::map<std::pair<TimePoint, std::uint64_t>, Work> m_work;
};

} // namespace crocuslever::cell::testing
