// Instances whose work takes time: turns as PlatformDaemon runs them, in virtual time.

#include "tests/emulator/EventLoop.h"

#include <algorithm>

#include "cell.pb.h"
#include "tests/emulator/CellEmulator.h"

namespace crocuslever::cell::testing {

static constexpr std::size_t kEventsPerTurn = 1000;
static constexpr Duration kTimerInterval = std::chrono::milliseconds(8);
static constexpr Duration kLeaseCheckInterval = std::chrono::milliseconds(25);
static constexpr std::int64_t kMilliCpuPerCore = 1000;

static std::int64_t countFrames(const std::string& bytes)
{
    cellwire::PeerMessage message;
    return message.ParseFromString(bytes) ? std::max(1, message.frames_size()) : 1;
}

std::int64_t countParts(const CellEvent& event)
{
    const PeerFrame* frame = std::get_if<PeerFrame>(&event);
    return frame ? countFrames(frame->bytes) : 1;
}

std::int64_t countParts(const CellAction& action)
{
    if (std::holds_alternative<LogLine>(action))
        return 0;
    const SendPeerFrame* frame = std::get_if<SendPeerFrame>(&action);
    return frame ? countFrames(frame->bytes) : 1;
}

bool CellEmulator::isRunning(const Caller& caller) const
{
    const InstanceSlot& slot = m_instances[caller.instance];
    return slot.state && slot.incarnations == caller.incarnation;
}

void CellEmulator::arrive(const Caller& caller, const CellEvent& event)
{
    EventLoop& loop = m_instances[caller.instance].loop;
    loop.inbox.push_back(event);
    if (!loop.isBusy)
        beginTurn(caller, now());
}

void CellEmulator::beginTurn(const Caller& caller, TimePoint due)
{
    EventLoop& loop = m_instances[caller.instance].loop;
    loop.isBusy = true;
    loop.handled = 0;
    loop.due = due;
    ++loop.turns;
    readInbox(caller);
}

/// As a loop reads its sockets: until nothing is left, so that what arrives meanwhile belongs to the turn, but not without end.
void CellEmulator::readInbox(const Caller& caller)
{
    InstanceSlot& slot = m_instances[caller.instance];
    EventLoop& loop = slot.loop;
    std::size_t count = std::min(loop.inbox.size(), kEventsPerTurn - loop.handled);
    if (count == 0) {
        tickTurn(caller);
        return;
    }
    loop.handled += count;
    Duration work(0);
    for (std::size_t n = 0; n < count; ++n) {
        CellEvent event = std::move(loop.inbox.front());
        loop.inbox.pop_front();
        work += m_settings.eventCost * countParts(event);
        handleEvent(*slot.state, event, m_queue.now(), loop.actions);
    }
    spend(caller, work, [this, caller] { readInbox(caller); });
}

/// The delay is measured as in PlatformDaemon: from the first event that the loop read, or from the timer, to the tick.
void CellEmulator::tickTurn(const Caller& caller)
{
    InstanceSlot& slot = m_instances[caller.instance];
    EventLoop& loop = slot.loop;
    slot.state->hasUnreadFrames = std::any_of(loop.inbox.begin(), loop.inbox.end(), [](const CellEvent& event) { return std::holds_alternative<PeerFrame>(event); });
    recordDelay(slot.state->loop, now() - loop.due, now());
    tick(*slot.state, m_queue.now(), loop.actions);
    std::int64_t parts = 0;
    for (const CellAction& action : loop.actions)
        parts += countParts(action);
    spend(caller, m_settings.actionCost * parts, [this, caller] { endTurn(caller); });
}

void CellEmulator::endTurn(const Caller& caller)
{
    EventLoop& loop = m_instances[caller.instance].loop;
    CellActions actions = std::move(loop.actions);
    loop.actions.clear();
    dispatch(caller, actions);
    loop.isBusy = false;
    if (isRunning(caller))
        recordTurnEnd(m_instances[caller.instance].state->loop, loop.due, now());
    if (!loop.inbox.empty()) {
        beginTurn(caller, now());
        return;
    }
    std::uint64_t turn = loop.turns;
    m_queue.after(kTimerInterval, [this, caller, turn] {
        const EventLoop& idle = m_instances[caller.instance].loop;
        if (isRunning(caller) && !idle.isBusy && idle.turns == turn)
            beginTurn(caller, now());
    });
}

/// Goes on once the instance's processor share has done the work, which takes `work` on a whole core.
void CellEmulator::spend(const Caller& caller, Duration work, const EventQueue::Work& then)
{
    InstanceSlot& slot = m_instances[caller.instance];
    Duration time = work * kMilliCpuPerCore / slot.state->settings.milliCpu;
    slot.busyTime += time;
    for (Duration at = kLeaseCheckInterval; at < time; at += kLeaseCheckInterval)
        m_queue.after(at, [this, caller] { renewLeaseInTime(caller); });
    m_queue.after(time, [this, caller, then] { resume(caller, then); });
}

void CellEmulator::resume(const Caller& caller, const EventQueue::Work& then)
{
    if (!isRunning(caller))
        return;
    TimePoint frozenUntil = m_instances[caller.instance].frozenUntil;
    if (now() < frozenUntil)
        m_queue.after(frozenUntil - now(), [this, caller, then] { resume(caller, then); });
    else
        then();
}

void CellEmulator::renewLeaseInTime(const Caller& caller)
{
    InstanceSlot& slot = m_instances[caller.instance];
    if (!isRunning(caller) || now() < slot.frozenUntil)
        return;
    CellActions actions;
    tickLease(*slot.state, m_queue.now(), actions);
    dispatch(caller, actions);
}

} // namespace crocuslever::cell::testing
