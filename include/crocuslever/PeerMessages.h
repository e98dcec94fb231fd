#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "crocuslever/CallerProtocol.h"
#include "crocuslever/Ids.h"
#include "crocuslever/Resources.h"
#include "crocuslever/TaskSpec.h"
#include "crocuslever/Time.h"
#include "crocuslever/UpstreamProtocol.h"

namespace crocuslever {

/// One team's use of the sender's upstreams and its demand there.
struct TeamUsage {
    TeamId team;
    int running { 0 }; ///< Tasks and urgent requests on the sender's upstreams.
    int waiting { 0 }; ///< Jobs queued at the sender.
    int grantWanted { 0 }; ///< Additional quota that the sender could use, in tasks.
    Resources used; ///< Resources charged on the sender's upstreams.

    auto tie() const { return std::tie(team, running, waiting, grantWanted, used); }
};

/// Sent to every peer a few times a second; a peer without recent heartbeats counts as down.
struct Heartbeat {
    SessionId session;
    std::uint64_t configurationRevision { 0 };
    bool storeReachable { false }; ///< The store answered within the last second or so.
    bool shuttingDown { false };
    Resources urgentRoom; ///< Free capacity of the sender's usable upstreams, urgent headroom included.
    Resources deferredRoom; ///< Free capacity of the sender's usable upstreams, urgent headroom excluded.
    Resources capacity; ///< Total capacity of the sender's upstreams.
    std::vector<TeamUsage> teams; ///< Sorted by team; teams without use or demand are left out.
    TimePoint sentAt; ///< On the sender's clock.
};

/// Asks a peer for its configuration document.
struct ConfigurationRequest { };

/// The configuration document as stored.
struct ConfigurationOffer {
    std::uint64_t revision { 0 };
    std::string document;
};

// Urgent requests: entry instance -> shard owner and back.

struct UrgentCall {
    CallId call { 0 };
    TeamId team;
    TaskSpec spec;
    Duration timeLeft { 0 }; ///< Time to the deadline when the call was sent.
    int tries { 0 }; ///< Earlier sends of the call, to this or other owners.
    /// Send time on the receiver's clock, estimated from its last heartbeat. Never later
    /// than the true time, so that a call delayed in transit is recognized as old.
    TimePoint sentAt;
};

struct UrgentAnswer {
    CallId call { 0 };
    CallerReply reply; ///< `reply.id` equals `call`.
};

// Jobs: entry instance -> owner of the job's shard and back.

struct JobCall {
    CallId call { 0 };
    TeamId team;
    std::variant<JobSubmission, JobQuery, JobCancellation> request;
};

struct JobAnswer {
    CallId call { 0 };
    CallerReply reply;
};

// Attempts: owner of the job's shard <-> owner of the upstream's shard.

/// Requests a reservation, which lasts until the attempt is started or released, or `holdFor` has passed.
struct ReserveRequest {
    AttemptId attempt;
    JobId job;
    TeamId team;
    TaskSpec spec; ///< The body is left out.
    std::vector<UpstreamId> avoid; ///< Excluded upstreams: the task failed there, or the job's other tasks run there.
    std::vector<FailureDomainId> avoidDomains; ///< Used only if no other domain has room (spreading).
    Duration holdFor { 0 }; ///< 0: the receiver's default.
};

struct ReserveAnswer {
    AttemptId attempt;
    JobId job;
    bool granted { false };
    RefusalReason reason { RefusalReason::None };
    UpstreamId upstream;
    FailureDomainId domain;
    IncarnationId incarnation;
    ShardIndex shard { 0 };
    Epoch epoch { 0 };
};

/// Starts a reserved attempt. Sent only once the assignment is durable.
struct StartRequest {
    AttemptId attempt;
    JobId job;
    TeamId team;
    TaskSpec spec;
    UpstreamId upstream;
    IncarnationId incarnation;
    Epoch epoch { 0 };
};

/// Cancels a reservation; ignored once the attempt was started.
struct ReleaseRequest {
    AttemptId attempt;
};

/// Queries the state of an attempt. With `stop`, the attempt is ended or prevented from
/// ever starting, so that the answer is final.
struct AttemptQuery {
    AttemptId attempt;
    JobId job;
    UpstreamId upstream;
    IncarnationId incarnation;
    bool stop { false };
};

/// Reports an attempt's state to the owner of the job's shard. A final state is reported
/// until it is acknowledged.
struct AttemptReport {
    AttemptId attempt;
    JobId job;
    TeamId team;
    UpstreamId upstream;
    AttemptState state { AttemptState::Unknown };
    bool upstreamGone { false }; ///< The upstream left the list for good, restarted, or let the lease lapse.
    TaskResult result; ///< Only if `state` is Ended.
};

/// The job's owner has stored the attempt's end durably, or doesn't know the attempt.
struct AttemptAcknowledge {
    AttemptId attempt;
};

using PeerMessage = std::variant<Heartbeat, ConfigurationRequest, ConfigurationOffer, UrgentCall, UrgentAnswer,
    JobCall, JobAnswer, ReserveRequest, ReserveAnswer, StartRequest, ReleaseRequest, AttemptQuery, AttemptReport,
    AttemptAcknowledge>;

} // namespace crocuslever
