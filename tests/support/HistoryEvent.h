#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "crocuslever/Ids.h"
#include "crocuslever/Resources.h"

namespace crocuslever::testing {

/// Who wrote a line of an event log.
enum class HistorySource {
    Scenario, ///< The test itself, which logs the upstream list and the faults it injects.
    Upstream,
    Instance,
    Caller,
    Operator,
    Other,
};

/// Microseconds of the monotonic clock, which all processes of one machine share.
using HistoryTime = std::int64_t;

/// One line of an event log. Members that the line lacks keep their defaults.
struct HistoryEvent {
    HistoryTime t { 0 };
    HistorySource source { HistorySource::Other };
    std::string name;

    // Events of an attempt at an upstream.
    UpstreamId upstream;
    IncarnationId incarnation;
    AttemptId attempt;
    JobId job; ///< Also set in a caller's answer.
    TeamId team;
    std::string kind;
    bool idempotent { false };
    Resources resources;
    std::string bodySha256; ///< Also set in a caller's request.

    // Events of an instance, and faults injected into it.
    InstanceId instance;
    std::uint64_t revision { 0 }; ///< Configuration revision; also set in an operator's change.
    int exitStatus { 0 };

    // Events of a caller.
    std::string call; ///< Id that a request and its answer share.
    std::string key;
    std::string outcome;
    int tasks { 1 }; ///< Number of tasks of the work.
    std::optional<bool> bodyOk; ///< The answer belongs to the request; empty: no result came.

    // Events of an operator: the complete configuration after the change.
    std::map<TeamId, int> limits;
    std::vector<FailureDomainId> domainsOut;
    std::vector<std::string> withdrawnKeys;

    // Events of the scenario.
    struct Upstream {
        UpstreamId id;
        FailureDomainId domain;
        Resources capacity;
        bool leaving { false };
    };
    std::vector<Upstream> upstreams;
};

using History = std::vector<HistoryEvent>;

/// Parses one line; nothing unless it is a complete JSON object with a time.
std::optional<HistoryEvent> parseHistoryEvent(const std::string& line);
/// Reads the logs and sorts their events by time. Lines that can't be parsed, such as a truncated
/// last line, are skipped.
History readHistory(const std::vector<std::string>& paths);

} // namespace crocuslever::testing
