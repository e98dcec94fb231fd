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
    Scenario, ///< The test itself: what there is, and which faults it makes.
    Upstream,
    Instance,
    Caller,
    Operator,
    Other,
};

/// Microseconds of the clock that every process of the machine shares.
using HistoryTime = std::int64_t;

/// One line of an event log. Members that the line doesn't have are empty.
struct HistoryEvent {
    HistoryTime t { 0 };
    HistorySource source { HistorySource::Other };
    std::string name;

    // Of an attempt at an upstream.
    UpstreamId upstream;
    IncarnationId incarnation;
    AttemptId attempt;
    JobId job; ///< Also of a caller's answer.
    TeamId team;
    std::string kind;
    bool idempotent { false };
    Resources resources;
    std::string bodySha256; ///< Also of a caller's request.

    // Of an instance, or of a fault done to it.
    InstanceId instance;
    std::uint64_t revision { 0 }; ///< Also of an operator's change.
    int exitStatus { 0 };

    // Of a caller.
    std::string call;
    std::string key;
    std::string outcome;
    int tasks { 1 };
    std::optional<bool> bodyOk;

    // Of an operator's change: the whole of what is declared.
    std::map<TeamId, int> limits;
    std::vector<FailureDomainId> domainsOut;
    std::vector<std::string> withdrawnKeys;

    // Of the scenario.
    struct Upstream {
        UpstreamId id;
        FailureDomainId domain;
        Resources capacity;
        bool leaving { false };
    };
    std::vector<Upstream> upstreams;
};

using History = std::vector<HistoryEvent>;

/// Parses one line; nothing if it isn't a whole JSON object with a time.
std::optional<HistoryEvent> parseHistoryEvent(const std::string& line);
/// Reads all of the logs and sorts them by time. A last line that was cut short is left out.
History readHistory(const std::vector<std::string>& paths);

} // namespace crocuslever::testing
