#pragma once

#include <string>
#include <tuple>
#include <vector>

#include "crocuslever/Time.h"
#include "tests/support/HistoryEvent.h"

namespace crocuslever::testing {

/// What must hold in every history.
enum class Invariant {
    NoOvercommit,
    NoConcurrentAttempts,
    KeyAuthorization, ///< And a withdrawn key stops working.
    TeamLimit,
    NoStartInOutageDomain,
    AnswerMatchesRequest,
    NotRunNeverStarted,
    StartedAtMostOnce,
    NoStartOnLeavingUpstream,
    GracefulShutdown,
    ConfigurationConverges, ///< Everywhere, and never an older one again.
};

const char* toString(Invariant);

struct Violation {
    Invariant invariant { Invariant::NoOvercommit };
    HistoryTime t { 0 };
    std::string text;

    auto tie() const { return std::tie(invariant, t, text); }
};

/// How long after it was accepted a change may take to be in force.
struct HistoryLimits {
    Duration changeEffectTimeout { std::chrono::seconds(5) };
    Duration convergenceTimeout { std::chrono::seconds(7) };
};

/// Judges a history by every invariant. The history is sorted by time.
std::vector<Violation> checkHistory(const History&, const HistoryLimits& = {});
/// One line for each violation.
std::string describe(const std::vector<Violation>&);

} // namespace crocuslever::testing
