#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "crocuslever/AttemptTable.h"
#include "crocuslever/Configuration.h"
#include "crocuslever/CoreSettings.h"
#include "crocuslever/Counters.h"
#include "crocuslever/EscrowTable.h"
#include "crocuslever/Events.h"
#include "crocuslever/JobRecord.h"
#include "crocuslever/MemberTable.h"
#include "crocuslever/ShardTable.h"
#include "crocuslever/StoreQueue.h"
#include "crocuslever/Time.h"
#include "crocuslever/UpstreamTable.h"

namespace crocuslever {

/// The current time on both clocks: monotonic for leases and deadlines, wall clock for
/// the timestamps in stored records.
struct Instant {
    TimePoint steady;
    std::int64_t wallMs { 0 }; ///< Milliseconds since 1970.
};

using Actions = std::vector<Action>;

/// This instance's session: its lease in the store and its registration as a member.
struct SessionState {
    SessionId id; ///< Empty: no session.
    LeaseId lease { 0 };
    TimePoint validUntil; ///< Counted from the time at which the last renewal was sent.
    TimePoint nextLeaseRequestAt; ///< When the lease is next requested or renewed.
    bool requestInFlight { false }; ///< A lease request or renewal awaits its answer.
    bool registered { false }; ///< The member record is known to be in the store.
    TimePoint lastStoreAnswer; ///< Time of the last answer of any kind from the store.
    bool superseded { false }; ///< An upstream rejected this owner's epoch: another owner has taken over.
};

/// The adopted configuration and the document that it came from.
struct ConfigurationState {
    std::shared_ptr<const Configuration> current; ///< Never null; revision 0 until a configuration is adopted.
    std::string document;
    TimePoint confirmedAt; ///< When it was last confirmed to be the newest revision.
    std::map<std::string, TeamId> authenticatedKeys; ///< Cache of the keys that `current` has authenticated.
};

/// An unanswered call from a caller of this entry instance.
struct CallRow {
    CallId id { 0 };
    TeamId team;
    bool urgent { false };
    TaskSpec spec; ///< Urgent only.
    std::optional<JobCall> job; ///< Jobs only.
    JobId jobId;
    InstanceId sentTo; ///< The owner that is expected to answer; empty: none.
    TimePoint deadline;
    TimePoint nextTry; ///< Earliest time of the next send; unset while an urgent call is being routed.
    int tries { 0 }; ///< Sends so far.
    bool sent { false }; ///< An owner may be processing it.
    int unresolvedSends { 0 }; ///< Sends that no owner has refused; while above 0 the call may have run.
    bool callerGone { false };
    std::vector<InstanceId> refusedBy; ///< Owners that refused it since it was last queued.
    RefusalReason lastReason { RefusalReason::None }; ///< Reason of the last refusal.
};

using CallTable = std::map<CallId, CallRow>;

/// A job at the owner of its shard: the stored record and the owner's volatile state.
struct JobRow {
    JobRecord record;
    std::uint64_t version { 1 }; ///< Incremented by each change of the record.
    std::uint64_t sentVersion { 0 }; ///< Latest version handed to the store queue.
    std::uint64_t durableVersion { 0 }; ///< Latest version known to be in the store.
    bool bodyDurable { false }; ///< The body is known to be in the store.
    struct Waiter {
        InstanceId entry;
        CallId call { 0 };
        std::uint64_t version { 0 }; ///< The call is answered once this version is durable.
    };
    std::vector<Waiter> waiters; ///< Submissions to answer once the job is durable.
    /// The volatile state of one task; indexed like `record.tasks`.
    struct TaskProgress {
        AttemptId requestedAttempt; ///< Attempt of the reservation request in flight; empty: none.
        InstanceId requestedFrom; ///< Recipient of that request.
        TimePoint requestedAt; ///< When it was sent.
        std::optional<Assignment> reserved; ///< Capacity reserved; the assignment isn't durable yet.
        bool startSent { false };
        bool recovered { false }; ///< Assigned by an earlier owner of the job: query the attempt instead of starting it.
        bool needsResolution { false }; ///< The upstream's owner doesn't know the attempt: query it with `stop`, for a final answer.
        TimePoint nextQuery; ///< When the attempt's state is next queried.
    };
    std::vector<TaskProgress> progress;
    TimePoint dueAt; ///< When the job is next processed; its key in `JobSchedule::due`.
    int refusals { 0 }; ///< Consecutive refused reservations.
    TimePoint reserveRetryAt; ///< Backoff: earliest time of the next reservation request.
    /// An ended attempt, acknowledged once the job version that records its end is durable.
    struct PendingAcknowledge {
        AttemptId attempt;
        ShardIndex shard { 0 }; ///< The upstream's shard.
        std::uint64_t version { 0 };
    };
    std::vector<PendingAcknowledge> pendingAcknowledges;
};

using JobTable = std::map<JobId, JobRow>;

/// Indexes over the job table, so that a tick visits only the jobs with work to do.
struct JobSchedule {
    std::set<std::pair<TimePoint, JobId>> due; ///< When each job is next processed.
    /// Jobs that need a reservation, by team, oldest first.
    std::map<TeamId, std::set<std::pair<std::int64_t, JobId>>> waiting;
    std::map<TeamId, TimePoint> teamRetryAt; ///< Backoff: earliest next request of a team at its limit.
    int requestsInFlight { 0 }; ///< Reservation requests in flight.
    std::set<JobId> dirty; ///< Jobs changed since they were last handed to the store queue.
    std::map<TeamId, int> queued; ///< Number of jobs in state Queued, by team.
};

/// The complete state of one instance. The tables are public; the subsystems are free functions over them.
struct CoreState {
    explicit CoreState(const CoreSettings&);

    CoreSettings settings;
    SessionState session;
    StoreQueue storeQueue;
    ConfigurationState configuration;
    MemberTable members;
    std::map<SessionId, InstanceId> liveSessions; ///< Sessions with a member record in the store.
    ShardTable shards;
    UpstreamTable upstreams;
    AttemptTable attempts;
    JobTable jobs;
    JobSchedule jobSchedule;
    EscrowTable escrow;
    CallTable calls;
    Counters counters;

    std::deque<PeerMessage> loopback; ///< Messages from this instance to itself.
    std::map<Ticket, std::string> pendingReads; ///< Prefix of each read in flight.
    bool controlKeysLoaded { false }; ///< The control keys have been read since the watch was opened.
    TimePoint nextControlRead;
    std::uint64_t nextTicket { 1 };
    std::uint64_t nextAttemptNumber { 1 };
    std::uint64_t randomState { 1 };
    bool shuttingDown { false };
    bool shutdownReported { false };
    TimePoint shutdownSince;
    std::optional<TimePoint> leaseRevokedAt; ///< When a graceful shutdown revoked the session's lease, its last step.
    TimePoint shutdownDeadline;
    TimePoint nextHeartbeat;
    TimePoint nextOwnershipPass;
    TimePoint startedAt;
};

/// Processes one event. Appends the resulting actions, which the edges carry out, to `actions`.
void handleEvent(CoreState&, const Event&, const Instant& now, Actions& actions);

/// Runs every subsystem once. Must be called after each batch of events and at least every few milliseconds.
void tick(CoreState&, const Instant& now, Actions& actions);

/// True if this instance accepts new work: it isn't shutting down, has a configuration and holds a valid lease.
bool isReady(const CoreState&, TimePoint now);

} // namespace crocuslever
