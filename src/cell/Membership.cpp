#include "src/cell/Membership.h"

#include <algorithm>

#include "src/cell/Declarations.h"
#include "src/cell/Keys.h"
#include "src/cell/Ownership.h"
#include "src/cell/PeerFrames.h"
#include "src/cell/RecordCodec.h"
#include "src/cell/Relay.h"
#include "src/cell/StoreCalls.h"

namespace crocuslever::cell {

/// Between the sendings of two renewals. A busy instance reads the answers late, which must not delay the next one.
static constexpr Duration kRenewalInterval = std::chrono::milliseconds(350);
static constexpr int kMaxRenewalsInFlight = 8;
static constexpr Duration kListInterval = std::chrono::milliseconds(300);
static constexpr Duration kRetryInterval = std::chrono::milliseconds(150);

static void dropLease(Membership& membership)
{
    membership.lease = 0;
    membership.registered = false;
    // Those in flight concern the lost lease, and don't count against those of the next one.
    membership.renewals = 0;
}

static void handleRegistered(CellState& state, LeaseId lease, const StoreReply& reply, const Instant& now, CellActions& actions)
{
    Membership& membership = state.membership;
    membership.registering = false;
    if (lease != membership.lease)
        return;
    membership.registered = reply.status == StoreStatus::Ok;
    if (membership.registered) {
        logMessage(actions, LogLevel::Info, "membership", "", "", "registered in the store with lease " + std::to_string(lease));
        return;
    }
    membership.nextRegistration = now.steady + kRetryInterval;
    if (reply.status != StoreStatus::NotFound)
        return;
    dropLease(membership);
    membership.nextRenewal = std::min(membership.nextRenewal, membership.nextRegistration);
}

static void registerInstance(CellState& state, CellActions& actions)
{
    LeaseId lease = state.membership.lease;
    state.membership.registering = true;
    StoreChange command;
    std::string record = encodeInstance({ state.settings.address, state.settings.incarnation, state.settings.milliCpu, state.settings.domain });
    command.puts.push_back({ kInstancePrefix + state.settings.instance, record, lease });
    auto then = [lease](CellState& s, const StoreReply& reply, const Instant& at, CellActions& out) { handleRegistered(s, lease, reply, at, out); };
    sendChange(state, std::move(command), then, actions);
}

static void loseLease(CellState& state, TimePoint sentAt, const Instant& now, CellActions& actions)
{
    Membership& membership = state.membership;
    logMessage(actions, LogLevel::Warning, "membership", "", "", "instance lease lost, requesting a new one; lost lease: " + std::to_string(membership.lease) + ", last renewed " + describeAge(membership.renewal, now.steady) + ", this renewal was sent " + std::to_string(toMilliseconds(now.steady - sentAt)) + " ms ago");
    dropLease(membership);
    membership.nextRenewal = now.steady;
}

static void handleRenewal(CellState& state, LeaseId lease, const StoreReply& reply, TimePoint sentAt, const Instant& now, CellActions& actions)
{
    Membership& membership = state.membership;
    if (lease != membership.lease)
        return;
    --membership.renewals;
    if (reply.status == StoreStatus::NotFound)
        loseLease(state, sentAt, now, actions);
    else if (reply.status == StoreStatus::Ok)
        membership.renewal = confirmedAgain(membership.renewal, sentAt);
    else
        membership.nextRenewal = std::min(membership.nextRenewal, now.steady + kRetryInterval);
}

static void handleGrant(CellState& state, const StoreReply& reply, TimePoint sentAt, const Instant& now)
{
    Membership& membership = state.membership;
    membership.granting = false;
    bool isGranted = reply.status == StoreStatus::Ok && reply.lease != 0;
    membership.nextRenewal = now.steady + (isGranted ? kRenewalInterval : kRetryInterval);
    if (!isGranted)
        return;
    membership.lease = reply.lease;
    membership.renewal = confirmedAgain(membership.renewal, sentAt);
}

static void requestLease(CellState& state, TimePoint now, CellActions& actions)
{
    state.membership.granting = true;
    auto then = [now](CellState& s, const StoreReply& reply, const Instant& at, CellActions&) { handleGrant(s, reply, now, at); };
    grantLease(state, state.settings.instanceLease, then, actions);
}

static void keepLease(CellState& state, TimePoint now, CellActions& actions)
{
    Membership& membership = state.membership;
    if (membership.granting || membership.renewals >= kMaxRenewalsInFlight || now < membership.nextRenewal)
        return;
    if (membership.lease == 0) {
        requestLease(state, now, actions);
        return;
    }
    ++membership.renewals;
    membership.nextRenewal = now + kRenewalInterval;
    LeaseId lease = membership.lease;
    auto then = [lease, now](CellState& s, const StoreReply& reply, const Instant& at, CellActions& out) { handleRenewal(s, lease, reply, now, at, out); };
    renewLease(state, lease, then, actions);
}

void recordEpoch(Membership& membership, const StoreEntry& entry)
{
    if (entry.modRevision <= membership.epochRevision)
        return;
    membership.epoch = std::atoll(entry.value.c_str());
    membership.epochRevision = entry.modRevision;
}

/// True if the listing is older than what this instance knows, or lacks the epoch, which is never deleted. It may name an
/// owner that has lost the cell.
static bool isOutdated(const Membership& membership, const StoreReply& listing)
{
    auto epoch = std::find_if(listing.entries.begin(), listing.entries.end(), [](const StoreEntry& it) { return it.key == kEpochKey; });
    StoreRevision revision = epoch == listing.entries.end() ? 0 : epoch->modRevision;
    return revision < membership.epochRevision;
}

static void applyInstanceEntry(CellState& state, const StoreEntry& entry, TimePoint previousListing, TimePoint now)
{
    std::optional<InstanceRecord> record = decodeInstance(entry.value);
    if (!record)
        return;
    std::string name = entry.key.substr(std::string(kInstancePrefix).size());
    Membership::Instance& instance = state.membership.instances[name];
    if (instance.incarnation != record->incarnation)
        forgetProcess(state, record->address);
    bool isUnbroken = instance.incarnation == record->incarnation && instance.lastSeen == previousListing;
    instance = { record->address, record->incarnation, record->milliCpu, record->domain, now, isUnbroken ? instance.since : now };
}

static void expireInstances(Membership& membership, TimePoint now)
{
    for (auto it = membership.instances.begin(); it != membership.instances.end();)
        it = now - it->second.lastSeen > kInstanceRetention ? membership.instances.erase(it) : std::next(it);
}

static void handleList(CellState& state, const StoreReply& reply, TimePoint sentAt, const Instant& now, CellActions& actions)
{
    Membership& membership = state.membership;
    membership.isListing = false;
    if (reply.status != StoreStatus::Ok || isOutdated(membership, reply)) {
        membership.nextList = now.steady + kRetryInterval;
        return;
    }
    membership.nextList = now.steady + kListInterval;
    TimePoint previousListing = membership.listedAt;
    membership.listedAt = now.steady;
    membership.listing = { reply.revision, sentAt };
    if (membership.firstListedAt == TimePoint())
        membership.firstListedAt = now.steady;
    std::optional<OwnerRecord> owner;
    for (const StoreEntry& entry : reply.entries) {
        if (entry.key == kEpochKey) {
            recordEpoch(membership, entry);
        } else if (entry.key == kOwnerKey) {
            owner = decodeOwner(entry.value);
            if (owner)
                owner->revision = entry.modRevision;
        } else if (entry.key == kLargestInstanceKey) {
            membership.largestMilliCpu = decodeProcessorShare(entry.value);
        } else {
            applyInstanceEntry(state, entry, previousListing, now.steady);
        }
    }
    expireInstances(membership, now.steady);
    applyOwnerRecord(state, owner ? *owner : OwnerRecord {}, now, actions);
}

static void listInstances(CellState& state, const Instant& now, CellActions& actions)
{
    if (state.membership.isListing || now.steady < state.membership.nextList)
        return;
    state.membership.isListing = true;
    TimePoint sentAt = now.steady;
    auto then = [sentAt](CellState& s, const StoreReply& reply, const Instant& at, CellActions& out) { handleList(s, reply, sentAt, at, out); };
    listKeys(state, kCellPrefix, then, actions);
}

void tickLease(CellState& state, const Instant& now, CellActions& actions)
{
    if (state.stopped)
        return;
    keepLease(state, now.steady, actions);
    if (actions.empty())
        return;
    tickRelay(state, now, actions);
    finishFrames(state, actions);
}

void tickMembership(CellState& state, const Instant& now, CellActions& actions)
{
    if (state.stopped)
        return;
    keepLease(state, now.steady, actions);
    Membership& membership = state.membership;
    if (membership.lease != 0 && !membership.registered && !membership.registering && now.steady >= membership.nextRegistration)
        registerInstance(state, actions);
    listInstances(state, now, actions);
}

bool isRestarted(const CellState& state, const std::string& instance, const std::string& incarnation)
{
    if (instance == state.settings.instance)
        return incarnation != state.settings.incarnation;
    auto it = state.membership.instances.find(instance);
    return it != state.membership.instances.end() && it->second.incarnation != incarnation;
}

void leaveCell(CellState& state, CellActions& actions)
{
    if (state.membership.lease != 0)
        actions.push_back(LeaseRevoke { state.membership.lease });
    state.membership.lease = 0;
}

} // namespace crocuslever::cell
