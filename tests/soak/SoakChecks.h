#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "review/standin/Worker.h"

namespace crocuslever::soak {

/// What a caller saw of one job. Times are milliseconds since the start of the program; 0: never.
struct JobNote {
    std::string id;
    int attempts { 0 }; ///< Promised by its queue.
    bool isAccepted { false };
    std::int64_t completedAt { 0 }; ///< First answer "completed".
    std::string lastState;
};

/// An end of a run that its worker was told to forget.
struct Acknowledgement {
    std::string task;
    int run { 0 };
    std::string worker;
    std::string how;
    std::int64_t at { 0 }; ///< Milliseconds since the start of the program.
    std::int64_t lapsedUntil { 0 }; ///< The worker's lease was over for the last time until then, up to `at`.
};

/// When each worker crashed, in order.
using CrashTimes = std::map<std::string, std::vector<std::int64_t>>;

/// One line for each broken rule; the rules are those of the users' pages.
std::vector<std::string> findBrokenRules(const std::vector<JobNote>&, const std::vector<standin::RunNote>&, const CrashTimes&, const std::vector<Acknowledgement>& = {});

} // namespace crocuslever::soak
