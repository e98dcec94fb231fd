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

/// Fleet-wide policy, which a PolicyException can override by team and kind of work.
struct PolicyDefaults {
    Resources taskResources { 1000, 256, 0, 1 }; ///< Used for work that declares no resources.
    int maximumAttempts { 3 };
    Duration urgentDeadline { std::chrono::milliseconds(2300) };
    /// Lease of a deferred attempt at the upstream. Several times the session's lease, so
    /// that another instance takes over well before the tasks of a failed owner lapse.
    Duration attemptLease { std::chrono::seconds(20) };
    Duration resultRetention { std::chrono::hours(24) };
    int urgentHeadroomPercent { 12 }; ///< Share of each upstream's slots that deferred work may not use.
    int maximumQueuedJobs { 2000 }; ///< Limit for each team at each shard owner.
    std::int64_t maximumBodyBytes { 65536 };

    auto tie() const
    {
        return std::tie(taskResources, maximumAttempts, urgentDeadline, attemptLease, resultRetention,
            urgentHeadroomPercent, maximumQueuedJobs, maximumBodyBytes);
    }
};

/// Overrides some of the defaults for one team, one kind of work, or both. An empty
/// optional matches any team or kind, or leaves the default unchanged.
struct PolicyException {
    std::string name;
    std::string reason; ///< Why operators declared it; never empty.
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

/// A salted hash of an API key. The configuration never holds the key itself.
struct KeyHash {
    std::string id; ///< Public part of the key, before the dot.
    std::string salt; ///< Hexadecimal.
    std::string hash; ///< Hexadecimal SHA-256 of salt and secret.

    auto tie() const { return std::tie(id, salt, hash); }
};

struct Team {
    TeamId id;
    double shareWeight { 1 }; ///< Weight relative to other teams when capacity is short.
    int upperLimit { 0 }; ///< Most tasks and urgent requests running at once, fleet-wide.
    std::vector<KeyHash> keys;

    auto tie() const { return std::tie(id, shareWeight, upperLimit, keys); }
};

/// A failure domain that operators have taken out of service.
struct DomainOutage {
    FailureDomainId domain;
    std::string reason;

    auto tie() const { return std::tie(domain, reason); }
};

/// Service-level objective of one team and kind of work.
struct Objective {
    TeamId team;
    WorkKind kind { WorkKind::Urgent };
    Duration waitingTime { 0 }; ///< Longest time from submission to start that meets the objective.
    double target { 0.99 }; ///< Fraction of requests that must meet it.

    auto tie() const { return std::tie(team, kind, waitingTime, target); }
};

/// Everything that operators declare. Immutable once adopted.
struct Configuration {
    std::uint64_t revision { 0 }; ///< Incremented by each accepted change; 0: none adopted yet.
    PolicyDefaults defaults;
    std::vector<PolicyException> exceptions;
    std::vector<Team> teams;
    std::vector<DomainOutage> domainsOut;
    std::vector<Objective> objectives;

    auto tie() const { return std::tie(revision, defaults, exceptions, teams, domainsOut, objectives); }
    /// Null if the team isn't configured.
    const Team* findTeam(const TeamId&) const;
    bool isDomainOut(const FailureDomainId&) const;
};

/// The defaults, overridden in order by each exception that matches the team and kind.
PolicyDefaults effectivePolicy(const Configuration&, const TeamId&, WorkKind);

/// The team that the key ("id.secret") belongs to; empty if the key is unknown or malformed.
std::optional<TeamId> authenticate(const Configuration&, const std::string& key);

/// Hexadecimal SHA-256 of the salt followed by the secret.
std::string hashKeySecret(const std::string& salt, const std::string& secret);

} // namespace crocuslever
