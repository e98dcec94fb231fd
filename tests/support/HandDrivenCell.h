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

/// How one core of the cell is treated.
struct CoreFaults {
    bool alive { true };
    bool frozen { false }; ///< Runs nothing; what is sent to it waits.
    bool cutFromStore { false };
    bool cutFromPeers { false };
    /// What peers send it waits, and comes when this ends; what it sends is lost.
    bool peersHeldUp { false };
    std::set<std::size_t> cutFromUpstreams; ///< By their numbers.
    int storeAnswersToLose { 0 }; ///< The change takes effect, its answer is lost.
};

/// A few cores in one process, whose actions are carried out by hand on models of
/// the store and the upstreams: no socket, clock or thread. Time moves in steps.
class HandDrivenCell {
public:
    HandDrivenCell(HandDrivenCell&&) = default;
    HandDrivenCell(int cores, int upstreams, const Configuration&, std::uint64_t seed = 1);

    /// One step of kStep for everything.
    void step();
    /// Steps until the condition holds; false if it didn't within `limit`.
    bool runUntil(const std::function<bool()>& condition, Duration limit = std::chrono::seconds(60));
    void runFor(Duration);

    /// Hands a caller's request to a core; its reply appears in replies().
    CallId call(std::size_t core, const std::string& key, std::variant<UrgentRequest, JobSubmission, JobQuery, JobCancellation>);
    const CallerReply* reply(CallId) const;
    void applyConfiguration(const Configuration&);
    /// The platform's list shows the upstream as leaving, to every core at once.
    void showLeaving(std::size_t upstream);
    /// Starts that an upstream had no room for.
    int overcommits() const { return m_overcommits; }
    /// A new process in the place of a dead one.
    void restart(std::size_t core);

    CoreState& core(std::size_t n) { return *m_cores[n].state; }
    CoreFaults& conduct(std::size_t n) { return m_cores[n].conduct; }
    UpstreamModel& upstream(std::size_t n) { return m_upstreams[n].model; }
    StoreModel& store() { return m_store; }
    Instant now() const { return m_now; }
    /// How often each job's tasks were started, over all upstreams.
    int startsOf(const JobId&) const;
    int startsOfTeam(const TeamId&) const;
    /// The most that a team ever had running at once.
    int mostRunning(const TeamId&) const;
    /// Two running attempts of one job at the same time, ever.
    int overlaps() const { return m_overlaps; }
    /// Starts of any kind in a failure domain, by time.
    std::vector<TimePoint> startsIn(const FailureDomainId&) const;
    std::vector<TimePoint> startsOn(std::size_t upstream) const;
    bool isSettled();
    std::vector<std::string> log;

    static constexpr Duration kStep = std::chrono::milliseconds(10);

private:
    struct Core {
        std::unique_ptr<CoreState> state;
        CoreFaults conduct;
        std::deque<Event> inbox;
        std::deque<Event> heldPeerMessages;
        StoreRevision watchFrom { 0 };
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
    /// Null where the core is cut off from it.
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
    std::map<AttemptId, std::size_t> m_resultWaiters; ///< Urgent attempts: which core waits for the end.
    std::map<AttemptId, Start> m_running;
    std::vector<Start> m_starts;
    std::map<TeamId, int> m_maximumRunning;
    int m_overlaps { 0 };
    int m_overcommits { 0 };
    std::uint64_t m_seed { 1 };
    CallId m_nextCall { 1 };
    int m_coreStarts { 0 };
};

} // namespace crocuslever::testing
