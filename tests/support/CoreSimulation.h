#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "crocuslever/Core.h"
#include "tests/support/StoreModel.h"
#include "tests/support/UpstreamModel.h"

namespace crocuslever::testing {

/// The faults of one core.
struct CoreFaults {
    bool alive { true }; ///< If false, the core runs nothing and messages to it are lost.
    bool frozen { false }; ///< The core runs nothing; events for it are queued.
    bool cutFromStore { false }; ///< Its store calls fail and its watch receives nothing.
    bool cutFromPeers { false }; ///< Messages from and to its peers are lost.
    /// Messages from peers are held until this becomes false; messages to peers are lost.
    bool peerMessagesHeld { false };
    std::set<std::size_t> cutFromUpstreams; ///< Upstreams whose calls fail as unreachable.
    int storeAnswersToDrop { 0 }; ///< So many transactions take effect, but their answers are lost.
};

/// A deterministic simulation of several cores in one process. Their actions are executed on models
/// of the store and the upstreams, without sockets, clocks or threads; time advances in steps.
class CoreSimulation {
public:
    CoreSimulation(CoreSimulation&&) = default;
    CoreSimulation(int cores, int upstreams, const Configuration&, std::uint64_t seed = 1);

    /// Advances the time by kStep, then the store, the upstreams and each core that runs.
    void step();
    /// Steps until the condition holds; false if it doesn't within `limit` of simulated time.
    bool runUntil(const std::function<bool()>& condition, Duration limit = std::chrono::seconds(60));
    void runFor(Duration);

    /// Queues a caller's request for a core; reply() returns the answer once there is one.
    CallId call(std::size_t core, const std::string& key, std::variant<UrgentRequest, JobSubmission, JobQuery, JobCancellation>);
    /// Null while there is no reply.
    const CallerReply* reply(CallId) const;
    /// Writes the configuration to the store.
    void applyConfiguration(const Configuration&);
    /// Sends every core an instance list that shows the upstream as leaving.
    void markLeaving(std::size_t upstream);
    /// Number of starts that exceeded the capacity of an upstream.
    int overcommits() const { return m_overcommits; }
    /// Replaces the core by a new one without state or faults, as a process restart does.
    void restart(std::size_t core);

    CoreState& core(std::size_t n) { return *m_cores[n].state; }
    CoreFaults& faults(std::size_t n) { return m_cores[n].faults; }
    UpstreamModel& upstream(std::size_t n) { return m_upstreams[n].model; }
    StoreModel& store() { return m_store; }
    Instant now() const { return m_now; }
    /// Number of starts of this job's tasks, over all upstreams.
    int startsOf(const JobId&) const;
    int startsOfTeam(const TeamId&) const;
    /// The highest number of attempts that the team had running at a time.
    int maximumRunning(const TeamId&) const;
    /// How often a start left a job with more running attempts than it has tasks; 0 in a correct run.
    int overlaps() const { return m_overlaps; }
    /// Times of the starts in a failure domain, in order.
    std::vector<TimePoint> startsIn(const FailureDomainId&) const;
    std::vector<TimePoint> startsOn(std::size_t upstream) const;
    /// True if the live cores own all shards.
    bool allShardsOwned();
    /// Log lines of all cores, each with the simulated time in milliseconds.
    std::vector<std::string> log;

    static constexpr Duration kStep = std::chrono::milliseconds(10);

private:
    struct Core {
        std::unique_ptr<CoreState> state;
        CoreFaults faults;
        std::deque<Event> inbox; ///< Events for the next step.
        std::deque<Event> heldPeerMessages;
        StoreRevision watchFrom { 0 }; ///< Next revision that the watch delivers; 0: no watch.
    };
    struct Upstream {
        UpstreamModel model;
        UpstreamDescription description;
    };
    struct Start {
        UpstreamStart command;
        UpstreamDescription upstream;
        TimePoint at;
    };

    void runCore(std::size_t n);
    void executeActions(std::size_t n, const Actions&);
    void deliverWatch(Core&);
    void processUpstreamEvents(Upstream&);
    void updateRunningCounts();
    /// Null if there is no such upstream or the core is cut off from it.
    Upstream* findUpstream(std::size_t core, const UpstreamId&);
    CoreSettings settingsOf(std::size_t n) const;
    UpstreamListUpdate makeListUpdate() const;

    void execute(std::size_t n, const CallerReply&);
    void execute(std::size_t n, const PeerSend&);
    void execute(std::size_t n, const StoreTransaction&);
    void execute(std::size_t n, const StoreRange&);
    void execute(std::size_t n, const StoreLeaseGrant&);
    void execute(std::size_t n, const StoreLeaseKeepAlive&);
    void execute(std::size_t n, const StoreLeaseRevoke&);
    void execute(std::size_t n, const StoreWatch&);
    void execute(std::size_t n, const UpstreamFence&);
    void execute(std::size_t n, const UpstreamStart&);
    void execute(std::size_t n, const UpstreamSync&);
    void execute(std::size_t n, const UpstreamStop&);
    void execute(std::size_t n, const LogLine&);
    void execute(std::size_t n, const ShutdownComplete&);

    Instant m_now;
    StoreModel m_store;
    std::vector<Core> m_cores;
    std::vector<Upstream> m_upstreams;
    std::map<CallId, CallerReply> m_replies;
    std::map<AttemptId, std::size_t> m_resultWaiters; ///< Core that waits for each urgent attempt.
    std::map<AttemptId, Start> m_running;
    std::vector<Start> m_starts; ///< All starts, in order.
    std::map<TeamId, int> m_maximumRunning;
    int m_overlaps { 0 };
    int m_overcommits { 0 };
    std::uint64_t m_seed { 1 };
    CallId m_nextCall { 1 };
    int m_coreStarts { 0 }; ///< Cores created so far; makes the seed of each unique.
};

} // namespace crocuslever::testing
