#include "src/cell/EntryReplies.h"

namespace crocuslever::cell {

static constexpr Duration kRetryAfterOutage = std::chrono::milliseconds(1000);

const char* toString(EntryOutcome outcome)
{
    switch (outcome) {
    case EntryOutcome::Accepted:
        return "accepted";
    case EntryOutcome::State:
        return "state";
    case EntryOutcome::Count:
        return "count";
    case EntryOutcome::Cancelled:
        return "cancelled";
    case EntryOutcome::Gone:
        return "gone";
    case EntryOutcome::NoRoute:
        return "no_route";
    case EntryOutcome::Unauthorized:
        return "unauthorized";
    case EntryOutcome::Malformed:
        return "malformed";
    case EntryOutcome::Refused:
        return "refused";
    case EntryOutcome::Overloaded:
        return "overloaded";
    case EntryOutcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

EntryReply makeReply(EntryOutcome outcome, const std::string& reason)
{
    EntryReply answer;
    answer.outcome = outcome;
    answer.reason = reason;
    return answer;
}

EntryReply makeState(JobState job)
{
    EntryReply answer;
    answer.outcome = EntryOutcome::State;
    answer.state = job;
    return answer;
}

EntryReply makeCount(std::int64_t count)
{
    EntryReply answer;
    answer.outcome = EntryOutcome::Count;
    answer.count = count;
    return answer;
}

EntryReply makeRefusal(const std::string& reason)
{
    EntryReply answer = makeReply(EntryOutcome::Refused, reason);
    answer.retryAfter = kRetryAfterOutage;
    return answer;
}

} // namespace crocuslever::cell
