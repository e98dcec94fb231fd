#include "src/cell/Relay.h"

#include "cell.pb.h"
#include "src/cell/Keys.h"
#include "src/cell/PeerCalls.h"
#include "src/cell/StoreCalls.h"

namespace crocuslever::cell {

namespace wire = crocuslever::cellwire;

static constexpr int kFailuresUntilRelay = 2;
static constexpr Duration kProbeInterval = std::chrono::milliseconds(600);
static constexpr Duration kRefusalPause = std::chrono::milliseconds(300); ///< Backoff for a peer that does not reach the store either.
static constexpr Duration kTimeoutPause = std::chrono::milliseconds(3000); ///< Backoff for a peer that does not answer.
static constexpr Duration kAnswerTimeout = std::chrono::milliseconds(700); ///< Added to the wait of the call.

// Message encoding.

static void encode(const StoreRead& call, wire::StoreQuery& out)
{
    out.set_kind(wire::StoreQuery::READ);
    out.set_key(call.key);
}

static void encode(const StoreList& call, wire::StoreQuery& out)
{
    out.set_kind(wire::StoreQuery::LIST);
    out.set_key(call.prefix);
    out.set_listing(static_cast<int>(call.of));
}

static void encode(const StoreAwait& call, wire::StoreQuery& out)
{
    out.set_kind(wire::StoreQuery::AWAIT);
    out.set_key(call.prefix);
    out.set_revision(call.revision);
    out.set_duration_ms(toMilliseconds(call.wait));
}

static void encode(const StoreChange& call, wire::StoreQuery& out)
{
    out.set_kind(wire::StoreQuery::CHANGE);
    for (const StoreCompare& condition : call.conditions) {
        wire::StoreItem& item = *out.add_conditions();
        item.set_key(condition.key);
        item.set_revision(condition.modRevision);
    }
    for (const StorePut& put : call.puts) {
        wire::StoreItem& item = *out.add_puts();
        item.set_key(put.key);
        item.set_value(put.value);
        item.set_lease(put.lease);
    }
    for (const std::string& key : call.deletes)
        out.add_deletes(key);
}

static void encode(const LeaseGrant& call, wire::StoreQuery& out)
{
    out.set_kind(wire::StoreQuery::GRANT_LEASE);
    out.set_duration_ms(toMilliseconds(call.timeToLive));
}

static void encode(const LeaseRenew& call, wire::StoreQuery& out)
{
    out.set_kind(wire::StoreQuery::RENEW_LEASE);
    out.set_lease(call.lease);
}

static StoreChange decodeChange(const wire::StoreQuery& in)
{
    StoreChange command;
    for (const wire::StoreItem& item : in.conditions())
        command.conditions.push_back({ item.key(), item.revision() });
    for (const wire::StoreItem& item : in.puts())
        command.puts.push_back({ item.key(), item.value(), item.lease() });
    command.deletes.assign(in.deletes().begin(), in.deletes().end());
    return command;
}

static void encodeAnswer(const StoreReply& reply, wire::StoreAnswer& out)
{
    out.set_status(static_cast<int>(reply.status));
    out.set_revision(reply.revision);
    out.set_lease(reply.lease);
    for (const StoreEntry& entry : reply.entries) {
        wire::StoreItem& item = *out.add_entries();
        item.set_key(entry.key);
        item.set_value(entry.value);
        item.set_revision(entry.modRevision);
    }
    for (const std::string& key : reply.deleted)
        out.add_deleted(key);
}

static StoreReply decodeAnswer(const wire::StoreAnswer& in)
{
    StoreReply reply;
    bool isKnown = in.status() >= 0 && in.status() <= static_cast<int>(StoreStatus::NoAnswer);
    reply.status = isKnown ? static_cast<StoreStatus>(in.status()) : StoreStatus::NoAnswer;
    reply.revision = in.revision();
    reply.lease = in.lease();
    for (const wire::StoreItem& item : in.entries())
        reply.entries.push_back({ item.key(), item.value(), item.revision() });
    reply.deleted.assign(in.deleted().begin(), in.deleted().end());
    return reply;
}

// The relaying instance.

static void relayList(CellState& state, const wire::StoreQuery& query, const StoreContinuation& answer, CellActions& actions)
{
    for (Listing of : { Listing::Directory, Listing::Evacuations, Listing::Waves }) {
        if (query.listing() == static_cast<int>(of)) {
            readListing(state, of, answer, actions);
            return;
        }
    }
    if (query.listing() == static_cast<int>(Listing::OwnKeys)) {
        listKeys(state, query.key(), answer, actions);
        return;
    }
    logMessage(actions, LogLevel::Warning, "relay", "", "", "listing of unknown kind " + std::to_string(query.listing()) + " refused");
    state.relay.relayedTickets.erase(state.nextTicket); // No call is made.
    StoreReply refusal;
    refusal.status = StoreStatus::Refused;
    answer(state, refusal, {}, actions);
}

void relayStoreQuery(CellState& state, const wire::PeerMessage& query, CellActions& actions)
{
    auto answer = [asker = askerOf(query)](CellState& s, const StoreReply& reply, const Instant&, CellActions& out) {
        wire::PeerMessage message;
        encodeAnswer(reply, *message.mutable_store_answer());
        s.relay.relayedTickets.erase(reply.ticket);
        answerPeer(s, asker, std::move(message), out);
    };
    if (state.relay.isOn || !isStoreReachable(state)) {
        StoreReply refusal;
        refusal.status = StoreStatus::Refused;
        answer(state, refusal, {}, actions);
        return;
    }
    const wire::StoreQuery& body = query.store_query();
    state.relay.relayedTickets.insert(state.nextTicket); // The ticket of the call below.
    switch (body.kind()) {
    case wire::StoreQuery::READ:
        readKey(state, body.key(), answer, actions);
        return;
    case wire::StoreQuery::LIST:
        relayList(state, body, answer, actions);
        return;
    case wire::StoreQuery::AWAIT:
        awaitChanges(state, body.key(), body.revision(), fromMilliseconds(body.duration_ms()), answer, actions);
        return;
    case wire::StoreQuery::CHANGE:
        sendChange(state, decodeChange(body), answer, actions);
        return;
    case wire::StoreQuery::GRANT_LEASE:
        grantLease(state, fromMilliseconds(body.duration_ms()), answer, actions);
        return;
    default:
        renewLease(state, body.lease(), answer, actions);
    }
}

// The instance that the store does not serve.

static bool isRelayCandidate(const CellState& state, const std::string& address, TimePoint now)
{
    auto avoid = state.relay.avoidUntil.find(address);
    return address != state.settings.address && (avoid == state.relay.avoidUntil.end() || now >= avoid->second);
}

/// Address of a random instance that is not in backoff; empty: none known.
static std::string choosePeer(CellState& state, TimePoint now)
{
    std::vector<std::string> peers;
    for (const auto& [name, instance] : state.membership.instances) {
        if (isRelayCandidate(state, instance.address, now))
            peers.push_back(instance.address);
    }
    for (const std::string& seed : state.settings.seeds) {
        if (peers.empty() && isRelayCandidate(state, seed, now))
            peers.push_back(seed);
    }
    return peers.empty() ? std::string() : peers[randomBelow(state, peers.size())];
}

static void handleRelayedReply(CellState& state, Ticket ticket, const std::string& peer, const wire::PeerMessage* answer, const Instant& now, CellActions& actions)
{
    StoreReply reply;
    if (answer && answer->has_store_answer())
        reply = decodeAnswer(answer->store_answer());
    bool isServed = reply.status != StoreStatus::NoAnswer && reply.status != StoreStatus::Refused;
    if (!isServed)
        state.relay.avoidUntil[peer] = now.steady + (answer ? kRefusalPause : kTimeoutPause);
    if (!isServed && state.relay.peer == peer)
        state.relay.peer = choosePeer(state, now.steady);
    reply.ticket = ticket;
    // A failed relay does not count against the direct connection to the store.
    if (state.relay.isOn || isServed)
        handleStoreReply(state, reply, now, actions);
    else
        completeStoreCall(state, reply, now, actions);
}

template <typename Call>
static void sendViaPeer(CellState& state, const Call& call, Duration wait, const Instant& now, CellActions& actions)
{
    wire::PeerMessage query;
    encode(call, *query.mutable_store_query());
    Ticket ticket = call.ticket;
    std::string peer = state.relay.peer;
    auto then = [ticket, peer](CellState& s, const wire::PeerMessage* answer, const Instant& at, CellActions& out) { handleRelayedReply(s, ticket, peer, answer, at, out); };
    queryPeer(state, peer, std::move(query), wait + kAnswerTimeout, then, now, actions);
}

namespace {

/// Moves actions to `out`, but sends store calls to the relaying peer.
struct Redirect {
    CellState& state;
    const Instant& now;
    CellActions& out;

    bool isDirect(Ticket ticket) const
    {
        const Relay& relay = state.relay;
        return ticket == relay.probe || relay.peer.empty() || relay.relayedTickets.count(ticket) > 0;
    }

    template <typename Call>
    void redirect(const Call& call, Duration wait = Duration(0))
    {
        if (isDirect(call.ticket))
            out.push_back(call);
        else
            sendViaPeer(state, call, wait, now, out);
    }

    void operator()(const StoreRead& call) { redirect(call); }
    void operator()(const StoreList& call) { redirect(call); }
    void operator()(const StoreAwait& call) { redirect(call, call.wait); }
    void operator()(const StoreChange& call) { redirect(call); }
    void operator()(const LeaseGrant& call) { redirect(call); }
    void operator()(const LeaseRenew& call) { redirect(call); }
    template <typename Other>
    void operator()(const Other& action) { out.push_back(action); }
};

} // namespace

static void handleProbe(CellState& state, const StoreReply& reply, const Instant& now, CellActions& actions)
{
    state.relay.isProbing = false;
    state.relay.probe = 0;
    state.relay.nextProbe = now.steady + kProbeInterval;
    if (reply.status != StoreStatus::Ok && reply.status != StoreStatus::NotFound)
        return;
    state.relay.isOn = false;
    logMessage(actions, LogLevel::Info, "relay", "", "", "store reachable directly again; relaying ends");
}

static void probe(CellState& state, const Instant& now, CellActions& actions)
{
    if (state.relay.isProbing || now.steady < state.relay.nextProbe)
        return;
    state.relay.isProbing = true;
    state.relay.probe = state.nextTicket;
    readKey(state, kEpochKey, handleProbe, actions);
}

void tickRelay(CellState& state, const Instant& now, CellActions& actions)
{
    Relay& relay = state.relay;
    if (!relay.isOn && state.membership.storeFailures >= kFailuresUntilRelay) {
        relay.peer = choosePeer(state, now.steady);
        relay.isOn = !relay.peer.empty();
        relay.nextProbe = now.steady + kProbeInterval;
        if (relay.isOn)
            logMessage(actions, LogLevel::Warning, "relay", relay.peer, "", "store calls from this instance fail; relaying them through a peer");
    }
    if (!relay.isOn)
        return;
    if (relay.peer.empty())
        relay.peer = choosePeer(state, now.steady);
    probe(state, now, actions);
    CellActions redirected;
    for (const CellAction& action : actions)
        std::visit(Redirect { state, now, redirected }, action);
    actions = std::move(redirected);
}

} // namespace crocuslever::cell
