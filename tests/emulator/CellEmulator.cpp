#include "tests/emulator/CellEmulator.h"

#include <algorithm>

#include "cell.pb.h"
#include "src/cell/Ownership.h"

namespace crocuslever::cell::testing {

static constexpr Duration kTickInterval = std::chrono::milliseconds(8);
/// A crashed upstream stays in the directory for this long.
static constexpr Duration kSilenceUntilUnlisted = std::chrono::milliseconds(4500);
static constexpr const char* kDirectoryService = "service";
static constexpr std::size_t kDomains = 3;

static std::string domainName(std::size_t n) { return "domain-" + std::to_string(n % kDomains); }

CellEmulator::CellEmulator(const EmulatorSettings& settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_instances(static_cast<std::size_t>(settings.instances))
{
    m_declarations.policy.version = 1;
    m_declarations.policy.services[kDirectoryService] = { kDirectoryService, false };
    Route route;
    route.name = "route";
    route.host = "host";
    route.prefix = "/jobs/";
    route.isPublic = true;
    route.service = kDirectoryService;
    route.attempts = 3;
    route.stretch = 2.0;
    route.targetDuration = std::chrono::seconds(1);
    m_declarations.policy.routes.push_back(route);
    for (int n = 0; n < settings.upstreams; ++n) {
        std::string id = "u" + std::to_string(n);
        UpstreamSlot& slot = m_upstreams[id];
        slot.entry = { id, kDirectoryService, id + ":1", domainName(static_cast<std::size_t>(n)), false, Duration(0), settings.capacity, {}, "rack-" + std::to_string(n / 2), m_queue.now().wallMs - 1000 };
        slot.incarnation = std::make_unique<EmulatedUpstream>(id, slot.entry.bornMs, m_history, m_failures, m_interference);
    }
    for (std::size_t n = 0; n < m_instances.size(); ++n)
        boot(n);
    advanceUpstreams();
}

/// Ends runs and expires leases on time, even if no instance polls the upstream.
void CellEmulator::advanceUpstreams()
{
    std::vector<std::string> crashed;
    for (auto& [id, slot] : m_upstreams) {
        slot.incarnation->advance(now());
        if (slot.incarnation->hasCrashed(now()) && !slot.isCut)
            crashed.push_back(id);
    }
    for (const std::string& id : crashed)
        replaceCrashedUpstream(id);
    m_queue.after(kTickInterval, [this] { advanceUpstreams(); });
}

void CellEmulator::replaceCrashedUpstream(const std::string& id)
{
    UpstreamSlot& slot = m_upstreams.at(id);
    slot.incarnation->crash(now());
    slot.isCut = true;
    m_queue.after(kSilenceUntilUnlisted, [this, id] { m_upstreams.at(id).isListed = false; });
    m_queue.after(m_settings.crashTime, [this, id] {
        DirectoryEntry entry = m_upstreams.at(id).entry;
        entry.id = id + "+";
        entry.bornMs = m_queue.now().wallMs;
        UpstreamSlot& successor = m_upstreams[entry.id];
        successor.entry = entry;
        successor.incarnation = std::make_unique<EmulatedUpstream>(entry.id, entry.bornMs, m_history, m_failures, m_interference);
    });
}

Duration CellEmulator::latency(std::int64_t leastMs, std::int64_t mostMs)
{
    return fromMilliseconds(std::uniform_int_distribution<std::int64_t>(leastMs, mostMs)(m_random));
}

bool CellEmulator::chance(double share) { return std::uniform_real_distribution<double>(0.0, 1.0)(m_random) < share; }

void CellEmulator::boot(std::size_t n)
{
    InstanceSlot& slot = m_instances[n];
    CellSettings settings;
    settings.instance = "i" + std::to_string(n);
    settings.incarnation = settings.instance + "-" + std::to_string(++slot.incarnations);
    settings.address = settings.instance;
    slot.domain = domainName(n);
    settings.domain = slot.domain;
    constexpr std::int64_t kLarge = 500;
    constexpr std::int64_t kSmall = 120;
    settings.milliCpu = static_cast<int>(n) < m_settings.largeInstances ? kLarge : kSmall;
    settings.seed = m_random();
    settings.pollCost = m_settings.pollCost;
    settings.learnsRunTimes = m_settings.learnsRunTimes;
    // Declarations and directory are not stored; the decoders return them directly.
    StoreFormat format;
    format.decodeDeclaration = [this](const StoreEntry& entry) { return m_declarations.decode(entry); };
    format.decodeDirectory = [this](const std::vector<StoreEntry>&) { return directory(); };
    slot.state = std::make_unique<CellState>(settings, format);
    slot.loop = EventLoop {};
    int incarnation = slot.incarnations;
    m_queue.after(latency(0, 20), [this, n, incarnation] { tickInstance(n, incarnation); });
}

void CellEmulator::kill(std::size_t n) { m_instances[n].state.reset(); }

void CellEmulator::restart(std::size_t n)
{
    kill(n);
    boot(n);
}

void CellEmulator::crashUpstream(const std::string& id)
{
    UpstreamSlot& slot = m_upstreams.at(id);
    slot.incarnation->crash(now());
    slot.entry.bornMs = m_queue.now().wallMs;
    slot.incarnation = std::make_unique<EmulatedUpstream>(id, slot.entry.bornMs, m_history, m_failures, m_interference);
}

void CellEmulator::startStrayRun(const std::string& upstream, const std::string& task, int run, const TaskScript& script)
{
    constexpr std::int64_t kLeaseMs = 5000;
    EmulatedUpstream& incarnation = *m_upstreams.at(upstream).incarnation;
    RunStart order;
    order.task = task;
    order.run = run;
    order.payload = formatScript(script);
    order.leaseUntilMs = incarnation.clockMs(now()) + kLeaseMs;
    order.token = incarnation.token();
    incarnation.start(order, now());
}

void CellEmulator::addOddEntry(const std::string& id)
{
    DirectoryEntry entry = m_upstreams.at(id).entry;
    entry.id = id + "?";
    entry.bornMs = m_queue.now().wallMs;
    UpstreamSlot& slot = m_upstreams[entry.id];
    slot.entry = entry;
    slot.incarnation = std::make_unique<EmulatedUpstream>(entry.id, entry.bornMs, m_history, m_failures, m_interference);
    slot.isCut = true;
}

void CellEmulator::cutDomain(const std::string& domain, bool isCut)
{
    if (isCut)
        m_cutDomains.insert(domain);
    else
        m_cutDomains.erase(domain);
}

void CellEmulator::muteDomain(const std::string& domain, bool isMute)
{
    if (isMute)
        m_muteDomains.insert(domain);
    else
        m_muteDomains.erase(domain);
}

void CellEmulator::freeze(std::size_t n, Duration duration) { m_instances[n].frozenUntil = now() + duration; }

void CellEmulator::evacuate(const std::string& domain, bool isEvacuated)
{
    if (isEvacuated)
        m_declarations.evacuated.insert(domain);
    else
        m_declarations.evacuated.erase(domain);
}

void CellEmulator::runFor(Duration duration) { m_queue.runUntil(now() + duration); }

bool CellEmulator::runUntil(Duration limit, const std::function<bool()>& isTrue)
{
    TimePoint end = now() + limit;
    while (!isTrue()) {
        if (now() >= end)
            return false;
        runFor(std::chrono::milliseconds(10));
    }
    return true;
}

std::optional<std::size_t> CellEmulator::owner() const
{
    for (std::size_t n = 0; n < m_instances.size(); ++n) {
        const std::unique_ptr<CellState>& state = m_instances[n].state;
        if (state && state->ownership.phase == OwnerPhase::Deciding)
            return n;
    }
    return std::nullopt;
}

std::optional<std::size_t> CellEmulator::ownerOtherThan(std::size_t former) const
{
    for (std::size_t n = 0; n < m_instances.size(); ++n) {
        if (n != former && m_instances[n].state && isOwner(*m_instances[n].state))
            return n;
    }
    return std::nullopt;
}

std::vector<std::string> CellEmulator::upstreamIds() const
{
    std::vector<std::string> ids;
    for (const auto& [id, slot] : m_upstreams)
        ids.push_back(id);
    return ids;
}

// Instances.

void CellEmulator::deliver(const Caller& caller, Duration delay, const CellEvent& event)
{
    m_queue.after(delay, [this, caller, event] { deliverNow(caller, event); });
}

void CellEmulator::deliverNow(const Caller& caller, const CellEvent& event)
{
    InstanceSlot& slot = m_instances[caller.instance];
    if (!slot.state || slot.incarnations != caller.incarnation)
        return;
    if (now() < slot.frozenUntil) {
        deliver(caller, slot.frozenUntil - now(), event);
        return;
    }
    if (hasCosts()) {
        arrive(caller, event);
        return;
    }
    CellActions actions;
    handleEvent(*slot.state, event, m_queue.now(), actions);
    tick(*slot.state, m_queue.now(), actions);
    dispatch(caller, actions);
}

void CellEmulator::tickInstance(std::size_t n, int incarnation)
{
    InstanceSlot& slot = m_instances[n];
    if (!slot.state || slot.incarnations != incarnation)
        return;
    if (hasCosts()) {
        // Turns follow each other from here on.
        if (!slot.loop.isBusy)
            beginTurn({ n, incarnation }, now());
        return;
    }
    CellActions actions;
    if (now() >= slot.frozenUntil)
        tick(*slot.state, m_queue.now(), actions);
    dispatch({ n, incarnation }, actions);
    m_queue.after(kTickInterval, [this, n, incarnation] { tickInstance(n, incarnation); });
}

void CellEmulator::dispatch(const Caller& caller, const CellActions& actions)
{
    for (const CellAction& action : actions)
        std::visit([this, &caller](const auto& it) { perform(caller, it); }, action);
}

// Callers.

Route& CellEmulator::addRoute(const std::string& prefix, int priority)
{
    Route route = m_declarations.policy.routes.front();
    route.name = prefix;
    route.prefix = prefix;
    route.priority = priority;
    m_declarations.policy.routes.push_back(route);
    ++m_declarations.policy.version;
    return m_declarations.policy.routes.back();
}

void CellEmulator::submit(const std::string& id, const JobSpec& spec, std::size_t instance, Duration callerTimeout, const std::string& prefix, const std::string& key)
{
    auto [row, isNew] = m_jobs.try_emplace(id);
    row->second.spec = spec;
    if (isNew)
        row->second.submittedAt = now();
    EntryCall call { m_nextCall++, Verb::Submit, "host", prefix + id, key, spec, callerTimeout };
    m_calls[{ instance, call.id }] = [this, id](const EntryReply& reply) {
        CallerJob& job = m_jobs[id];
        job.submitted = reply.outcome;
        job.isAnswered = true;
        job.answers.insert(reply.outcome);
        job.answeredAt = now();
        if (reply.outcome == EntryOutcome::Overloaded)
            job.retryAfter = std::min(job.retryAfter, reply.retryAfter);
    };
    deliverNow({ instance, m_instances[instance].incarnations }, call);
}

void CellEmulator::cancel(const std::string& id, std::size_t instance)
{
    EntryCall call { m_nextCall++, Verb::Cancel, "host", "/jobs/" + id, "", std::nullopt, std::chrono::seconds(3) };
    m_calls[{ instance, call.id }] = [this, id](const EntryReply& reply) {
        if (reply.outcome == EntryOutcome::Cancelled || reply.outcome == EntryOutcome::Gone)
            m_jobs[id].cancelledAt = now();
    };
    deliverNow({ instance, m_instances[instance].incarnations }, call);
}

EntryReply CellEmulator::lookUp(const std::string& id, std::size_t instance, const std::string& prefix)
{
    EntryCall call { m_nextCall++, Verb::Lookup, "host", prefix + id, "", std::nullopt, std::chrono::seconds(3) };
    std::optional<EntryReply> answer;
    m_calls[{ instance, call.id }] = [&answer](const EntryReply& reply) { answer = reply; };
    deliverNow({ instance, m_instances[instance].incarnations }, call);
    runUntil(std::chrono::seconds(4), [&answer] { return answer.has_value(); });
    m_calls.erase({ instance, call.id });
    return answer.value_or(EntryReply {});
}

void CellEmulator::perform(const Caller& caller, const EntryReply& reply)
{
    auto it = m_calls.find({ caller.instance, reply.id });
    if (it == m_calls.end())
        return;
    auto then = std::move(it->second);
    m_calls.erase(it);
    then(reply);
}

// Upstreams.

void CellEmulator::perform(const Caller& caller, const UpstreamPoll& call)
{
    ++m_instances[caller.instance].upstreamCalls;
    std::int64_t bornMs = m_upstreams.at(call.target.id).incarnation->bornMs();
    bool changesRuns = call.acknowledged > 0 || call.leaseUntilMs > 0;
    if (changesRuns && call.target.bornMs != bornMs) {
        deliver(caller, Duration(0), PollResult { call.ticket, OrderOutcome::NotSent, 0, 0, {}, {} });
        return;
    }
    awaitEnd(caller, call, bornMs, now() + call.wait);
}

void CellEmulator::awaitEnd(const Caller& caller, const UpstreamPoll& call, std::int64_t bornMs, TimePoint deadline)
{
    UpstreamSlot& slot = m_upstreams.at(call.target.id);
    if (isOutOfReach(caller.instance, slot) || slot.incarnation->bornMs() != bornMs) {
        deliver(caller, kCallTimeout, PollResult { call.ticket, OrderOutcome::NoAnswer, 0, 0, {}, {} });
        return;
    }
    PollResult result = slot.incarnation->poll(call, now());
    bool waits = result.outcome == OrderOutcome::Ok && result.ended.empty() && now() < deadline;
    if (waits) {
        m_queue.after(kPollInterval, [this, caller, call, bornMs, deadline] { awaitEnd(caller, call, bornMs, deadline); });
        return;
    }
    m_endsListed += static_cast<std::int64_t>(result.ended.size());
    result.ticket = call.ticket;
    deliver(caller, latency(1, 4), result);
}

static OrderOutcome apply(EmulatedUpstream& upstream, const RunStart& order, TimePoint now) { return upstream.start(order, now); }
static OrderOutcome apply(EmulatedUpstream& upstream, const RunStop& order, TimePoint now) { return upstream.stop(order, now); }
static OrderOutcome apply(EmulatedUpstream& upstream, const RunPace& order, TimePoint now) { return upstream.pace(order, now); }

template <typename Order>
void CellEmulator::deliverOrder(const Caller& caller, const Order& order)
{
    ++m_instances[caller.instance].upstreamCalls;
    UpstreamSlot& slot = m_upstreams.at(order.target.id);
    bool isLate = chance(m_settings.lateOrders);
    bool isCut = isOutOfReach(caller.instance, slot);
    if (isCut || isLate) {
        deliver(caller, kCallTimeout, OrderResult { order.ticket, OrderOutcome::NoAnswer, 0 });
        // A late order waits inside the upstream and is lost if the upstream restarts.
        auto applyLate = [this, order] {
            EmulatedUpstream& incarnation = *m_upstreams.at(order.target.id).incarnation;
            if (incarnation.bornMs() == order.target.bornMs)
                apply(incarnation, order, now());
        };
        if (!isCut)
            m_queue.after(latency(2000, 8000), applyLate);
        return;
    }
    Duration there = latency(0, 3);
    m_queue.after(there, [this, caller, order] {
        EmulatedUpstream& incarnation = *m_upstreams.at(order.target.id).incarnation;
        bool isMeant = incarnation.bornMs() == order.target.bornMs;
        OrderOutcome outcome = isMeant ? apply(incarnation, order, now()) : OrderOutcome::NotSent;
        deliver(caller, latency(0, 3), OrderResult { order.ticket, outcome, 0 });
    });
}

void CellEmulator::perform(const Caller& caller, const RunStart& order) { deliverOrder(caller, order); }
void CellEmulator::perform(const Caller& caller, const RunStop& order) { deliverOrder(caller, order); }

void CellEmulator::perform(const Caller& caller, const RunPace& order)
{
    ++m_paceOrders;
    if (chance(m_lostPaceOrders)) {
        deliver(caller, kCallTimeout, OrderResult { order.ticket, OrderOutcome::NoAnswer, 0 });
        return;
    }
    deliverOrder(caller, order);
}

void CellEmulator::perform(const Caller& caller, const AdviceRequest& request)
{
    const AdviceTiming timing = m_declarations.policy.routes.front().advice.value_or(AdviceTiming {});
    Duration serviceTime = timing.base + timing.perUpstream * static_cast<std::int64_t>(request.upstreams.size());
    TimePoint& free = m_adviceFree[caller.instance];
    free = std::max(free, now()) + serviceTime;
    m_adviceBusy += serviceTime;
    AdviceResult result { request.ticket, true, {}, timing.validity };
    for (const std::string& id : request.upstreams) {
        bool isGood = static_cast<int>(std::hash<std::string> {}(request.step + id) % 100) < m_settings.goodAdvice;
        if (isGood)
            result.good.push_back({ id, "ticket" });
    }
    deliver(caller, free - now(), result);
}

static bool holdsConfiguration(const SendPeerFrame& frame)
{
    cellwire::PeerMessage message;
    return message.ParseFromString(frame.bytes) && message.configuration_answer().has_record();
}

void CellEmulator::perform(const Caller& caller, const SendPeerFrame& frame)
{
    if (m_keepsLastFrame)
        m_lastFrame = frame.bytes;
    bool isTransfer = holdsConfiguration(frame);
    m_transfersBetweenInstances += isTransfer ? 1 : 0;
    if (m_areFramesLost || (m_areTransfersLost && isTransfer))
        return;
    Duration transferTime = isTransfer ? m_transferTime : Duration(0);
    for (std::size_t n = 0; n < m_instances.size(); ++n) {
        bool isReceiver = m_instances[n].state && m_instances[n].state->settings.address == frame.address;
        if (isReceiver && !isPathCut(domainOf(caller.instance), domainOf(n)))
            deliver({ n, m_instances[n].incarnations }, latency(1, 3) + transferTime, PeerFrame { "", frame.bytes });
    }
}

void CellEmulator::perform(const Caller& caller, const LogLine& line)
{
    if (std::getenv("EMULATOR_LOG"))
        std::fprintf(stderr, "%lld i%zu %s %s %s %s\n", static_cast<long long>(toMilliseconds(now().time_since_epoch())), caller.instance, line.step.c_str(), line.peer.c_str(), line.job.c_str(), line.message.c_str());
}

void CellEmulator::perform(const Caller& caller, const Finished&)
{
    std::size_t n = caller.instance;
    m_queue.after(Duration(0), [this, n] { kill(n); });
}

} // namespace crocuslever::cell::testing
