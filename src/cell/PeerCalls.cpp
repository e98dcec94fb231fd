#include "src/cell/PeerCalls.h"

#include <algorithm>

#include "cell.pb.h"
#include "src/cell/Admission.h"
#include "src/cell/Advice.h"
#include "src/cell/Declarations.h"
#include "src/cell/Delegation.h"
#include "src/cell/Entry.h"
#include "src/cell/JobQueue.h"
#include "src/cell/Jobs.h"
#include "src/cell/Ownership.h"
#include "src/cell/Relay.h"
#include "src/cell/StoreCalls.h"

namespace crocuslever::cell {

namespace wire = crocuslever::cellwire;

static void send(const CellState& state, const std::string& address, wire::PeerMessage message, CellActions& actions)
{
    message.set_sender(state.settings.address);
    actions.push_back(SendPeerFrame { address, message.SerializeAsString() });
}

void queryPeer(CellState& state, const std::string& address, wire::PeerMessage query, Duration timeout, PeerContinuation then, const Instant&, CellActions& actions)
{
    std::uint64_t call = state.nextTicket++;
    query.set_call(call);
    state.peerCalls.emplace(call, PeerCall { std::move(then), timeout });
    state.unsentPeerCalls.push_back(call);
    send(state, address, std::move(query), actions);
}

void answerPeer(CellState& state, const std::string& address, std::uint64_t call, wire::PeerMessage answer, CellActions& actions)
{
    answer.set_call(call);
    send(state, address, std::move(answer), actions);
}

void notifyPeer(CellState& state, const std::string& address, wire::PeerMessage message, CellActions& actions)
{
    send(state, address, std::move(message), actions);
}

static void decodeQueueNotice(CellState& state, const wire::QueueNotice& notice, const Instant& now, CellActions& actions)
{
    StoreEntry entry { notice.item().key(), notice.item().value(), notice.item().revision() };
    handleQueueNotice(state, { entry, notice.token(), notice.sent_ms() }, now, actions);
}

static void answerJobQuery(CellState& state, const wire::PeerMessage& query, CellActions& actions)
{
    wire::PeerMessage answer;
    std::optional<JobState> found = lookUpJob(state, query.job_query().id());
    answer.mutable_job_answer()->set_known(found.has_value());
    answer.mutable_job_answer()->set_state(static_cast<int>(found.value_or(JobState::Pending)));
    answerPeer(state, query.sender(), query.call(), std::move(answer), actions);
}

static void answerCountQuery(CellState& state, const wire::PeerMessage& query, CellActions& actions)
{
    wire::PeerMessage answer;
    answer.mutable_count_answer()->set_known(isOwner(state));
    answer.mutable_count_answer()->set_waiting(countWaiting(state, query.count_query().route()));
    answerPeer(state, query.sender(), query.call(), std::move(answer), actions);
}

static void handleAdviceQuery(CellState& state, const wire::PeerMessage& query, CellActions& actions)
{
    AdviceRequest request;
    request.step = query.advice_query().step();
    request.upstreams.assign(query.advice_query().upstreams().begin(), query.advice_query().upstreams().end());
    request.timeout = fromMilliseconds(query.advice_query().timeout_ms());
    answerAdviceQuery(state, query.sender(), query.call(), request, actions);
}

static void handleAnswer(CellState& state, const wire::PeerMessage& answer, const Instant& now, CellActions& actions)
{
    auto it = state.peerCalls.find(answer.call());
    if (it == state.peerCalls.end()) {
        state.counters.add("peer_late_answers_total");
        return;
    }
    PeerContinuation then = std::move(it->second.then);
    state.peerCalls.erase(it);
    then(state, &answer, now, actions);
}

static void handleMessage(CellState& state, const wire::PeerMessage& message, const Instant& now, CellActions& actions)
{
    switch (message.body_case()) {
    case wire::PeerMessage::kJobQuery:
        answerJobQuery(state, message, actions);
        return;
    case wire::PeerMessage::kCountQuery:
        answerCountQuery(state, message, actions);
        return;
    case wire::PeerMessage::kAdviceQuery:
        handleAdviceQuery(state, message, actions);
        return;
    case wire::PeerMessage::kStoreQuery:
        relayStoreQuery(state, message, actions);
        return;
    case wire::PeerMessage::kUpstreamCall:
        handleUpstreamCall(state, message, actions);
        return;
    case wire::PeerMessage::kConfigurationQuery:
        answerConfigurationQuery(state, message.sender(), message.call(), message.configuration_query(), now, actions);
        return;
    case wire::PeerMessage::kQueueNotice:
        decodeQueueNotice(state, message.queue_notice(), now, actions);
        return;
    case wire::PeerMessage::kRefusalReport:
        handleRefusalReport(state, message.refusal_report());
        return;
    case wire::PeerMessage::kAdmissionNotice:
        handleAdmissionNotice(state, message.admission_notice(), now);
        return;
    case wire::PeerMessage::BODY_NOT_SET: // Joined frames.
        return;
    default:
        handleAnswer(state, message, now, actions);
    }
}

void handlePeerFrame(CellState& state, const PeerFrame& frame, const Instant& now, CellActions& actions)
{
    wire::PeerMessage message;
    if (!message.ParseFromString(frame.bytes)) {
        logMessage(actions, LogLevel::Warning, "peer.receive", frame.from, "", "malformed message of " + std::to_string(frame.bytes.size()) + " bytes dropped");
        return;
    }
    // Joined frames are not nested, so that a malformed one costs no stack.
    for (const std::string& bytes : message.frames()) {
        wire::PeerMessage part;
        if (part.ParseFromString(bytes))
            handleMessage(state, part, now, actions);
        else
            logMessage(actions, LogLevel::Warning, "peer.receive", frame.from, "", "malformed message of " + std::to_string(bytes.size()) + " bytes in a joined frame dropped");
    }
    handleMessage(state, message, now, actions);
}

/// A query leaves at the end of the turn that makes it, and that turn may be longer than the timeout.
static void beginTimeouts(CellState& state, TimePoint now)
{
    for (std::uint64_t call : state.sentPeerCalls) {
        auto it = state.peerCalls.find(call);
        if (it != state.peerCalls.end())
            state.peerDeadlines.emplace(now + it->second.timeout, call);
    }
    state.sentPeerCalls.clear();
}

void tickPeerCalls(CellState& state, const Instant& now, CellActions& actions)
{
    beginTimeouts(state, now.steady);
    // The answers may have arrived in time, and wait for a busy instance to read them.
    if (state.hasUnreadFrames)
        return;
    while (!state.peerDeadlines.empty() && state.peerDeadlines.begin()->first <= now.steady) {
        auto it = state.peerCalls.find(state.peerDeadlines.begin()->second);
        state.peerDeadlines.erase(state.peerDeadlines.begin());
        if (it == state.peerCalls.end())
            continue;
        state.counters.add("peer_timeouts_total");
        PeerContinuation then = std::move(it->second.then);
        state.peerCalls.erase(it);
        then(state, nullptr, now, actions);
    }
}

/// Joins the frames to each address into one. An owner sends several to each of its delegates in a turn, and each
/// frame costs both sides more than its contents.
void tickFrames(CellState& state, const Instant&, CellActions& actions)
{
    state.sentPeerCalls.insert(state.sentPeerCalls.end(), state.unsentPeerCalls.begin(), state.unsentPeerCalls.end());
    state.unsentPeerCalls.clear();
    std::unordered_map<std::string, std::size_t> framesTo;
    for (const CellAction& action : actions) {
        const SendPeerFrame* frame = std::get_if<SendPeerFrame>(&action);
        if (frame)
            ++framesTo[frame->address];
    }
    std::unordered_map<std::string, wire::PeerMessage> joined;
    auto isJoined = [&](CellAction& action) {
        SendPeerFrame* frame = std::get_if<SendPeerFrame>(&action);
        if (!frame || framesTo[frame->address] < 2)
            return false;
        joined[frame->address].add_frames(std::move(frame->bytes));
        return true;
    };
    actions.erase(std::remove_if(actions.begin(), actions.end(), isJoined), actions.end());
    for (const auto& [address, message] : joined)
        actions.push_back(SendPeerFrame { address, message.SerializeAsString() });
}

} // namespace crocuslever::cell
