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

/// When each worker crashed, in order.
using CrashTimes = std::map<std::string, std::vector<std::int64_t>>;

/// One line for each broken rule; the rules are those of the users' pages.
std::vector<std::string> findBrokenRules(const std::vector<JobNote>&, const std::vector<standin::RunNote>&, const CrashTimes&);

} // namespace crocuslever::soak
