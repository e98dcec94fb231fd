#pragma once

#include <boost/asio/io_context.hpp>

#include "src/control/Commands.h"

namespace crocuslever {

/// submit, get, result and cancel: one call of the caller API. A call without
/// an answer is made again, which is safe as each has the effect of one.
ExitCode runJobCommand(boost::asio::io_context&, const Arguments&, CommandOutput);

} // namespace crocuslever
