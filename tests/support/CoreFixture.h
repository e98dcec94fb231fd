#pragma once

#include <string>
#include <vector>

#include "crocuslever/Core.h"
#include "tests/support/Print.h"

namespace crocuslever::testing {

/// The state of one core with a valid session that owns every shard, without a store, sockets or
/// clock. Peers, teams and upstreams are added by name; emitted actions collect in `actions`.
struct CoreFixture {
    CoreFixture();

    CoreState state;
    TimePoint now { std::chrono::hours(1) };
    Actions actions;

    /// Advances the time in steps of 100 ms, with tickOwner() at each.
    void advance(Duration);
    /// Runs the upstream and attempt systems once at the current time.
    void tickOwner();
    /// Puts the shard into the Settling phase under the next epoch, as after a takeover.
    void reclaimShard(ShardIndex);

    /// Replaces the configuration by a copy that `edit` has changed, with the next revision.
    template <typename Edit>
    void configure(Edit edit)
    {
        Configuration next = *state.configuration.current;
        edit(next);
        ++next.revision;
        state.configuration.current = std::make_shared<const Configuration>(std::move(next));
    }

    /// Adds a team and grants its whole limit, in tasks, to this core.
    void addTeam(const std::string& name, int limit, double weight = 1);
    void takeDomainOut(const std::string& domain);
    /// Adds a live peer whose heartbeat reports this many free slots for urgent work.
    void addMember(const std::string& name, std::int64_t urgentSlots);

    static UpstreamDescription makeUpstreamDescription(const std::string& name, const std::string& domain = "zone-a", const std::string& rack = "rack-1");
    /// Adds the upstream to the list, or replaces its entry, and hands the whole list to the core.
    void listUpstream(const UpstreamDescription&);
    /// Removes the upstream from the list and hands the rest to the core.
    void unlistUpstream(const std::string& name);
    /// Lists an upstream and answers its fence call, so that it accepts work.
    void addUpstream(const std::string& name, const std::string& domain = "zone-a", const std::string& rack = "rack-1");
    // Answers to the calls in flight.
    void answerFence(const std::string& name, const std::string& incarnation = "life-1", std::vector<AttemptStatus> attempts = {});
    void answerSync(const std::string& name, UpstreamOutcome, std::vector<AttemptStatus> attempts = {}, const std::string& incarnation = "life-1");
    void answerStart(const std::string& attempt, UpstreamOutcome, bool ended = false, const TaskResult& = {});
    void answerStop(const std::string& attempt, UpstreamOutcome, AttemptState = AttemptState::Unknown, const TaskResult& = {});

    /// The state row of an upstream; throws if there is none.
    UpstreamRow& upstream(const std::string& name) { return state.upstreams.at(UpstreamId(name)); }
    /// The state row of an attempt; null if there is none.
    AttemptRow* attempt(const std::string& id);

    /// Removes the emitted actions of type T and returns them in order.
    template <typename T>
    std::vector<T> takeActions()
    {
        std::vector<T> taken;
        Actions rest;
        for (Action& action : actions) {
            if (std::holds_alternative<T>(action))
                taken.push_back(std::get<T>(std::move(action)));
            else
                rest.push_back(std::move(action));
        }
        actions = std::move(rest);
        return taken;
    }

    /// Removes the messages of type T sent to peers or to this instance itself, and returns them.
    template <typename T>
    std::vector<T> takeMessages()
    {
        std::vector<T> taken;
        for (PeerSend& send : takeActions<PeerSend>()) {
            if (std::holds_alternative<T>(send.message))
                taken.push_back(std::get<T>(std::move(send.message)));
            else
                actions.push_back(std::move(send));
        }
        std::deque<PeerMessage> rest;
        for (PeerMessage& message : state.loopback) {
            if (std::holds_alternative<T>(message))
                taken.push_back(std::get<T>(std::move(message)));
            else
                rest.push_back(std::move(message));
        }
        state.loopback = std::move(rest);
        return taken;
    }

private:
    std::map<UpstreamId, UpstreamDescription> m_listed;
    void sendList();
};

/// The status of an attempt of one slot with a lease of 3 s left, as an upstream reports it.
AttemptStatus makeStatus(const std::string& attempt, const std::string& job, AttemptState);
/// A task that takes one slot.
TaskSpec makeSpec(WorkKind, bool idempotent);

} // namespace crocuslever::testing
