#include "src/cell/RecordCodec.h"

#include <charconv>

#include "cell.pb.h"

namespace crocuslever::cell {

namespace wire = crocuslever::cellwire;

static constexpr char kMilliSuffix = 'm';

static void encodeStep(const StepSpec& step, wire::Step& out)
{
    out.set_count(step.count);
    out.set_milli_cpu(step.each.milliCpu);
    out.set_memory_mb(step.each.memoryMb);
    out.set_accelerators(step.each.accelerators);
    out.set_estimate_ms(toMilliseconds(step.estimate));
    for (int earlier : step.after)
        out.add_after(earlier);
    out.set_checkpoints(step.checkpoints);
    out.set_gang(step.gang);
    out.set_colocate(step.colocate);
    out.set_duplicates_allowed(step.duplicatesAllowed);
    out.set_lasting(step.isLongRunning);
    out.set_fills(step.isBestEffort);
    out.set_required_label(step.requiredLabel);
    out.set_data_rack(step.dataRack);
    out.set_most_per_upstream(step.maximumPerUpstream);
    out.set_image(step.image);
    out.set_tail_target_ms(toMilliseconds(step.tailTarget));
    out.set_most_unavailable(step.maximumUnavailable);
}

static StepSpec decodeStep(const wire::Step& in)
{
    StepSpec step;
    step.count = in.count();
    step.each = { in.milli_cpu(), in.memory_mb(), in.accelerators(), 0 };
    step.estimate = fromMilliseconds(in.estimate_ms());
    step.after.assign(in.after().begin(), in.after().end());
    step.checkpoints = in.checkpoints();
    step.gang = in.gang();
    step.colocate = in.colocate();
    step.duplicatesAllowed = in.duplicates_allowed();
    step.isLongRunning = in.lasting();
    step.isBestEffort = in.fills();
    step.requiredLabel = in.required_label();
    step.dataRack = in.data_rack();
    step.maximumPerUpstream = in.most_per_upstream();
    step.image = in.image();
    step.tailTarget = fromMilliseconds(in.tail_target_ms());
    step.maximumUnavailable = in.most_unavailable();
    return step;
}

std::string encodeJob(const JobRecord& job)
{
    wire::Job out;
    out.set_id(job.id);
    out.set_route(job.route);
    out.set_team(job.team);
    out.set_accepted_ms(job.acceptedMs);
    out.set_payload(job.spec.payload);
    for (const StepSpec& step : job.spec.steps)
        encodeStep(step, *out.add_steps());
    out.set_occurrences(job.spec.occurrences);
    out.set_first_due_ms(job.spec.firstDueMs);
    out.set_interval_ms(job.spec.intervalMs);
    out.set_attempts(job.attempts);
    return out.SerializeAsString();
}

std::optional<JobRecord> decodeJob(const std::string& bytes)
{
    wire::Job in;
    if (!in.ParseFromString(bytes) || in.id().empty())
        return std::nullopt;
    JobRecord job;
    job.id = in.id();
    job.route = in.route();
    job.team = in.team();
    job.acceptedMs = in.accepted_ms();
    job.spec.payload = in.payload();
    for (const wire::Step& step : in.steps())
        job.spec.steps.push_back(decodeStep(step));
    job.spec.occurrences = in.occurrences();
    job.spec.firstDueMs = in.first_due_ms();
    job.spec.intervalMs = in.interval_ms();
    job.attempts = in.attempts();
    return job;
}

std::string encodeProgress(const JobProgress& progress)
{
    wire::JobProgress out;
    out.set_completed_below(progress.completed.below);
    for (int occurrence : progress.completed.others)
        out.add_completed_others(occurrence);
    for (const TaskProgress& task : progress.tasks) {
        wire::TaskProgress& row = *out.add_tasks();
        row.set_occurrence(task.occurrence);
        row.set_step(task.step);
        row.set_index(task.index);
        row.set_done(task.done);
        for (int run : task.failedRuns)
            row.add_failed_runs(run);
        row.set_last_run(task.lastRun);
        row.set_checkpoint(task.checkpoint);
        for (int run : task.crashes.all)
            row.add_crashed_runs(run);
        for (int run : task.crashes.sudden)
            row.add_suddenly_crashed_runs(run);
    }
    return out.SerializeAsString();
}

std::optional<JobProgress> decodeProgress(const std::string& bytes)
{
    wire::JobProgress in;
    if (!in.ParseFromString(bytes))
        return std::nullopt;
    JobProgress progress;
    progress.completed = { in.completed_below(), { in.completed_others().begin(), in.completed_others().end() } };
    for (const wire::TaskProgress& row : in.tasks()) {
        std::set<int> failedRuns(row.failed_runs().begin(), row.failed_runs().end());
        CrashedRuns crashes { { row.crashed_runs().begin(), row.crashed_runs().end() }, { row.suddenly_crashed_runs().begin(), row.suddenly_crashed_runs().end() } };
        progress.tasks.push_back({ row.occurrence(), row.step(), row.index(), row.done(), std::move(failedRuns), row.last_run(), row.checkpoint(), std::move(crashes) });
    }
    return progress;
}

std::string encodeOwner(const OwnerRecord& owner)
{
    wire::Owner out;
    out.set_instance(owner.instance);
    out.set_address(owner.address);
    out.set_incarnation(owner.incarnation);
    out.set_token(owner.token);
    out.set_is_settled(owner.isSettled);
    out.set_turned_away_thousandths(owner.admission.turnedAwayThousandths);
    out.set_backlog_ms(toMilliseconds(owner.admission.backlog));
    return out.SerializeAsString();
}

std::optional<OwnerRecord> decodeOwner(const std::string& bytes)
{
    wire::Owner in;
    if (!in.ParseFromString(bytes))
        return std::nullopt;
    AdmissionLimit admission { in.turned_away_thousandths(), fromMilliseconds(in.backlog_ms()) };
    return OwnerRecord { in.instance(), in.address(), in.incarnation(), in.token(), 0, in.is_settled(), admission };
}

std::string encodeProcessorShare(std::int64_t milliCpu) { return std::to_string(milliCpu) + kMilliSuffix; }

std::int64_t decodeProcessorShare(const std::string& text)
{
    std::int64_t milliCpu = 0;
    const char* end = text.data() + text.size();
    std::from_chars_result parsed = std::from_chars(text.data(), end, milliCpu);
    bool isValid = parsed.ec == std::errc() && milliCpu > 0 && parsed.ptr + 1 == end && *parsed.ptr == kMilliSuffix;
    return isValid ? milliCpu : 0;
}

std::string encodeInstance(const InstanceRecord& instance)
{
    wire::Instance out;
    out.set_address(instance.address);
    out.set_incarnation(instance.incarnation);
    out.set_milli_cpu(instance.milliCpu);
    out.set_domain(instance.domain);
    return out.SerializeAsString();
}

std::optional<InstanceRecord> decodeInstance(const std::string& bytes)
{
    wire::Instance in;
    if (!in.ParseFromString(bytes))
        return std::nullopt;
    return InstanceRecord { in.address(), in.incarnation(), in.milli_cpu(), in.domain() };
}

std::string encodeUpstreams(const std::vector<UpstreamTarget>& targets)
{
    wire::KnownUpstreams out;
    for (const UpstreamTarget& target : targets) {
        wire::Upstream& row = *out.add_upstreams();
        row.set_id(target.id);
        row.set_address(target.address);
        row.set_born_ms(target.bornMs);
    }
    return out.SerializeAsString();
}

std::optional<std::vector<UpstreamTarget>> decodeUpstreams(const std::string& bytes)
{
    wire::KnownUpstreams in;
    if (!in.ParseFromString(bytes))
        return std::nullopt;
    std::vector<UpstreamTarget> targets;
    for (const wire::Upstream& row : in.upstreams())
        targets.push_back({ row.id(), row.address(), row.born_ms() });
    return targets;
}

} // namespace crocuslever::cell
