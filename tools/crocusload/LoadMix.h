#pragma once

#include <optional>
#include <string>
#include <vector>

#include "crocuslever/Error.h"
#include "crocuslever/Resources.h"
#include "crocuslever/TaskSpec.h"

namespace crocuslever::load {

/// Requests or jobs of one kind, which arrive at a constant mean rate.
struct Stream {
    std::string name;
    std::string team; ///< Printed in the report; instances identify the team by the key.
    std::string key; ///< "ID.SECRET"
    WorkKind kind { WorkKind::Urgent };
    std::string service;
    bool idempotent { false };
    double ratePerSecond { 0 };
    std::int64_t taskMs { 0 }; ///< How long the upstream works on each task.
    std::optional<Resources> resources; ///< Of each task; unset: the default of the configuration.
    int taskCount { 1 };
};

/// Parses a mix file; the error lists every fault.
Result<std::vector<Stream>> parseMix(const std::string& text, const std::string& fileName);

} // namespace crocuslever::load
