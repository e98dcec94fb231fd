#pragma once

#include <string>
#include <vector>

#include "crocuslever/Core.h"
#include "tests/support/Print.h"

namespace crocuslever::testing {

/// A core made ready by hand: one valid session that owns every shard, without
/// store or edges. Peers, teams and upstreams are added by name.
struct CoreFixture {
    CoreFixture();

    CoreState state;
    TimePoint now { std::chrono::hours(1) };
    Actions actions;

    /// Lets time pass and ticks the systems of the upstreams' owner.
    void advance(Duration);
    void tickOwner();
    /// Gives the shard another owner's epoch and back: as after a takeover.
    void claimAnew(ShardIndex);

    /// Replaces the configuration by an edited copy with the next revision.
    template <typename Edit>
    void configure(Edit edit)
    {
        Configuration next = *state.configuration.current;
        edit(next);
        ++next.revision;
        state.configuration.current = std::make_shared<const Configuration>(std::move(next));
    }

    void addTeam(const std::string& name, int limit, double weight = 1);
    void takeDomainOut(const std::string& domain);
    /// A live peer whose heartbeat shows this many free slots for urgent work.
    void addMember(const std::string& name, std::int64_t urgentSlots);

    static UpstreamDescription describe(const std::string& name, const std::string& domain = "zone-a", const std::string& rack = "rack-1");
    /// Sends the whole list, with these added to or replacing what it held.
    void list(const UpstreamDescription&);
    void unlist(const std::string& name);
    /// Lists an upstream and answers its fence.
    void addUpstream(const std::string& name, const std::string& domain = "zone-a", const std::string& rack = "rack-1");
    /// Answers the fence in flight.
    void answerFence(const std::string& name, const std::string& incarnation = "life-1", std::vector<AttemptStatus> attempts = {});
    void answerSync(const std::string& name, UpstreamOutcome, std::vector<AttemptStatus> attempts = {}, const std::string& incarnation = "life-1");
    void answerStart(const std::string& attempt, UpstreamOutcome, bool ended = false, const TaskResult& = {});
    void answerStop(const std::string& attempt, UpstreamOutcome, AttemptState = AttemptState::Unknown, const TaskResult& = {});

    UpstreamRow& upstream(const std::string& name) { return state.upstreams.at(UpstreamId(name)); }
    AttemptRow* attempt(const std::string& id);

    /// Takes the actions of one kind out of what was emitted.
    template <typename T>
    std::vector<T> take()
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

    /// Takes the messages of one kind sent to peers and to this instance itself.
    template <typename T>
    std::vector<T> takeMessages()
    {
        std::vector<T> taken;
        for (PeerSend& send : take<PeerSend>()) {
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

/// A running attempt as an upstream reports it.
AttemptStatus makeStatus(const std::string& attempt, const std::string& job, AttemptState);
/// Work of one slot.
TaskSpec makeSpec(WorkKind, bool idempotent);

} // namespace crocuslever::testing
