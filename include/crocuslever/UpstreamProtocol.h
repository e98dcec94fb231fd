#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "crocuslever/Comparable.h"
#include "crocuslever/Ids.h"
#include "crocuslever/Resources.h"
#include "crocuslever/TaskSpec.h"
#include "crocuslever/Time.h"

namespace crocuslever {

/// One entry of the platform's instance list, which lags behind the real state.
struct UpstreamDescription {
    UpstreamId id;
    std::string address; ///< "IP:port"
    FailureDomainId domain;
    RackId rack;
    Resources capacity;
    int connections { 0 }; ///< Maximum number of open connections to it.
    bool leaving { false }; ///< About to be removed; gets no new work.

    auto tie() const { return std::tie(id, address, domain, rack, capacity, connections, leaving); }
};

/// The complete instance list; upstreams that are missing from it have left.
struct UpstreamListUpdate {
    std::vector<UpstreamDescription> upstreams;
};

/// An attempt's state at the upstream.
enum class AttemptState {
    Unknown, ///< The upstream has no record of it.
    Running,
    Ended, ///< Ran to completion, successfully or not; the result is kept until it is acknowledged.
    Stopped, ///< Was started and then ended early, by a stop or a lapsed lease.
    NeverStarted, ///< Was not started, and any later start at this upstream is refused.
};

const char* toString(AttemptState);

/// The complete result of an attempt; partial results are discarded by the upstream edge.
struct TaskResult {
    bool succeeded { false };
    int status { 0 }; ///< HTTP status that the task returned; 0: none.
    std::string body;

    auto tie() const { return std::tie(succeeded, status, body); }
};

/// An upstream's report on one attempt.
struct AttemptStatus {
    AttemptId attempt;
    JobId job; ///< Empty for an urgent request.
    TeamId team;
    AttemptState state { AttemptState::Unknown };
    Resources resources; ///< Amount reserved for the attempt.
    Resources used; ///< Measured use; lags behind.
    Duration leaseLeft { 0 };
    TaskResult result; ///< Only if `state` is Ended.
};

// Commands from the core to an upstream.

/// Makes the upstream reject lower epochs for the shard from now on. The answer lists all its attempts.
struct UpstreamFence {
    UpstreamId upstream;
    std::string address;
    ShardIndex shard { 0 };
    Epoch epoch { 0 };
    InstanceId owner;
};

struct UpstreamStart {
    UpstreamId upstream;
    std::string address;
    ShardIndex shard { 0 };
    Epoch epoch { 0 };
    IncarnationId incarnation; ///< Any other incarnation of the upstream refuses the start.
    AttemptId attempt;
    JobId job;
    TeamId team;
    TaskSpec spec;
    Duration lease { 0 }; ///< The upstream ends the attempt this long after the start or the last renewal.
    bool waitForResult { false }; ///< Set for urgent work: the answer is sent at the end and holds the result.
    Duration timeout { 0 }; ///< Time limit of the call.
};

/// Renews leases, acknowledges results and queries attempt states, in one call.
struct UpstreamSync {
    UpstreamId upstream;
    std::string address;
    ShardIndex shard { 0 };
    Epoch epoch { 0 };
    IncarnationId incarnation;
    Duration lease { 0 };
    std::vector<AttemptId> renew;
    std::vector<AttemptId> acknowledge; ///< Attempts whose results the upstream may delete.
};

enum class StopMode {
    Stop, ///< Ends the attempt, or prevents it from ever starting.
    Checkpoint, ///< Lets the task save its state, then stops it.
    Throttle, ///< Lets the task continue more slowly.
};

const char* toString(StopMode);

/// Stops or throttles one attempt. The answer to StopMode::Stop is final: the attempt doesn't run after it.
struct UpstreamStop {
    UpstreamId upstream;
    std::string address;
    ShardIndex shard { 0 };
    Epoch epoch { 0 };
    IncarnationId incarnation;
    AttemptId attempt;
    StopMode mode { StopMode::Stop };
};

// Results from the upstream edge to the core.

enum class UpstreamOutcome {
    Ok,
    StaleEpoch, ///< The upstream was fenced at a higher epoch of the shard; nothing was done.
    WrongIncarnation, ///< The upstream has restarted; nothing was done.
    Refused, ///< The upstream refused the request, now and for good; nothing was done.
    Unreachable, ///< No connection; nothing was sent.
    Unknown, ///< Sent, but not answered completely; it may have taken effect.
};

const char* toString(UpstreamOutcome);

struct UpstreamFenceResult {
    UpstreamId upstream;
    ShardIndex shard { 0 };
    Epoch epoch { 0 };
    UpstreamOutcome outcome { UpstreamOutcome::Unknown };
    IncarnationId incarnation;
    std::vector<AttemptStatus> attempts;
};

struct UpstreamStartResult {
    UpstreamId upstream;
    AttemptId attempt;
    UpstreamOutcome outcome { UpstreamOutcome::Unknown };
    bool ended { false }; ///< The attempt has ended and `result` is set.
    TaskResult result;
    IncarnationId incarnation;
};

struct UpstreamSyncResult {
    UpstreamId upstream;
    ShardIndex shard { 0 };
    Epoch epoch { 0 };
    UpstreamOutcome outcome { UpstreamOutcome::Unknown };
    IncarnationId incarnation;
    std::vector<AttemptStatus> attempts; ///< The renewed attempts, and all ended ones that aren't acknowledged.
};

struct UpstreamStopResult {
    UpstreamId upstream;
    AttemptId attempt;
    UpstreamOutcome outcome { UpstreamOutcome::Unknown };
    AttemptStatus status; ///< Only if the outcome is Ok; its state is then Stopped, Ended or NeverStarted.
};

} // namespace crocuslever
