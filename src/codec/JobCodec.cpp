#include "src/codec/RecordCodec.h"

#include "src/codec/WireConvert.h"

namespace crocuslever {

/// Format of job records. Records of any other format are refused.
static constexpr std::uint32_t kJobFormat = 1;

std::string encodeJob(const JobRecord& job)
{
    wire::JobRecord out;
    out.set_id(job.id.value());
    out.set_team(job.team.value());
    out.set_idempotency_id(job.idempotencyId);
    toWire(job.spec, *out.mutable_spec());
    // The body never changes, so it is not rewritten with each change of state.
    out.mutable_spec()->clear_body();
    out.set_submitted_at_ms(job.submittedAtMs);
    out.set_ended_at_ms(job.endedAtMs);
    out.set_state(static_cast<std::uint32_t>(job.state));
    out.set_reason(static_cast<std::uint32_t>(job.reason));
    out.set_cancel_requested(job.cancelRequested);
    for (const TaskRecord& task : job.tasks)
        toWire(task, *out.add_tasks());
    toWire(job.result, *out.mutable_result());
    out.set_next_attempt(job.nextAttempt);
    out.set_format(kJobFormat);
    return out.SerializeAsString();
}

static JobRecord jobFromWire(const wire::JobRecord& in, WireCheck& check)
{
    JobRecord job;
    job.id = JobId(in.id());
    job.team = TeamId(in.team());
    job.idempotencyId = in.idempotency_id();
    job.spec = fromWire(in.spec(), check);
    job.submittedAtMs = in.submitted_at_ms();
    job.endedAtMs = in.ended_at_ms();
    job.state = check.enumerator(in.state(), JobState::OutcomeUnknown, "state");
    job.reason = check.enumerator(in.reason(), RefusalReason::NotValid, "reason");
    job.cancelRequested = in.cancel_requested();
    for (const wire::TaskRecord& task : in.tasks())
        job.tasks.push_back(fromWire(task, check));
    job.result = fromWire(in.result());
    job.nextAttempt = in.next_attempt();
    return job;
}

static Error decodeError(std::string message)
{
    return Error { ErrorCode::InvalidInput, "codec.decode_job", "", std::move(message) };
}

Result<JobRecord> decodeJob(const std::string& bytes)
{
    wire::JobRecord in;
    if (!in.ParseFromString(bytes))
        return decodeError("malformed job record");
    if (in.format() == 0)
        return decodeError("truncated job record");
    if (in.format() != kJobFormat)
        return decodeError("unsupported job record format " + std::to_string(in.format()));
    WireCheck check;
    JobRecord job = jobFromWire(in, check);
    if (!check.ok())
        return decodeError(check.problem());
    return job;
}

} // namespace crocuslever
