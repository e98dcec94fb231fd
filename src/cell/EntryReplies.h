#pragma once

#include <string>

#include "src/cell/Messages.h"

namespace crocuslever::cell {

// Answers to callers, without the id of the call.

EntryReply makeReply(EntryOutcome, const std::string& reason = {});
/// The state of a job.
EntryReply makeState(JobState);
/// The number of jobs of a queue that wait.
EntryReply makeCount(std::int64_t count);
/// The call had no effect, as something it needs is out of reach; with the time after which to try again.
EntryReply makeRefusal(const std::string& reason);

} // namespace crocuslever::cell
