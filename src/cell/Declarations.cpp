#include "src/cell/Declarations.h"

#include <algorithm>
#include <set>
#include <tuple>

#include "cell.pb.h"
#include "src/cell/Latency.h"
#include "src/cell/Ownership.h"
#include "src/cell/PeerCalls.h"
#include "src/cell/StoreCalls.h"

namespace crocuslever::cell {

namespace wire = crocuslever::cellwire;

/// Between two checks of the configuration. Several fit into the time in which a change has to be in force.
static constexpr Duration kCheckInterval = std::chrono::milliseconds(600);
static constexpr Duration kRetryInterval = std::chrono::milliseconds(200);
/// Peers are asked if the store has not confirmed the configuration for this long.
static constexpr Duration kPeerQueryAge = std::chrono::milliseconds(1000);
static constexpr Duration kPeerQueryInterval = std::chrono::milliseconds(200);
static constexpr Duration kPeerQueryTimeout = std::chrono::milliseconds(400);
/// An outage of the store is believed as long as peers go on to confirm it.
static constexpr Duration kPeerAnswerValidity = std::chrono::milliseconds(1500);
/// A single peer may be without the store for the same reason as this instance.
static constexpr std::size_t kPeersForOutage = 3;
/// A configuration may be large and pass two slow links.
static constexpr Duration kTransferTimeout = std::chrono::milliseconds(4000);
/// A transfer from a peer that takes longer does not keep another from starting: the peer may have died.
static constexpr Duration kTransferPatience = std::chrono::milliseconds(1000);
static constexpr Duration kEvacuationInterval = std::chrono::milliseconds(1000);
static constexpr Duration kWaveInterval = std::chrono::milliseconds(2000);
/// Of consecutive failures the first is logged, and then one in this many.
static constexpr int kFailuresPerLogLine = 8;

static std::int64_t versionInForce(const CellState& state) { return state.configuration.value ? state.configuration.value->version : 0; }

std::string describeAge(const Confirmation& confirmation, TimePoint now)
{
    return wasConfirmed(confirmation) ? std::to_string(toMilliseconds(now - confirmation.at)) + " ms ago" : "never";
}

bool isConfigurationCurrent(const CellState& state, TimePoint now)
{
    return isCurrent(state.configuration.confirmation, state.settings.configurationDeadline, now);
}

/// True if enough peers have lately said that the store doesn't serve them either. Instances of one failure domain may be
/// cut off together, so that most domains have to be heard. Peers that don't answer may be dead.
static bool isOutageConfirmedByPeers(const CellState& state, TimePoint now)
{
    const Membership& membership = state.membership;
    const std::map<std::string, PeerOutlook>& outlooks = state.declarations.peers;
    std::set<std::string> domains { state.settings.domain };
    std::set<std::string> confirmingDomains = domains;
    std::size_t answering = 0;
    std::size_t confirming = 0;
    for (const auto& [name, instance] : membership.instances) {
        if (name == state.settings.instance)
            continue;
        domains.insert(instance.domain);
        auto it = outlooks.find(instance.address);
        answering += it == outlooks.end() || !it->second.isSilent;
        if (it == outlooks.end() || now - it->second.withoutStoreAt >= kPeerAnswerValidity)
            continue;
        ++confirming;
        confirmingDomains.insert(instance.domain);
    }
    std::size_t peers = membership.instances.size() - membership.instances.count(state.settings.instance);
    std::size_t needed = peers == 0 ? 0 : std::clamp<std::size_t>(answering, 1, kPeersForOutage);
    return confirming >= needed && 2 * confirmingDomains.size() > domains.size();
}

bool isStoreAwayFromFleet(const CellState& state, TimePoint now)
{
    if (isStoreReachable(state))
        return false;
    const DeclarationReader& reader = state.declarations;
    const Confirmation& confirmation = state.configuration.confirmation;
    if (reader.newestRevision > confirmation.revision || isCurrent(confirmation, kPeerQueryAge, now))
        return false;
    return isOutageConfirmedByPeers(state, now);
}

// The configuration.

/// Replaces the configuration if the version is higher. Versions never go back.
static void applyPolicy(CellState& state, const std::shared_ptr<const FleetPolicy>& policy, CellActions& actions)
{
    std::shared_ptr<const FleetPolicy>& current = state.configuration.value;
    if (current && policy->version <= current->version)
        return;
    logMessage(actions, LogLevel::Info, "declarations", "", "", "applied configuration version " + std::to_string(policy->version) + ", previous version " + std::to_string(versionInForce(state)));
    current = policy;
    state.placementDue = true;
}

/// Applies a record that was current at `confirmedAt`. One that can't be decoded is kept as read, since reading it
/// again would not help; the configuration before it stays in force.
static void applyConfiguration(CellState& state, const StoreEntry& record, TimePoint confirmedAt, CellActions& actions)
{
    Confirmation& confirmation = state.configuration.confirmation;
    if (record.modRevision < confirmation.revision)
        return;
    bool isNew = record.modRevision > confirmation.revision;
    confirmation = { record.modRevision, std::max(confirmation.at, confirmedAt) };
    if (!isNew)
        return;
    state.declarations.record = std::make_shared<const StoreEntry>(record);
    std::optional<Declaration> declaration = state.format.decodeDeclaration(record);
    const std::shared_ptr<const FleetPolicy>* policy = declaration ? std::get_if<std::shared_ptr<const FleetPolicy>>(&*declaration) : nullptr;
    if (policy) {
        applyPolicy(state, *policy, actions);
        return;
    }
    const Error* error = declaration ? std::get_if<Error>(&*declaration) : nullptr;
    logMessage(actions, LogLevel::Error, "declarations", "", "", "the configuration of revision " + std::to_string(record.modRevision) + " is ignored: " + (error ? error->message : "not a configuration") + "; version " + std::to_string(versionInForce(state)) + " stays in force");
}

static void recordTransfer(CellState& state, const std::string& from, const StoreEntry& record, Duration took, CellActions& actions)
{
    observeLatency(state.counters, "configuration_transfer_seconds", took);
    state.counters.add("configuration_received_bytes_total", static_cast<std::int64_t>(record.value.size()));
    logMessage(actions, LogLevel::Info, "declarations", from, "", "received the configuration of revision " + std::to_string(record.modRevision) + ", " + std::to_string(record.value.size()) + " bytes, " + std::to_string(toMilliseconds(took)) + " ms after it was requested");
}

static void recordFailure(CellState& state, StoreStatus status, const Instant& now, CellActions& actions)
{
    DeclarationReader& reader = state.declarations;
    reader.nextCheck = now.steady + kRetryInterval;
    state.counters.add("declaration_read_failures_total");
    if (reader.failures++ % kFailuresPerLogLine != 0)
        return;
    std::string why = status == StoreStatus::NoAnswer ? "no complete answer" : "refused by the store";
    std::string duration = std::to_string(toMilliseconds(now.steady - reader.checkSentAt));
    logMessage(actions, LogLevel::Warning, "declarations", "", "", "checking the configuration failed after " + duration + " ms: " + why + "; version " + std::to_string(versionInForce(state)) + " stays in force, last confirmed " + describeAge(state.configuration.confirmation, now.steady) + ", failure " + std::to_string(reader.failures));
}

static void handleCheck(CellState& state, const StoreReply& reply, const Instant& now, CellActions& actions)
{
    DeclarationReader& reader = state.declarations;
    reader.isChecking = false;
    if (reply.status == StoreStatus::Ok && state.configuration.confirmation.revision != 0) {
        reader.failures = 0;
        state.configuration.confirmation = confirmedAgain(state.configuration.confirmation, reader.checkSentAt);
    } else if (reply.status == StoreStatus::Conflict) {
        reader.failures = 0;
        for (const StoreEntry& entry : reply.entries) {
            recordTransfer(state, "store", entry, now.steady - reader.checkSentAt, actions);
            applyConfiguration(state, entry, reader.checkSentAt, actions);
        }
    } else if (reply.status != StoreStatus::Ok) {
        recordFailure(state, reply.status, now, actions);
    }
}

static void checkWithStore(CellState& state, const Instant& now, CellActions& actions)
{
    DeclarationReader& reader = state.declarations;
    // While calls are relayed, this instance does not reach the store, and its peers are asked.
    if (reader.isChecking || now.steady < reader.nextCheck || state.relay.isOn)
        return;
    reader.isChecking = true;
    reader.checkSentAt = now.steady;
    reader.nextCheck = now.steady + kCheckInterval;
    checkConfiguration(state, state.configuration.confirmation.revision, handleCheck, actions);
}

// Peers, for an instance that the store does not serve.

/// A peer of the failure domain that was not asked for the longest time, so that most domains are heard within
/// kPeerAnswerValidity. Empty: there are no peers.
static std::string choosePeerToAsk(CellState& state)
{
    std::map<std::string, std::string> domainOfPeer; // By address.
    for (const auto& [name, instance] : state.membership.instances)
        domainOfPeer[instance.address] = instance.domain;
    domainOfPeer.erase(state.settings.address);
    for (const std::string& seed : state.settings.seeds) {
        if (domainOfPeer.empty() && seed != state.settings.address)
            domainOfPeer.emplace(seed, std::string());
    }
    std::map<std::string, PeerOutlook>& outlooks = state.declarations.peers;
    std::map<std::string, TimePoint> domainAskedAt;
    for (const auto& [address, domain] : domainOfPeer)
        domainAskedAt[domain] = std::max(domainAskedAt[domain], outlooks[address].askedAt);
    using Turn = std::tuple<TimePoint, TimePoint, std::uint64_t, std::string>;
    std::optional<Turn> next;
    for (const auto& [address, domain] : domainOfPeer) {
        Turn turn { domainAskedAt[domain], outlooks[address].askedAt, randomBelow(state, UINT64_MAX), address };
        next = std::min(next.value_or(turn), turn);
    }
    return next ? std::get<std::string>(*next) : std::string();
}

static void handleTransfer(CellState& state, const std::string& peer, const wire::PeerMessage* answer, TimePoint sentAt, const Instant& now, CellActions& actions)
{
    state.declarations.transferSince.reset();
    if (!answer || !answer->has_configuration_answer())
        return;
    const wire::ConfigurationAnswer& body = answer->configuration_answer();
    if (!body.has_record())
        return;
    StoreEntry record { body.record().key(), body.record().value(), body.record().revision() };
    recordTransfer(state, peer, record, now.steady - sentAt, actions);
    applyConfiguration(state, record, sentAt - fromMilliseconds(body.age_ms()), actions);
}

static void transferFrom(CellState& state, const std::string& peer, const Instant& now, CellActions& actions)
{
    const DeclarationReader& reader = state.declarations;
    // The answer to the check may be the same configuration, and would share the link with the transfer.
    bool isCheckRecent = reader.isChecking && now.steady - reader.checkSentAt < kTransferPatience;
    std::optional<TimePoint>& since = state.declarations.transferSince;
    bool isTransferRecent = since && now.steady - *since < kTransferPatience;
    if (isCheckRecent || isTransferRecent)
        return;
    since = now.steady;
    wire::PeerMessage query;
    query.mutable_configuration_query()->set_wants_record(true);
    TimePoint sentAt = now.steady;
    auto then = [peer, sentAt](CellState& s, const wire::PeerMessage* answer, const Instant& at, CellActions& out) { handleTransfer(s, peer, answer, sentAt, at, out); };
    queryPeer(state, peer, std::move(query), kTransferTimeout, then, now, actions);
}

static void handlePeerAnswer(CellState& state, const std::string& peer, const wire::PeerMessage* answer, TimePoint sentAt, const Instant& now, CellActions& actions)
{
    DeclarationReader& reader = state.declarations;
    reader.peers[peer].isSilent = !answer;
    if (!answer || !answer->has_configuration_answer() || !answer->configuration_answer().known())
        return;
    const wire::ConfigurationAnswer& body = answer->configuration_answer();
    Confirmation& confirmation = state.configuration.confirmation;
    reader.newestRevision = std::max<StoreRevision>(reader.newestRevision, body.revision());
    if (body.revision() > confirmation.revision) {
        transferFrom(state, peer, now, actions);
        return;
    }
    if (body.revision() == confirmation.revision)
        confirmation = confirmedAgain(confirmation, sentAt - fromMilliseconds(body.age_ms()));
    bool isPeerServed = body.age_ms() < toMilliseconds(kPeerQueryAge);
    if (!isPeerServed) {
        reader.peers[peer].withoutStoreAt = sentAt;
        return;
    }
    for (auto& [address, outlook] : reader.peers)
        outlook.withoutStoreAt = {};
}

static void askPeer(CellState& state, const Instant& now, CellActions& actions)
{
    DeclarationReader& reader = state.declarations;
    if (isCurrent(state.configuration.confirmation, kPeerQueryAge, now.steady)) {
        reader.peers.clear();
        return;
    }
    if (now.steady < reader.nextPeerQuery)
        return;
    reader.nextPeerQuery = now.steady + kPeerQueryInterval;
    std::string peer = choosePeerToAsk(state);
    if (peer.empty())
        return;
    reader.peers[peer].askedAt = now.steady;
    wire::PeerMessage query;
    query.mutable_configuration_query()->set_wants_record(false);
    TimePoint sentAt = now.steady;
    auto then = [peer, sentAt](CellState& s, const wire::PeerMessage* answer, const Instant& at, CellActions& out) { handlePeerAnswer(s, peer, answer, sentAt, at, out); };
    queryPeer(state, peer, std::move(query), kPeerQueryTimeout, then, now, actions);
}

void answerConfigurationQuery(CellState& state, const Asker& asker, const wire::ConfigurationQuery& query, const Instant& now, CellActions& actions)
{
    wire::PeerMessage answer;
    wire::ConfigurationAnswer& body = *answer.mutable_configuration_answer();
    const Confirmation& confirmation = state.configuration.confirmation;
    body.set_known(wasConfirmed(confirmation));
    body.set_revision(confirmation.revision);
    // Rounded up, so that the receiver never takes the configuration for younger than it is.
    body.set_age_ms(toMilliseconds(now.steady - confirmation.at) + 1);
    if (query.wants_record() && state.declarations.record) {
        wire::StoreItem& item = *body.mutable_record();
        item.set_key(state.declarations.record->key);
        item.set_value(state.declarations.record->value);
        item.set_revision(state.declarations.record->modRevision);
    }
    answerPeer(state, asker, std::move(answer), actions);
}

// Evacuations and waves, which only an owner acts on.

/// Calls `apply` for each declaration of the type; others are logged.
template <typename Wanted, typename Apply>
static void decodeEntries(const CellState& state, const StoreReply& reply, Apply apply, CellActions& actions)
{
    for (const StoreEntry& entry : reply.entries) {
        std::optional<Declaration> declaration = state.format.decodeDeclaration(entry);
        const Error* error = declaration ? std::get_if<Error>(&*declaration) : nullptr;
        if (error)
            logMessage(actions, LogLevel::Error, "declarations", "", "", entry.key + " is ignored: " + error->message);
        const Wanted* wanted = declaration ? std::get_if<Wanted>(&*declaration) : nullptr;
        if (wanted)
            apply(entry.key, *wanted);
    }
}

static void handleEvacuations(CellState& state, const StoreReply& reply, TimePoint sentAt, CellActions& actions)
{
    state.declarations.evacuations.isReading = false;
    if (reply.status != StoreStatus::Ok) {
        state.counters.add("declaration_read_failures_total");
        return;
    }
    std::set<std::string> evacuated;
    decodeEntries<EvacuatedDomain>(
        state, reply, [&evacuated](const std::string&, const EvacuatedDomain& domain) { evacuated.insert(domain.name); }, actions);
    state.evacuated.confirmation = { reply.revision, sentAt };
    if (state.evacuated.value == evacuated)
        return;
    logMessage(actions, LogLevel::Info, "declarations", "", "", std::to_string(evacuated.size()) + " failure domains are now evacuated");
    state.evacuated.value = std::move(evacuated);
    state.placementDue = true;
}

static void handleWaves(CellState& state, const StoreReply& reply, TimePoint sentAt, CellActions& actions)
{
    state.declarations.waveListing.isReading = false;
    if (reply.status != StoreStatus::Ok) {
        state.counters.add("declaration_read_failures_total");
        return;
    }
    state.waves.confirmation = { reply.revision, sentAt };
    state.waves.value.clear();
    decodeEntries<MaintenanceWave>(
        state, reply, [&state](const std::string& key, const MaintenanceWave& wave) { state.waves.value[key] = wave; }, actions);
}

using ListingHandler = void (*)(CellState&, const StoreReply&, TimePoint sentAt, CellActions&);

static void readRegularly(CellState& state, ListingReader& reader, Listing of, Duration interval, ListingHandler handle, const Instant& now, CellActions& actions)
{
    if (reader.isReading || now.steady < reader.nextRead)
        return;
    reader.isReading = true;
    reader.nextRead = now.steady + interval;
    TimePoint sentAt = now.steady;
    auto then = [handle, sentAt](CellState& s, const StoreReply& reply, const Instant&, CellActions& out) { handle(s, reply, sentAt, out); };
    readListing(state, of, then, actions);
}

void tickDeclarations(CellState& state, const Instant& now, CellActions& actions)
{
    checkWithStore(state, now, actions);
    askPeer(state, now, actions);
    if (!isOwner(state))
        return;
    readRegularly(state, state.declarations.evacuations, Listing::Evacuations, kEvacuationInterval, handleEvacuations, now, actions);
    readRegularly(state, state.declarations.waveListing, Listing::Waves, kWaveInterval, handleWaves, now, actions);
}

} // namespace crocuslever::cell
