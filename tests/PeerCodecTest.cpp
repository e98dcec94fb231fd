#include "src/codec/PeerCodec.h"

#include <boost/test/unit_test.hpp>
#include <random>

#include "src/codec/generated/peer.pb.h"

using namespace crocuslever;

BOOST_AUTO_TEST_SUITE(PeerCodecTest)

static TaskSpec makeSpec(std::string body)
{
    return { WorkKind::Urgent, "lookup", true, { 1, 2, 3, 4 }, 1, 3, Duration(5), Duration(6), std::move(body) };
}

static CallerReply makeReply()
{
    return { 7, CallOutcome::NotRun, RefusalReason::NotValid, "late \xff", Duration(9), JobId("j"), JobState::OutcomeUnknown, 503, std::string("\0b", 2) };
}

static Heartbeat makeHeartbeat()
{
    Heartbeat beat;
    beat.session = SessionId("s");
    beat.configurationRevision = 12;
    beat.storeReachable = true;
    beat.shuttingDown = true;
    beat.urgentRoom = { 1, 2, 3, 4 };
    beat.deferredRoom = { 5, 6, 7, 8 };
    beat.capacity = { 9, 10, 11, 12 };
    beat.teams = { { TeamId("a"), 1, 2, 3, { 4, 5, 6, 7 } }, { TeamId("b"), 0, 0, 1, { 0, 0, 0, 0 } } };
    return beat;
}

/// One message of each kind, with no field at its default.
static std::vector<PeerMessage> makeMessages()
{
    AttemptId attempt("s-1");
    JobId job("j");
    TeamId team("t");
    UpstreamId upstream("u-001");
    IncarnationId incarnation("i");
    return {
        makeHeartbeat(),
        ConfigurationRequest {},
        ConfigurationOffer { 3, "{}" },
        UrgentCall { 1, team, makeSpec("body"), Duration(2), 3, TimePoint(Duration(4)) },
        UrgentAnswer { 1, makeReply() },
        JobCall { 1, team, JobSubmission { "id \xff", makeSpec("body") } },
        JobCall { 1, team, JobQuery { job, true } },
        JobCall { 1, team, JobCancellation { job } },
        JobAnswer { 1, makeReply() },
        ReserveRequest { attempt, job, team, makeSpec(""), { upstream }, { FailureDomainId("a") }, Duration(4) },
        ReserveAnswer { attempt, job, true, RefusalReason::NeverFits, upstream, FailureDomainId("a"), incarnation, 63, 5 },
        StartRequest { attempt, job, team, makeSpec("body"), upstream, incarnation, 5 },
        ReleaseRequest { attempt },
        AttemptQuery { attempt, job, upstream, incarnation, true },
        AttemptReport { attempt, job, team, upstream, AttemptState::NeverStarted, true, { true, 200, "result" } },
        AttemptAcknowledge { attempt },
    };
}

BOOST_AUTO_TEST_CASE(EveryMessageTypeRoundTrips)
{
    for (const PeerMessage& message : makeMessages()) {
        std::string bytes = encodePeerMessage(message);
        Result<PeerMessage> decoded = decodePeerMessage(bytes);
        BOOST_REQUIRE(decoded.has_value());
        BOOST_TEST(decoded.value().index() == message.index());
        BOOST_TEST((encodePeerMessage(decoded.value()) == bytes));
    }
}

template <typename Message>
static Message roundTrip(const Message& message)
{
    return std::get<Message>(decodePeerMessage(encodePeerMessage(message)).value());
}

BOOST_AUTO_TEST_CASE(FieldsRoundTrip)
{
    Heartbeat beat = roundTrip(makeHeartbeat());
    BOOST_TEST(beat.session.value() == "s");
    BOOST_TEST((beat.urgentRoom == Resources { 1, 2, 3, 4 }));
    BOOST_TEST((beat.deferredRoom == Resources { 5, 6, 7, 8 }));
    BOOST_TEST((beat.capacity == Resources { 9, 10, 11, 12 }));
    BOOST_TEST((beat.teams == makeHeartbeat().teams));
    UrgentAnswer answer = roundTrip(UrgentAnswer { 1, makeReply() });
    BOOST_TEST((answer.reply == makeReply()));
    StartRequest start = roundTrip(StartRequest { AttemptId("a"), JobId("j"), TeamId("t"), makeSpec("body"), UpstreamId("u"), IncarnationId("i"), 5 });
    BOOST_TEST((start.spec == makeSpec("body")));
    BOOST_TEST(start.attempt.value() == "a");
    BOOST_TEST(start.incarnation.value() == "i");
    BOOST_TEST(start.epoch == 5u);
    JobCall call = roundTrip(JobCall { 9, TeamId("t"), JobSubmission { "id", makeSpec("body") } });
    BOOST_TEST((std::get<JobSubmission>(call.request).spec == makeSpec("body")));
    AttemptReport report = roundTrip(AttemptReport { AttemptId("a"), JobId("j"), TeamId("t"), UpstreamId("u"), AttemptState::Ended, true, { true, 200, "r" } });
    BOOST_TEST((report.result == TaskResult { true, 200, "r" }));
    BOOST_TEST((report.state == AttemptState::Ended));
}

BOOST_AUTO_TEST_CASE(EveryTruncatedMessageIsAnError)
{
    for (const PeerMessage& message : makeMessages()) {
        std::string bytes = encodePeerMessage(message);
        for (std::size_t n = 0; n < bytes.size(); ++n)
            BOOST_TEST(decodePeerMessage(bytes.substr(0, n)).has_error(), "kind " << message.index() << ", prefix of " << n << " bytes");
    }
}

BOOST_AUTO_TEST_CASE(DamagedBytesAreNeverFatal)
{
    std::mt19937 random(1);
    for (const PeerMessage& message : makeMessages()) {
        std::string bytes = encodePeerMessage(message);
        for (std::size_t n = 0; n < bytes.size(); ++n) {
            std::string damaged = bytes;
            damaged[n] = static_cast<char>(random());
            Result<PeerMessage> decoded = decodePeerMessage(damaged);
            if (decoded.has_error())
                BOOST_TEST(!decoded.error().message.empty());
        }
    }
}

static std::string describeRefusal(const wire::PeerEnvelope& envelope)
{
    Result<PeerMessage> decoded = decodePeerMessage(envelope.SerializeAsString());
    BOOST_REQUIRE(decoded.has_error());
    return decoded.error().describe();
}

BOOST_AUTO_TEST_CASE(OtherProtocolVersionIsRefused)
{
    wire::PeerEnvelope envelope;
    envelope.set_version(kPeerProtocolVersion + 1);
    envelope.mutable_release_request()->set_attempt("a");
    BOOST_TEST(describeRefusal(envelope).find("version 2") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(ValuesOutOfRangeAreAnError)
{
    wire::PeerEnvelope envelope;
    envelope.set_version(kPeerProtocolVersion);
    envelope.mutable_reserve_answer()->set_shard(kShardCount);
    BOOST_TEST(describeRefusal(envelope).find("shard") != std::string::npos);
    envelope.mutable_reserve_answer()->set_shard(0);
    envelope.mutable_reserve_answer()->set_reason(14);
    BOOST_TEST(describeRefusal(envelope).find("reason") != std::string::npos);
    envelope.mutable_attempt_report()->set_state(5);
    BOOST_TEST(describeRefusal(envelope).find("state") != std::string::npos);
    envelope.mutable_job_answer()->mutable_reply()->set_outcome(7);
    BOOST_TEST(describeRefusal(envelope).find("outcome") != std::string::npos);
    envelope.mutable_job_call()->set_call(1);
    BOOST_TEST(describeRefusal(envelope).find("request") != std::string::npos);
    envelope.mutable_urgent_call()->mutable_spec()->set_kind(4);
    BOOST_TEST(describeRefusal(envelope).find("kind") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
