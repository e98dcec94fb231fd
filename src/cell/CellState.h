#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "crocuslever/Core.h"
#include "crocuslever/Counters.h"
#include "src/cell/CellSettings.h"
#include "src/cell/FleetPolicy.h"
#include "src/cell/JobSpec.h"
#include "src/cell/Messages.h"

namespace crocuslever::cellwire {
class PeerMessage;
}

namespace crocuslever::cell {

struct CellState;

/// A task of one occurrence of a job.
struct TaskKey {
    std::string job;
    int occurrence { 0 };
    int step { 0 };
    int index { 0 };

    auto tie() const { return std::tie(job, occurrence, step, index); }
};

std::string formatTaskKey(const TaskKey&);
std::optional<TaskKey> parseTaskKey(const std::string&);
/// Names a step to the advice service.
std::string formatStepKey(const TaskKey&);

enum class TaskPhase {
    Waiting, ///< Runs nowhere.
    Starting, ///< An order to start it is out, without an answer so far.
    Running,
    Stopping,
    Done,
};

struct TaskRow {
    TaskPhase phase { TaskPhase::Waiting };
    std::string upstream; ///< Where its run is; empty while it waits.
    int run { 0 }; ///< The latest.
    std::set<int> failedRuns; ///< Numbers of the runs that ended as failed.
    std::string checkpoint;
    int percent { 0 }; ///< As last listed.
    int preemptions { 0 }; ///< How often it was stopped to make room.
    TimePoint since; ///< When it entered the phase.
    TimePoint notBefore; ///< Not placed again earlier.
};

/// Names one life of an upstream within this process.
using IncarnationId = std::uint64_t;

/// What the advice service said of a step.
struct StepAdvice {
    struct Grant {
        std::string ticket;
        TimePoint validUntil;
    };
    std::map<IncarnationId, Grant> good;
    std::set<IncarnationId> answered; ///< Lives of upstreams that it was asked about.
    Ticket question { 0 }; ///< A question in flight; 0: none.
    TimePoint nextQuestion;
};

struct StepRow {
    std::vector<TaskRow> tasks;
    int done { 0 };
    int waiting { 0 };
    std::set<int> failedRuns; ///< Of a gang, whose members fail together.
    std::optional<TimePoint> limitedSince; ///< It waits for its team's limit, or did so a moment ago.
    TimePoint lastLimitedAt; ///< For the last time.
    TimePoint nextPreemption; ///< Looks for work to stop again no sooner.
    std::map<IncarnationId, Resources> reservations; ///< Room that is being freed for it, by upstream.
    TimePoint reservedUntil;
    StepAdvice advice;
};

struct OccurrenceRow {
    std::vector<StepRow> steps;
    bool done { false };
};

struct JobRow {
    JobRecord record;
    StoreRevision revision { 0 }; ///< Of its record in the store.
    std::vector<OccurrenceRow> occurrences;
    int waiting { 0 }; ///< Tasks of all steps.
    Duration estimatedCriticalPath { 0 }; ///< Longest chain of steps, by the submitter's estimates.
    bool begun { false }; ///< A task has started at some time.
    bool mayHaveProgress { false }; ///< In the store.
    std::optional<JobState> ended; ///< Final, and being stored.
};

using JobTable = std::unordered_map<std::string, JobRow>;

/// A run that takes room on an upstream until its end is known.
struct RunRow {
    TaskKey task;
    int run { 0 };
    Resources amount; ///< Counted against the upstream and the team.
    std::string team;
    std::string payload; ///< Kept until the start is answered.
    std::string advice;
    std::string checkpoint;
    Ticket order { 0 }; ///< In flight; 0: none.
    bool isStopOrder { false }; ///< Of the order in flight.
    bool confirmed { false }; ///< The upstream has said that it has it.
    bool stopping { false };
    TimePoint confirmedAt;
    bool stopConfirmed { false };
    TimePoint stopConfirmedAt;
    int orders { 0 };
    TimePoint startedAt;
    std::int64_t startedMs { 0 }; ///< Unix time of the order; 0: it was found running.
    int percent { 0 };
    std::int64_t gauge { 0 };
    int pace { 100 };
    int priority { 0 }; ///< Of its route.
    bool isPreemptible { false }; ///< A stop loses none of its work.
};

struct UpstreamRow {
    DirectoryEntry entry;
    IncarnationId incarnation { 0 };
    bool isStored { false }; ///< A successor would find this life in the store.
    bool listed { false }; ///< In the directory at its last reading.
    bool fenced { false }; ///< This life knows our token, and its lists have been read.
    std::map<std::string, RunRow> runs; ///< By task.
    Resources used;
    Resources stopping; ///< Part of it that runs take which are being stopped.
    std::map<int, Resources> preemptible; ///< Part of it that others may preempt, by priority of the runs.
    int unknownRuns { 0 }; ///< Listed runs of no known job; they take unknown room.
    Ticket poll { 0 }; ///< In flight; 0: none.
    TimePoint pollSentAt;
    std::int64_t pollLeaseMs { 0 };
    TimePoint nextPoll;
    int failedPolls { 0 }; ///< Looks in a row without an answer.
    bool clockKnown { false };
    std::int64_t clockMs { 0 }; ///< Its clock when `clockAt` was read.
    TimePoint clockAt;
    TimePoint leasesEnd; ///< No lease that we gave lasts longer.
    std::int64_t lastEnd { 0 }; ///< Highest number of an end taken in.
    std::int64_t acknowledged { 0 }; ///< Ends up to here are in the store.
    TimePoint backoffUntil; ///< Gets no new work before.
};

/// The upstream and the task of a run.
using RunName = std::pair<std::string, std::string>;

using UpstreamTable = std::map<std::string, UpstreamRow>;

/// This instance's lease in the store and its place among the instances.
struct Membership {
    LeaseId lease { 0 };
    bool granting { false };
    bool renewing { false };
    bool registering { false };
    bool registered { false };
    TimePoint renewedAt; ///< When the last renewal that succeeded was sent.
    TimePoint nextRenewal;
    bool listing { false };
    TimePoint nextList;
    TimePoint listedAt;
    struct Instance {
        std::string address;
        std::string incarnation;
        std::int64_t milliCpu { 0 }; ///< What it may use.
        TimePoint lastSeen; ///< In the store.
    };
    std::map<std::string, Instance> instances; ///< By name, this one included.
    std::string ownerInstance;
    std::string ownerAddress; ///< Empty: nobody owns the cell.
    std::int64_t ownerToken { 0 };
    StoreRevision ownerRevision { 0 }; ///< Of the owner's record; 0: there is none.
    std::optional<TimePoint> vacantSince; ///< The cell wants a new owner.
    bool isOwnerRestarted { false }; ///< The owner's process is gone, though its lease goes on.
    StoreRevision epochRevision { 0 };
    std::int64_t epoch { 0 };
    TimePoint skipOwnerUntil; ///< The owner didn't answer; not asked before.
    TimePoint storeAnsweredAt; ///< Last answer of any kind from the store.
    int storeFailures { 0 }; ///< Calls in a row that it didn't answer or refused.
};

enum class OwnerPhase { None,
    Acquiring,
    Recovering, ///< Reads what the store holds.
    Deciding };

/// What only the owner of the cell has.
struct Ownership {
    OwnerPhase phase { OwnerPhase::None };
    std::int64_t token { 0 };
    StoreRevision epochRevision { 0 }; ///< Revision of the epoch's key; each write of the owner depends on it.
    TimePoint since;
    TimePoint nextAttempt;
    bool restoringOwnerKey { false }; ///< The owner's key is being put back under a new lease.
    std::string predecessor; ///< Instance, and its incarnation.
    std::string predecessorIncarnation;
    TimePoint earlierRunsEnd; ///< Runs that no list shows have ended by then.
    int readsLeft { 0 };
    bool areEarlierRunsKnown { false }; ///< No upstream can run a task of a predecessor unknown to us.
    StoreRevision knownUpstreamsRevision { 0 }; ///< Of the record of known upstreams.
    bool isKnownUpstreamsStale { false }; ///< Upstreams have come, gone or begun a new life since it was written.
    bool storingKnownUpstreams { false };
    std::vector<UpstreamTarget> earlierUpstreams; ///< Of the predecessors; may run tasks.
    StoreRevision watchRevision { 0 };
    StoreRevision queueReadRevision { 0 }; ///< The queue was read as a whole at this revision or later.
    Ticket watch { 0 };
    TimePoint nextWatch;
    TimePoint nextDirectory;
    TimePoint nextUpstreamScan;
    bool readingDirectory { false };
};

/// The way to the store over another instance, while it turns this one away.
struct Relay {
    bool isOn { false };
    std::string peer; ///< Address of the instance that passes calls on.
    std::map<std::string, TimePoint> avoidUntil; ///< Addresses of peers that didn't answer.
    bool isProbing { false };
    TimePoint nextProbe; ///< Of the store itself.
    Ticket probe { 0 }; ///< Goes to the store directly.
    std::set<Ticket> relayedTickets; ///< Calls that this instance passes on; they go directly, too.
};

/// Group commit of what the owner has taken in.
struct CommitQueue {
    std::deque<std::string> queue; ///< Jobs with something to store, in the order in which it came.
    std::unordered_set<std::string> dirty; ///< The same.
    bool inFlight { false };
    TimePoint nextCommit;
    TimePoint nextIdlePass;
    StoreRevision lastRevision { 0 }; ///< Revision of the commit key after the latest commit.
};

struct FinishedJob {
    JobState state { JobState::Completed };
    TimePoint expiresAt;
};

/// A caller's call that isn't answered yet.
struct EntryRow {
    EntryCall call;
    TimePoint arrivedAt;
    TimePoint giveUpAt;
    std::string jobId;
    std::string route;
    std::string team;
    std::string record; ///< As it is being stored.
    StoreRevision epochRevision { 0 }; ///< It is stored only under this epoch, whose owner is told; 0: under any.
    bool isEpochStale { false }; ///< The cell has changed hands; the owner hears of it by its watch.
    bool maybeStored { false }; ///< The store may have taken it.
    bool isStoring { false }; ///< A change that would take it is in flight.
    int tries { 0 };
    TimePoint retryAt; ///< Set: the next try is due then.
    bool retrying { false };
};

/// A query to a peer, and what is done with its answer.
struct PeerCall {
    TimePoint deadline;
    std::function<void(CellState&, const cellwire::PeerMessage* answer, const Instant&, CellActions&)> then;
};

struct AdviceLoad {
    Duration backlog { 0 }; ///< Of the questions in flight.
    int questions { 0 };
    TimePoint avoidUntil; ///< It didn't answer.
};

using StoreContinuation = std::function<void(CellState&, const StoreReply&, const Instant&, CellActions&)>;

using AdviceContinuation = std::function<void(CellState&, const AdviceResult&, const Instant&, CellActions&)>;

struct CellState {
    CellState(CellSettings, StoreFormat);

    CellSettings settings;
    StoreFormat format;
    TimePoint startedAt;
    Membership membership;
    Relay relay;
    Ownership ownership;
    std::shared_ptr<const FleetPolicy> policy; ///< Null: none so far.
    TimePoint policyReadAt;
    std::set<std::string> evacuated;
    std::vector<UpkeepWave> waves;
    bool isReadingDeclarations { false };
    TimePoint nextDeclarations;

    JobTable jobs;
    std::unordered_set<std::string> waitingJobs; ///< Those with a waiting task, whether or not its turn has come.
    std::unordered_map<std::string, FinishedJob> finished;
    TimePoint nextFinishedSweep; ///< Of finished jobs.
    std::set<std::string> cancels; ///< Cancelled jobs that still run, or whose record hasn't been seen.
    UpstreamTable upstreams;
    std::map<std::string, Resources> teamUse;
    std::unordered_map<std::string, int> runsOfJob; ///< How many runs take room for it.
    std::multimap<TimePoint, RunName> orderRetries; ///< Orders to be sent again, unless that has become needless.
    CommitQueue commits;
    bool placementDue { false };
    TimePoint nextPlacement;
    std::map<std::string, AdviceLoad> adviceLoads; ///< By instance.

    std::map<CallId, EntryRow> entries;
    std::map<std::uint64_t, PeerCall> peerCalls;
    std::map<Ticket, StoreContinuation> storeCalls;
    std::map<Ticket, AdviceContinuation> adviceCalls;
    std::map<Ticket, RunName> orders; ///< In flight.
    std::map<Ticket, std::string> polls; ///< Upstream of a look in flight.
    std::uint64_t nextTicket { 1 };
    std::uint64_t randomState { 1 };
    bool stopping { false };
    bool stopped { false };
    TimePoint stoppingSince;
    Counters counters;
};

/// Takes in one event; appends what the edges are to do.
void handleEvent(CellState&, const CellEvent&, const Instant& now, CellActions&);
/// Runs every system once; called after events and at least every few milliseconds.
void tick(CellState&, const Instant& now, CellActions&);
/// True if this instance should get new connections.
bool isReady(const CellState&, TimePoint now);

} // namespace crocuslever::cell
