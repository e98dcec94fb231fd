#pragma once

#include <cstdint>
#include <deque>

#include "src/cell/Messages.h"

namespace crocuslever::cell::testing {

/// The event loop of an instance whose work takes time.
struct EventLoop {
    std::deque<CellEvent> inbox; ///< What has arrived and was not handled yet.
    CellActions actions; ///< Of the present turn; performed at its end.
    bool isBusy { false };
    std::size_t handled { 0 }; ///< Number of events in the present turn.
    TimePoint due; ///< When the present turn was due.
    std::uint64_t turns { 0 };
};

/// Number of events or actions that one stands for: peers join several frames into one. Lines of the log are buffered, and count none.
std::int64_t countParts(const CellEvent&);
std::int64_t countParts(const CellAction&);

} // namespace crocuslever::cell::testing
