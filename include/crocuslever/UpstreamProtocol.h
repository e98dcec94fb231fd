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

/// One row of the platform's lagging list of instances.
struct UpstreamDescription {
    UpstreamId id;
    std::string address; ///< "IP:port"
    FailureDomainId domain;
    RackId rack;
    Resources capacity;
    int connections { 0 }; ///< How many may be open to it in all.
    bool leaving { false };

    auto tie() const { return std::tie(id, address, domain, rack, capacity, connections, leaving); }
};

struct UpstreamListUpdate {
    std::vector<UpstreamDescription> upstreams;
};

/// An attempt as the upstream sees it.
enum class AttemptState {
    Unknown, ///< The upstream has never heard of it.
    Running,
    Ended, ///< Ran to its end, with success or not; the result is kept until acknowledged.
    Stopped, ///< Was started, and was ended before its end: by a stop or a lapsed lease.
    NeverStarted, ///< Was not started and never will be here: refused for good.
};

const char* toString(AttemptState);

/// What an attempt gave. Only complete results get this far.
struct TaskResult {
    bool succeeded { false };
    int status { 0 }; ///< HTTP status that the task gave, or 0.
    std::string body;

    auto tie() const { return std::tie(succeeded, status, body); }
};

/// How an upstream reports an attempt that it knows of.
struct AttemptStatus {
    AttemptId attempt;
    JobId job; ///< Empty for an urgent request.
    TeamId team;
    AttemptState state { AttemptState::Unknown };
    Resources resources;
    Resources used; ///< Measured, lagging.
    Duration leaseLeft { 0 };
    TaskResult result; ///< When ended.
};

// Commands: what the core asks of an upstream.

/// Raises the epoch that the upstream accepts for the shard; returns all its attempts.
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
    IncarnationId incarnation; ///< Another incarnation refuses it.
    AttemptId attempt;
    JobId job;
    TeamId team;
    TaskSpec spec;
    Duration lease { 0 }; ///< Without a renewal the upstream ends the attempt after this.
    bool waitForResult { false }; ///< Urgent: the answer carries the result.
    Duration timeout { 0 };
};

/// Renews leases, acknowledges results and asks for news, in one call.
struct UpstreamSync {
    UpstreamId upstream;
    std::string address;
    ShardIndex shard { 0 };
    Epoch epoch { 0 };
    IncarnationId incarnation;
    Duration lease { 0 };
    std::vector<AttemptId> renew;
    std::vector<AttemptId> acknowledge; ///< Their results may be forgotten.
};

enum class StopMode {
    Stop, ///< Ends it, or makes sure that it never starts.
    Checkpoint, ///< Saves its state, then stops.
    Throttle, ///< Goes on more slowly.
};

const char* toString(StopMode);

/// Acts on one attempt. With Stop the answer is final: it never runs after it.
struct UpstreamStop {
    UpstreamId upstream;
    std::string address;
    ShardIndex shard { 0 };
    Epoch epoch { 0 };
    IncarnationId incarnation;
    AttemptId attempt;
    StopMode mode { StopMode::Stop };
};

// Results: what the upstream edge reports to the core.

enum class UpstreamOutcome {
    Ok,
    StaleEpoch, ///< A higher epoch has fenced the shard here: nothing was done.
    WrongIncarnation, ///< The upstream restarted: nothing was done.
    Refused, ///< It answered that it did not do it, and never will for this attempt.
    Unreachable, ///< No connection: nothing was sent.
    Unknown, ///< Sent, but no whole answer.
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
    bool ended { false }; ///< The result is in `result`.
    TaskResult result;
    IncarnationId incarnation;
};

struct UpstreamSyncResult {
    UpstreamId upstream;
    ShardIndex shard { 0 };
    Epoch epoch { 0 };
    UpstreamOutcome outcome { UpstreamOutcome::Unknown };
    IncarnationId incarnation;
    std::vector<AttemptStatus> attempts; ///< Of those renewed, and all that ended unacknowledged.
};

struct UpstreamStopResult {
    UpstreamId upstream;
    AttemptId attempt;
    UpstreamOutcome outcome { UpstreamOutcome::Unknown };
    AttemptStatus status; ///< When Ok: Stopped, Ended or NeverStarted.
};

} // namespace crocuslever
