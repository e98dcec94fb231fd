#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "crocuslever/Events.h"
#include "crocuslever/StoreProtocol.h"
#include "src/cell/FleetPolicy.h"
#include "src/cell/JobSpec.h"

namespace crocuslever::cell {

// Callers.

enum class Verb { Submit,
    Lookup, ///< Of a job, or of the queue if the path names no job.
    Cancel };

struct EntryCall {
    CallId id { 0 };
    Verb verb { Verb::Lookup };
    std::string host;
    std::string path; ///< Without the query.
    std::string key; ///< Empty: none was shown.
    std::optional<JobSpec> spec; ///< Of a Submit; unset: the body couldn't be read.
    Duration patience { 0 }; ///< How long the caller waits; 0: it didn't say.
};

enum class EntryOutcome {
    Accepted, ///< Stored, or stored already.
    State,
    Count,
    Cancelled,
    Gone, ///< No such job.
    NoRoute,
    Unauthorized,
    Malformed,
    Refused, ///< Not accepted, and never will run by this call.
    Overloaded, ///< The same, because too much waits already.
    Unknown, ///< The store may have taken it; the caller has to ask again.
};

const char* toString(EntryOutcome);

struct EntryReply {
    CallId id { 0 };
    EntryOutcome outcome { EntryOutcome::Unknown };
    JobState state { JobState::Pending };
    std::int64_t count { 0 };
    Duration retryAfter { 0 }; ///< 0: none is given.
    std::string reason;
};

// The platform's store.

enum class StoreStatus {
    Ok,
    Conflict, ///< A condition didn't hold: nothing was done.
    NotFound, ///< No such key or lease.
    HistoryLost, ///< Of a watch: changes since then are no longer known.
    Refused, ///< Nothing was done.
    NoAnswer, ///< It may have been done, or be done later.
};

struct StoreRead {
    Ticket ticket { 0 };
    std::string key;
};

/// What a list is of. The operators' declarations and the directory of
/// upstreams lie where the platform has put them.
enum class Listing { OwnKeys,
    Declarations,
    Directory };

/// All keys that begin with `prefix`.
struct StoreList {
    Ticket ticket { 0 };
    Listing of { Listing::OwnKeys };
    std::string prefix; ///< Of own keys.
};

/// One wait for changes after `revision`.
struct StoreAwait {
    Ticket ticket { 0 };
    std::string prefix;
    StoreRevision revision { 0 };
    Duration wait { 0 };
};

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

struct LeaseEnd {
    LeaseId lease { 0 };
};

struct StoreReply {
    Ticket ticket { 0 };
    StoreStatus status { StoreStatus::NoAnswer };
    StoreRevision revision { 0 }; ///< Of the change, or of the store at the first page read.
    std::vector<StoreEntry> entries; ///< Read, listed or written.
    std::vector<std::string> deleted; ///< Of a wait.
    LeaseId lease { 0 };
};

// The operators' declarations and the directory of upstreams.

/// A request to bring machines through their upkeep.
struct UpkeepWave {
    std::string id;
    std::vector<std::string> machines;
    Duration within { 0 };
    int mostAtOnce { 1 };
};

struct Declarations {
    std::shared_ptr<const FleetPolicy> policy; ///< Null: none was there, or it couldn't be read.
    std::set<std::string> evacuated; ///< Failure domains.
    std::vector<UpkeepWave> waves;
    std::string problem; ///< What couldn't be read; empty: nothing.
};

struct DirectoryEntry {
    std::string id;
    std::string service;
    std::string address;
    std::string domain;
    bool draining { false };
    Duration remaining { 0 }; ///< Least time left while draining.
    Resources capacity;
    std::vector<std::string> labels;
    std::string rack;
    std::int64_t bornMs { 0 }; ///< Names this life of it.
};

struct Directory {
    std::vector<DirectoryEntry> entries;
    int unreadable { 0 }; ///< Entries that name no upstream.
};

/// How the platform writes what an instance reads in the store.
struct StoreFormat {
    std::function<Declarations(const std::vector<StoreEntry>&)> decodeDeclarations;
    std::function<Directory(const std::vector<StoreEntry>&)> decodeDirectory;
};

// Upstreams.

/// Which life of which upstream a call is for.
struct UpstreamTarget {
    std::string id;
    std::string address;
    std::int64_t bornMs { 0 };
};

/// Raises the fence, renews the leases, acknowledges ends and asks for what runs.
struct UpstreamLook {
    Ticket ticket { 0 };
    UpstreamTarget target;
    std::int64_t token { 0 };
    std::int64_t acknowledged { 0 }; ///< Ends up to here may be forgotten.
    bool onSameConnection { false }; ///< As the look before, or not at all: another life may listen at the address.
    std::int64_t leaseUntilMs { 0 }; ///< On the upstream's clock; 0: leaves leases alone.
    Duration wait { 0 }; ///< For the next end.
};

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
    Lapsed,
    Broken, ///< Another member of the gang ended.
    Alone, ///< The rest of the gang didn't come in time.
};

const char* toString(RunEnd);

struct EndListing {
    std::int64_t number { 0 };
    std::string task;
    int run { 0 };
    RunEnd how { RunEnd::Failed };
    std::string checkpoint;
};

enum class OrderOutcome {
    Ok,
    Fenced, ///< It knows a higher token.
    Stale, ///< This run or a later one has ended there.
    TooLate, ///< The lease would be over already.
    NoRoom,
    NoTicket,
    Unwell, ///< Refused for now; nothing was done.
    WrongLife, ///< Another life of the upstream answered.
    Malformed, ///< It doesn't understand the call.
    NotSent, ///< No byte of the call left.
    NoAnswer, ///< It may have been done, or be done later.
};

const char* toString(OrderOutcome);

struct LookResult {
    Ticket ticket { 0 };
    OrderOutcome outcome { OrderOutcome::NoAnswer };
    std::int64_t clockMs { 0 }; ///< The upstream's own.
    std::int64_t bornMs { 0 }; ///< 0: it didn't say.
    std::vector<RunListing> running;
    std::vector<EndListing> ended;
};

struct RunStart {
    Ticket ticket { 0 };
    UpstreamTarget target;
    std::string task;
    int run { 0 };
    std::string payload;
    std::int64_t leaseUntilMs { 0 };
    std::int64_t token { 0 };
    std::string checkpoint;
    std::string advice; ///< The ticket of the advice service; empty: none is needed.
};

struct RunStop {
    Ticket ticket { 0 };
    UpstreamTarget target;
    std::string task;
    int run { 0 };
    std::int64_t token { 0 };
};

/// Lets a task work at a share of its speed.
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
    std::int64_t clockMs { 0 };
};

// Advice.

struct AskAdvice {
    Ticket ticket { 0 };
    std::string step;
    std::vector<std::string> upstreams;
    Duration timeout { 0 };
};

struct AdviceRow {
    std::string upstream;
    std::string ticket;
};

struct AdviceResult {
    Ticket ticket { 0 };
    bool ok { false };
    std::vector<AdviceRow> good;
    Duration validity { 0 };
};

// Peers.

struct PeerFrame {
    std::string from; ///< Name of the sender.
    std::string bytes;
};

struct SendPeerFrame {
    std::string address;
    std::string bytes;
};

struct StopRequested { };
struct Finished { };

using CellEvent = std::variant<EntryCall, StoreReply, LookResult, OrderResult, AdviceResult, PeerFrame, StopRequested>;
using CellAction = std::variant<EntryReply, StoreRead, StoreList, StoreAwait, StoreChange, LeaseGrant, LeaseRenew,
    LeaseEnd, UpstreamLook, RunStart, RunStop, RunPace, AskAdvice, SendPeerFrame, LogLine, Finished>;
using CellActions = std::vector<CellAction>;

} // namespace crocuslever::cell
