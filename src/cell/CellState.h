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
#include "src/cell/AdmissionLimit.h"
#include "src/cell/AdmissionPlan.h"
#include "src/cell/CellSettings.h"
#include "src/cell/Confirmation.h"
#include "src/cell/FleetPolicy.h"
#include "src/cell/InterferenceModel.h"
#include "src/cell/JobSpec.h"
#include "src/cell/LoopDelay.h"
#include "src/cell/Messages.h"
#include "src/cell/RunTimes.h"

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
/// The name of a step in queries to the advice service: "job.occurrence.step".
std::string formatStepKey(const TaskKey&);

enum class TaskPhase {
    Waiting, ///< Not placed on any upstream.
    Starting, ///< A start order was sent and has not been answered yet.
    Running,
    Stopping,
    Done,
};

struct TaskRow {
    TaskPhase phase { TaskPhase::Waiting };
    std::string upstream; ///< Upstream of the latest run; empty if there was none.
    int run { 0 }; ///< Number of the latest run, or of an earlier one that goes on; 0: none.
    int highestRun { 0 }; ///< Highest number of any run that is known; not used again.
    std::set<int> failedRuns; ///< Numbers of the runs that failed.
    CrashedRuns crashes;
    std::string checkpoint;
    int percent { 0 }; ///< Progress that the upstream last reported.
    int preemptions { 0 }; ///< Number of times it was preempted.
    TimePoint since; ///< Start of the current phase.
    TimePoint notBefore; ///< Backoff: earliest time of the next placement.
    /// When its run was taken for lost with its upstream. A successor may have seen that run end.
    std::optional<TimePoint> lostAt;
};

/// Identifies an incarnation of an upstream: the time between two of its restarts. Unique within this process.
using UpstreamIncarnation = std::uint64_t;

/// Answers of the advice service about a step.
struct StepAdvice {
    struct Grant {
        std::string ticket;
        TimePoint validUntil;
    };
    std::map<UpstreamIncarnation, Grant> good; ///< Tickets of upstreams that may run the step.
    std::set<UpstreamIncarnation> answered; ///< Upstream incarnations that an answer covers.
    Ticket question { 0 }; ///< The question in flight; 0: none.
    TimePoint nextQuestion;
};

struct StepRow {
    std::vector<TaskRow> tasks;
    int done { 0 };
    int waiting { 0 };
    std::set<int> failedRuns; ///< Failed runs of a gang, whose members fail together; empty for other steps.
    /// Start of the wait for the team's limit; kept for a short while after the wait.
    std::optional<TimePoint> limitedSince;
    TimePoint lastLimitedAt; ///< Time of the last pass in which the team's limit held the step back.
    TimePoint nextPreemption; ///< Earliest time of the next search for runs to preempt.
    std::map<UpstreamIncarnation, Resources> reservations; ///< Room that is being freed for this step, by upstream.
    TimePoint reservedUntil; ///< Expiry of `reservations`.
    StepAdvice advice;
};

struct OccurrenceRow {
    std::vector<StepRow> steps;
};

struct JobRow {
    JobRecord record;
    StoreRevision revision { 0 }; ///< Revision of the job's record in the store.
    /// By number. Of a scheduled job only those that are due, or have begun, and are not complete: memory follows what is due.
    std::map<int, OccurrenceRow> occurrences;
    int nextOccurrence { 0 }; ///< The first that has not become due yet.
    CompletedOccurrences completed;
    int waiting { 0 }; ///< Waiting tasks of all steps of these occurrences.
    Duration estimatedCriticalPath { 0 }; ///< Length of the critical path by the submitter's estimates.
    ExpectedTimes expected; ///< By what was learned; brought up to date by each placement pass.
    bool hasStarted { false }; ///< True once any task has started.
    bool mayHaveProgress { false }; ///< True if the store may hold a progress record.
    std::optional<JobState> ended; ///< The final state, set before it is stored.
    std::int64_t changed { 0 }; ///< Number of the latest change; see CommitQueue.
    std::int64_t stored { 0 }; ///< Changes up to this number are stored.
    std::set<std::string> endsHeldBy; ///< Upstreams that have listed run ends of the job since it was last stored in full.
};

using JobTable = std::unordered_map<std::string, JobRow>;

/// Pace orders of a run. They are independent of its start and stop orders; see Interference.h.
struct PaceOrder {
    int wanted { 100 }; ///< Percent of full speed.
    int ordered { 100 }; ///< By the latest order.
    Ticket ticket { 0 }; ///< The order in flight; 0: none.
    bool isPaceKnown { true }; ///< False: an earlier owner, or an order without an answer, may have changed the pace.
    TimePoint next; ///< Earliest time of the next order.
    /// An order without an answer may be executed until about then, after later ones. The pace is then ordered again.
    std::optional<TimePoint> repeatAt;
};

/// A run. It holds room on its upstream until its end is confirmed.
struct RunRow {
    TaskKey task;
    int run { 0 };
    Resources amount; ///< Charged to the upstream's capacity and to the team's limit.
    std::string team;
    std::string payload; ///< Cleared when the upstream confirms the start.
    std::string advice; ///< Ticket of the advice service; empty: none.
    std::string checkpoint;
    Ticket order { 0 }; ///< The order in flight; 0: none.
    bool isStopOrder { false }; ///< True if the order in flight is a stop.
    Ticket listedBy { 0 }; ///< The latest poll that listed the run.
    bool confirmed { false }; ///< The upstream has acknowledged the start or listed the run.
    bool stopping { false }; ///< A stop was ordered.
    TimePoint confirmedAt;
    bool stopConfirmed { false };
    TimePoint stopConfirmedAt;
    int orders { 0 }; ///< Number of start orders sent.
    TimePoint startedAt;
    std::int64_t startedMs { 0 }; ///< Unix time of the start order; 0: the run was adopted.
    int percent { 0 }; ///< Last reported progress.
    std::int64_t gauge { 0 }; ///< Last reported load; see RunListing.
    int pace { 100 }; ///< Percent of full speed, as last confirmed by the upstream.
    PaceOrder paceOrder;
    std::string image;
    Duration tailTarget { 0 }; ///< Of a serving task; 0: the run isn't one.
    bool isBestEffort { false };
    int priority { 0 }; ///< Priority of the route; 0 is the most urgent.
    bool isPreemptible { false }; ///< A stop loses no work, and the task has preemptions left.
};

/// Resources that a set of runs holds.
struct RoomUse {
    Resources used; ///< Sum of all runs.
    Resources stopping; ///< Part of `used` that belongs to runs being stopped.
    std::map<int, Resources> preemptible; ///< Part of `used` that may be preempted, by priority of the runs.
};

/// A run end that the owner has processed and the upstream still lists.
struct PendingEnd {
    std::int64_t number { 0 };
    std::string job;
    std::int64_t change { 0 }; ///< The change of the job that has to be stored before the end may be dropped.
};

/// A run whose lease expired while its upstream was out of reach.
struct LapsedRun {
    TaskKey task;
    int run { 0 };
    TimePoint startedAt;
};

struct UpstreamRow {
    DirectoryEntry entry; ///< As last read. It describes an earlier incarnation until the present one's is read; see isDescribed().
    std::int64_t bornMs { 0 }; ///< Start time of the present incarnation, by its entry or by its answers.
    TimePoint restartFoundAt; ///< When its restart was found; TimePoint(): it is the first one that this owner knows.
    UpstreamIncarnation incarnation { 0 };
    std::string delegate; ///< Address of the instance that calls it for this owner; empty: not chosen yet.
    std::string failedDelegate; ///< The latest one whose polls failed; another is chosen if there is one.
    bool isStored { false }; ///< The stored record of known upstreams contains this incarnation.
    bool listed { false }; ///< Present in the latest reading of the directory.
    bool fenced { false }; ///< This incarnation has our fencing token, and a poll has returned its runs.
    std::map<std::string, RunRow> runs; ///< By formatted task key.
    RoomUse use;
    /// Kept until it is known whether the upstream has crashed, or for a limited time.
    std::vector<LapsedRun> lapsedRuns;
    bool isReplaced { false }; ///< A later upstream is listed at its address, so that this one has ended.
    int unknownRuns { 0 }; ///< Listed runs of no known job; they hold an unknown amount of room.
    Ticket poll { 0 }; ///< The poll in flight; 0: none.
    TimePoint pollSentAt;
    std::int64_t pollLeaseMs { 0 };
    TimePoint nextPoll;
    int failedPolls { 0 }; ///< Consecutive polls without a usable answer.
    TimePoint contactLostAt; ///< Time of the first of them; valid if there is one.
    bool clockKnown { false };
    std::int64_t clockMs { 0 }; ///< The upstream's clock at `clockAt`.
    TimePoint clockAt;
    TimePoint leasesEnd; ///< Upper bound on the expiry of all run leases given.
    std::int64_t lastEnd { 0 }; ///< Highest number of a processed run end.
    std::int64_t acknowledged { 0 }; ///< Run ends up to this number are stored.
    std::deque<PendingEnd> pendingEnds; ///< Processed ends above `acknowledged`.
    TimePoint backoffUntil; ///< No new runs are placed before this.
    PaceControl pacing;
};

/// Upstream id and formatted task key of a run.
using RunName = std::pair<std::string, std::string>;

using UpstreamTable = std::map<std::string, UpstreamRow>;

/// This instance's lease in the store, and what the store shows of the other instances and the owner.
struct Membership {
    LeaseId lease { 0 };
    bool granting { false };
    int renewals { 0 }; ///< Of this lease, in flight.
    bool registering { false };
    bool registered { false };
    TimePoint nextRegistration; ///< Earliest time of the next attempt.
    Confirmation renewal; ///< Of the lease.
    TimePoint nextRenewal;
    bool isListing { false };
    TimePoint nextList;
    TimePoint listedAt; ///< Time of the latest successful listing.
    Confirmation listing; ///< Of the instances and the owner.
    struct Instance {
        std::string address;
        std::string incarnation;
        std::int64_t milliCpu { 0 }; ///< Processor share of the instance.
        std::string domain; ///< Failure domain.
        TimePoint lastSeen; ///< Time of the latest store listing that held it.
        TimePoint since; ///< Time of the first of the listings that held it without a gap.
    };
    std::map<std::string, Instance> instances; ///< By name; includes this instance.
    TimePoint firstListedAt; ///< Time of the first successful listing.
    std::int64_t largestMilliCpu { 0 }; ///< Processor share of the fleet's largest instance, as an owner stored it.
    std::string ownerInstance;
    std::string ownerAddress; ///< Empty: the cell has no owner.
    std::int64_t ownerToken { 0 };
    StoreRevision ownerRevision { 0 }; ///< Revision of the owner's record; 0: there is none.
    AdmissionLimit admission; ///< As the latest owner says; outlasts it.
    std::optional<TimePoint> vacantSince; ///< When the cell lost its owner; unset: it has one.
    /// Another incarnation runs under the owner's name, though the owner's lease has not expired.
    bool isOwnerRestarted { false };
    StoreRevision epochRevision { 0 };
    std::int64_t epoch { 0 }; ///< Latest fencing token in the store.
    TimePoint skipOwnerUntil; ///< The owner did not answer a query; no queries are sent to it before this.
    int storeFailures { 0 }; ///< Consecutive store calls that were refused or got no answer.
};

/// Position of a watch: the next call asks for changes after `revision`.
struct WatchPosition {
    StoreRevision revision { 0 }; ///< 0: the range has to be read first.
    StoreRevision quietRevision { 0 }; ///< Revision of an earlier answer without changes; 0: none.
    TimePoint quietSince; ///< When that answer arrived.
};

enum class OwnerPhase { None,
    Acquiring,
    Recovering, ///< Reads the cell's records from the store.
    Deciding };

/// What one team offers on one route.
struct DemandRow {
    double newTasks { 0.0 }; ///< Since the latest plan.
    double tasksPerSecond { 0.0 }; ///< Smoothed.
};

/// How the owner plans the admission of jobs.
struct AdmissionControl {
    TimePoint adjustedAt; ///< TimePoint(): never.
    std::int64_t startsBefore { 0 }; ///< Number of starts at that time.
    double startRate { 0.0 }; ///< Starts per second, smoothed.
    double capacity { 0.0 }; ///< Starts per second that the owner can do; 0: not known, as it was never late.
    std::map<std::pair<std::string, std::string>, DemandRow> demand; ///< By route and team.
    std::map<std::string, double> pathSeconds; ///< Typical critical path by route, as estimated by the submitters.
    TimePoint announcedUntil; ///< Plans are sent to the instances until then.
    AdmissionLimit stored; ///< As the owner key says it.
};

/// State that only the owner of the cell has.
struct Ownership {
    OwnerPhase phase { OwnerPhase::None };
    std::int64_t token { 0 };
    StoreRevision epochRevision { 0 }; ///< Revision of the epoch key; a condition of each write of the owner.
    TimePoint since; ///< When the cell was acquired.
    TimePoint nextAttempt; ///< Earliest time of the next attempt to acquire the cell.
    bool isWritingOwnerKey { false }; ///< The owner key is being written again.
    TimePoint nextOwnerKey; ///< Earliest time of the next such write.
    bool isSettled { false }; ///< The owner key says that owners before this one send no orders any more.
    AdmissionControl admission;
    std::string predecessor; ///< Name of the previous owner; empty: unknown.
    std::string predecessorIncarnation;
    TimePoint predecessorSince; ///< When this instance first saw the previous owner's token.
    bool isPredecessorSettled { false }; ///< Owners before the previous one send no orders any more.
    bool isPredecessorKnown { false }; ///< It is the owner whose token precedes this one's.
    bool isPredecessorGone { false }; ///< The previous owner's process has ended, so that it sends no more orders.
    TimePoint earlierRunsEnd; ///< Leases of all runs started by earlier owners have expired by then.
    int readsLeft { 0 }; ///< Outstanding reads of the recovery.
    bool areEarlierRunsKnown { false }; ///< Every run started by an earlier owner is known or has ended.
    /// Until then, by team: the most that its runs of earlier owners may hold on upstreams that have not been polled.
    std::map<std::string, Resources> unseenUse;
    StoreRevision knownUpstreamsRevision { 0 }; ///< Revision of the record of known upstreams.
    bool isKnownUpstreamsStale { false }; ///< Upstreams were added, removed or restarted since that record was written.
    bool storingKnownUpstreams { false };
    std::vector<UpstreamTarget> earlierUpstreams; ///< Upstreams recorded by earlier owners; they may run tasks.
    WatchPosition queuePosition;
    StoreRevision queueReadRevision { 0 }; ///< Lower bound on the revision of the full read of the queue.
    Ticket watch { 0 };
    TimePoint nextWatch;
    TimePoint nextDirectory;
    TimePoint nextUpstreamScan;
    bool readingDirectory { false };
    Confirmation directory; ///< Of the upstreams' directory entries.
    int directoryFailures { 0 }; ///< Consecutive readings without a usable answer.
    bool startsWithoutStore { false }; ///< The latest placement pass relied on an outage of the store.
    std::int64_t openTasks { 0 }; ///< Tasks of all occurrences that the owner holds rows for.
    std::multimap<std::int64_t, std::string> dueOccurrences; ///< Scheduled jobs by Unix time at which their next occurrence opens, in ms.
};

/// Relaying of store calls through a peer while the store does not serve this instance.
struct Relay {
    bool isOn { false };
    std::string peer; ///< Address of the relaying instance.
    std::map<std::string, TimePoint> avoidUntil; ///< Backoff by peer address.
    bool isProbing { false };
    TimePoint nextProbe; ///< Next attempt to reach the store directly.
    Ticket probe { 0 }; ///< The probe in flight, which bypasses the relay; 0: none.
    std::set<Ticket> relayedTickets; ///< Calls relayed on behalf of peers; they bypass the relay, too.
};

/// Whom an answer to a peer's query goes to. No other process takes it, though one may get the address.
struct Asker {
    std::string address;
    ProcessId process { 0 }; ///< 0: an instance of an earlier version, which doesn't say.
    std::uint64_t call { 0 }; ///< Number of the query.
};

/// Calls to upstreams through other instances; see Delegation.h.
struct Delegation {
    bool isOn { false }; ///< This owner hands its calls to delegates.
    std::size_t next { 0 }; ///< Position of the next delegate to choose.
    std::map<std::string, TimePoint> avoidUntil; ///< Backoff by address of the delegate.
    std::unordered_map<Ticket, Asker> callsForOwners; ///< In flight, by this instance's own ticket.
};

/// Ids of jobs with unstored changes, oldest first. Ids that are not dirty are stale.
struct ChangedJobs {
    std::deque<std::string> ended;
    std::deque<std::string> continuing;
};

/// A chain of commits, each of which requires the previous one.
struct CommitLane {
    ChangedJobs bound; ///< Jobs that have to use this lane.
    bool inFlight { false };
    TimePoint retryAt; ///< Backoff after a failed commit.
    StoreRevision lastRevision { 0 }; ///< Revision of the lane's key after its latest commit.
};

/// Group commit of the owner's job state to the store.
struct CommitQueue {
    std::vector<CommitLane> lanes;
    ChangedJobs unbound; ///< Jobs that may use any lane.
    /// Lanes of the jobs whose latest commit is in flight, or failed and may still be applied. Only the next commit of the
    /// same lane shuts it out.
    std::unordered_map<std::string, std::size_t> boundTo;
    std::unordered_set<std::string> dirty; ///< Jobs with changes that no commit in flight contains.
    std::int64_t changes { 0 }; ///< Number of changes so far.
    TimePoint nextCommit; ///< Of any lane.
    std::size_t lastLane { 0 }; ///< Lane of the latest commit.
    Duration latency { 0 }; ///< Smoothed time from sending a commit to reading its answer.
};

struct FinishedJob {
    JobState state { JobState::Completed };
    TimePoint expiresAt;
};

/// A caller's unanswered call.
struct EntryRow {
    EntryCall call;
    TimePoint arrivedAt;
    TimePoint deadline;
    std::string jobId;
    std::string route;
    std::string team;
    int attempts { 0 }; ///< Of the route.
    std::string record; ///< The encoded job record of the latest store attempt.
    StoreRevision epochRevision { 0 }; ///< Epoch that the write requires; 0: any, and no owner is notified.
    bool isEpochStale { false }; ///< The owner changed; the new one finds the job by its watch.
    bool maybeStored { false }; ///< An earlier attempt got no answer and may have been applied.
    bool isStoring { false }; ///< A store attempt is in flight.
    bool awaitsConfiguration { false }; ///< The call is decided once the configuration is current.
    int tries { 0 };
    TimePoint retryAt; ///< Time of the next attempt; valid if `retrying`.
    bool retrying { false };
};

/// The store lease that withdrawals are attached to; see Withdrawal.h.
struct WithdrawalLease {
    LeaseId id { 0 }; ///< 0: none.
    TimePoint grantedAt;
};

/// A query to a peer that awaits its answer.
struct PeerCall {
    /// Receives null after a timeout, or if another process than the one asked has got the query.
    std::function<void(CellState&, const cellwire::PeerMessage* answer, const Instant&, CellActions&)> then;
    Duration timeout { 0 };
    std::string address; ///< Of the peer.
    int answerKind { 0 }; ///< PeerMessage::BodyCase of the answer to such a query.
};

/// The process that was last heard at an address.
struct HeardProcess {
    ProcessId id { 0 };
    TimePoint heardAt;
};

/// Load on the advice service of one instance.
struct AdviceLoad {
    Duration backlog { 0 }; ///< Estimated service time of the questions in flight.
    int questions { 0 }; ///< Number in flight.
    TimePoint avoidUntil; ///< Backoff after a timeout.
};

/// What the owner has learned of tasks that slow each other down, and its pace orders.
struct InterferenceState {
    LearnedPairs pairs;
    std::set<RunName> unsettled; ///< Runs whose pace is not the wanted one, or not known.
    std::map<Ticket, RunName> orders; ///< Pace orders in flight.
};

/// The latest plan of admission that this instance has made or was sent.
struct KnownPlan {
    AdmissionPlan plan;
    std::int64_t token { 0 }; ///< Of the owner that made it; 0: none is known.
    TimePoint at;
};

/// Jobs that this instance has turned away and the owner has not been told of.
struct Refusals {
    std::map<std::pair<std::string, std::string>, std::int64_t> tasks; ///< By route and team.
    TimePoint nextReport;
};

/// A listing that is read at intervals.
struct ListingReader {
    bool isReading { false };
    TimePoint nextRead;
};

/// What a peer has said of the store, while the store does not confirm the configuration to this instance.
struct PeerOutlook {
    TimePoint askedAt; ///< When the latest query was sent.
    bool isSilent { false }; ///< Its latest query got no answer in time.
    /// When the latest query was sent whose answer named no newer configuration, and no recent contact with the store;
    /// TimePoint(): never, or a peer was served since.
    TimePoint withoutStoreAt;
};

/// How the operators' declarations are kept current.
struct DeclarationReader {
    std::shared_ptr<const StoreEntry> record; ///< The configuration as it was read, for peers; null: none was read.
    bool isChecking { false }; ///< A check by the store is in flight.
    TimePoint checkSentAt; ///< When the latest check was sent.
    TimePoint nextCheck;
    int failures { 0 }; ///< Consecutive checks without a usable answer.
    TimePoint nextPeerQuery;
    StoreRevision newestRevision { 0 }; ///< Highest revision of the configuration that any peer has named.
    std::map<std::string, PeerOutlook> peers; ///< By address.
    std::optional<TimePoint> transferSince; ///< Start of the latest transfer of a configuration from a peer; unset: ended.
    ListingReader evacuations;
    ListingReader waveListing;
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
    Delegation delegation;
    Ownership ownership;
    DeclarationReader declarations;
    Confirmed<std::shared_ptr<const FleetPolicy>> configuration; ///< Null: none was read yet.
    Confirmed<std::set<std::string>> evacuated; ///< Failure domains that take no new runs. Read by owners only.
    Confirmed<std::map<std::string, MaintenanceWave>> waves; ///< By store key. Read by owners only.

    JobTable jobs;
    std::unordered_set<std::string> waitingJobs; ///< Jobs with a waiting task, ready or not.
    std::unordered_map<std::string, FinishedJob> finished;
    TimePoint nextFinishedSweep; ///< Next expiry pass over `finished`.
    std::set<std::string> cancellations; ///< Cancelled jobs whose end is not stored or whose record is not read yet.
    UpstreamTable upstreams;
    RunTimeTable runTimes; ///< Learned by this owner; empty unless settings.learnsRunTimes.
    std::map<std::string, RoomUse> teamUse; ///< Of the runs of each team.
    std::unordered_map<std::string, int> runsOfJob; ///< Number of runs that hold room, by job.
    std::multimap<TimePoint, RunName> orderRetries; ///< Runs whose order is resent then, if still needed.
    InterferenceState interference;
    CommitQueue commits;
    bool placementDue { false }; ///< Something changed that a placement pass may act on.
    TimePoint nextPlacement;
    TimePoint nextFullPlacement; ///< Next pass over all waiting jobs, if many wait; passes before it are for urgent ones.
    std::int64_t examinedPairs { 0 }; ///< Pairs of step and upstream that placement has examined.
    std::map<std::string, AdviceLoad> adviceLoads; ///< By instance name.

    KnownPlan admissionPlan;
    Refusals refusals;
    std::map<CallId, EntryRow> entries;
    WithdrawalLease withdrawalLease;
    ProcessId process; ///< Of this instance.
    std::unordered_map<std::string, HeardProcess> heardProcesses; ///< Of peers, by address.
    TimePoint nextHeardSweep; ///< Next expiry pass over `heardProcesses`.
    std::uint64_t nextPeerCall; ///< Begins at random: an instance of an earlier version answers with nothing but the number.
    std::unordered_map<std::uint64_t, PeerCall> peerCalls; ///< By number of the query.
    std::vector<std::uint64_t> unsentPeerCalls; ///< Queries that leave at the end of this turn.
    std::vector<std::uint64_t> sentPeerCalls; ///< Queries of the turn before, whose timeout begins now.
    std::multimap<TimePoint, std::uint64_t> peerDeadlines; ///< Queries by deadline; those answered meanwhile are in no table any more.
    std::map<Ticket, StoreContinuation> storeCalls;
    std::map<Ticket, AdviceContinuation> adviceCalls;
    std::map<Ticket, RunName> orders; ///< Orders in flight.
    std::map<Ticket, std::string> polls; ///< Upstream id of each poll in flight.
    std::uint64_t nextTicket { 1 };
    std::uint64_t randomState { 1 };
    bool stopping { false }; ///< A shutdown was requested.
    bool stopped { false };
    TimePoint stoppingSince;
    LoopDelay loop;
    bool hasUnreadFrames { false }; ///< Frames of peers have arrived that were not handled yet.
    Counters counters;
};

/// Handles one event; appends the resulting actions for the I/O layer.
void handleEvent(CellState&, const CellEvent&, const Instant& now, CellActions&);
/// A component of the core, with its periodic work.
struct System {
    const char* name;
    void (*tick)(CellState&, const Instant& now, CellActions&);
};

/// Sends what must not wait for the end of a long turn: the renewal of the instance's lease.
void tickLease(CellState&, const Instant& now, CellActions&);
/// All components, in the order in which tick() runs them.
const std::vector<System>& systems();
/// Runs the periodic work of all components. Called after events and at least every few milliseconds.
void tick(CellState&, const Instant& now, CellActions&);
/// True if this instance should receive new connections: it has a configuration and is not stopping.
bool isReady(const CellState&, TimePoint now);

} // namespace crocuslever::cell
