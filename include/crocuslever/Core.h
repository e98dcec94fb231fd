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
#include "crocuslever/JobTable.h"
#include "crocuslever/MemberTable.h"
#include "crocuslever/ShardTable.h"
#include "crocuslever/StoreQueue.h"
#include "crocuslever/Time.h"
#include "crocuslever/UpstreamTable.h"

namespace crocuslever {

/// The present time, on both clocks: monotonic for every lease and deadline,
/// wall for what is written into records.
struct Instant {
    TimePoint steady;
    std::int64_t wallMs { 0 };
};

using Actions = std::vector<Action>;

/// This instance's lease in the store.
struct SessionState {
    SessionId id; ///< Empty while there is none.
    LeaseId lease { 0 };
    TimePoint validUntil; ///< Counts from when the renewal was sent.
    TimePoint nextAttempt;
    bool requestInFlight { false };
    bool registered { false }; ///< The member record is known to be in the store.
    TimePoint lastStoreAnswer; ///< Any answer at all from the store.
    bool supplanted { false }; ///< An upstream knew a higher epoch: another owner acts.
};

/// The adopted configuration and the document that it came from.
struct ConfigurationState {
    std::shared_ptr<const Configuration> current; ///< Never null; revision 0 at start.
    std::string document;
    TimePoint confirmedAt; ///< Last proof that it was the newest.
    std::map<std::string, TeamId> knownKeys; ///< Keys already checked against `current`.
};

/// An urgent or job call that this entry instance has passed on.
struct CallRow {
    CallId id { 0 };
    TeamId team;
    bool urgent { false };
    TaskSpec spec; ///< Urgent only.
    std::optional<JobCall> job; ///< Jobs only.
    JobId jobId;
    InstanceId sentTo;
    TimePoint deadline;
    TimePoint nextTry;
    int tries { 0 };
    bool sent { false }; ///< An owner may be acting on it.
    int unanswered { 0 }; ///< Sends that no owner has surely refused.
    bool callerGone { false };
    std::vector<InstanceId> refusedBy;
    RefusalReason lastReason { RefusalReason::None };
};

using CallTable = std::map<CallId, CallRow>;

/// A job kept by the owner of its shard, with what the store doesn't hold.
struct JobRow {
    JobRecord record;
    std::uint64_t version { 1 }; ///< Rises at each change of the record.
    std::uint64_t sentVersion { 0 }; ///< Handed to the store queue.
    std::uint64_t durableVersion { 0 }; ///< Known to be in the store.
    bool bodyDurable { false };
    struct Waiter {
        InstanceId entry;
        CallId call { 0 };
        std::uint64_t version { 0 }; ///< Answered once this version is durable.
    };
    std::vector<Waiter> waiters; ///< Submitters to answer once it is durable.
    /// What a task does at present; index as in `record.tasks`.
    struct TaskProgress {
        AttemptId asked; ///< Reservation asked for, not answered; empty: none.
        InstanceId askedOf;
        TimePoint askedAt;
        std::optional<Assignment> reserved; ///< Held there, not yet assigned durably.
        bool startSent { false };
        bool recovered { false }; ///< Assigned under an earlier owner of the job: ask, don't start.
        bool resolve { false }; ///< The upstream's owner doesn't know it: have it made certain.
        TimePoint nextQuery;
    };
    std::vector<TaskProgress> progress;
    TimePoint dueAt; ///< When the job is looked at next; its place in `JobSchedule::due`.
    int refusals { 0 }; ///< Reservations refused in a row.
    TimePoint notBefore; ///< Backoff of the next reservation.
    /// Ends to be acknowledged once the version that holds them is durable.
    struct PendingAcknowledge {
        AttemptId attempt;
        ShardIndex shard { 0 }; ///< Of the upstream.
        std::uint64_t version { 0 };
    };
    std::vector<PendingAcknowledge> acknowledges;
};

using JobTable = std::map<JobId, JobRow>;

/// Indexes over the job table, so that a tick touches only jobs with something to do.
struct JobSchedule {
    std::set<std::pair<TimePoint, JobId>> due;
    /// Jobs that need room, by team, the oldest first.
    std::map<TeamId, std::set<std::pair<std::int64_t, JobId>>> waiting;
    std::map<TeamId, TimePoint> teamNotBefore; ///< Backoff of a team that is at its limit.
    int asking { 0 }; ///< Reservations asked for and not answered.
    std::set<JobId> dirty; ///< Changed since they were last handed to the store queue.
    std::map<TeamId, int> queued; ///< Jobs in state Queued, by team.
};

/// All that one instance knows. Tables are public: systems are free functions over them.
struct CoreState {
    explicit CoreState(const CoreSettings&);

    CoreSettings settings;
    SessionState session;
    StoreQueue storeQueue;
    ConfigurationState configuration;
    MemberTable members;
    std::map<SessionId, InstanceId> liveSessions; ///< Every member record in the store.
    ShardTable shards;
    UpstreamTable upstreams;
    AttemptTable attempts;
    JobTable jobs;
    JobSchedule jobSchedule;
    EscrowTable escrow;
    CallTable calls;
    Counters counters;

    std::deque<PeerMessage> loopback; ///< Messages to this instance itself.
    std::map<Ticket, std::string> ranges; ///< Reads in flight: ticket to prefix.
    bool controlRead { false }; ///< The control keys have been read since the watch began.
    TimePoint nextControlRead;
    std::uint64_t nextTicket { 1 };
    std::uint64_t nextAttemptNumber { 1 };
    std::uint64_t randomState { 1 };
    bool shuttingDown { false };
    bool shutdownReported { false };
    TimePoint shutdownSince;
    std::optional<TimePoint> leaseReturnedAt; ///< The last step of a graceful stop.
    TimePoint shutdownDeadline;
    TimePoint nextHeartbeat;
    TimePoint nextOwnershipPass;
    TimePoint startedAt;
};

/// Takes in one event. Appends what the edges are to do to `actions`.
void handleEvent(CoreState&, const Event&, const Instant& now, Actions& actions);

/// Runs every system once. Called after events and at least every few milliseconds.
void tick(CoreState&, const Instant& now, Actions& actions);

/// True if this instance takes new work: it isn't stopping, has a configuration, and its lease is in force.
bool isReady(const CoreState&, TimePoint now);

} // namespace crocuslever
