#pragma once

#include <optional>
#include <string>
#include <vector>

#include "crocuslever/Error.h"
#include "crocuslever/Resources.h"
#include "crocuslever/TaskSpec.h"

namespace crocuslever::load {

/// Work of one sort that arrives at a steady mean rate.
struct Stream {
    std::string name;
    std::string team; ///< For the report; the key decides.
    std::string key; ///< "ID.SECRET"
    WorkKind kind { WorkKind::Urgent };
    std::string service;
    bool idempotent { false };
    double ratePerSecond { 0 };
    std::int64_t taskMs { 0 };
    std::optional<Resources> resources; ///< Of each task; absent: the configuration's.
    int taskCount { 1 };
};

/// Parses a mix file; the error names every fault.
Result<std::vector<Stream>> parseMix(const std::string& text, const std::string& fileName);

} // namespace crocuslever::load
