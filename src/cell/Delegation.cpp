#include "src/cell/Delegation.h"

#include <algorithm>

#include "cell.pb.h"
#include "src/cell/DelegationCodec.h"
#include "src/cell/Ownership.h"
#include "src/cell/PeerCalls.h"
#include "src/cell/Runs.h"
#include "src/cell/StoreCalls.h"
#include "src/cell/Upstreams.h"

namespace crocuslever::cell {

namespace wire = crocuslever::cellwire;

/// Share of its processor that an owner spends at most on polls of its own.
static constexpr double kMaxPollShare = 0.2;
/// Delegation ends only well below the number of upstreams at which it begins.
static constexpr double kEndFactor = 0.8;
static constexpr std::int64_t kMilliCpuPerCore = 1000;
/// Longest time that a delegate waits for an upstream's answer to an order.
static constexpr Duration kOrderTimeout = std::chrono::milliseconds(400);
/// The same for a poll, besides the wait of the poll.
static constexpr Duration kPollMargin = std::chrono::milliseconds(500);
/// Added to these for the way to the delegate and back.
static constexpr Duration kForwardingTime = std::chrono::milliseconds(300);
/// Few delegates with many upstreams each take few frames; many lose less with one of them.
static constexpr std::size_t kUpstreamsPerDelegate = 64;
static constexpr Duration kDelegateBackoff = std::chrono::milliseconds(3000); ///< For a delegate that did not answer.

/// The polls of this many upstreams take the share of the processor that an owner spends on them.
static std::size_t mostOwnUpstreams(const CellSettings& settings)
{
    double share = static_cast<double>(settings.milliCpu) / kMilliCpuPerCore;
    double seconds = std::chrono::duration<double>(settings.pollCost).count();
    return share > 0.0 ? static_cast<std::size_t>(kMaxPollShare * share / seconds) : SIZE_MAX;
}

static void updateDelegation(CellState& state, CellActions& actions)
{
    double most = static_cast<double>(mostOwnUpstreams(state.settings)) * (state.delegation.isOn ? kEndFactor : 1.0);
    bool isNeeded = static_cast<double>(state.upstreams.size()) > most;
    if (isNeeded == state.delegation.isOn)
        return;
    state.delegation.isOn = isNeeded;
    logMessage(actions, LogLevel::Info, "delegation", "", "", std::string(isNeeded ? "calls" : "no calls") + " to the " + std::to_string(state.upstreams.size()) + " upstreams go through other instances now");
}

/// Addresses of instances in the latest listing that are not in backoff, as many as the upstreams need, those with the
/// largest processor shares first.
static std::vector<std::string> findDelegates(const CellState& state, TimePoint now)
{
    std::vector<const Membership::Instance*> usable;
    const Membership& membership = state.membership;
    for (const auto& [name, instance] : membership.instances) {
        auto avoid = state.delegation.avoidUntil.find(instance.address);
        bool isAvoided = avoid != state.delegation.avoidUntil.end() && now < avoid->second;
        if (name != state.settings.instance && instance.lastSeen == membership.listedAt && !isAvoided)
            usable.push_back(&instance);
    }
    std::stable_sort(usable.begin(), usable.end(), [](const Membership::Instance* a, const Membership::Instance* b) { return a->milliCpu > b->milliCpu; });
    usable.resize(std::min(usable.size(), state.upstreams.size() / kUpstreamsPerDelegate + 1));
    std::vector<std::string> delegates;
    delegates.reserve(usable.size());
    for (const Membership::Instance* it : usable)
        delegates.push_back(it->address);
    return delegates;
}

namespace {

/// Passes actions on, but hands calls to upstreams to their delegates.
class Redirect {
public:
    Redirect(CellState& state, const Instant& now, CellActions& out)
        : m_state(state)
        , m_now(now)
        , m_out(out)
        , m_delegates(findDelegates(state, now.steady))
    {
    }

    void operator()(UpstreamPoll& poll)
    {
        UpstreamRow* upstream = findUpstream(poll.target.id);
        if (!upstream || upstream->failedPolls < kFailedPollsUntilOwnPoll) {
            delegate(poll, poll.wait + kPollMargin, handlePollAnswer);
            return;
        }
        // A delegate that is late, or cut off from the upstream, is no dead upstream, whose runs would be started again. The
        // first failure may only be that of a new delegate, which has no connection yet.
        if (!upstream->delegate.empty())
            upstream->failedDelegate = std::move(upstream->delegate);
        upstream->delegate.clear();
        m_out.push_back(std::move(poll));
    }
    void operator()(RunStart& order) { delegate(order, kOrderTimeout, handleOrderAnswer); }
    void operator()(RunStop& order) { delegate(order, kOrderTimeout, handleOrderAnswer); }
    void operator()(RunPace& order) { delegate(order, kOrderTimeout, handleOrderAnswer); }
    template <typename Other>
    void operator()(Other& action) { m_out.push_back(std::move(action)); }

private:
    using AnswerHandler = void (*)(CellState&, Ticket, const wire::UpstreamAnswer*, const Instant&, CellActions&);

    static void handlePollAnswer(CellState& state, Ticket ticket, const wire::UpstreamAnswer* answer, const Instant& now, CellActions& actions)
    {
        PollResult none;
        none.ticket = ticket;
        handlePoll(state, answer ? decodePollResult(*answer, ticket) : none, now, actions);
    }

    static void handleOrderAnswer(CellState& state, Ticket ticket, const wire::UpstreamAnswer* answer, const Instant& now, CellActions& actions)
    {
        OrderResult none;
        none.ticket = ticket;
        handleOrderResult(state, answer ? decodeOrderResult(*answer, ticket) : none, now, actions);
    }

    UpstreamRow* findUpstream(const std::string& id)
    {
        auto it = m_state.upstreams.find(id);
        return it == m_state.upstreams.end() ? nullptr : &it->second;
    }

    bool isDelegate(const std::string& address) const
    {
        return std::find(m_delegates.begin(), m_delegates.end(), address) != m_delegates.end();
    }

    /// The delegate of the upstream. It stays the same while it answers, since an upstream's ends are acknowledged only
    /// on the connection that listed them.
    std::string delegateOf(const std::string& upstream)
    {
        auto it = m_state.upstreams.find(upstream);
        if (it == m_state.upstreams.end())
            return chooseDelegate("");
        if (!isDelegate(it->second.delegate))
            it->second.delegate = chooseDelegate(it->second.failedDelegate);
        return it->second.delegate;
    }

    /// The next in turn that is not `avoided`; empty: there are no delegates.
    std::string chooseDelegate(const std::string& avoided)
    {
        if (m_delegates.empty())
            return {};
        std::string address = m_delegates[m_state.delegation.next++ % m_delegates.size()];
        return address == avoided ? m_delegates[m_state.delegation.next++ % m_delegates.size()] : address;
    }

    template <typename Call>
    void delegate(Call& call, Duration timeout, AnswerHandler handle)
    {
        std::string address = delegateOf(call.target.id);
        if (address.empty()) {
            m_out.push_back(std::move(call));
            return;
        }
        wire::PeerMessage message;
        encode(call, *message.mutable_upstream_call());
        Ticket ticket = call.ticket;
        auto then = [ticket, address, handle](CellState& s, const wire::PeerMessage* answer, const Instant& at, CellActions& out) {
            bool isAnswered = answer && answer->has_upstream_answer();
            if (!isAnswered || answer->upstream_answer().declined())
                s.delegation.avoidUntil[address] = at.steady + kDelegateBackoff;
            handle(s, ticket, isAnswered ? &answer->upstream_answer() : nullptr, at, out);
        };
        queryPeer(m_state, address, std::move(message), timeout + kForwardingTime, then, m_now, m_out);
    }

    CellState& m_state;
    const Instant& m_now;
    CellActions& m_out;
    std::vector<std::string> m_delegates;
};

} // namespace

void tickDelegation(CellState& state, const Instant& now, CellActions& actions)
{
    if (!isOwner(state))
        return;
    updateDelegation(state, actions);
    bool hasCalls = std::any_of(actions.begin(), actions.end(), [](const CellAction& it) {
        return std::holds_alternative<UpstreamPoll>(it) || std::holds_alternative<RunStart>(it) || std::holds_alternative<RunStop>(it) || std::holds_alternative<RunPace>(it);
    });
    if (!state.delegation.isOn || !hasCalls)
        return;
    CellActions redirected;
    Redirect redirect(state, now, redirected);
    for (CellAction& action : actions)
        std::visit(redirect, action);
    actions = std::move(redirected);
}

/// Tells the owner that the call was not made, so that it need not wait for an answer.
static void decline(CellState& state, const wire::PeerMessage& message, CellActions& actions)
{
    wire::PeerMessage answer;
    answer.mutable_upstream_answer()->set_declined(true);
    answer.mutable_upstream_answer()->set_outcome(static_cast<int>(OrderOutcome::NotSent));
    answerPeer(state, askerOf(message), std::move(answer), actions);
}

void handleUpstreamCall(CellState& state, const wire::PeerMessage& message, CellActions& actions)
{
    if (state.stopping) {
        decline(state, message, actions);
        return;
    }
    Ticket ticket = state.nextTicket++;
    std::optional<CellAction> call = decodeCall(message.upstream_call(), ticket);
    if (!call) {
        logMessage(actions, LogLevel::Warning, "delegation", message.sender(), "", "call to an upstream of unknown kind " + std::to_string(message.upstream_call().kind()) + " dropped");
        return;
    }
    state.delegation.callsForOwners[ticket] = askerOf(message);
    actions.push_back(std::move(*call));
}

template <typename CallResult>
static bool returnResult(CellState& state, const CallResult& result, CellActions& actions)
{
    auto it = state.delegation.callsForOwners.find(result.ticket);
    if (it == state.delegation.callsForOwners.end())
        return false;
    wire::PeerMessage answer;
    encode(result, *answer.mutable_upstream_answer());
    answerPeer(state, it->second, std::move(answer), actions);
    state.delegation.callsForOwners.erase(it);
    return true;
}

bool returnToOwner(CellState& state, const PollResult& result, CellActions& actions) { return returnResult(state, result, actions); }

bool returnToOwner(CellState& state, const OrderResult& result, CellActions& actions) { return returnResult(state, result, actions); }

} // namespace crocuslever::cell
