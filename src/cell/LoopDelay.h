#pragma once

#include "crocuslever/Time.h"

namespace crocuslever::cell {

/// How late the turns of this instance's event loop begin, smoothed over about a second. It grows once the instance has
/// more to do than its processor share allows.
struct LoopDelay {
    Duration smoothed { 0 };
    TimePoint measuredAt; ///< Of the latest turn.
    double busyShare { 0.0 }; ///< Share of the time that turns take, and that they are late; smoothed over about half a second.
    TimePoint endedAt; ///< End of the latest turn.

    bool operator==(const LoopDelay& other) const { return smoothed == other.smoothed && measuredAt == other.measuredAt && busyShare == other.busyShare && endedAt == other.endedAt; }
    bool operator!=(const LoopDelay& other) const { return !(*this == other); }
};

/// Takes a turn into account that begins `delay` late.
void recordDelay(LoopDelay&, Duration delay, TimePoint now);

/// Takes the end of a turn into account that was due at `due`.
void recordTurnEnd(LoopDelay&, TimePoint due, TimePoint now);

/// The event loop has hardly any time left. Long turns make all that takes several of them slow, also where none is late.
bool isSaturated(const LoopDelay&);
/// Turns begin so late that work for which several are needed is delayed noticeably.
bool hasLateTurns(const LoopDelay&);
/// More than the event loop can do in time: work has to be turned away.
bool isOverloaded(const LoopDelay&);
/// There is time for more work.
bool hasSlack(const LoopDelay&);

/// A pause for work that can be put off, here the next poll of an upstream. None while the event loop has slack.
Duration pauseInOverload(const LoopDelay&);

} // namespace crocuslever::cell
