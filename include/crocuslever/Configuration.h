#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "crocuslever/Comparable.h"
#include "crocuslever/Ids.h"
#include "crocuslever/TaskSpec.h"
#include "crocuslever/Time.h"

namespace crocuslever {

/// Fleet-wide rules that hold unless an exception says otherwise.
struct PolicyDefaults {
    Resources taskResources { 1000, 256, 0, 1 }; ///< For work that declares none.
    int maximumAttempts { 3 };
    Duration urgentDeadline { std::chrono::milliseconds(2300) };
    /// Of deferred attempts at the upstream. Several times the session's lease, so
    /// that a take-over comes well before the tasks of a dead owner lapse.
    Duration attemptLease { std::chrono::seconds(20) };
    Duration resultRetention { std::chrono::hours(24) };
    int urgentHeadroomPercent { 12 }; ///< Of each upstream's slots, kept from deferred work.
    int maximumQueuedJobs { 2000 }; ///< Per team and shard owner.
    std::int64_t maximumBodyBytes { 65536 };

    auto tie() const
    {
        return std::tie(taskResources, maximumAttempts, urgentDeadline, attemptLease, resultRetention,
            urgentHeadroomPercent, maximumQueuedJobs, maximumBodyBytes);
    }
};

/// Replaces single defaults for one team, one kind of work, or both.
struct PolicyException {
    std::string name;
    std::string reason; ///< Never empty.
    std::optional<TeamId> team;
    std::optional<WorkKind> kind;
    std::optional<Resources> taskResources;
    std::optional<int> maximumAttempts;
    std::optional<Duration> urgentDeadline;
    std::optional<int> maximumQueuedJobs;
    std::optional<std::int64_t> maximumBodyBytes;

    auto tie() const
    {
        return std::tie(name, reason, team, kind, taskResources, maximumAttempts, urgentDeadline, maximumQueuedJobs, maximumBodyBytes);
    }
};

/// A key as the configuration keeps it: never the key itself.
struct KeyHash {
    std::string id; ///< Public part: what stands before the dot in the key.
    std::string salt; ///< Hexadecimal.
    std::string hash; ///< Hexadecimal SHA-256 of salt and secret.

    auto tie() const { return std::tie(id, salt, hash); }
};

struct Team {
    TeamId id;
    double shareWeight { 1 }; ///< Relative to the other teams, for when all is full.
    int upperLimit { 0 }; ///< Tasks and urgent requests running at once, fleet-wide.
    std::vector<KeyHash> keys;

    auto tie() const { return std::tie(id, shareWeight, upperLimit, keys); }
};

struct DomainOutage {
    FailureDomainId domain;
    std::string reason;

    auto tie() const { return std::tie(domain, reason); }
};

/// Service-level objective of one team and kind of work.
struct Objective {
    TeamId team;
    WorkKind kind { WorkKind::Urgent };
    Duration waitingTime { 0 }; ///< A start later than this after submission is bad.
    double target { 0.99 }; ///< Fraction of requests that must be good.

    auto tie() const { return std::tie(team, kind, waitingTime, target); }
};

/// Everything that operators declare. Immutable once adopted.
struct Configuration {
    std::uint64_t revision { 0 }; ///< Rises by one at each accepted change.
    PolicyDefaults defaults;
    std::vector<PolicyException> exceptions;
    std::vector<Team> teams;
    std::vector<DomainOutage> domainsOut;
    std::vector<Objective> objectives;

    auto tie() const { return std::tie(revision, defaults, exceptions, teams, domainsOut, objectives); }
    const Team* findTeam(const TeamId&) const;
    bool isDomainOut(const FailureDomainId&) const;
};

/// The defaults with each exception for this team and kind laid over them, in order.
PolicyDefaults effectivePolicy(const Configuration&, const TeamId&, WorkKind);

/// The team that this key ("id.secret") belongs to, if the key is in force.
std::optional<TeamId> authenticate(const Configuration&, const std::string& key);

/// Hexadecimal SHA-256 of salt and secret.
std::string hashKeySecret(const std::string& salt, const std::string& secret);

} // namespace crocuslever
