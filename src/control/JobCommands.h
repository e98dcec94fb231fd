#pragma once

#include <boost/asio/io_context.hpp>

#include "src/control/Commands.h"

namespace crocuslever {

/// Runs submit, get, result or cancel, each one call of the callers' API. A call without an answer is
/// retried, which is safe as these calls are idempotent.
ExitCode runJobCommand(boost::asio::io_context&, const Arguments&, CommandOutput);

} // namespace crocuslever
