// Benchmarks of a placement and of an idle tick, by the size of the cell and the number of teams.

#include <algorithm>
#include <benchmark/benchmark.h>

#include "src/core/DominantShare.h"
#include "src/core/Escrow.h"
#include "src/core/Peers.h"
#include "src/core/Placement.h"
#include "src/core/Reservations.h"
#include "src/core/UpstreamLifecycle.h"

namespace crocuslever {

namespace {

constexpr Epoch kEpoch = 3;
constexpr int kOwners = 9;
constexpr std::int64_t kSlots = 8;
constexpr int kRackSize = 8;

/// A cell with nine instances; this one owns about one in nine upstreams.
struct Cell {
    explicit Cell(int upstreams, int teams)
        : state(makeSettings())
    {
        addTeams(teams);
        takeOwnership();
        listUpstreams(upstreams);
        fenceAll();
        addMembers(teams);
    }

    static CoreSettings makeSettings()
    {
        CoreSettings settings;
        settings.self = InstanceId("entry-0");
        return settings;
    }

    void addTeams(int n)
    {
        Configuration configuration;
        configuration.revision = 1;
        for (int i = 0; i < n; ++i) {
            Team team;
            team.id = teamName(i);
            configuration.teams.push_back(team);
            state.escrow.teamQuotas[team.id].granted = 1 << 20;
        }
        state.configuration.current = std::make_shared<const Configuration>(std::move(configuration));
    }

    static TeamId teamName(int i) { return TeamId("team-" + std::to_string(1000 + i)); }

    void takeOwnership()
    {
        state.session.id = SessionId("session");
        state.session.registered = true;
        state.session.validUntil = now + std::chrono::hours(24);
        for (ShardIndex shard = 0; shard < kShardCount; shard += kOwners) {
            state.shards[shard].record = { state.settings.self, state.session.id, kEpoch, {} };
            state.shards[shard].phase = ShardPhase::Owned;
        }
    }

    void listUpstreams(int n)
    {
        UpstreamListUpdate update;
        for (int i = 0; i < n; ++i) {
            UpstreamDescription description;
            description.id = UpstreamId("upstream-" + std::to_string(i));
            description.domain = FailureDomainId("zone-" + std::to_string(i / kRackSize % 4));
            description.rack = RackId("rack-" + std::to_string(i / kRackSize));
            description.capacity = { 64000, 256000, 0, kSlots };
            update.upstreams.push_back(description);
        }
        handleUpstreamList(state, update, now, actions);
    }

    void fenceAll()
    {
        runUpstreams(state, now, actions);
        Actions sent;
        sent.swap(actions);
        for (const Action& action : sent) {
            if (const auto* fence = std::get_if<UpstreamFence>(&action))
                handleFenceResult(state, { fence->upstream, fence->shard, fence->epoch, UpstreamOutcome::Ok, IncarnationId("life"), {} }, now, actions);
        }
        actions.clear();
    }

    void addMembers(int teams)
    {
        for (int i = 0; i < kOwners; ++i) {
            MemberRow& row = state.members[InstanceId("entry-" + std::to_string(i))];
            row.heard = true;
            row.lastHeard = now;
            row.heartbeat.capacity = { 1000000, 1000000, 0, 1000 };
            for (int team = 0; team < teams; ++team)
                row.heartbeat.teams.push_back({ teamName(team), 1, 0, 0, { 1000, 256, 0, 1 } });
        }
    }

    /// Reserves seven eighths of the capacity available to deferred work.
    void fill()
    {
        std::int64_t n = freeRoom(state, false, now).slots * 7 / 8;
        for (std::int64_t i = 0; i < n; ++i)
            reserve("filler-" + std::to_string(i), TeamId("team-1000"));
    }

    void reserve(const std::string& id, const TeamId& team)
    {
        TaskSpec spec;
        handleReserveRequest(state, InstanceId("entry-1"), { AttemptId(id), JobId("job"), team, spec, {}, {}, std::chrono::hours(20) }, now, actions);
        actions.clear();
    }

    CoreState state;
    TimePoint now { std::chrono::hours(1) };
    Actions actions;
};

/// Collects the duration of each iteration, to report percentiles instead of the mean alone.
class Percentiles {
public:
    void add(Duration d) { m_times.push_back(static_cast<double>(d.count())); }

    void report(benchmark::State& bench)
    {
        std::sort(m_times.begin(), m_times.end());
        bench.counters["p50_us"] = at(0.5);
        bench.counters["p99_us"] = at(0.99);
    }

private:
    double at(double fraction) const { return m_times.empty() ? 0 : m_times[static_cast<std::size_t>(fraction * static_cast<double>(m_times.size() - 1))]; }

    std::vector<double> m_times;
};

} // namespace

static PlacementRequest makeRequest(WorkKind kind)
{
    return { kind, { 1000, 256, 0, 1 }, false, {}, { FailureDomainId("zone-0") } };
}

static void placeInCell(benchmark::State& bench, WorkKind kind)
{
    Cell cell(static_cast<int>(bench.range(0)), static_cast<int>(bench.range(1)));
    cell.fill();
    PlacementRequest request = makeRequest(kind);
    for (auto _ : bench)
        benchmark::DoNotOptimize(placeTask(cell.state, request, cell.now));
    bench.counters["own_upstreams"] = static_cast<double>(cell.state.upstreams.byFreeFraction.size());
}

static void placeUrgent(benchmark::State& bench) { placeInCell(bench, WorkKind::Urgent); }
static void placeBatch(benchmark::State& bench) { placeInCell(bench, WorkKind::Batch); }
static void placeService(benchmark::State& bench) { placeInCell(bench, WorkKind::Service); }

/// A complete reservation and its release: quota check, placement, charge, index update, answer.
static void reserveAndRelease(benchmark::State& bench)
{
    Cell cell(static_cast<int>(bench.range(0)), static_cast<int>(bench.range(1)));
    cell.fill();
    Percentiles percentiles;
    std::uint64_t i = 0;
    for (auto _ : bench) {
        TeamId team = Cell::teamName(static_cast<int>(++i % static_cast<std::uint64_t>(bench.range(1))));
        auto begin = std::chrono::steady_clock::now();
        cell.reserve("attempt", team);
        percentiles.add(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - begin));
        handleReleaseRequest(cell.state, { AttemptId("attempt") }, cell.now, cell.actions);
    }
    percentiles.report(bench);
}

static void orderTeamsByShare(benchmark::State& bench)
{
    Cell cell(48, static_cast<int>(bench.range(0)));
    for (auto _ : bench) {
        std::map<TeamId, double> shares = dominantShares(cell.state, cell.now);
        for (const auto& [team, quota] : cell.state.escrow.teamQuotas)
            benchmark::DoNotOptimize(shares[team]);
    }
}

static void tickIdle(benchmark::State& bench)
{
    Cell cell(static_cast<int>(bench.range(0)), 6);
    // The clock doesn't advance, so that nothing falls due.
    for (auto _ : bench) {
        runUpstreams(cell.state, cell.now, cell.actions);
        runAttempts(cell.state, cell.now, cell.actions);
    }
}

static void sizes(benchmark::internal::Benchmark* bench)
{
    for (int upstreams : { 48, 1900 }) {
        for (int teams : { 6, 760 })
            bench->Args({ upstreams, teams });
    }
}

BENCHMARK(placeUrgent)->Apply(sizes);
BENCHMARK(placeBatch)->Apply(sizes);
BENCHMARK(placeService)->Apply(sizes);
BENCHMARK(reserveAndRelease)->Apply(sizes);
BENCHMARK(orderTeamsByShare)->Arg(6)->Arg(760);
BENCHMARK(tickIdle)->Arg(48)->Arg(1900);

} // namespace crocuslever
