#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "crocuslever/Error.h"

namespace crocuslever {

/// Exit statuses of crocusctl; its help explains them.
enum ExitCode {
    ExitOk = 0,
    ExitRefused = 1,
    ExitUsage = 2,
    ExitInvalidFile = 3,
    ExitConflict = 4,
    ExitUnknown = 5,
    ExitNotActive = 6,
};

/// A parsed command line. Options that the command does not take, or that were not given, are empty.
struct Arguments {
    std::string command; ///< Such as "apply" or "key new".
    std::vector<std::string> operands; ///< FILE, TEAM, KEYID, NAME or JOB.
    std::vector<std::string> stores; ///< "IP:port"
    std::vector<std::string> entries; ///< "IP:port"
    bool asJson { false };
    std::optional<std::chrono::seconds> wait; ///< How long to wait for all instances; unset: not at all.
    std::string reason;
    std::string key;
    std::string id;
    std::string service;
    std::string kind;
    bool idempotent { false };
    std::string body;
    std::string bodyFile;
    std::string instance; ///< "IP:port" of an instance's metrics address.
    std::string specFile;
    std::string host;
    std::string path;
    std::string team;
};

/// Either the arguments, or the exit status after help, the version or a usage error was printed.
struct ParsedArguments {
    std::optional<Arguments> arguments;
    ExitCode exitCode { ExitOk };
};

/// Parses the words that follow the program's name.
ParsedArguments parseArguments(std::vector<std::string> words, const std::string& version);

} // namespace crocuslever
