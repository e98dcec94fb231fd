#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "crocuslever/Resources.h"
#include "crocuslever/UpstreamProtocol.h"

namespace crocuslever::testing {

struct UpstreamModelSettings {
    UpstreamId id;
    IncarnationId incarnation;
    Resources capacity;
};

/// How the upstream treats all the tasks it is given from now on.
struct UpstreamBehaviour {
    bool failAll { false };
    Duration extraTime { 0 };
};

/// What the upstream did, for the history of a test.
struct UpstreamModelEvent {
    std::string name; ///< "start", "end", "stop", "lapse", "throttle", "fence", "refuse" or "overcommit".
    UpstreamStart command; ///< Of the attempt; only the shard and epoch for a fence.
    std::string reason;
    TaskResult result; ///< Of an end.
};

struct UpstreamStartAnswer {
    UpstreamOutcome outcome { UpstreamOutcome::Refused };
    AttemptStatus status;
    std::string reason;
};

/// The platform's upstream as the protocol requires it, without sockets or clock.
/// Tasks are simulated from their bodies.
class UpstreamModel {
public:
    explicit UpstreamModel(UpstreamModelSettings);

    UpstreamFenceResult fence(const UpstreamFence&, TimePoint now);
    UpstreamStartAnswer start(const UpstreamStart&, TimePoint now);
    UpstreamSyncResult sync(const UpstreamSync&, TimePoint now);
    UpstreamStopResult stop(const UpstreamStop&, TimePoint now);
    /// Ends tasks whose time has come and those whose lease has lapsed.
    void advance(TimePoint now);
    /// When advance() has something to do next.
    std::optional<TimePoint> nextChange() const;

    AttemptStatus status(const AttemptId&, TimePoint now) const;
    Resources used() const { return m_used; }
    const UpstreamModelSettings& settings() const { return m_settings; }
    void setBehaviour(const UpstreamBehaviour& behaviour) { m_behaviour = behaviour; }
    std::vector<UpstreamModelEvent> takeEvents();

private:
    struct Attempt {
        UpstreamStart command;
        AttemptState state { AttemptState::NeverStarted };
        bool acknowledged { false };
        TimePoint endsAt;
        TimePoint leaseUntil;
        Resources measured;
        TaskResult result;
    };

    Epoch fencedEpoch(ShardIndex) const;
    UpstreamOutcome check(ShardIndex, Epoch, const IncarnationId&) const;
    UpstreamStartAnswer refuse(const UpstreamStart&, const char* event, std::string reason);
    UpstreamStartAnswer startNew(const UpstreamStart&, TimePoint now);
    void run(Attempt&, TimePoint now);
    void finish(Attempt&, AttemptState, const char* event, std::string reason);
    void throttle(Attempt&, TimePoint now);
    AttemptStatus statusOf(const Attempt&, TimePoint now) const;
    std::vector<AttemptStatus> unacknowledged(TimePoint now, bool withRunning) const;
    void record(const char* name, const UpstreamStart&, std::string reason, TaskResult result = {});

    UpstreamModelSettings m_settings;
    UpstreamBehaviour m_behaviour;
    std::map<ShardIndex, Epoch> m_epochs;
    std::map<AttemptId, Attempt> m_attempts; ///< Never forgotten, so that none starts twice.
    Resources m_used { 0, 0, 0, 0 };
    std::vector<UpstreamModelEvent> m_events;
};

} // namespace crocuslever::testing
