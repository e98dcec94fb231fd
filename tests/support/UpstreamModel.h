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

/// Applies to all tasks that start from now on.
struct UpstreamBehaviour {
    bool failAll { false }; ///< Every task fails.
    Duration extraTime { 0 }; ///< Added to the run time of every task.
};

/// An action of the upstream, for the history of a test.
struct UpstreamModelEvent {
    std::string name; ///< "start", "end", "stop", "lapse", "throttle", "fence", "refuse" or "overcommit".
    UpstreamStart command; ///< Start command of the attempt; a fence sets only shard and epoch.
    std::string reason;
    TaskResult result; ///< Set if the name is "end".
};

struct UpstreamStartAnswer {
    UpstreamOutcome outcome { UpstreamOutcome::Refused };
    AttemptStatus status;
    std::string reason;
};

/// A model of the platform's upstream that follows the upstream protocol, without sockets or clock.
/// The JSON body of a task controls its simulation: run time, failure, exit status and measured use.
class UpstreamModel {
public:
    explicit UpstreamModel(UpstreamModelSettings);

    UpstreamFenceResult fence(const UpstreamFence&, TimePoint now);
    UpstreamStartAnswer start(const UpstreamStart&, TimePoint now);
    UpstreamSyncResult sync(const UpstreamSync&, TimePoint now);
    UpstreamStopResult stop(const UpstreamStop&, TimePoint now);
    /// Ends the tasks that have completed by `now` and stops those whose lease has expired.
    void advance(TimePoint now);
    /// The next time at which a task completes or a lease expires; empty if nothing runs.
    std::optional<TimePoint> nextChange() const;

    AttemptStatus status(const AttemptId&, TimePoint now) const;
    /// Resources reserved by the running attempts.
    Resources used() const { return m_used; }
    const UpstreamModelSettings& settings() const { return m_settings; }
    void setBehaviour(const UpstreamBehaviour& behaviour) { m_behaviour = behaviour; }
    /// Removes and returns the events since the last call.
    std::vector<UpstreamModelEvent> takeEvents();

private:
    struct Attempt {
        UpstreamStart command;
        AttemptState state { AttemptState::NeverStarted };
        bool acknowledged { false };
        TimePoint endsAt;
        TimePoint leaseUntil;
        Resources measured; ///< Simulated use, which may differ from the reserved resources.
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
    std::map<AttemptId, Attempt> m_attempts; ///< Never erased, so that no attempt starts twice.
    Resources m_used { 0, 0, 0, 0 };
    std::vector<UpstreamModelEvent> m_events;
};

} // namespace crocuslever::testing
