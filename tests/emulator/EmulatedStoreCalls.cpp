// The store as the instances of the emulator call it.

#include "tests/emulator/CellEmulator.h"

namespace crocuslever::cell::testing {

void CellEmulator::failStoreCall(const Caller& caller, Ticket ticket, StoreStatus status)
{
    if (isStoreSilent(caller.instance))
        status = StoreStatus::NoAnswer;
    StoreReply reply;
    reply.ticket = ticket;
    reply.status = status;
    deliver(caller, status == StoreStatus::Refused ? latency(1, 5) : kCallTimeout, reply);
}

static std::string endOfPrefix(std::string prefix)
{
    ++prefix.back();
    return prefix;
}

StoreReply CellEmulator::readStore(const std::string& prefix, bool isSingle)
{
    m_store.expireLeases(now());
    crocuslever::testing::ModelOperation read;
    read.kind = crocuslever::testing::ModelOperationKind::Range;
    read.key = prefix;
    if (!isSingle)
        read.rangeEnd = endOfPrefix(prefix);
    StoreReply reply;
    reply.entries = m_store.range(read).value().entries;
    reply.revision = m_store.revision();
    bool isMissing = isSingle && reply.entries.empty();
    reply.status = isMissing ? StoreStatus::NotFound : StoreStatus::Ok;
    return reply;
}

void CellEmulator::perform(const Caller& caller, const StoreRead& call)
{
    if (isStoreUnavailable(caller.instance)) {
        failStoreCall(caller, call.ticket, StoreStatus::Refused);
        return;
    }
    StoreReply reply = readStore(call.key, true);
    reply.ticket = call.ticket;
    deliver(caller, latency(3, 8), reply);
}

void CellEmulator::perform(const Caller& caller, const StoreList& call)
{
    if (isStoreUnavailable(caller.instance)) {
        failStoreCall(caller, call.ticket, StoreStatus::Refused);
        return;
    }
    if (call.of == Listing::Directory && m_isDirectoryUnreadable) {
        failStoreCall(caller, call.ticket, StoreStatus::NoAnswer);
        return;
    }
    StoreReply reply = call.of == Listing::OwnKeys ? readStore(call.prefix, false) : StoreReply {};
    if (call.of == Listing::Evacuations)
        reply = m_declarations.listEvacuations();
    reply.status = StoreStatus::Ok;
    reply.ticket = call.ticket;
    deliver(caller, latency(3, 8), reply);
}

void CellEmulator::perform(const Caller& caller, const ConfigurationCheck& call)
{
    if (isStoreUnavailable(caller.instance)) {
        failStoreCall(caller, call.ticket, StoreStatus::Refused);
        return;
    }
    StoreReply reply = m_declarations.check(call);
    Duration transferTime = reply.entries.empty() ? Duration(0) : m_transferTime;
    deliver(caller, latency(3, 8) + transferTime, reply);
}

void CellEmulator::perform(const Caller& caller, const StoreAwait& call)
{
    awaitStore(caller, call, now() + call.wait);
}

void CellEmulator::awaitStore(const Caller& caller, const StoreAwait& call, TimePoint deadline)
{
    if (isStoreUnavailable(caller.instance)) {
        failStoreCall(caller, call.ticket, StoreStatus::NoAnswer);
        return;
    }
    if (call.revision < m_ownHistoryStart) {
        failStoreCall(caller, call.ticket, StoreStatus::HistoryLost);
        return;
    }
    m_store.expireLeases(now());
    std::vector<crocuslever::testing::ModelChange> changes;
    if (!m_areWatchesDeaf)
        changes = m_store.changesSince(call.revision + 1, call.prefix, endOfPrefix(call.prefix));
    if (changes.empty() && now() < deadline) {
        m_queue.after(kPollInterval, [this, caller, call, deadline] { awaitStore(caller, call, deadline); });
        return;
    }
    StoreReply reply;
    reply.ticket = call.ticket;
    reply.status = StoreStatus::Ok;
    reply.revision = m_store.revision();
    for (const crocuslever::testing::ModelChange& change : changes) {
        if (change.deleted)
            reply.deleted.push_back(change.entry.key);
        else
            reply.entries.push_back(change.entry);
    }
    deliver(caller, latency(2, 4), reply);
}

static crocuslever::testing::ModelTransaction toModel(const StoreChange& call)
{
    crocuslever::testing::ModelTransaction transaction;
    for (const StoreCompare& condition : call.conditions) {
        transaction.compares.push_back({ condition.key, std::nullopt, condition.modRevision });
        crocuslever::testing::ModelOperation read;
        read.kind = crocuslever::testing::ModelOperationKind::Range;
        read.key = condition.key;
        transaction.failure.push_back(read);
    }
    for (const StorePut& put : call.puts) {
        crocuslever::testing::ModelOperation write;
        write.key = put.key;
        write.value = put.value;
        write.lease = put.lease;
        transaction.success.push_back(write);
    }
    for (const std::string& key : call.deletes) {
        crocuslever::testing::ModelOperation erase;
        erase.kind = crocuslever::testing::ModelOperationKind::Delete;
        erase.key = key;
        transaction.success.push_back(erase);
    }
    return transaction;
}

void CellEmulator::perform(const Caller& caller, const StoreChange& call)
{
    if (isStoreUnavailable(caller.instance)) {
        failStoreCall(caller, call.ticket, StoreStatus::Refused);
        return;
    }
    m_store.expireLeases(now());
    Result<crocuslever::testing::ModelTransactionResult> result = m_store.transact(toModel(call));
    if (chance(m_settings.lostAnswers)) {
        failStoreCall(caller, call.ticket, StoreStatus::NoAnswer);
        return;
    }
    StoreReply reply;
    reply.ticket = call.ticket;
    // The model fails if it does not know the lease.
    reply.status = StoreStatus::NotFound;
    if (result.has_value()) {
        reply.status = result.value().succeeded ? StoreStatus::Ok : StoreStatus::Conflict;
        reply.revision = result.value().revision;
        for (const crocuslever::testing::ModelOperationResult& it : result.value().results)
            reply.entries.insert(reply.entries.end(), it.entries.begin(), it.entries.end());
    }
    deliver(caller, m_settings.storeDelay + latency(3, 8), reply);
}

void CellEmulator::perform(const Caller& caller, const LeaseGrant& call)
{
    if (isStoreUnavailable(caller.instance)) {
        failStoreCall(caller, call.ticket, StoreStatus::Refused);
        return;
    }
    StoreReply reply;
    reply.ticket = call.ticket;
    reply.status = StoreStatus::Ok;
    // The model takes whole seconds.
    reply.lease = m_store.grantLease((toMilliseconds(call.timeToLive) + 999) / 1000, now());
    deliver(caller, latency(3, 8), reply);
}

void CellEmulator::perform(const Caller& caller, const LeaseRenew& call)
{
    if (isStoreUnavailable(caller.instance)) {
        failStoreCall(caller, call.ticket, StoreStatus::Refused);
        return;
    }
    m_store.expireLeases(now());
    StoreReply reply;
    reply.ticket = call.ticket;
    reply.status = m_store.keepLeaseAlive(call.lease, now()) > 0 ? StoreStatus::Ok : StoreStatus::NotFound;
    deliver(caller, latency(3, 8), reply);
}

void CellEmulator::perform(const Caller& caller, const LeaseRevoke& call)
{
    if (!isStoreUnavailable(caller.instance))
        m_store.revokeLease(call.lease);
}

void CellEmulator::setWatchesDeaf(bool areDeaf)
{
    m_areWatchesDeaf = areDeaf;
}

void CellEmulator::forgetHistory()
{
    m_ownHistoryStart = m_store.revision();
}

Directory CellEmulator::directory() const
{
    Directory read;
    for (const auto& [id, slot] : m_upstreams) {
        if (slot.isListed)
            read.entries.push_back(slot.entry);
    }
    return read;
}

} // namespace crocuslever::cell::testing
