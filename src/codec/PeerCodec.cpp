#include "src/codec/PeerCodec.h"

#include <utility>

#include "src/codec/WireConvert.h"
#include "src/codec/generated/peer.pb.h"

namespace crocuslever {

static void toWire(const CallerReply& reply, wire::CallerReply& out)
{
    out.set_id(reply.id);
    out.set_outcome(static_cast<std::uint32_t>(reply.outcome));
    out.set_reason(static_cast<std::uint32_t>(reply.reason));
    out.set_message(reply.message);
    out.set_retry_after_us(reply.retryAfter.count());
    out.set_job(reply.job.value());
    out.set_job_state(static_cast<std::uint32_t>(reply.jobState));
    out.set_status(reply.status);
    out.set_body(reply.body);
}

static CallerReply fromWire(const wire::CallerReply& in, WireCheck& check)
{
    CallerReply reply;
    reply.id = in.id();
    reply.outcome = check.enumerator(in.outcome(), CallOutcome::NotFound, "outcome");
    reply.reason = check.enumerator(in.reason(), RefusalReason::NotValid, "reason");
    reply.message = in.message();
    reply.retryAfter = Duration(in.retry_after_us());
    reply.job = JobId(in.job());
    reply.jobState = check.enumerator(in.job_state(), JobState::OutcomeUnknown, "job_state");
    reply.status = in.status();
    reply.body = in.body();
    return reply;
}

static void toWire(const TeamUsage& usage, wire::TeamUsage& out)
{
    out.set_team(usage.team.value());
    out.set_running(usage.running);
    out.set_waiting(usage.waiting);
    out.set_grant_wanted(usage.grantWanted);
    toWire(usage.used, *out.mutable_used());
}

static TeamUsage fromWire(const wire::TeamUsage& in)
{
    return { TeamId(in.team()), in.running(), in.waiting(), in.grant_wanted(), fromWire(in.used()) };
}

namespace {

/// Visitor that writes a message into the envelope's body.
struct BodyWriter {
    wire::PeerEnvelope& envelope;

    void operator()(const Heartbeat& m) const
    {
        wire::Heartbeat& out = *envelope.mutable_heartbeat();
        out.set_session(m.session.value());
        out.set_configuration_revision(m.configurationRevision);
        out.set_store_reachable(m.storeReachable);
        out.set_shutting_down(m.shuttingDown);
        toWire(m.urgentRoom, *out.mutable_urgent_room());
        toWire(m.deferredRoom, *out.mutable_deferred_room());
        toWire(m.capacity, *out.mutable_capacity());
        for (const TeamUsage& usage : m.teams)
            toWire(usage, *out.add_teams());
        out.set_sent_at_us(m.sentAt.time_since_epoch().count());
    }

    void operator()(const ConfigurationRequest&) const { envelope.mutable_configuration_request(); }

    void operator()(const ConfigurationOffer& m) const
    {
        wire::ConfigurationOffer& out = *envelope.mutable_configuration_offer();
        out.set_revision(m.revision);
        out.set_document(m.document);
    }

    void operator()(const UrgentCall& m) const
    {
        wire::UrgentCall& out = *envelope.mutable_urgent_call();
        out.set_call(m.call);
        out.set_team(m.team.value());
        toWire(m.spec, *out.mutable_spec());
        out.set_time_left_us(m.timeLeft.count());
        out.set_tries(m.tries);
        out.set_sent_at_us(m.sentAt.time_since_epoch().count());
    }

    void operator()(const UrgentAnswer& m) const
    {
        wire::UrgentAnswer& out = *envelope.mutable_urgent_answer();
        out.set_call(m.call);
        toWire(m.reply, *out.mutable_reply());
    }

    void operator()(const JobCall& m) const
    {
        wire::JobCall& out = *envelope.mutable_job_call();
        out.set_call(m.call);
        out.set_team(m.team.value());
        if (const JobSubmission* submission = std::get_if<JobSubmission>(&m.request)) {
            out.mutable_submission()->set_idempotency_id(submission->idempotencyId);
            toWire(submission->spec, *out.mutable_submission()->mutable_spec());
        } else if (const JobQuery* query = std::get_if<JobQuery>(&m.request)) {
            out.mutable_query()->set_job(query->job.value());
            out.mutable_query()->set_want_result(query->wantResult);
        } else if (const JobCancellation* cancellation = std::get_if<JobCancellation>(&m.request))
            out.mutable_cancellation()->set_job(cancellation->job.value());
    }

    void operator()(const JobAnswer& m) const
    {
        wire::JobAnswer& out = *envelope.mutable_job_answer();
        out.set_call(m.call);
        toWire(m.reply, *out.mutable_reply());
    }

    void operator()(const ReserveRequest& m) const
    {
        wire::ReserveRequest& out = *envelope.mutable_reserve_request();
        out.set_attempt(m.attempt.value());
        out.set_job(m.job.value());
        out.set_team(m.team.value());
        toWire(m.spec, *out.mutable_spec());
        out.mutable_spec()->clear_body();
        for (const UpstreamId& id : m.avoid)
            out.add_avoid(id.value());
        for (const FailureDomainId& id : m.avoidDomains)
            out.add_avoid_domains(id.value());
        out.set_hold_for_us(m.holdFor.count());
    }

    void operator()(const ReserveAnswer& m) const
    {
        wire::ReserveAnswer& out = *envelope.mutable_reserve_answer();
        out.set_attempt(m.attempt.value());
        out.set_job(m.job.value());
        out.set_granted(m.granted);
        out.set_reason(static_cast<std::uint32_t>(m.reason));
        out.set_upstream(m.upstream.value());
        out.set_domain(m.domain.value());
        out.set_incarnation(m.incarnation.value());
        out.set_shard(m.shard);
        out.set_epoch(m.epoch);
    }

    void operator()(const StartRequest& m) const
    {
        wire::StartRequest& out = *envelope.mutable_start_request();
        out.set_attempt(m.attempt.value());
        out.set_job(m.job.value());
        out.set_team(m.team.value());
        toWire(m.spec, *out.mutable_spec());
        out.set_upstream(m.upstream.value());
        out.set_incarnation(m.incarnation.value());
        out.set_epoch(m.epoch);
    }

    void operator()(const ReleaseRequest& m) const { envelope.mutable_release_request()->set_attempt(m.attempt.value()); }

    void operator()(const AttemptQuery& m) const
    {
        wire::AttemptQuery& out = *envelope.mutable_attempt_query();
        out.set_attempt(m.attempt.value());
        out.set_job(m.job.value());
        out.set_upstream(m.upstream.value());
        out.set_incarnation(m.incarnation.value());
        out.set_stop(m.stop);
    }

    void operator()(const AttemptReport& m) const
    {
        wire::AttemptReport& out = *envelope.mutable_attempt_report();
        out.set_attempt(m.attempt.value());
        out.set_job(m.job.value());
        out.set_team(m.team.value());
        out.set_upstream(m.upstream.value());
        out.set_state(static_cast<std::uint32_t>(m.state));
        out.set_upstream_gone(m.upstreamGone);
        toWire(m.result, *out.mutable_result());
    }

    void operator()(const AttemptAcknowledge& m) const
    {
        envelope.mutable_attempt_acknowledge()->set_attempt(m.attempt.value());
    }
};

} // namespace

std::string encodePeerMessage(const PeerMessage& message)
{
    wire::PeerEnvelope envelope;
    envelope.set_version(kPeerProtocolVersion);
    std::visit(BodyWriter { envelope }, message);
    return envelope.SerializeAsString();
}

static Heartbeat fromWire(const wire::Heartbeat& in, WireCheck&)
{
    Heartbeat m;
    m.session = SessionId(in.session());
    m.configurationRevision = in.configuration_revision();
    m.storeReachable = in.store_reachable();
    m.shuttingDown = in.shutting_down();
    m.urgentRoom = fromWire(in.urgent_room());
    m.deferredRoom = fromWire(in.deferred_room());
    m.capacity = fromWire(in.capacity());
    for (const wire::TeamUsage& usage : in.teams())
        m.teams.push_back(fromWire(usage));
    m.sentAt = TimePoint(Duration(in.sent_at_us()));
    return m;
}

static ConfigurationRequest fromWire(const wire::ConfigurationRequest&, WireCheck&) { return {}; }

static ConfigurationOffer fromWire(const wire::ConfigurationOffer& in, WireCheck&)
{
    return { in.revision(), in.document() };
}

static UrgentCall fromWire(const wire::UrgentCall& in, WireCheck& check)
{
    UrgentCall m;
    m.call = in.call();
    m.team = TeamId(in.team());
    m.spec = fromWire(in.spec(), check);
    m.timeLeft = Duration(in.time_left_us());
    m.tries = in.tries();
    m.sentAt = TimePoint(Duration(in.sent_at_us()));
    return m;
}

static UrgentAnswer fromWire(const wire::UrgentAnswer& in, WireCheck& check)
{
    return { in.call(), fromWire(in.reply(), check) };
}

static JobCall fromWire(const wire::JobCall& in, WireCheck& check)
{
    JobCall m;
    m.call = in.call();
    m.team = TeamId(in.team());
    if (in.has_submission())
        m.request = JobSubmission { in.submission().idempotency_id(), fromWire(in.submission().spec(), check) };
    else if (in.has_query())
        m.request = JobQuery { JobId(in.query().job()), in.query().want_result() };
    else if (in.has_cancellation())
        m.request = JobCancellation { JobId(in.cancellation().job()) };
    else
        check.fail("job call without a request");
    return m;
}

static JobAnswer fromWire(const wire::JobAnswer& in, WireCheck& check)
{
    return { in.call(), fromWire(in.reply(), check) };
}

static ReserveRequest fromWire(const wire::ReserveRequest& in, WireCheck& check)
{
    ReserveRequest m;
    m.attempt = AttemptId(in.attempt());
    m.job = JobId(in.job());
    m.team = TeamId(in.team());
    m.spec = fromWire(in.spec(), check);
    for (const std::string& id : in.avoid())
        m.avoid.emplace_back(id);
    for (const std::string& id : in.avoid_domains())
        m.avoidDomains.emplace_back(id);
    m.holdFor = Duration(in.hold_for_us());
    return m;
}

static ReserveAnswer fromWire(const wire::ReserveAnswer& in, WireCheck& check)
{
    ReserveAnswer m;
    m.attempt = AttemptId(in.attempt());
    m.job = JobId(in.job());
    m.granted = in.granted();
    m.reason = check.enumerator(in.reason(), RefusalReason::NotValid, "reason");
    m.upstream = UpstreamId(in.upstream());
    m.domain = FailureDomainId(in.domain());
    m.incarnation = IncarnationId(in.incarnation());
    m.shard = check.shard(in.shard());
    m.epoch = in.epoch();
    return m;
}

static StartRequest fromWire(const wire::StartRequest& in, WireCheck& check)
{
    StartRequest m;
    m.attempt = AttemptId(in.attempt());
    m.job = JobId(in.job());
    m.team = TeamId(in.team());
    m.spec = fromWire(in.spec(), check);
    m.upstream = UpstreamId(in.upstream());
    m.incarnation = IncarnationId(in.incarnation());
    m.epoch = in.epoch();
    return m;
}

static ReleaseRequest fromWire(const wire::ReleaseRequest& in, WireCheck&) { return { AttemptId(in.attempt()) }; }

static AttemptQuery fromWire(const wire::AttemptQuery& in, WireCheck&)
{
    AttemptQuery m;
    m.attempt = AttemptId(in.attempt());
    m.job = JobId(in.job());
    m.upstream = UpstreamId(in.upstream());
    m.incarnation = IncarnationId(in.incarnation());
    m.stop = in.stop();
    return m;
}

static AttemptReport fromWire(const wire::AttemptReport& in, WireCheck& check)
{
    AttemptReport m;
    m.attempt = AttemptId(in.attempt());
    m.job = JobId(in.job());
    m.team = TeamId(in.team());
    m.upstream = UpstreamId(in.upstream());
    m.state = check.enumerator(in.state(), AttemptState::NeverStarted, "state");
    m.upstreamGone = in.upstream_gone();
    m.result = fromWire(in.result());
    return m;
}

static AttemptAcknowledge fromWire(const wire::AttemptAcknowledge& in, WireCheck&) { return { AttemptId(in.attempt()) }; }

static PeerMessage bodyFromWire(const wire::PeerEnvelope& in, WireCheck& check)
{
    switch (in.body_case()) {
    case wire::PeerEnvelope::kHeartbeat:
        return fromWire(in.heartbeat(), check);
    case wire::PeerEnvelope::kConfigurationRequest:
        return fromWire(in.configuration_request(), check);
    case wire::PeerEnvelope::kConfigurationOffer:
        return fromWire(in.configuration_offer(), check);
    case wire::PeerEnvelope::kUrgentCall:
        return fromWire(in.urgent_call(), check);
    case wire::PeerEnvelope::kUrgentAnswer:
        return fromWire(in.urgent_answer(), check);
    case wire::PeerEnvelope::kJobCall:
        return fromWire(in.job_call(), check);
    case wire::PeerEnvelope::kJobAnswer:
        return fromWire(in.job_answer(), check);
    case wire::PeerEnvelope::kReserveRequest:
        return fromWire(in.reserve_request(), check);
    case wire::PeerEnvelope::kReserveAnswer:
        return fromWire(in.reserve_answer(), check);
    case wire::PeerEnvelope::kStartRequest:
        return fromWire(in.start_request(), check);
    case wire::PeerEnvelope::kReleaseRequest:
        return fromWire(in.release_request(), check);
    case wire::PeerEnvelope::kAttemptQuery:
        return fromWire(in.attempt_query(), check);
    case wire::PeerEnvelope::kAttemptReport:
        return fromWire(in.attempt_report(), check);
    case wire::PeerEnvelope::kAttemptAcknowledge:
        return fromWire(in.attempt_acknowledge(), check);
    case wire::PeerEnvelope::BODY_NOT_SET:
        break;
    }
    check.fail("message without a body, or with a body of unknown type");
    return ConfigurationRequest {};
}

static Error decodeError(std::string message)
{
    return Error { ErrorCode::InvalidInput, "codec.decode_peer", "", std::move(message) };
}

Result<PeerMessage> decodePeerMessage(const std::string& bytes)
{
    wire::PeerEnvelope in;
    if (!in.ParseFromString(bytes))
        return decodeError("malformed or truncated peer message");
    if (in.version() != kPeerProtocolVersion)
        return decodeError("unsupported peer protocol version " + std::to_string(in.version()) + ", expected " + std::to_string(kPeerProtocolVersion));
    WireCheck check;
    PeerMessage message = bodyFromWire(in, check);
    if (!check.ok())
        return decodeError(check.problem());
    return message;
}

} // namespace crocuslever
