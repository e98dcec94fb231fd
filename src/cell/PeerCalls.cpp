#include "src/cell/PeerCalls.h"

#include "cell.pb.h"
#include "src/cell/Admission.h"
#include "src/cell/Advice.h"
#include "src/cell/Declarations.h"
#include "src/cell/Delegation.h"
#include "src/cell/Entry.h"
#include "src/cell/JobQueue.h"
#include "src/cell/Jobs.h"
#include "src/cell/Ownership.h"
#include "src/cell/PeerFrames.h"
#include "src/cell/Relay.h"
#include "src/cell/StoreCalls.h"

namespace crocuslever::cell {

namespace wire = crocuslever::cellwire;

/// Of messages for another process the first is logged, and then one in this many.
static constexpr std::int64_t kForeignMessagesPerLogLine = 100;

static void send(const CellState& state, const std::string& address, ProcessId receiver, wire::PeerMessage message, CellActions& actions)
{
    message.set_sender(state.settings.address);
    actions.push_back(SendPeerFrame { address, receiver, message.SerializeAsString() });
}

/// The kind of message that answers a query; BODY_NOT_SET: the message is no query.
static wire::PeerMessage::BodyCase answerKindOf(const wire::PeerMessage& message)
{
    switch (message.body_case()) {
    case wire::PeerMessage::kJobQuery:
        return wire::PeerMessage::kJobAnswer;
    case wire::PeerMessage::kCountQuery:
        return wire::PeerMessage::kCountAnswer;
    case wire::PeerMessage::kAdviceQuery:
        return wire::PeerMessage::kAdviceAnswer;
    case wire::PeerMessage::kStoreQuery:
        return wire::PeerMessage::kStoreAnswer;
    case wire::PeerMessage::kUpstreamCall:
        return wire::PeerMessage::kUpstreamAnswer;
    case wire::PeerMessage::kConfigurationQuery:
        return wire::PeerMessage::kConfigurationAnswer;
    default:
        return wire::PeerMessage::BODY_NOT_SET;
    }
}

static bool isNotice(const wire::PeerMessage& message)
{
    return message.has_queue_notice() || message.has_refusal_report() || message.has_admission_notice();
}

void queryPeer(CellState& state, const std::string& address, wire::PeerMessage query, Duration timeout, PeerContinuation then, const Instant&, CellActions& actions)
{
    std::uint64_t call = state.nextPeerCall++;
    query.set_call(call);
    state.peerCalls.emplace(call, PeerCall { std::move(then), timeout, address, answerKindOf(query) });
    state.unsentPeerCalls.push_back(call);
    send(state, address, processAt(state, address), std::move(query), actions);
}

Asker askerOf(const wire::PeerMessage& query) { return { query.sender(), query.sender_process(), query.call() }; }

void answerPeer(CellState& state, const Asker& asker, wire::PeerMessage answer, CellActions& actions)
{
    answer.set_call(asker.call);
    send(state, asker.address, asker.process, std::move(answer), actions);
}

void notifyPeer(CellState& state, const std::string& address, wire::PeerMessage message, CellActions& actions)
{
    send(state, address, processAt(state, address), std::move(message), actions);
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
    answerPeer(state, askerOf(query), std::move(answer), actions);
}

static void answerCountQuery(CellState& state, const wire::PeerMessage& query, CellActions& actions)
{
    wire::PeerMessage answer;
    answer.mutable_count_answer()->set_known(isOwner(state));
    answer.mutable_count_answer()->set_waiting(countWaiting(state, query.count_query().route()));
    answerPeer(state, askerOf(query), std::move(answer), actions);
}

static void handleAdviceQuery(CellState& state, const wire::PeerMessage& query, CellActions& actions)
{
    AdviceRequest request;
    request.step = query.advice_query().step();
    request.upstreams.assign(query.advice_query().upstreams().begin(), query.advice_query().upstreams().end());
    request.timeout = fromMilliseconds(query.advice_query().timeout_ms());
    answerAdviceQuery(state, askerOf(query), request, actions);
}

static void handleAnswer(CellState& state, const wire::PeerMessage& answer, const Instant& now, CellActions& actions)
{
    auto it = state.peerCalls.find(answer.call());
    if (it == state.peerCalls.end()) {
        state.counters.add("peer_late_answers_total");
        return;
    }
    const PeerCall& call = it->second;
    bool isOfOtherProcess = answer.has_other_process();
    if (answer.sender() != call.address || (!isOfOtherProcess && answer.body_case() != call.answerKind)) {
        state.counters.add("peer_wrong_answers_total");
        logMessage(actions, LogLevel::Warning, "peer.receive", answer.sender(), "", "answer of kind " + std::to_string(answer.body_case()) + " dropped: " + call.address + " was asked for kind " + std::to_string(call.answerKind));
        return;
    }
    PeerContinuation then = std::move(it->second.then);
    state.peerCalls.erase(it);
    if (isOfOtherProcess)
        state.counters.add("peer_queries_to_ended_processes_total");
    then(state, isOfOtherProcess ? nullptr : &answer, now, actions);
}

static const char* kindOf(const wire::PeerMessage& message)
{
    if (isNotice(message))
        return "notice";
    return answerKindOf(message) != wire::PeerMessage::BODY_NOT_SET ? "query" : "answer";
}

/// A message that has waited for an earlier process at this address, or at one that another instance had. The sender of a
/// query learns at once that it was not handled.
static void refuseMessage(CellState& state, const wire::PeerMessage& message, CellActions& actions)
{
    std::string kind = kindOf(message);
    std::string counter = "peer_messages_for_other_processes_total{kind=\"" + kind + "\"}";
    if (state.counters.get(counter) % kForeignMessagesPerLogLine == 0)
        logMessage(actions, LogLevel::Info, "peer.receive", message.sender(), "", kind + " for another process at this address dropped");
    state.counters.add(counter);
    if (answerKindOf(message) == wire::PeerMessage::BODY_NOT_SET)
        return;
    wire::PeerMessage answer;
    answer.mutable_other_process();
    answerPeer(state, askerOf(message), std::move(answer), actions);
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
        answerConfigurationQuery(state, askerOf(message), message.configuration_query(), now, actions);
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
    default:
        handleAnswer(state, message, now, actions);
    }
}

/// Handles one message of a frame, which names the processes for all of them.
static void receiveMessage(CellState& state, const wire::PeerMessage& frame, wire::PeerMessage& message, const Instant& now, CellActions& actions)
{
    if (message.body_case() == wire::PeerMessage::BODY_NOT_SET) // Only joined frames.
        return;
    message.set_sender_process(frame.sender_process());
    noteProcess(state, message.sender(), frame.sender_process(), now.steady);
    bool isForThisProcess = frame.receiver_process() == 0 || frame.receiver_process() == state.process;
    if (isForThisProcess)
        handleMessage(state, message, now, actions);
    else
        refuseMessage(state, message, actions);
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
            receiveMessage(state, message, part, now, actions);
        else
            logMessage(actions, LogLevel::Warning, "peer.receive", frame.from, "", "malformed message of " + std::to_string(bytes.size()) + " bytes in a joined frame dropped");
    }
    receiveMessage(state, message, message, now, actions);
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

} // namespace crocuslever::cell
