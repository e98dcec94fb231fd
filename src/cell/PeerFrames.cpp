#include "src/cell/PeerFrames.h"

#include <algorithm>
#include <map>

#include "cell.pb.h"

namespace crocuslever::cell {

namespace wire = crocuslever::cellwire;

/// A process that has been silent for longer is forgotten; the next query goes to whichever is there.
static constexpr Duration kSilenceUntilForgotten = std::chrono::seconds(60);
static constexpr Duration kSweepInterval = std::chrono::seconds(10);

ProcessId processAt(const CellState& state, const std::string& address)
{
    auto it = state.heardProcesses.find(address);
    return it == state.heardProcesses.end() ? 0 : it->second.id;
}

void noteProcess(CellState& state, const std::string& address, ProcessId process, TimePoint now)
{
    // Instances of an earlier version don't name themselves.
    if (process == 0)
        state.heardProcesses.erase(address);
    else
        state.heardProcesses[address] = { process, now };
}

void forgetProcess(CellState& state, const std::string& address) { state.heardProcesses.erase(address); }

static void forgetSilentProcesses(CellState& state, TimePoint now)
{
    if (now < state.nextHeardSweep)
        return;
    state.nextHeardSweep = now + kSweepInterval;
    for (auto it = state.heardProcesses.begin(); it != state.heardProcesses.end();)
        it = now - it->second.heardAt > kSilenceUntilForgotten ? state.heardProcesses.erase(it) : std::next(it);
}

/// Encodes what a frame says of its processes. It is appended to the frame: protobuf merges encodings that follow each other.
static std::string encodeProcesses(ProcessId sender, ProcessId receiver)
{
    wire::PeerMessage processes;
    processes.set_sender_process(sender);
    processes.set_receiver_process(receiver);
    return processes.SerializeAsString();
}

/// The frames for one process as a single one. An owner sends several to each of its delegates in a turn, and each frame
/// costs both sides more than its contents.
static std::string join(std::vector<std::string> frames)
{
    if (frames.size() == 1)
        return std::move(frames.front());
    wire::PeerMessage joined;
    for (std::string& bytes : frames)
        joined.add_frames(std::move(bytes));
    return joined.SerializeAsString();
}

void finishFrames(const CellState& state, CellActions& actions)
{
    std::map<std::pair<std::string, ProcessId>, std::vector<std::string>> framesTo;
    auto isTaken = [&framesTo](CellAction& action) {
        SendPeerFrame* frame = std::get_if<SendPeerFrame>(&action);
        if (frame)
            framesTo[{ frame->address, frame->receiver }].push_back(std::move(frame->bytes));
        return frame != nullptr;
    };
    actions.erase(std::remove_if(actions.begin(), actions.end(), isTaken), actions.end());
    for (auto& [to, frames] : framesTo) {
        const auto& [address, receiver] = to;
        actions.push_back(SendPeerFrame { address, receiver, join(std::move(frames)) + encodeProcesses(state.process, receiver) });
    }
}

void tickFrames(CellState& state, const Instant& now, CellActions& actions)
{
    state.sentPeerCalls.insert(state.sentPeerCalls.end(), state.unsentPeerCalls.begin(), state.unsentPeerCalls.end());
    state.unsentPeerCalls.clear();
    forgetSilentProcesses(state, now.steady);
    finishFrames(state, actions);
}

} // namespace crocuslever::cell
