#pragma once

#include "src/control/Commands.h"

namespace crocuslever {

/// Asks the instance that owns a cell where a job would go now. ExitOk if it would be accepted, ExitRefused if not or not for
/// certain, ExitInvalidFile if the file can't be read or is no JSON, ExitUnknown if the instance doesn't own the cell or gives no
/// usable answer.
ExitCode runExplainCommand(boost::asio::io_context&, const Arguments&, CommandOutput);

} // namespace crocuslever
