#include "tests/emulator/EventQueue.h"

namespace crocuslever::cell::testing {

Instant EventQueue::now() const
{
    constexpr std::int64_t kWallStartMs = 1'700'000'000'000;
    return { m_now, kWallStartMs + toMilliseconds(m_now.time_since_epoch()) };
}

void EventQueue::runUntil(TimePoint end)
{
    while (!m_work.empty() && m_work.begin()->first.first <= end) {
        auto first = m_work.begin();
        m_now = std::max(m_now, first->first.first);
        Work work = std::move(first->second);
        m_work.erase(first);
        work();
    }
    m_now = end;
}

} // namespace crocuslever::cell::testing
