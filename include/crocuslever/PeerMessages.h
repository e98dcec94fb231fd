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

/// What one instance runs and wants for one team.
struct TeamUsage {
    TeamId team;
    int running { 0 }; ///< On the sender's upstreams.
    int waiting { 0 }; ///< Jobs queued at the sender.
    int grantWanted { 0 }; ///< More of the upper limit than it has.
    Resources used;

    auto tie() const { return std::tie(team, running, waiting, grantWanted, used); }
};

/// Sent to every peer a few times a second; also how a peer is known to be up.
struct Heartbeat {
    SessionId session;
    std::uint64_t configurationRevision { 0 };
    bool storeReachable { false }; ///< Had an answer within the last second or so.
    bool shuttingDown { false };
    Resources urgentRoom; ///< Sum over its usable upstreams, headroom included.
    Resources deferredRoom; ///< Sum over its usable upstreams, headroom left out.
    Resources capacity; ///< Sum over its upstreams.
    std::vector<TeamUsage> teams; ///< Only those with something to say.
    TimePoint sentAt; ///< By the sender's clock.
};

struct ConfigurationRequest { };

/// The configuration document as the store holds it.
struct ConfigurationOffer {
    std::uint64_t revision { 0 };
    std::string document;
};

// Urgent requests: entry instance -> shard owner and back.

struct UrgentCall {
    CallId call { 0 };
    TeamId team;
    TaskSpec spec;
    Duration timeLeft { 0 };
    int tries { 0 }; ///< How many owners have refused it.
    /// By the receiver's clock, reckoned from its last heartbeat: never later than
    /// the true time, so that a call held up on the way shows its age.
    TimePoint sentAt;
};

struct UrgentAnswer {
    CallId call { 0 };
    CallerReply reply; ///< Its `id` is the entry instance's call.
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

/// Asks for room; held until started, released or `holdFor` has passed.
struct ReserveRequest {
    AttemptId attempt;
    JobId job;
    TeamId team;
    TaskSpec spec; ///< Without its body.
    std::vector<UpstreamId> avoid; ///< Where it failed before, or its siblings run.
    std::vector<FailureDomainId> avoidDomains; ///< Preferably not there (spreading).
    Duration holdFor { 0 };
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

/// Starts a reserved attempt; its assignment is durable by now.
struct StartRequest {
    AttemptId attempt;
    JobId job;
    TeamId team;
    TaskSpec spec;
    UpstreamId upstream;
    IncarnationId incarnation;
    Epoch epoch { 0 };
};

struct ReleaseRequest {
    AttemptId attempt;
};

/// Asks what became of an attempt. With `stop`, ends it or makes sure that it
/// never starts, so that the answer is final.
struct AttemptQuery {
    AttemptId attempt;
    JobId job;
    UpstreamId upstream;
    IncarnationId incarnation;
    bool stop { false };
};

/// News of an attempt, to the owner of the job's shard. Repeated until it is
/// acknowledged, when final.
struct AttemptReport {
    AttemptId attempt;
    JobId job;
    TeamId team;
    UpstreamId upstream;
    AttemptState state { AttemptState::Unknown };
    bool upstreamGone { false }; ///< Left the list for good, or is another incarnation.
    TaskResult result; ///< When ended.
};

/// The job's owner has made the end durable (or doesn't know the attempt).
struct AttemptAcknowledge {
    AttemptId attempt;
};

using PeerMessage = std::variant<Heartbeat, ConfigurationRequest, ConfigurationOffer, UrgentCall, UrgentAnswer,
    JobCall, JobAnswer, ReserveRequest, ReserveAnswer, StartRequest, ReleaseRequest, AttemptQuery, AttemptReport,
    AttemptAcknowledge>;

} // namespace crocuslever
