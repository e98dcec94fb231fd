#pragma once

#include <boost/asio/io_context.hpp>
#include <ostream>

#include "src/control/Arguments.h"

namespace crocuslever {

/// Streams for the results and for the error messages of a command.
struct CommandOutput {
    std::ostream& out;
    std::ostream& err;
};

/// Runs one command to completion, and the io_context meanwhile.
ExitCode runCommand(boost::asio::io_context&, const Arguments&, CommandOutput);

} // namespace crocuslever
