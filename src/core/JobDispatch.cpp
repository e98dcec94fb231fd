// Selects the next job to reserve for, and the owner to request the reservation from.

#include <algorithm>

#include "src/core/DominantShare.h"
#include "src/core/Escrow.h"
#include "src/core/JobSteps.h"
#include "src/core/Jobs.h"
#include "src/core/Ownership.h"
#include "src/core/Peers.h"

namespace crocuslever {

/// Bounds on the reservation requests in flight and on the jobs served per tick. Answers arrive
/// within milliseconds.
static constexpr int kMaximumRequestsInFlight = 256;
static constexpr int kMaximumJobsPerTick = 128;
/// A reservation request is abandoned after this long without an answer.
static constexpr Duration kReservationTimeout = std::chrono::seconds(1);
static constexpr Duration kTeamBackoff = std::chrono::milliseconds(100);
static constexpr Duration kInitialBackoff = std::chrono::milliseconds(20);
static constexpr Duration kMaximumBackoff = std::chrono::milliseconds(1000);
/// Backfill: how many of a team's oldest jobs are tried per round when the first does not fit.
static constexpr int kBackfillDepth = 8;

bool needsReservation(const JobRow& job)
{
    if (isFinal(job.record.state) || job.record.cancelRequested)
        return false;
    for (std::size_t i = 0; i < job.record.tasks.size(); ++i) {
        const TaskRecord& task = job.record.tasks[i];
        if (!task.assignment && !task.ended && !job.progress[i].reserved && job.progress[i].requestedAttempt.isEmpty())
            return true;
    }
    return false;
}

void enqueueForReservation(CoreState& state, JobRow& job)
{
    state.jobSchedule.waiting[job.record.team].insert({ job.record.submittedAtMs, job.record.id });
}

void dequeueForReservation(CoreState& state, JobRow& job)
{
    auto it = state.jobSchedule.waiting.find(job.record.team);
    if (it == state.jobSchedule.waiting.end())
        return;
    it->second.erase({ job.record.submittedAtMs, job.record.id });
    if (it->second.empty())
        state.jobSchedule.waiting.erase(it);
}

static void releaseReservation(CoreState& state, JobRow::TaskProgress& progress, Actions& actions)
{
    if (!progress.requestedAttempt.isEmpty()) {
        sendToPeer(state, progress.requestedFrom, ReleaseRequest { progress.requestedAttempt }, actions);
        progress.requestedAttempt = AttemptId();
        --state.jobSchedule.requestsInFlight;
    }
    if (progress.reserved) {
        InstanceId owner = currentOwner(state, progress.reserved->shard);
        if (!owner.isEmpty())
            sendToPeer(state, owner, ReleaseRequest { progress.reserved->attempt }, actions);
        progress.reserved.reset();
    }
}

void releaseReservations(CoreState& state, JobRow& job, Actions& actions)
{
    for (JobRow::TaskProgress& progress : job.progress)
        releaseReservation(state, progress, actions);
}

static Duration backoffDelay(CoreState& state, int refusals)
{
    int doublings = std::min(refusals, 6);
    Duration longest = std::min(kMaximumBackoff, kInitialBackoff * (1 << doublings));
    // Jitter between half and all of the backoff, so that jobs refused together do not retry
    // together.
    std::int64_t half = longest.count() / 2;
    return Duration(half + static_cast<std::int64_t>(nextRandom(state) % static_cast<std::uint64_t>(half + 1)));
}

// Choosing an owner.

static bool hasCapacityFor(const CoreState& state, const MemberRow& member, const Resources& resources, TimePoint now)
{
    return isPeerUp(state, member.record.id, now) && member.heard && !member.heartbeat.shuttingDown
        && resources.fitsIn(member.heartbeat.deferredRoom);
}

/// Power of two choices: the one with more free slots of two random owners. Prefers owners that
/// have some of the team's grant left. Null if no owner has free capacity.
static MemberRow* chooseOwner(CoreState& state, const TeamId& team, const TaskSpec& spec, TimePoint now)
{
    std::vector<MemberRow*> eligible;
    std::vector<MemberRow*> granted;
    for (auto& [id, member] : state.members) {
        if (!hasCapacityFor(state, member, spec.resources, now))
            continue;
        eligible.push_back(&member);
        if (availableGrantAt(state, member, team) > 0)
            granted.push_back(&member);
    }
    if (eligible.empty())
        return nullptr;
    if (!granted.empty())
        eligible = std::move(granted);
    MemberRow* a = eligible[nextRandom(state) % eligible.size()];
    MemberRow* b = eligible[nextRandom(state) % eligible.size()];
    return a->heartbeat.deferredRoom.slots >= b->heartbeat.deferredRoom.slots ? a : b;
}

static std::vector<FailureDomainId> listedDomains(const CoreState& state)
{
    std::set<FailureDomainId> domains;
    for (const auto& [id, row] : state.upstreams) {
        if (row.listed && !state.configuration.current->isDomainOut(row.description.domain))
            domains.insert(row.description.domain);
    }
    return { domains.begin(), domains.end() };
}

/// All listed failure domains but the task's preferred one; empty for batch jobs. The tasks of a gang
/// or service are spread round-robin over the domains, starting at an offset derived from the job
/// id, so that the loss of one domain affects as few of them as possible. (Rack-alternating
/// assignment, KIP-36.)
static std::vector<FailureDomainId> domainsToAvoid(const CoreState& state, const JobRow& job, std::size_t task)
{
    if (job.record.spec.kind == WorkKind::Batch)
        return {};
    std::vector<FailureDomainId> domains = listedDomains(state);
    if (domains.size() < 2)
        return {};
    std::size_t preferred = (stableHash(job.record.id.value()) + task) % domains.size();
    domains.erase(domains.begin() + static_cast<std::ptrdiff_t>(preferred));
    return domains;
}

static ReserveRequest makeReserveRequest(CoreState& state, const JobRow& job, std::size_t task)
{
    ReserveRequest request;
    request.attempt = makeAttemptId(state);
    request.job = job.record.id;
    request.team = job.record.team;
    request.spec = job.record.spec;
    request.spec.body.clear();
    request.avoid = job.record.tasks[task].failedOn;
    request.avoidDomains = domainsToAvoid(state, job, task);
    request.holdFor = state.settings.reservationHold;
    return request;
}

static bool requestReservation(CoreState& state, JobRow& job, std::size_t task, TimePoint now, Actions& actions)
{
    MemberRow* owner = chooseOwner(state, job.record.team, job.record.spec, now);
    if (owner == nullptr)
        return false;
    // Count the requested resources as used until the owner's next heartbeat reports its free
    // capacity.
    owner->heartbeat.deferredRoom = owner->heartbeat.deferredRoom - job.record.spec.resources;
    countSentTask(*owner, job.record.team);
    ReserveRequest request = makeReserveRequest(state, job, task);
    JobRow::TaskProgress& progress = job.progress[task];
    progress.requestedAttempt = request.attempt;
    progress.requestedFrom = owner->record.id;
    progress.requestedAt = now;
    ++state.jobSchedule.requestsInFlight;
    sendToPeer(state, owner->record.id, std::move(request), actions);
    return true;
}

static bool isTaskUnreserved(const JobRow& job, std::size_t task)
{
    const TaskRecord& record = job.record.tasks[task];
    return !record.assignment && !record.ended && !job.progress[task].reserved && job.progress[task].requestedAttempt.isEmpty();
}

/// False for a gang whose tasks do not all fit into the free slots reported in heartbeats.
static bool mayFit(const CoreState& state, const JobRow& job, TimePoint now)
{
    if (job.record.spec.kind != WorkKind::Gang)
        return true;
    std::int64_t slots = 0;
    for (const auto& [id, member] : state.members) {
        if (hasCapacityFor(state, member, job.record.spec.resources, now))
            slots += member.heartbeat.deferredRoom.slots;
    }
    return slots >= static_cast<std::int64_t>(job.record.tasks.size());
}

/// Requests a reservation for every task that needs one. False if none was requested.
static bool requestReservations(CoreState& state, JobRow& job, TimePoint now, Actions& actions)
{
    if (!mayFit(state, job, now))
        return false;
    bool asked = false;
    for (std::size_t i = 0; i < job.record.tasks.size(); ++i) {
        if (!isTaskUnreserved(job, i))
            continue;
        if (!requestReservation(state, job, i, now, actions))
            break;
        asked = true;
    }
    if (asked)
        scheduleAt(state, job, now + kReservationTimeout);
    return asked;
}

// Choosing the next team and job.

namespace {

struct Candidate {
    double share { 0 };
    TeamId team;
    bool operator<(const Candidate& other) const { return std::tie(share, team) < std::tie(other.share, other.team); }
};

} // namespace

static std::set<Candidate> candidateTeams(const CoreState& state, TimePoint now)
{
    std::set<Candidate> candidates;
    std::map<TeamId, double> shares = dominantShares(state, now);
    for (const auto& [team, jobs] : state.jobSchedule.waiting) {
        auto it = state.jobSchedule.teamRetryAt.find(team);
        if (it == state.jobSchedule.teamRetryAt.end() || now >= it->second)
            candidates.insert({ shares[team], team });
    }
    return candidates;
}

static Resources cellCapacity(const CoreState& state)
{
    Resources sum { 0, 0, 0, 0 };
    for (const auto& [id, member] : state.members)
        sum = sum + member.heartbeat.capacity;
    return sum;
}

static double weightOf(const CoreState& state, const TeamId& team)
{
    const Team* found = state.configuration.current->findTeam(team);
    return found == nullptr || found->shareWeight <= 0 ? 1 : found->shareWeight;
}

/// Requests reservations for the first of the team's kBackfillDepth oldest jobs that has a
/// candidate owner. Null if there is none.
static JobRow* reserveNextJob(CoreState& state, const TeamId& team, TimePoint now, Actions& actions)
{
    std::vector<JobId> oldest;
    for (const auto& [submitted, id] : state.jobSchedule.waiting[team]) {
        oldest.push_back(id);
        if (oldest.size() >= kBackfillDepth)
            break;
    }
    for (const JobId& id : oldest) {
        JobRow* job = findOwnedJob(state, id, now);
        if (job == nullptr || !requestReservations(state, *job, now, actions))
            continue;
        dequeueForReservation(state, *job);
        return job;
    }
    return nullptr;
}

static bool hasAnyFreeSlot(const CoreState& state, TimePoint now)
{
    constexpr Resources kOneSlot { 0, 0, 0, 1 };
    return std::any_of(state.members.begin(), state.members.end(),
        [&](const MemberTable::value_type& entry) { return hasCapacityFor(state, entry.second, kOneSlot, now); });
}

void runDispatch(CoreState& state, const Instant& now, Actions& actions)
{
    // Without a free slot anywhere, the teams' shares need not be computed.
    if (state.jobSchedule.waiting.empty() || !hasAnyFreeSlot(state, now.steady))
        return;
    std::set<Candidate> candidates = candidateTeams(state, now.steady);
    Resources capacity = cellCapacity(state);
    for (int n = 0; n < kMaximumJobsPerTick && !candidates.empty() && state.jobSchedule.requestsInFlight < kMaximumRequestsInFlight; ++n) {
        Candidate next = *candidates.begin();
        candidates.erase(candidates.begin());
        JobRow* job = reserveNextJob(state, next.team, now.steady, actions);
        if (job == nullptr || state.jobSchedule.waiting.count(next.team) == 0)
            continue;
        next.share += job->record.spec.taskCount * dominantFraction(job->record.spec.resources, capacity) / weightOf(state, next.team);
        candidates.insert(next);
    }
}

// Reservation answers.

static void assignReserved(CoreState& state, JobRow& job, const Instant& now)
{
    for (std::size_t i = 0; i < job.record.tasks.size(); ++i) {
        JobRow::TaskProgress& progress = job.progress[i];
        if (!progress.reserved)
            continue;
        job.record.tasks[i].assignment = progress.reserved;
        progress = JobRow::TaskProgress {};
    }
    setJobState(state, job, JobState::Assigned);
    job.refusals = 0;
    markChanged(state, job);
    scheduleAt(state, job, now.steady);
}

static bool isFullyReserved(const JobRow& job)
{
    for (std::size_t i = 0; i < job.record.tasks.size(); ++i) {
        if (!job.record.tasks[i].assignment && !job.record.tasks[i].ended && !job.progress[i].reserved)
            return false;
    }
    return true;
}

static void delayRetry(CoreState& state, JobRow& job, const ReserveAnswer& answer, TimePoint now)
{
    ++job.refusals;
    state.counters.add(std::string("reservations_refused_total{reason=\"") + toString(answer.reason) + "\"}");
    if (answer.reason == RefusalReason::TeamLimit)
        state.jobSchedule.teamRetryAt[job.record.team] = now + kTeamBackoff;
    job.reserveRetryAt = now + backoffDelay(state, job.refusals);
    scheduleAt(state, job, job.reserveRetryAt);
}

static JobRow::TaskProgress* findRequested(JobRow& job, const AttemptId& attempt)
{
    for (JobRow::TaskProgress& progress : job.progress) {
        if (progress.requestedAttempt == attempt)
            return &progress;
    }
    return nullptr;
}

static void releaseLateGrant(CoreState& state, const InstanceId& from, const ReserveAnswer& answer, Actions& actions)
{
    state.counters.add("late_answers_total");
    if (answer.granted)
        sendToPeer(state, from, ReleaseRequest { answer.attempt }, actions);
}

void handleReserveAnswer(CoreState& state, const InstanceId& from, const ReserveAnswer& answer, const Instant& now, Actions& actions)
{
    JobRow* job = findOwnedJob(state, answer.job, now.steady);
    JobRow::TaskProgress* progress = job == nullptr ? nullptr : findRequested(*job, answer.attempt);
    if (progress == nullptr) {
        releaseLateGrant(state, from, answer, actions);
        return;
    }
    progress->requestedAttempt = AttemptId();
    --state.jobSchedule.requestsInFlight;
    if (!answer.granted) {
        // A waiting gang releases its reservations, so that two gangs cannot deadlock.
        if (job->record.spec.kind == WorkKind::Gang)
            releaseReservations(state, *job, actions);
        delayRetry(state, *job, answer, now.steady);
        return;
    }
    progress->reserved = Assignment { answer.attempt, answer.upstream, answer.domain, answer.incarnation, answer.shard, answer.epoch };
    if (job->record.cancelRequested || isFinal(job->record.state))
        releaseReservations(state, *job, actions);
    else if (job->record.spec.kind != WorkKind::Gang || isFullyReserved(*job))
        assignReserved(state, *job, now);
}

} // namespace crocuslever
