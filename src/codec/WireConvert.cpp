#include "src/codec/WireConvert.h"

#include <utility>

namespace crocuslever {

ShardIndex WireCheck::shard(std::uint32_t n)
{
    // Shard numbers index fixed-size tables, so values out of range must be rejected here.
    if (n < kShardCount)
        return n;
    fail("no such shard: " + std::to_string(n));
    return 0;
}

void WireCheck::fail(std::string problem)
{
    if (m_problem.empty())
        m_problem = std::move(problem);
}

void toWire(const Resources& resources, wire::Resources& out)
{
    out.set_milli_cpu(resources.milliCpu);
    out.set_memory_mb(resources.memoryMb);
    out.set_accelerators(resources.accelerators);
    out.set_slots(resources.slots);
}

Resources fromWire(const wire::Resources& in)
{
    return { in.milli_cpu(), in.memory_mb(), in.accelerators(), in.slots() };
}

void toWire(const TaskSpec& spec, wire::TaskSpec& out)
{
    out.set_kind(static_cast<std::uint32_t>(spec.kind));
    out.set_service(spec.service);
    out.set_idempotent(spec.idempotent);
    toWire(spec.resources, *out.mutable_resources());
    out.set_task_count(spec.taskCount);
    out.set_maximum_attempts(spec.maximumAttempts);
    out.set_run_time_us(spec.runTime.count());
    out.set_deadline_us(spec.deadline.count());
    out.set_body(spec.body);
}

TaskSpec fromWire(const wire::TaskSpec& in, WireCheck& check)
{
    TaskSpec spec;
    spec.kind = check.enumerator(in.kind(), WorkKind::Service, "kind");
    spec.service = in.service();
    spec.idempotent = in.idempotent();
    spec.resources = fromWire(in.resources());
    spec.taskCount = in.task_count();
    spec.maximumAttempts = in.maximum_attempts();
    spec.runTime = Duration(in.run_time_us());
    spec.deadline = Duration(in.deadline_us());
    spec.body = in.body();
    return spec;
}

void toWire(const TaskResult& result, wire::TaskResult& out)
{
    out.set_succeeded(result.succeeded);
    out.set_status(result.status);
    out.set_body(result.body);
}

TaskResult fromWire(const wire::TaskResult& in)
{
    return { in.succeeded(), in.status(), in.body() };
}

void toWire(const Assignment& assignment, wire::Assignment& out)
{
    out.set_attempt(assignment.attempt.value());
    out.set_upstream(assignment.upstream.value());
    out.set_domain(assignment.domain.value());
    out.set_incarnation(assignment.incarnation.value());
    out.set_shard(assignment.shard);
    out.set_epoch(assignment.epoch);
}

Assignment fromWire(const wire::Assignment& in, WireCheck& check)
{
    Assignment assignment;
    assignment.attempt = AttemptId(in.attempt());
    assignment.upstream = UpstreamId(in.upstream());
    assignment.domain = FailureDomainId(in.domain());
    assignment.incarnation = IncarnationId(in.incarnation());
    assignment.shard = check.shard(in.shard());
    assignment.epoch = in.epoch();
    return assignment;
}

void toWire(const TaskRecord& task, wire::TaskRecord& out)
{
    if (task.assignment)
        toWire(*task.assignment, *out.mutable_assignment());
    out.set_ended(task.ended);
    out.set_attempts_failed(task.attemptsFailed);
    for (const UpstreamId& id : task.failedOn)
        out.add_failed_on(id.value());
}

TaskRecord fromWire(const wire::TaskRecord& in, WireCheck& check)
{
    TaskRecord task;
    if (in.has_assignment())
        task.assignment = fromWire(in.assignment(), check);
    task.ended = in.ended();
    task.attemptsFailed = in.attempts_failed();
    for (const std::string& id : in.failed_on())
        task.failedOn.emplace_back(id);
    return task;
}

} // namespace crocuslever
