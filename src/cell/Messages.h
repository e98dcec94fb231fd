#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "crocuslever/Error.h"
#include "crocuslever/Events.h"
#include "crocuslever/StoreProtocol.h"
#include "src/cell/FleetPolicy.h"
#include "src/cell/JobSpec.h"

namespace crocuslever::cell {

// Callers.

enum class Verb { Submit,
    Lookup, ///< Queries a job, or the queue length if the path names no job.
    Cancel };

/// A caller's request.
struct EntryCall {
    CallId id { 0 };
    Verb verb { Verb::Lookup };
    std::string host;
    std::string path; ///< Without the query string.
    std::string key; ///< API key; empty: none was given.
    std::optional<JobSpec> spec; ///< Only for Submit; unset: the body could not be parsed.
    Duration callerTimeout { 0 }; ///< How long the caller waits for the answer; 0: not given.
};

enum class EntryOutcome {
    Accepted, ///< The job is stored, by this call or an earlier one.
    State,
    Count,
    Cancelled,
    Gone, ///< No such job.
    NoRoute,
    Unauthorized,
    Malformed,
    Refused, ///< Not accepted; this call never starts the job.
    Overloaded, ///< Not accepted because the queue is full; this call never starts the job.
    Unknown, ///< The store may have applied the call; the caller has to retry.
};

const char* toString(EntryOutcome);

struct EntryReply {
    CallId id { 0 };
    EntryOutcome outcome { EntryOutcome::Unknown };
    JobState state { JobState::Pending };
    std::int64_t count { 0 };
    Duration retryAfter { 0 }; ///< 0: not given.
    std::string reason;
};

// The store.

enum class StoreStatus {
    Ok,
    Conflict, ///< A condition did not hold; nothing was changed.
    NotFound, ///< No such key or lease.
    HistoryLost, ///< For waits: the store no longer has the history since the revision.
    Refused, ///< The call was rejected; nothing was changed.
    NoAnswer, ///< Outcome unknown: the call may have been applied, or may be applied later.
};

struct StoreRead {
    Ticket ticket { 0 };
    std::string key;
};

/// The key range of a list call. All but OwnKeys are stored under keys that the platform defines. The numbers are
/// part of the messages between instances.
enum class Listing {
    OwnKeys = 0,
    Directory = 2, ///< Of the upstreams.
    Evacuations = 3, ///< Failure domains that the operators have taken out of service.
    Waves = 4, ///< Maintenance waves.
};

/// Reads all entries of a listing.
struct StoreList {
    Ticket ticket { 0 };
    Listing of { Listing::OwnKeys };
    std::string prefix; ///< Only for OwnKeys.
};

/// Asks whether the configuration last changed at `revision`; 0 if none was read yet. Ok: it did. Conflict: the reply
/// holds the current configuration, or nothing if there is none.
struct ConfigurationCheck {
    Ticket ticket { 0 };
    StoreRevision revision { 0 };
};

/// Waits once, for at most `wait`, for changes of own keys after `revision`.
struct StoreAwait {
    Ticket ticket { 0 };
    std::string prefix;
    StoreRevision revision { 0 };
    Duration wait { 0 };
};

/// A transaction: if all conditions hold, the puts and deletes are applied atomically.
struct StoreChange {
    Ticket ticket { 0 };
    std::vector<StoreCompare> conditions;
    std::vector<StorePut> puts;
    std::vector<std::string> deletes;
};

struct LeaseGrant {
    Ticket ticket { 0 };
    Duration timeToLive { 0 };
};

struct LeaseRenew {
    Ticket ticket { 0 };
    LeaseId lease { 0 };
};

/// Revokes a lease. Not answered.
struct LeaseRevoke {
    LeaseId lease { 0 };
};

struct StoreReply {
    Ticket ticket { 0 };
    StoreStatus status { StoreStatus::NoAnswer };
    StoreRevision revision { 0 }; ///< Revision of the change, or of the store when the first page was read.
    std::vector<StoreEntry> entries; ///< Read, listed or changed; after a conflict, those of the conditions.
    std::vector<std::string> deleted; ///< Keys deleted during a wait and not written again.
    LeaseId lease { 0 };
};

// The operators' declarations and the upstream directory.

/// A request to take machines through maintenance.
struct MaintenanceWave {
    std::string id;
    std::vector<std::string> machines;
    Duration timeLimit { 0 }; ///< For the whole wave.
    int maximumConcurrent { 1 }; ///< Machines in maintenance at a time.
};

/// A failure domain that takes no new runs.
struct EvacuatedDomain {
    std::string name;
};

/// One entry of the operators' declarations. An Error: it could not be parsed.
using Declaration = std::variant<std::shared_ptr<const FleetPolicy>, EvacuatedDomain, MaintenanceWave, Error>;

struct DirectoryEntry {
    std::string id;
    std::string service;
    std::string address;
    std::string domain;
    bool draining { false };
    Duration remaining { 0 }; ///< Least time left before a draining upstream goes away.
    Resources capacity;
    std::vector<std::string> labels;
    std::string rack;
    std::int64_t bornMs { 0 }; ///< Start time, Unix; identifies the incarnation.
};

struct Directory {
    std::vector<DirectoryEntry> entries;
    int unreadable { 0 }; ///< Number of entries that could not be parsed.
};

/// Decoders of the records that the platform writes to the store.
struct StoreFormat {
    /// Unset for an entry that declares nothing this version knows.
    std::function<std::optional<Declaration>(const StoreEntry&)> decodeDeclaration;
    std::function<Directory(const std::vector<StoreEntry>&)> decodeDirectory;
};

// Upstreams.

/// The upstream incarnation that a call addresses. No other one executes orders, or polls that renew leases or acknowledge ends.
struct UpstreamTarget {
    std::string id;
    std::string address;
    std::int64_t bornMs { 0 };
};

/// A poll of an upstream: raises its fencing token, renews the run leases,
/// acknowledges ends, and returns the runs.
struct UpstreamPoll {
    Ticket ticket { 0 };
    UpstreamTarget target;
    std::int64_t token { 0 };
    std::int64_t acknowledged { 0 }; ///< Ends up to this number may be dropped.
    std::int64_t leaseUntilMs { 0 }; ///< New lease expiry on the upstream's clock; 0: leases are not renewed.
    Duration wait { 0 }; ///< Long poll: how long the upstream waits for a new end before it answers.
};

/// A run in progress, as an upstream lists it.
struct RunListing {
    std::string task;
    int run { 0 };
    std::string checkpoint;
    int percent { 0 };
    std::int64_t gauge { 0 }; ///< Tail latency in ms of a task that serves, else thousandths of a core in use.
};

enum class RunEnd { Done,
    Failed,
    Stopped,
    LeaseExpired,
    GangBroken, ///< Another member of the gang ended early.
    GangTimeout, ///< The other members of the gang did not start within the gang timeout.
};

const char* toString(RunEnd);

/// An ended run, as an upstream lists it until it is acknowledged.
struct EndListing {
    std::int64_t number { 0 }; ///< Sequence number within the upstream incarnation, from 1.
    std::string task;
    int run { 0 };
    RunEnd how { RunEnd::Failed };
    std::string checkpoint;
};

enum class OrderOutcome {
    Ok,
    Fenced, ///< The upstream has seen a higher fencing token.
    Stale, ///< This run or a later one of the task has ended there.
    TooLate, ///< The lease had expired when the order arrived.
    NoRoom,
    NoTicket, ///< The advice ticket is missing or invalid.
    TemporarilyUnavailable, ///< Nothing was done.
    WrongIncarnation, ///< Another incarnation of the upstream answered.
    Malformed, ///< The upstream could not parse the call.
    NotSent, ///< No byte of the call was sent.
    NoAnswer, ///< Outcome unknown: the order may have been executed, or may be executed later.
};

const char* toString(OrderOutcome);

struct PollResult {
    Ticket ticket { 0 };
    OrderOutcome outcome { OrderOutcome::NoAnswer };
    std::int64_t clockMs { 0 }; ///< The upstream's clock.
    std::int64_t bornMs { 0 }; ///< Incarnation that answered; 0: not given.
    std::vector<RunListing> running;
    std::vector<EndListing> ended;
};

/// Orders the start of a run. Idempotent for the same task and run number.
struct RunStart {
    Ticket ticket { 0 };
    UpstreamTarget target;
    std::string task;
    int run { 0 };
    std::string payload;
    std::int64_t leaseUntilMs { 0 }; ///< Lease expiry on the upstream's clock.
    std::int64_t token { 0 };
    std::string checkpoint;
    std::string advice; ///< Ticket of the advice service; empty: none is needed.
};

/// Orders the stop of a run, or keeps it from starting if it has not started.
struct RunStop {
    Ticket ticket { 0 };
    UpstreamTarget target;
    std::string task;
    int run { 0 };
    std::int64_t token { 0 };
};

/// Limits a task to a percentage of its full speed.
struct RunPace {
    Ticket ticket { 0 };
    UpstreamTarget target;
    std::string task;
    int run { 0 };
    int percent { 100 };
    std::int64_t token { 0 };
};

struct OrderResult {
    Ticket ticket { 0 };
    OrderOutcome outcome { OrderOutcome::NoAnswer };
    std::int64_t clockMs { 0 }; ///< The upstream's clock.
};

// Advice: a service that says which upstreams may run a step, and gives a ticket for each.

/// Asks which of the upstreams may run the step.
struct AdviceRequest {
    Ticket ticket { 0 };
    std::string step;
    std::vector<std::string> upstreams;
    Duration timeout { 0 };
};

/// An upstream that may run the step, with the ticket for its starts.
struct AdviceRow {
    std::string upstream;
    std::string ticket;
};

struct AdviceResult {
    Ticket ticket { 0 };
    bool ok { false }; ///< False: the service gave no valid answer.
    std::vector<AdviceRow> good;
    Duration validity { 0 }; ///< How long the tickets are valid.
};

// Peers.

/// Identifies a process of an instance: a random number, new at each start. The next process at its address has another one.
using ProcessId = std::uint64_t;

struct PeerFrame {
    std::string from; ///< Name of the sender.
    std::string bytes;
};

struct SendPeerFrame {
    std::string address;
    ProcessId receiver { 0 }; ///< The process at the address that the frame is meant for; 0: any.
    std::string bytes;
};

/// The process was asked to shut down.
struct StopRequested { };
/// The shutdown is complete; the process may exit.
struct Finished { };

using CellEvent = std::variant<EntryCall, StoreReply, PollResult, OrderResult, AdviceResult, PeerFrame, StopRequested>;
using CellAction = std::variant<EntryReply, StoreRead, StoreList, ConfigurationCheck, StoreAwait, StoreChange, LeaseGrant, LeaseRenew,
    LeaseRevoke, UpstreamPoll, RunStart, RunStop, RunPace, AdviceRequest, SendPeerFrame, LogLine, Finished>;
using CellActions = std::vector<CellAction>;

} // namespace crocuslever::cell
