#pragma once

#include <boost/asio/io_context.hpp>
#include <ostream>

#include "src/control/Arguments.h"

namespace crocuslever {

/// Where a command prints: results and what went wrong.
struct CommandOutput {
    std::ostream& out;
    std::ostream& err;
};

/// Carries out one command, running the io_context meanwhile.
ExitCode runCommand(boost::asio::io_context&, const Arguments&, CommandOutput);

} // namespace crocuslever
