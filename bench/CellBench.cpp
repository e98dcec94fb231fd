// Processor time that an owner spends per task, by cell size. The store and the
// upstreams are stubs that answer at once; their cost is not measured.

#include <benchmark/benchmark.h>
#include <queue>

#include "cell.pb.h"
#include "src/cell/CellState.h"
#include "src/cell/DelegationCodec.h"
#include "src/cell/Keys.h"
#include "src/cell/RecordCodec.h"

namespace crocuslever::cell {

namespace {

constexpr Duration kRoundTrip = std::chrono::milliseconds(2);
constexpr Duration kTickInterval = std::chrono::milliseconds(8);
constexpr Duration kRunTime = std::chrono::milliseconds(1000);
constexpr std::int64_t kTasksOfJob = 3;
constexpr std::int64_t kStartsOfUpstream = 2; ///< Per second.
constexpr StoreRevision kConfigurationRevision = 1;
constexpr int kUpstreamsPerInstance = 8;
constexpr Duration kAdviceValidity = std::chrono::milliseconds(2000);
constexpr std::int64_t kSmallShare = 1; ///< Thousandths of a core.
constexpr Resources kCapacity { 64000, 262144, 0, 0 };

struct ScheduledEvent {
    TimePoint at;
    CellEvent event;

    bool operator<(const ScheduledEvent& other) const { return at > other.at; }
};

struct BenchUpstream {
    std::map<std::string, RunListing> running;
    std::vector<EndListing> ended;
    std::int64_t ends { 0 };
    std::optional<UpstreamPoll> waiting;
};

struct RunCompletion {
    TimePoint at;
    std::string upstream;
    std::string task;

    bool operator<(const RunCompletion& other) const { return at > other.at; }
};

/// An owner with stubs of the store and the upstreams.
struct Owner {
    /// `limit` is the limit of the only team, in thousandths of a core; 0: no limit.
    explicit Owner(int size, std::int64_t limit = 0, const std::optional<AdviceTiming>& advice = std::nullopt, bool delegates = false)
        : instances(std::max(1, size / kUpstreamsPerInstance))
        , state(makeSettings(delegates), makeFormat(size, limit, advice))
    {
        while (state.ownership.phase != OwnerPhase::Deciding || state.upstreams.size() < static_cast<std::size_t>(size))
            step();
    }

    /// With a processor share the owner is too small to call all upstreams itself.
    static CellSettings makeSettings(bool delegates)
    {
        CellSettings settings;
        settings.milliCpu = delegates ? kSmallShare : 0;
        settings.instance = "i0";
        settings.incarnation = "i0-1";
        settings.address = "i0:1";
        return settings;
    }

    static StoreFormat makeFormat(int size, std::int64_t limit, const std::optional<AdviceTiming>& advice)
    {
        FleetPolicy policy;
        policy.version = 1;
        policy.services["service"] = { "service", false };
        policy.routes.push_back({ "route", "host", "/jobs/", true, "service", 0, 3, 2.0, std::chrono::seconds(1), std::nullopt });
        Route later = policy.routes.front();
        later.name = "later";
        later.prefix = "/later/";
        later.priority = 2;
        policy.routes.push_back(later);
        policy.routes.front().advice = advice;
        policy.teams["team"] = Team { "team", 1.0, { limit, 0, 0, 0 }, {} };
        Directory directory;
        for (int n = 0; n < size; ++n) {
            std::string id = "u" + std::to_string(n);
            directory.entries.push_back({ id, "service", id + ":1", "domain-" + std::to_string(n % 3), false, Duration(0), kCapacity, {}, "rack-" + std::to_string(n / 8), 1 });
        }
        indexRoutes(policy);
        auto shared = std::make_shared<const FleetPolicy>(policy);
        StoreFormat format;
        format.decodeDeclaration = [shared](const StoreEntry&) { return std::optional<Declaration>(shared); };
        format.decodeDirectory = [directory](const std::vector<StoreEntry>&) { return directory; };
        return format;
    }

    Instant instant() const { return { now, toMilliseconds(now.time_since_epoch()) }; }

    void step()
    {
        now += kTickInterval;
        finishRuns();
        while (!events.empty() && events.top().at <= now) {
            CellEvent event = events.top().event;
            events.pop();
            handleEvent(state, event, instant(), actions);
            tick(state, instant(), actions);
            performAll();
        }
        tick(state, instant(), actions);
        performAll();
    }

    void submit(std::int64_t count, const std::string& route = "route", bool resumes = false)
    {
        unsubmitted += count;
        if (!watch)
            return;
        count = std::exchange(unsubmitted, 0);
        StoreReply reply;
        reply.ticket = watch->ticket;
        reply.status = StoreStatus::Ok;
        for (std::int64_t n = 0; n < count; ++n)
            reply.entries.push_back(makeJob(route, resumes));
        reply.revision = revision;
        watch.reset();
        events.push({ now, reply });
    }

    StoreEntry makeJob(const std::string& route, bool resumes)
    {
        std::string digits = std::to_string(++jobs);
        JobRecord record { std::string(16 - digits.size(), '0') + digits, route, "team", instant().wallMs, {} };
        StepSpec step;
        step.count = static_cast<int>(kTasksOfJob);
        step.each = { 5000, 10000, 0, 0 };
        step.estimate = kRunTime;
        step.checkpoints = resumes;
        record.spec.steps.push_back(step);
        return { jobKey(record.id), encodeJob(record), ++revision };
    }

    void finishRuns()
    {
        while (!completions.empty() && completions.top().at <= now) {
            RunCompletion it = completions.top();
            completions.pop();
            BenchUpstream& upstream = upstreams[it.upstream];
            auto run = upstream.running.find(it.task);
            if (run == upstream.running.end())
                continue;
            upstream.ended.push_back({ ++upstream.ends, it.task, run->second.run, RunEnd::Done, "" });
            upstream.running.erase(run);
            if (upstream.waiting)
                answerPoll(upstream, *upstream.waiting);
        }
    }

    /// Results of calls that the owner made through a delegate go back as a frame.
    template <typename CallResult>
    void answerCall(const CallResult& result)
    {
        auto it = queries.find(result.ticket);
        if (it == queries.end()) {
            events.push({ now + kRoundTrip, result });
            return;
        }
        cellwire::PeerMessage answer;
        answer.set_sender(it->second.delegate);
        answer.set_call(it->second.call);
        encode(result, *answer.mutable_upstream_answer());
        queries.erase(it);
        events.push({ now + kRoundTrip, PeerFrame { "", answer.SerializeAsString() } });
    }

    void performForOwner(const std::string& delegate, const cellwire::PeerMessage& query)
    {
        constexpr Ticket kFirstTicket = Ticket { 1 } << 40; // Above those of the owner.
        Ticket ticket = kFirstTicket + query.call();
        queries[ticket] = { delegate, query.call() };
        std::optional<CellAction> call = decodeCall(query.upstream_call(), ticket);
        if (call)
            std::visit([this](const auto& it) { perform(it); }, *call);
    }

    void answerPoll(BenchUpstream& upstream, const UpstreamPoll& poll)
    {
        PollResult result;
        result.ticket = poll.ticket;
        result.outcome = OrderOutcome::Ok;
        result.clockMs = instant().wallMs;
        result.bornMs = 1;
        for (const auto& [name, run] : upstream.running)
            result.running.push_back(run);
        result.ended = upstream.ended;
        upstream.waiting.reset();
        answerCall(result);
    }

    void answerStore(Ticket ticket, StoreReply reply = {})
    {
        reply.ticket = ticket;
        reply.status = StoreStatus::Ok;
        reply.revision = ++revision;
        reply.lease = 1;
        events.push({ now + kRoundTrip, reply });
    }

    void perform(const StoreAwait& call) { watch = call; }
    void perform(const StoreRead& call) { answerStore(call.ticket); }
    void perform(const StoreList& call)
    {
        StoreReply reply;
        if (call.of == Listing::OwnKeys && call.prefix == kCellPrefix) {
            for (int n = 0; n < instances; ++n) {
                std::string name = "i" + std::to_string(n);
                reply.entries.push_back({ kInstancePrefix + name, encodeInstance({ name + ":1", name + "-1", 0, "" }), 1 });
            }
        }
        answerStore(call.ticket, reply);
    }
    void perform(const ConfigurationCheck& call)
    {
        StoreReply reply;
        reply.ticket = call.ticket;
        bool isKnown = call.revision == kConfigurationRevision;
        reply.status = isKnown ? StoreStatus::Ok : StoreStatus::Conflict;
        if (!isKnown)
            reply.entries.push_back({ "policy", "", kConfigurationRevision });
        events.push({ now + kRoundTrip, reply });
    }
    void perform(const StoreChange& call) { answerStore(call.ticket); }
    void perform(const LeaseGrant& call) { answerStore(call.ticket); }
    void perform(const LeaseRenew& call) { answerStore(call.ticket); }

    void perform(const RunStart& order)
    {
        ++starts;
        upstreams[order.target.id].running[order.task] = { order.task, order.run, "", 0, 0 };
        completions.push({ now + kRunTime, order.target.id, order.task });
        answerCall(OrderResult { order.ticket, OrderOutcome::Ok, 0 });
    }

    void perform(const AdviceRequest& request)
    {
        AdviceResult result;
        result.ticket = request.ticket;
        result.ok = true;
        result.validity = kAdviceValidity;
        for (const std::string& id : request.upstreams)
            result.good.push_back({ id, "ticket" });
        events.push({ now + kRoundTrip, result });
    }

    /// Peers answer questions for advice, and make calls to upstreams.
    void perform(const SendPeerFrame& frame)
    {
        cellwire::PeerMessage message;
        message.ParseFromString(frame.bytes);
        answerPeerMessage(frame.address, message);
        for (const std::string& bytes : message.frames()) {
            cellwire::PeerMessage part;
            part.ParseFromString(bytes);
            answerPeerMessage(frame.address, part);
        }
    }

    void answerPeerMessage(const std::string& peer, const cellwire::PeerMessage& query)
    {
        if (query.has_upstream_call())
            performForOwner(peer, query);
        if (!query.has_advice_query())
            return;
        cellwire::PeerMessage message;
        message.set_sender(peer);
        message.set_call(query.call());
        cellwire::AdviceAnswer& answer = *message.mutable_advice_answer();
        answer.set_ok(true);
        answer.set_validity_ms(toMilliseconds(kAdviceValidity));
        for (const std::string& id : query.advice_query().upstreams()) {
            cellwire::AdviceRow& row = *answer.add_good();
            row.set_upstream(id);
            row.set_ticket("ticket");
        }
        events.push({ now + kRoundTrip, PeerFrame { "", message.SerializeAsString() } });
    }

    void perform(const UpstreamPoll& poll)
    {
        BenchUpstream& upstream = upstreams[poll.target.id];
        while (!upstream.ended.empty() && upstream.ended.front().number <= poll.acknowledged)
            upstream.ended.erase(upstream.ended.begin());
        if (upstream.ended.empty() && poll.wait > Duration(0))
            upstream.waiting = poll;
        else
            answerPoll(upstream, poll);
    }

    template <typename Other>
    void perform(const Other&) { }

    void performAll()
    {
        CellActions all = std::move(actions);
        actions.clear();
        for (const CellAction& action : all)
            std::visit([this](const auto& it) { perform(it); }, action);
    }

    int instances;
    CellState state;
    TimePoint now { std::chrono::seconds(1000) };
    std::priority_queue<ScheduledEvent> events;
    std::priority_queue<RunCompletion> completions;
    std::map<std::string, BenchUpstream> upstreams;
    std::optional<StoreAwait> watch;
    struct OwnerQuery {
        std::string delegate; ///< Address.
        std::uint64_t call { 0 };
    };
    std::map<Ticket, OwnerQuery> queries; ///< Calls for the owner in flight, by the delegate's ticket.
    CellActions actions;
    StoreRevision revision { 1 };
    std::int64_t jobs { 0 };
    std::int64_t starts { 0 };
    std::int64_t unsubmitted { 0 }; ///< Submitted jobs that no watch answer has delivered yet.
};

} // namespace

/// One simulated second per iteration; the counter `s_a_start` is the processor time per start,
/// printed in microseconds.
static void runUnderSteadyLoad(benchmark::State& bench, const std::optional<AdviceTiming>& advice, bool delegates = false)
{
    Owner owner(static_cast<int>(bench.range(0)), 0, advice, delegates);
    constexpr int kSteps = 125;
    std::int64_t jobs = std::max<std::int64_t>(1, bench.range(0) * kStartsOfUpstream / kTasksOfJob / kSteps);
    for (auto _ : bench) {
        for (int n = 0; n < kSteps; ++n) {
            owner.submit(jobs);
            owner.step();
        }
    }
    bench.counters["starts"] = benchmark::Counter(static_cast<double>(owner.starts), benchmark::Counter::kAvgIterations);
    bench.counters["s_a_start"] = benchmark::Counter(static_cast<double>(owner.starts), benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}

static void ownerUnderSteadyLoad(benchmark::State& bench) { runUnderSteadyLoad(bench, std::nullopt); }
BENCHMARK(ownerUnderSteadyLoad)->Arg(48)->Arg(350)->Arg(1100)->Arg(1900)->Iterations(20)->Unit(benchmark::kMillisecond);

/// The same on a route whose starts need tickets of the advice service.
static void ownerWithAdvice(benchmark::State& bench)
{
    runUnderSteadyLoad(bench, AdviceTiming { std::chrono::milliseconds(8), std::chrono::microseconds(120), kAdviceValidity });
}
BENCHMARK(ownerWithAdvice)->Arg(48)->Arg(350)->Arg(1100)->Arg(1900)->Iterations(20)->Unit(benchmark::kMillisecond);

/// The same with all calls to upstreams made by delegates; includes the encoding of both sides.
static void ownerWithDelegates(benchmark::State& bench)
{
    runUnderSteadyLoad(bench, AdviceTiming { std::chrono::milliseconds(8), std::chrono::microseconds(120), kAdviceValidity }, true);
}
BENCHMARK(ownerWithDelegates)->Arg(48)->Arg(350)->Arg(1100)->Arg(1900)->Iterations(20)->Unit(benchmark::kMillisecond);

/// Cost of one 8 ms step with upstreams full of resumable tasks at their team's limit and a backlog of
/// urgent jobs that need advice, so that almost nothing can start.
static void ownerWithBacklog(benchmark::State& bench)
{
    constexpr std::int64_t kUpstreams = 48;
    AdviceTiming advice { std::chrono::milliseconds(500), std::chrono::milliseconds(7), std::chrono::milliseconds(1500) };
    Owner owner(static_cast<int>(kUpstreams), kUpstreams * kCapacity.milliCpu * 3 / 4, advice);
    owner.submit(kUpstreams * 4, "later", true);
    for (int n = 0; n < 60; ++n)
        owner.step();
    while (!owner.watch)
        owner.step();
    owner.submit(bench.range(0));
    for (auto _ : bench)
        owner.step();
}
BENCHMARK(ownerWithBacklog)->Arg(100)->Arg(800)->Iterations(100)->Unit(benchmark::kMillisecond);

} // namespace crocuslever::cell
