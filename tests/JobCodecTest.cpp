#include "src/codec/RecordCodec.h"

#include <boost/test/unit_test.hpp>

#include "src/codec/generated/records.pb.h"

using namespace crocuslever;

BOOST_AUTO_TEST_SUITE(JobCodecTest)

static JobRecord makeJob()
{
    JobRecord job;
    job.id = JobId("0123");
    job.team = TeamId("shopfloor");
    job.idempotencyId = "plan-\xff-7";
    job.spec = { WorkKind::Gang, "refit-plan", true, { 2000, 512, 1, 1 }, 2, 5, std::chrono::seconds(3), std::chrono::seconds(60), "" };
    job.submittedAtMs = 1700000000123;
    job.endedAtMs = 1700000000456;
    job.state = JobState::OutcomeUnknown;
    job.reason = RefusalReason::UpstreamLost;
    job.cancelRequested = true;
    TaskRecord assigned;
    assigned.assignment = Assignment { AttemptId("s-1"), UpstreamId("u-001"), FailureDomainId("a"), IncarnationId("i"), 63, 9 };
    assigned.attemptsFailed = 2;
    assigned.failedOn = { UpstreamId("u-002"), UpstreamId("u-003") };
    TaskRecord ended;
    ended.ended = true;
    job.tasks = { assigned, ended };
    job.result = { true, 200, std::string("\0\x01\xfe", 3) };
    job.nextAttempt = 4;
    return job;
}

BOOST_AUTO_TEST_CASE(JobRoundTrips)
{
    JobRecord job = makeJob();
    Result<JobRecord> decoded = decodeJob(encodeJob(job));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((decoded.value() == job));
    JobRecord fresh;
    BOOST_TEST((decodeJob(encodeJob(fresh)).value() == fresh));
}

BOOST_AUTO_TEST_CASE(BodyIsNotEncoded)
{
    JobRecord job = makeJob();
    std::string without = encodeJob(job);
    job.spec.body = "body";
    BOOST_TEST((encodeJob(job) == without));
}

BOOST_AUTO_TEST_CASE(EveryTruncatedRecordIsAnError)
{
    std::string bytes = encodeJob(makeJob());
    for (std::size_t n = 0; n < bytes.size(); ++n)
        BOOST_TEST(decodeJob(bytes.substr(0, n)).has_error(), "prefix of " << n << " bytes");
}

static std::string describeRefusal(const wire::JobRecord& record)
{
    Result<JobRecord> decoded = decodeJob(record.SerializeAsString());
    BOOST_REQUIRE(decoded.has_error());
    return decoded.error().describe();
}

BOOST_AUTO_TEST_CASE(ValuesOutOfRangeAreAnError)
{
    wire::JobRecord good;
    BOOST_REQUIRE(good.ParseFromString(encodeJob(makeJob())));
    wire::JobRecord record = good;
    record.set_state(8);
    BOOST_TEST(describeRefusal(record).find("state") != std::string::npos);
    record = good;
    record.set_reason(99);
    BOOST_TEST(describeRefusal(record).find("reason") != std::string::npos);
    record = good;
    record.mutable_spec()->set_kind(4);
    BOOST_TEST(describeRefusal(record).find("kind") != std::string::npos);
    record = good;
    record.mutable_tasks(0)->mutable_assignment()->set_shard(kShardCount);
    BOOST_TEST(describeRefusal(record).find("shard") != std::string::npos);
    record = good;
    record.set_format(2);
    BOOST_TEST(describeRefusal(record).find("format") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
