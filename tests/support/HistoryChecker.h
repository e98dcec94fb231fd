#pragma once

#include <string>
#include <tuple>
#include <vector>

#include "crocuslever/Time.h"
#include "tests/support/HistoryEvent.h"

namespace crocuslever::testing {

/// Rules that every history must obey.
enum class Invariant {
    NoOvercommit, ///< No upstream runs more than its capacity.
    NoConcurrentAttempts, ///< No job or urgent request has more running attempts than tasks.
    KeyAuthorization, ///< A key starts work of its team only, and none once it is withdrawn.
    TeamLimit, ///< No team runs more attempts than its upper limit.
    NoStartInOutageDomain, ///< Nothing starts in a failure domain that is taken out of service.
    AnswerMatchesRequest, ///< A caller receives the result of its own request.
    NotRunNeverStarted, ///< Work answered with not_run never starts.
    StartedAtMostOnce, ///< Non-idempotent work starts once per task at most.
    NoStartOnLeavingUpstream, ///< Nothing starts on an upstream that the list shows as leaving.
    GracefulShutdown, ///< A graceful shutdown completes all calls and exits with status 0.
    ConfigurationConverges, ///< A change reaches every instance; none returns to an older revision.
};

const char* toString(Invariant);

struct Violation {
    Invariant invariant { Invariant::NoOvercommit };
    HistoryTime t { 0 };
    std::string text;

    auto tie() const { return std::tie(invariant, t, text); }
};

/// Time limits for configuration changes and list changes, counted from their acceptance.
struct HistoryLimits {
    Duration changeEffectTimeout { std::chrono::seconds(5) }; ///< Until every start and call obeys it.
    Duration convergenceTimeout { std::chrono::seconds(7) }; ///< Until each instance has applied it.
};

/// Checks a history against every invariant. The history must be sorted by time; the result is
/// empty if there are no violations.
std::vector<Violation> checkHistory(const History&, const HistoryLimits& = {});
/// Formats the violations, one per line.
std::string describe(const std::vector<Violation>&);

} // namespace crocuslever::testing
