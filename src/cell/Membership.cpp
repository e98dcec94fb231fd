#include "src/cell/Membership.h"

#include <algorithm>

#include "src/cell/Declarations.h"
#include "src/cell/Keys.h"
#include "src/cell/Ownership.h"
#include "src/cell/RecordCodec.h"
#include "src/cell/StoreCalls.h"

namespace crocuslever::cell {

static constexpr Duration kRenewalInterval = std::chrono::milliseconds(350);
static constexpr Duration kListInterval = std::chrono::milliseconds(300);
static constexpr Duration kRetryInterval = std::chrono::milliseconds(150);

static void handleRegistered(CellState& state, const StoreReply& reply, const Instant& now, CellActions& actions)
{
    Membership& membership = state.membership;
    membership.registering = false;
    membership.registered = reply.status == StoreStatus::Ok;
    if (membership.registered) {
        logMessage(actions, LogLevel::Info, "membership", "", "", "registered in the store with lease " + std::to_string(membership.lease));
        return;
    }
    if (reply.status == StoreStatus::NotFound)
        membership.lease = 0;
    membership.nextRenewal = now.steady + kRetryInterval;
}

static void registerInstance(CellState& state, CellActions& actions)
{
    state.membership.registering = true;
    StoreChange command;
    std::string record = encodeInstance({ state.settings.address, state.settings.incarnation, state.settings.milliCpu, state.settings.domain });
    command.puts.push_back({ kInstancePrefix + state.settings.instance, record, state.membership.lease });
    sendChange(state, std::move(command), handleRegistered, actions);
}

static void handleLease(CellState& state, const StoreReply& reply, TimePoint sentAt, const Instant& now, CellActions& actions)
{
    Membership& membership = state.membership;
    membership.granting = false;
    membership.renewing = false;
    if (reply.status == StoreStatus::Ok) {
        if (reply.lease != 0)
            membership.lease = reply.lease;
        membership.renewal = confirmedAgain(membership.renewal, sentAt);
        membership.nextRenewal = now.steady + kRenewalInterval;
        return;
    }
    membership.nextRenewal = now.steady + kRetryInterval;
    if (reply.status != StoreStatus::NotFound)
        return;
    logMessage(actions, LogLevel::Warning, "membership", "", "", "instance lease lost, requesting a new one; lost lease: " + std::to_string(membership.lease) + ", last renewed " + describeAge(membership.renewal, now.steady) + ", this renewal was sent " + std::to_string(toMilliseconds(now.steady - sentAt)) + " ms ago");
    membership.lease = 0;
    membership.registered = false;
    membership.nextRenewal = now.steady;
}

static void keepLease(CellState& state, const Instant& now, CellActions& actions)
{
    Membership& membership = state.membership;
    if (membership.granting || membership.renewing || now.steady < membership.nextRenewal)
        return;
    TimePoint sentAt = now.steady;
    auto then = [sentAt](CellState& s, const StoreReply& reply, const Instant& at, CellActions& out) { handleLease(s, reply, sentAt, at, out); };
    if (membership.lease == 0) {
        membership.granting = true;
        grantLease(state, state.settings.instanceLease, then, actions);
    } else {
        membership.renewing = true;
        renewLease(state, membership.lease, then, actions);
    }
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

void tickMembership(CellState& state, const Instant& now, CellActions& actions)
{
    if (state.stopped)
        return;
    keepLease(state, now, actions);
    Membership& membership = state.membership;
    if (membership.lease != 0 && !membership.registered && !membership.registering && now.steady >= membership.nextRenewal - kRenewalInterval)
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
