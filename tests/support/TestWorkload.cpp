#include "tests/support/TestWorkload.h"

namespace crocuslever::testing {

Configuration makeConfiguration(std::uint64_t revision, int upperLimit)
{
    Configuration configuration;
    configuration.revision = revision;
    Team team;
    team.id = kTeam;
    team.upperLimit = upperLimit;
    team.keys.push_back({ "k1", "ab", hashKeySecret("ab", "secret") });
    configuration.teams.push_back(team);
    return configuration;
}

JobSubmission makeJob(const std::string& id, bool idempotent, int sleepMs)
{
    JobSubmission submission;
    submission.idempotencyId = id;
    submission.spec.service = "refit-plan";
    submission.spec.idempotent = idempotent;
    submission.spec.body = "{\"sleep_ms\":" + std::to_string(sleepMs) + "}";
    return submission;
}

UrgentRequest makeUrgentRequest(int sleepMs)
{
    UrgentRequest request;
    request.spec.kind = WorkKind::Urgent;
    request.spec.service = "lookup";
    request.spec.idempotent = true;
    request.spec.body = "{\"sleep_ms\":" + std::to_string(sleepMs) + "}";
    return request;
}

} // namespace crocuslever::testing
