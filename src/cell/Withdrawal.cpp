#include "src/cell/Withdrawal.h"

#include <algorithm>

#include "src/cell/Keys.h"
#include "src/cell/StoreCalls.h"

namespace crocuslever::cell {

static constexpr const char* kWithdrawn = "withdrawn"; ///< Value of the key of the job's end.
/// Outlasts submissions that are on their way, such as those in an instance that is paused.
static constexpr Duration kLeastLifetime = std::chrono::minutes(5);
/// One lease serves all withdrawals of an instance in this time, so that they cost one more store call a minute.
static constexpr Duration kLeaseUse = std::chrono::minutes(1);

static bool hasLease(const CellState& state, TimePoint now)
{
    const WithdrawalLease& lease = state.withdrawalLease;
    return lease.id != 0 && now < lease.grantedAt + kLeaseUse;
}

static void sendWithdrawal(CellState& state, const std::string& jobId, const StoreContinuation& then, CellActions& actions)
{
    StoreChange command;
    command.conditions = { { jobKey(jobId), 0 }, { endedKey(jobId), 0 } };
    command.puts = { { endedKey(jobId), kWithdrawn, state.withdrawalLease.id } };
    auto handle = [then](CellState& s, const StoreReply& reply, const Instant& at, CellActions& out) {
        bool isLeaseGone = reply.status == StoreStatus::NotFound;
        if (isLeaseGone)
            s.withdrawalLease = {};
        then(s, reply, at, out);
    };
    sendChange(state, std::move(command), handle, actions);
}

void storeWithdrawal(CellState& state, const std::string& jobId, const Instant& now, const StoreContinuation& then, CellActions& actions)
{
    if (hasLease(state, now.steady)) {
        sendWithdrawal(state, jobId, then, actions);
        return;
    }
    TimePoint sentAt = now.steady;
    auto handle = [jobId, sentAt, then](CellState& s, const StoreReply& reply, const Instant& at, CellActions& out) {
        if (reply.status != StoreStatus::Ok) {
            then(s, reply, at, out);
            return;
        }
        s.withdrawalLease = { reply.lease, sentAt };
        sendWithdrawal(s, jobId, then, out);
    };
    grantLease(state, kLeastLifetime + kLeaseUse, handle, actions);
}

bool isWithdrawn(const StoreReply& reply, const std::string& jobId)
{
    return std::any_of(reply.entries.begin(), reply.entries.end(), [&jobId](const StoreEntry& it) { return it.key == endedKey(jobId) && it.value == kWithdrawn; });
}

} // namespace crocuslever::cell
