#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "crocuslever/Error.h"

namespace crocuslever {

/// The exit status of `crocusctl`, as its help lists them.
enum ExitCode {
    ExitOk = 0,
    ExitRefused = 1,
    ExitUsage = 2,
    ExitInvalidFile = 3,
    ExitConflict = 4,
    ExitUnknown = 5,
    ExitNotActive = 6,
};

/// What was asked for on the command line.
struct Arguments {
    std::string command; ///< Such as "apply" or "key new".
    std::vector<std::string> operands; ///< FILE, TEAM, KEYID, NAME or JOB.
    std::vector<std::string> stores; ///< "IP:port"
    std::vector<std::string> entries; ///< "IP:port"
    bool asJson { false };
    std::optional<std::chrono::seconds> wait;
    std::string reason;
    std::string key;
    std::string id;
    std::string service;
    std::string kind;
    bool idempotent { false };
    std::string body;
    std::string bodyFile;
};

/// Either what to do, or the exit status where help, version or a fault was printed.
struct ParsedArguments {
    std::optional<Arguments> arguments;
    ExitCode exitCode { ExitOk };
};

ParsedArguments parseArguments(std::vector<std::string> words, const std::string& version);

} // namespace crocuslever
