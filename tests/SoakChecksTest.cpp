// The checks of the soak, on notes that break one rule each.

#include <boost/test/unit_test.hpp>

#include "tests/soak/AckLog.h"
#include "tests/soak/SoakChecks.h"

using namespace crocuslever::soak;
using standin::RunNote;

static constexpr int kAttempts = 2;

static JobNote makeJob(const std::string& state, std::int64_t completedAt = 0) { return { "j", kAttempts, true, completedAt, state }; }

static RunNote makeRun(int number, const std::string& worker, std::int64_t from, std::int64_t to, const std::string& how = "done") { return { "j.0.0.0", number, worker, from, to, how }; }

static std::size_t countBroken(const JobNote& job, const std::vector<RunNote>& runs, const CrashTimes& crashes = {}, const std::vector<Acknowledgement>& ends = {})
{
    return findBrokenRules({ job }, runs, crashes, ends).size();
}

BOOST_AUTO_TEST_SUITE(SoakChecksTest)

BOOST_AUTO_TEST_CASE(SoundJobsBreakNothing)
{
    BOOST_TEST(countBroken(makeJob("completed", 1000), { makeRun(1, "w0", 0, 900) }) == 0U);
    BOOST_TEST(countBroken(makeJob("failed"), { makeRun(1, "w0", 0, 100, "failed"), makeRun(2, "w0", 200, 300, "failed") }) == 0U);
    // The first run was over with its worker.
    BOOST_TEST(countBroken(makeJob("completed", 5000), { makeRun(1, "w0", 0, 0), makeRun(2, "w1", 500, 900) }, { { "w0", { 400 } } }) == 0U);
}

BOOST_AUTO_TEST_CASE(StartAfterTheEndWasShownIsSeen)
{
    BOOST_TEST(countBroken(makeJob("completed", 1000), { makeRun(1, "w0", 0, 900), makeRun(2, "w1", 2001, 2500) }) == 1U);
}

BOOST_AUTO_TEST_CASE(RunsAtTheSameTimeAreSeen)
{
    BOOST_TEST(countBroken(makeJob("completed", 5000), { makeRun(1, "w0", 0, 900), makeRun(2, "w1", 800, 1500) }) == 1U);
    BOOST_TEST(countBroken(makeJob("completed", 5000), { makeRun(1, "w0", 0, 0), makeRun(2, "w1", 500, 900) }, { { "w0", { 600 } } }) == 1U);
}

BOOST_AUTO_TEST_CASE(StartAfterAnAcknowledgedEndIsSeen)
{
    std::vector<RunNote> runs { makeRun(1, "w0", 0, 900), makeRun(2, "w1", 1200, 1500) };
    JobNote job = makeJob("completed", 5000);
    BOOST_TEST(countBroken(job, runs, {}, { { "j.0.0.0", 1, "w0", "done", 1000, 0 } }) == 1U);
    // Taken note of after the start, and with a lease that was over before the end only.
    BOOST_TEST(countBroken(job, runs, {}, { { "j.0.0.0", 1, "w0", "done", 2000, 800 } }) == 1U);
    BOOST_TEST(countBroken(job, runs, {}, { { "j.0.0.0", 1, "w0", "done", 2000, 1100 } }) == 0U);
    // Another end or task.
    BOOST_TEST(countBroken(job, runs, {}, { { "j.0.0.0", 2, "w1", "done", 2000, 0 } }) == 0U);
    BOOST_TEST(countBroken(job, runs, {}, { { "j.0.0.1", 1, "w0", "done", 1000, 0 } }) == 0U);
    runs[0].how = "failed";
    BOOST_TEST(countBroken(job, runs, {}, { { "j.0.0.0", 1, "w0", "failed", 1000, 0 } }) == 0U);
}

static std::string makeMessage(const std::string& line, const std::string& body) { return line + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body; }

static std::string makePoll(int acknowledged, int leaseEnd) { return makeMessage("POST /-/hold HTTP/1.1", "{\"ack-index\":" + std::to_string(acknowledged) + ",\"until-ms\":" + std::to_string(leaseEnd) + "}"); }

static std::string makePollAnswer(int born, int clock, const std::string& ended) { return makeMessage("HTTP/1.1 200 X", "{\"born\":" + std::to_string(born) + ",\"clock-ms\":" + std::to_string(clock) + ",\"ended\":[" + ended + "]}"); }

static const std::string kTwoEnds = "[1,\"j.0.0.0\",1,\"done\",\"\"],[2,\"j.0.0.1\",1,\"failed\",\"\"]";

BOOST_AUTO_TEST_CASE(AcknowledgedEndsAreReadFromTheBytes)
{
    AckLog log;
    WorkerTalk talk;
    talk.worker = "w0";
    log.passRequest(talk, makePoll(0, 5000), 100);
    std::string answer = makePollAnswer(7, 100, kTwoEnds);
    log.passAnswer(talk, answer.substr(0, 50), 100);
    log.passAnswer(talk, answer.substr(50), 100);
    BOOST_TEST(log.acknowledgements().empty());
    log.passRequest(talk, makePoll(1, 5000), 200);
    // It counts only when the worker has answered.
    BOOST_TEST(log.acknowledgements().empty());
    log.passAnswer(talk, makePollAnswer(7, 210, "[2,\"j.0.0.1\",1,\"failed\",\"\"]"), 210);
    std::vector<Acknowledgement> ends = log.acknowledgements();
    BOOST_REQUIRE(ends.size() == 1U);
    BOOST_TEST(ends[0].task == "j.0.0.0");
    BOOST_TEST(ends[0].at == 200);
    BOOST_TEST(ends[0].lapsedUntil == 0);
    // Refused, and asked of another life of the worker.
    log.passRequest(talk, makePoll(2, 5000), 300);
    log.passAnswer(talk, makeMessage("HTTP/1.1 409 X", "{\"born\":7}"), 300);
    log.passRequest(talk, makePoll(2, 5000), 400);
    log.passAnswer(talk, makePollAnswer(8, 400, ""), 400);
    BOOST_TEST(log.acknowledgements().size() == 1U);
}

BOOST_AUTO_TEST_CASE(LeaseThatWasOverIsSeen)
{
    AckLog log;
    WorkerTalk talk;
    talk.worker = "w0";
    // The worker's clock is 1000 ms behind.
    log.passRequest(talk, makePoll(0, 3000), 2000);
    log.passAnswer(talk, makePollAnswer(7, 1000, kTwoEnds), 2000);
    log.passRequest(talk, makePoll(1, 6000), 3900);
    log.passAnswer(talk, makePollAnswer(7, 2900, ""), 3900);
    log.passRequest(talk, makePoll(2, 9000), 7500);
    log.passAnswer(talk, makePollAnswer(7, 6500, ""), 7500);
    std::vector<Acknowledgement> ends = log.acknowledgements();
    BOOST_REQUIRE(ends.size() == 2U);
    BOOST_TEST(ends[0].lapsedUntil == 0);
    BOOST_TEST(ends[1].lapsedUntil == 7500);
}

BOOST_AUTO_TEST_CASE(LostJobsAreSeen)
{
    BOOST_TEST(countBroken(makeJob("failed"), { makeRun(1, "w0", 0, 100, "failed") }) == 1U);
    BOOST_TEST(countBroken(makeJob("running"), {}) == 1U);
    BOOST_TEST(countBroken(makeJob(""), {}) == 1U);
}

BOOST_AUTO_TEST_CASE(TooManyAttemptsAreSeen)
{
    std::vector<RunNote> runs;
    for (int n = 1; n <= kAttempts + 1; ++n)
        runs.push_back(makeRun(n, "w0", n, n, "failed"));
    BOOST_TEST(countBroken(makeJob("failed"), runs) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
