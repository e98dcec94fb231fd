#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unistd.h>

#include "src/codec/RecordCodec.h"
#include "src/config/ConfigurationFile.h"
#include "src/control/Commands.h"
#include "src/control/ConfigurationChanges.h"
#include "src/control/ConfigurationDiff.h"
#include "src/control/ConfigurationStore.h"
#include "src/control/FleetStatus.h"
#include "src/core/StoreKeys.h"
#include "tests/support/FakeHttpServer.h"
#include "tests/support/FakeStore.h"

using namespace crocuslever;
using namespace crocuslever::testing;

static const std::string kHash(64, 'a');

using Lines = std::vector<std::string>;

BOOST_AUTO_TEST_SUITE(ControlTest)

static Configuration makeConfiguration(int upperLimit)
{
    Configuration configuration;
    configuration.teams.push_back({ TeamId("archive"), 1, upperLimit, { { "archive-1", "ab", kHash } } });
    return configuration;
}

/// A file that is deleted at the end of the test.
struct TemporaryFile {
    explicit TemporaryFile(const std::string& text)
    {
        char name[] = "/tmp/crocuslever-control-test-XXXXXX";
        int fd = mkstemp(name);
        BOOST_TEST_REQUIRE(fd >= 0);
        close(fd);
        path = name;
        std::ofstream(path) << text;
    }
    TemporaryFile(const TemporaryFile&) = delete;
    TemporaryFile& operator=(const TemporaryFile&) = delete;
    ~TemporaryFile() { std::remove(path.c_str()); }

    std::string path;
};

struct Fixture {
    Fixture()
        : fakeStore(io, "127.0.0.1", 0)
        , store(io, settings())
    {
    }

    StoreClientSettings settings() const
    {
        StoreClientSettings result;
        result.endpoints = { fakeStore.endpoint() };
        return result;
    }

    StoredConfiguration read()
    {
        Result<StoredConfiguration> result = store.read();
        BOOST_TEST_REQUIRE(result.has_value());
        return result.value();
    }

    /// Writes another operator's change directly into the store.
    void putAsOtherOperator(const Configuration& configuration)
    {
        ModelTransaction transaction;
        ModelOperation put;
        put.key = kConfigurationKey;
        put.value = encodeConfiguration(configuration);
        transaction.success.push_back(put);
        BOOST_TEST_REQUIRE(fakeStore.model().transact(transaction).has_value());
    }

    void putAsOtherOperator(int upperLimit, std::uint64_t revision)
    {
        Configuration configuration = makeConfiguration(upperLimit);
        configuration.revision = revision;
        putAsOtherOperator(configuration);
    }

    ExitCode run(Arguments arguments)
    {
        out.str("");
        err.str("");
        arguments.stores = { fakeStore.endpoint() };
        return runCommand(io, arguments, { out, err });
    }

    ExitCode run(const std::string& command, const std::vector<std::string>& operands)
    {
        Arguments arguments;
        arguments.command = command;
        arguments.operands = operands;
        return run(arguments);
    }

    boost::asio::io_context io;
    FakeStore fakeStore;
    ConfigurationStore store;
    std::ostringstream out;
    std::ostringstream err;
};

BOOST_FIXTURE_TEST_CASE(TheFirstConfigurationHasRevisionOne, Fixture)
{
    StoredConfiguration before = read();
    BOOST_TEST(before.modRevision == 0);
    CommitReport report = store.commit(before, makeConfiguration(16));
    BOOST_TEST((report.outcome == CommitOutcome::Committed));
    BOOST_TEST(read().configuration.revision == 1);
    BOOST_TEST(read().configuration.teams[0].upperLimit == 16);
}

BOOST_FIXTURE_TEST_CASE(EachCommitIncrementsTheRevision, Fixture)
{
    store.commit(read(), makeConfiguration(16));
    Configuration changed = makeConfiguration(17);
    changed.revision = 77;
    CommitReport report = store.commit(read(), changed);
    BOOST_TEST(report.after.revision == 2);
    BOOST_TEST(read().configuration.revision == 2);
}

BOOST_FIXTURE_TEST_CASE(ConflictReportsTheOtherChange, Fixture)
{
    store.commit(read(), makeConfiguration(16));
    ConfigurationStore other(io, settings());
    StoredConfiguration before = read();
    StoredConfiguration othersBefore = other.read().value();
    BOOST_TEST((store.commit(before, makeConfiguration(20)).outcome == CommitOutcome::Committed));
    CommitReport lost = other.commit(othersBefore, makeConfiguration(30));
    BOOST_TEST((lost.outcome == CommitOutcome::Conflict));
    BOOST_TEST_REQUIRE(lost.current.has_value());
    BOOST_TEST(diffConfigurations(lost.before, *lost.current) == Lines { "~ team archive upper_limit: 16 -> 20" }, boost::test_tools::per_element());
    BOOST_TEST(read().configuration.teams[0].upperLimit == 20);
}

BOOST_FIXTURE_TEST_CASE(ConcurrentFirstCommitsConflict, Fixture)
{
    StoredConfiguration before = read();
    putAsOtherOperator(20, 1);
    BOOST_TEST((store.commit(before, makeConfiguration(30)).outcome == CommitOutcome::Conflict));
    BOOST_TEST(read().configuration.teams[0].upperLimit == 20);
}

BOOST_FIXTURE_TEST_CASE(CommitWithLostReplyIsReadBack, Fixture)
{
    store.commit(read(), makeConfiguration(16));
    StoredConfiguration before = read();
    StoreRevision revision = fakeStore.model().revision();
    fakeStore.dropAnswers(1);
    CommitReport report = store.commit(before, makeConfiguration(20));
    BOOST_TEST((report.outcome == CommitOutcome::Committed));
    BOOST_TEST(read().configuration.revision == 2);
    // The change was written once, not twice.
    BOOST_TEST(fakeStore.model().revision() == revision + 1);
}

BOOST_FIXTURE_TEST_CASE(ChangeWithLostReplyIsAppliedOnce, Fixture)
{
    store.commit(read(), makeConfiguration(16));
    fakeStore.dropAnswers(1);
    KeyHash key { "archive-2", "ef", kHash };
    Result<CommitReport> report = store.change([&](const Configuration& configuration, bool) { return addKey(configuration, TeamId("archive"), key); });
    BOOST_TEST_REQUIRE(report.has_value());
    BOOST_TEST((report.value().outcome == CommitOutcome::Committed));
    BOOST_TEST(read().configuration.revision == 2);
    BOOST_TEST(read().configuration.teams[0].keys.size() == 2);
}

BOOST_FIXTURE_TEST_CASE(CommutingChangeIsRetriedAfterConflict, Fixture)
{
    store.commit(read(), makeConfiguration(16));
    int calls = 0;
    Result<CommitReport> report = store.change([&](const Configuration& configuration, bool) {
        // On the first try another operator commits between our read and our commit.
        if (calls++ == 0)
            putAsOtherOperator(20, 2);
        return addDomainOutage(configuration, FailureDomainId("kumasi-2"), "mains work");
    });
    BOOST_TEST_REQUIRE(report.has_value());
    BOOST_TEST((report.value().outcome == CommitOutcome::Committed));
    BOOST_TEST(calls == 2);
    Configuration now = read().configuration;
    BOOST_TEST(now.revision == 3);
    BOOST_TEST(now.teams[0].upperLimit == 20);
    BOOST_TEST(now.isDomainOut(FailureDomainId("kumasi-2")));
}

BOOST_FIXTURE_TEST_CASE(UnansweredCommitIsReportedAsUnknown, Fixture)
{
    store.commit(read(), makeConfiguration(16));
    StoredConfiguration before = read();
    StoreClientSettings shortTimeout = settings();
    shortTimeout.timeout = std::chrono::milliseconds(100);
    ConfigurationStore impatientStore(io, shortTimeout);
    fakeStore.setFrozen(true);
    CommitReport report = impatientStore.commit(before, makeConfiguration(20));
    BOOST_TEST((report.outcome == CommitOutcome::Unknown));
}

BOOST_FIXTURE_TEST_CASE(OverwrittenCommitIsReportedAsUnknown, Fixture)
{
    putAsOtherOperator(16, 1);
    StoredConfiguration before = read();
    StoreRevision revision = fakeStore.model().revision();
    fakeStore.dropAnswers(1);
    // Our change takes effect, its answer is lost, and another change overwrites it before it is read back.
    std::function<void()> changeConcurrently = [&] {
        if (fakeStore.model().revision() == revision)
            boost::asio::post(io, changeConcurrently);
        else
            putAsOtherOperator(30, 3);
    };
    boost::asio::post(io, changeConcurrently);
    CommitReport report = store.commit(before, makeConfiguration(20));
    BOOST_TEST((report.outcome == CommitOutcome::Unknown));
    BOOST_TEST_REQUIRE(report.current.has_value());
    BOOST_TEST(report.current->teams[0].upperLimit == 30);
}

BOOST_FIXTURE_TEST_CASE(ChangeWithoutEffectWritesNothing, Fixture)
{
    store.commit(read(), makeConfiguration(16));
    StoreRevision revision = fakeStore.model().revision();
    Result<CommitReport> report = store.change([](const Configuration& configuration, bool) -> Result<Configuration> { return configuration; });
    BOOST_TEST_REQUIRE(report.has_value());
    BOOST_TEST((report.value().outcome == CommitOutcome::Committed));
    BOOST_TEST(fakeStore.model().revision() == revision);
}

BOOST_AUTO_TEST_CASE(NewKeyAuthenticatesItsTeam)
{
    Result<NewKey> key = makeKey(TeamId("archive"));
    BOOST_TEST_REQUIRE(key.has_value());
    std::size_t dot = key.value().text.find('.');
    BOOST_TEST(key.value().text.substr(0, dot) == key.value().hash.id);
    BOOST_TEST(key.value().text.size() - dot - 1 == 64);
    Configuration configuration = addKey(makeConfiguration(16), TeamId("archive"), key.value().hash).value();
    BOOST_TEST(authenticate(configuration, key.value().text)->value() == "archive");
    BOOST_TEST(encodeConfiguration(configuration).find(key.value().text.substr(dot + 1)) == std::string::npos);
    BOOST_TEST(makeKey(TeamId("archive")).value().text != key.value().text);
}

BOOST_AUTO_TEST_CASE(KeyOfTeamWithDottedNameAuthenticates)
{
    TeamId team("archive.north");
    Configuration configuration;
    configuration.teams.push_back({ team, 1, 16, {} });
    NewKey key = makeKey(team).value();
    configuration = addKey(configuration, team, key.hash).value();
    BOOST_TEST(authenticate(configuration, key.text)->value() == "archive.north");
}

BOOST_AUTO_TEST_CASE(ChangesToMissingItemsAreRefused)
{
    Configuration configuration = makeConfiguration(16);
    BOOST_TEST(addKey(configuration, TeamId("nobody"), {}).has_error());
    BOOST_TEST(withdrawKey(configuration, TeamId("nobody"), "archive-1", false).has_error());
    BOOST_TEST(withdrawKey(configuration, TeamId("archive"), "archive-2", false).has_error());
    BOOST_TEST(removeDomainOutage(configuration, FailureDomainId("kumasi-1"), false).has_error());
    BOOST_TEST((withdrawKey(configuration, TeamId("archive"), "archive-2", true).value() == configuration));
    BOOST_TEST(withdrawKey(configuration, TeamId("archive"), "archive-1", false).value().teams[0].keys.empty());
}

// The commands

static std::string fileText(int upperLimit) { return formatConfigurationFile(makeConfiguration(upperLimit)); }

BOOST_FIXTURE_TEST_CASE(ApplyCommitsTheFileOnce, Fixture)
{
    TemporaryFile file(fileText(16));
    BOOST_TEST(run("apply", { file.path }) == ExitOk);
    BOOST_TEST(read().configuration.revision == 1);
    BOOST_TEST(run("apply", { file.path }) == ExitOk);
    BOOST_TEST(out.str() == "no change to revision 1\n");
    BOOST_TEST(read().configuration.revision == 1);
}

BOOST_FIXTURE_TEST_CASE(InvalidFileChangesNothing, Fixture)
{
    TemporaryFile file("teams:\n  - {id: archive, upper_limit: none}\n");
    TemporaryFile subMillisecond("defaults: {urgent_deadline: 1500us}\n");
    for (const char* command : { "validate", "diff", "apply" }) {
        BOOST_TEST(run(command, { file.path }) == ExitInvalidFile);
        BOOST_TEST(err.str().find("upper_limit") != std::string::npos);
        BOOST_TEST(run(command, { subMillisecond.path }) == ExitInvalidFile);
        BOOST_TEST(run(command, { "/nowhere/configuration.yaml" }) == ExitInvalidFile);
        BOOST_TEST(run(command, { "/tmp" }) == ExitInvalidFile);
        BOOST_TEST(err.str() == "file.read (/tmp): can't be read\n");
    }
    BOOST_TEST(read().modRevision == 0);
}

BOOST_FIXTURE_TEST_CASE(ConflictingApplyShowsAndKeepsTheOtherChange, Fixture)
{
    putAsOtherOperator(16, 1);
    TemporaryFile file(fileText(30));
    // Makes the other change between the command's read and its transaction, which are separate calls
    // over the network.
    std::uint64_t calls = fakeStore.calls();
    std::function<void()> changeConcurrently = [&] {
        if (fakeStore.calls() == calls)
            boost::asio::post(io, changeConcurrently);
        else
            putAsOtherOperator(20, 2);
    };
    boost::asio::post(io, changeConcurrently);
    BOOST_TEST(run("apply", { file.path }) == ExitConflict);
    BOOST_TEST(err.str().find("~ team archive upper_limit: 16 -> 20\n") != std::string::npos);
    BOOST_TEST(read().configuration.teams[0].upperLimit == 20);
    BOOST_TEST(read().configuration.revision == 2);
}

BOOST_FIXTURE_TEST_CASE(DiffShowsChangesWithoutWriting, Fixture)
{
    putAsOtherOperator(16, 1);
    TemporaryFile file(fileText(30));
    StoreRevision revision = fakeStore.model().revision();
    BOOST_TEST(run("diff", { file.path }) == ExitOk);
    BOOST_TEST(out.str() == "~ team archive upper_limit: 16 -> 30\n");
    BOOST_TEST(fakeStore.model().revision() == revision);
}

BOOST_FIXTURE_TEST_CASE(KeysAreCreatedListedAndWithdrawn, Fixture)
{
    putAsOtherOperator(16, 1);
    BOOST_TEST(run("key new", { "archive" }) == ExitOk);
    std::string id = read().configuration.teams[0].keys[1].id;
    BOOST_TEST(out.str().find(id + ".") != std::string::npos);
    BOOST_TEST(run("key list", {}) == ExitOk);
    BOOST_TEST(out.str() == "archive archive-1\narchive " + id + "\n");
    BOOST_TEST(run("key withdraw", { "archive", "archive-1" }) == ExitOk);
    BOOST_TEST(run("key withdraw", { "archive", "archive-1" }) == ExitRefused);
    BOOST_TEST(run("key new", { "nobody" }) == ExitRefused);
    BOOST_TEST(out.str().empty());
    BOOST_TEST(run("key list", {}) == ExitOk);
    BOOST_TEST(out.str() == "archive " + id + "\n");
}

BOOST_FIXTURE_TEST_CASE(DomainIsTakenOutAndReturned, Fixture)
{
    putAsOtherOperator(16, 1);
    Arguments arguments;
    arguments.command = "domain out";
    arguments.operands = { "kumasi-2" };
    arguments.reason = "mains work";
    BOOST_TEST(run(arguments) == ExitOk);
    BOOST_TEST(read().configuration.domainsOut[0].reason == "mains work");
    BOOST_TEST(run("domain in", { "kumasi-2" }) == ExitOk);
    BOOST_TEST(read().configuration.domainsOut.empty());
    BOOST_TEST(run("domain in", { "kumasi-2" }) == ExitRefused);
}

BOOST_FIXTURE_TEST_CASE(JsonOutputIsOneDocument, Fixture)
{
    putAsOtherOperator(16, 1);
    Arguments arguments;
    arguments.asJson = true;
    arguments.command = "key new";
    arguments.operands = { "archive" };
    BOOST_TEST(run(arguments) == ExitOk);
    nlohmann::json value = nlohmann::json::parse(out.str(), nullptr, false);
    BOOST_TEST_REQUIRE(value.is_object());
    BOOST_TEST(value["outcome"] == "committed");
    BOOST_TEST(value["revision"] == 2);
    BOOST_TEST(authenticate(read().configuration, value["key"].get<std::string>())->value() == "archive");
}

// Waiting for the fleet

static std::string statusText(const std::string& self, std::uint64_t revision, const std::map<std::string, std::uint64_t>& members)
{
    nlohmann::json value { { "instance", self }, { "domain", "kumasi-1" }, { "configuration_revision", revision },
        { "jobs_here", 0 }, { "ready", true }, { "shards", nlohmann::json::array() }, { "domains_out", nlohmann::json::array() },
        { "upstreams", { { "listed", 3 }, { "quarantined_here", 1 } } }, { "members", nlohmann::json::array() } };
    for (const auto& [id, reached] : members)
        value["members"].push_back({ { "instance", id }, { "configuration_revision", reached } });
    return value.dump();
}

BOOST_AUTO_TEST_CASE(NewestRevisionOfEachMemberCounts)
{
    InstanceStatus a = parseInstanceStatus("", statusText("a1", 5, { { "a1", 3 }, { "a2", 4 }, { "a3", 4 } })).value();
    InstanceStatus b = parseInstanceStatus("", statusText("a2", 5, { { "a1", 4 }, { "a3", 3 } })).value();
    BOOST_TEST(findLaggingMembers({ a, b }, 5) == Lines { "a3 (revision 4)" }, boost::test_tools::per_element());
    BOOST_TEST(findLaggingMembers({ a, b }, 4).empty());
    BOOST_TEST(a.upstreamsQuarantined == 1);
    BOOST_TEST(parseInstanceStatus("", "{}").has_error());
    BOOST_TEST(parseInstanceStatus("", "none").has_error());
}

struct WaitFixture : Fixture {
    WaitFixture()
        : entry(io, "127.0.0.1", 0)
        , file(fileText(16))
    {
        entry.route("GET", "/status", [this](const ExchangePtr& exchange) {
            ++statusRequests;
            exchange->reply(200, statusText("a1", 1, { { "a2", statusRequests >= reachedAtRequest ? 1U : 0U } }));
        });
    }

    ExitCode applyAndWait(int seconds)
    {
        Arguments arguments;
        arguments.command = "apply";
        arguments.operands = { file.path };
        arguments.entries = { entry.endpoint() };
        arguments.wait = std::chrono::seconds(seconds);
        return run(arguments);
    }

    FakeHttpServer entry;
    TemporaryFile file;
    int statusRequests { 0 };
    int reachedAtRequest { 3 };
};

BOOST_FIXTURE_TEST_CASE(WaitEndsOnceAllMembersHaveTheRevision, WaitFixture)
{
    BOOST_TEST(applyAndWait(60) == ExitOk);
    BOOST_TEST(statusRequests == 3);
}

BOOST_FIXTURE_TEST_CASE(WaitListsLaggingMembers, WaitFixture)
{
    reachedAtRequest = 1000000;
    BOOST_TEST(applyAndWait(0) == ExitNotActive);
    BOOST_TEST(err.str().find("a2 (revision 0)") != std::string::npos);
    BOOST_TEST(read().configuration.revision == 1);
}

// Jobs

struct JobFixture : Fixture {
    JobFixture()
        : entry(io, "127.0.0.1", 0)
    {
    }

    void answer(const std::string& method, const std::string& path, int status, const std::string& body)
    {
        entry.route(method, path, [this, status, body](const ExchangePtr& exchange) {
            lastBody = exchange->request().body;
            if (remainingDrops-- > 0)
                exchange->drop();
            else
                exchange->reply(status, body);
        });
    }

    ExitCode runJob(const std::string& command)
    {
        Arguments arguments;
        arguments.command = command;
        arguments.operands = { "abc" };
        arguments.entries = { entry.endpoint() };
        arguments.key = "archive-1.secret";
        arguments.id = "plan-1";
        arguments.service = "refit";
        arguments.kind = "batch";
        arguments.body = "collar 9";
        return run(arguments);
    }

    FakeHttpServer entry;
    std::string lastBody;
    int remainingDrops { 0 };
};

BOOST_FIXTURE_TEST_CASE(SubmitIsRetriedAfterLostReply, JobFixture)
{
    answer("POST", "/v1/jobs", 202, R"({"job":"abc","outcome":"accepted","state":"queued"})");
    remainingDrops = 1;
    BOOST_TEST(runJob("submit") == ExitOk);
    BOOST_TEST(out.str() == "job: abc\noutcome: accepted\nstate: queued\n");
    nlohmann::json sent = nlohmann::json::parse(lastBody);
    BOOST_TEST(sent["id"] == "plan-1");
    BOOST_TEST(sent["body_base64"] == "Y29sbGFyIDk=");
}

BOOST_FIXTURE_TEST_CASE(UnansweredSubmitIsReportedAsUnknown, JobFixture)
{
    answer("POST", "/v1/jobs", 202, "{}");
    remainingDrops = 1000;
    BOOST_TEST(runJob("submit") == ExitUnknown);
    BOOST_TEST(err.str().find("may have taken effect") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(RefusalShowsItsReason, JobFixture)
{
    answer("POST", "/v1/jobs", 429, R"({"outcome":"not_run","reason":"queue_full","message":"full","job":"","retry_after_ms":1000})");
    BOOST_TEST(runJob("submit") == ExitRefused);
    BOOST_TEST(err.str().find("reason: queue_full") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(ResultIsPrintedByteForByte, JobFixture)
{
    std::string bytes("a\0b\n", 4);
    answer("GET", "/v1/jobs/abc/result", 200, bytes);
    answer("GET", "/v1/jobs/abc", 200, R"({"job":"abc","state":"failed"})");
    BOOST_TEST(runJob("result") == ExitRefused);
    BOOST_TEST((out.str() == bytes));
}

BOOST_FIXTURE_TEST_CASE(UnknownOutcomeHasItsOwnExitCode, JobFixture)
{
    answer("GET", "/v1/jobs/abc/result", 504, R"({"job":"abc","state":"outcome_unknown"})");
    BOOST_TEST(runJob("result") == ExitUnknown);
}

// Explanations

struct ExplainFixture : JobFixture {
    ExitCode explain(const std::string& specFile)
    {
        Arguments arguments;
        arguments.command = "explain-placement";
        arguments.instance = entry.endpoint();
        arguments.specFile = specFile;
        arguments.host = "h";
        arguments.path = "/p/";
        arguments.key = "k";
        return run(arguments);
    }

    TemporaryFile spec { R"({"steps":[{"count":1}]})" };
};

BOOST_FIXTURE_TEST_CASE(ExplanationIsPrinted, ExplainFixture)
{
    answer("POST", "/explain-placement", 200, R"({"decision":"accepted","reason":"","route":"r","team":"t","priority":1,"expected_wait_ms":null,"jobs_waiting":4,)"
                                              R"("steps":[{"tasks":1,"within_limit":1,"upstreams":9,"fit_now":2,"left_out":{"draining":7},"choices":[{"upstream":"u4","domain":"d1","fits":3}]}]})");
    BOOST_TEST(explain(spec.path) == ExitOk);
    nlohmann::json sent = nlohmann::json::parse(lastBody);
    BOOST_TEST(sent["job"] == R"({"steps":[{"count":1}]})");
    BOOST_TEST(sent["key"] == "k");
    for (const char* part : { "accepted\n", "route r, priority 1, team t", "not known", "4 jobs wait", "of 9 upstreams 2 have room", "left out, draining: 7", "choice: u4 (d1), fits 3" })
        BOOST_TEST(out.str().find(part) != std::string::npos, part << " is missing in " << out.str());
}

BOOST_FIXTURE_TEST_CASE(ExplainedRefusalHasItsExitCode, ExplainFixture)
{
    answer("POST", "/explain-placement", 200, R"({"decision":"overloaded","reason":"full"})");
    BOOST_TEST(explain(spec.path) == ExitRefused);
    BOOST_TEST(out.str() == "overloaded: full\n");
}

BOOST_FIXTURE_TEST_CASE(OwnerToAskIsNamed, ExplainFixture)
{
    answer("POST", "/explain-placement", 409, R"({"owner":"entry-2","owner_address":"10.0.0.2:7000"})");
    BOOST_TEST(explain(spec.path) == ExitUnknown);
    BOOST_TEST(err.str().find("ask instance entry-2 (its peers call it at 10.0.0.2:7000)") != std::string::npos);
}

// An older instance answers any request with its metrics.
BOOST_FIXTURE_TEST_CASE(MetricsAreNoExplanation, ExplainFixture)
{
    answer("POST", "/explain-placement", 200, "owner 1\n");
    BOOST_TEST(explain(spec.path) == ExitUnknown);
    BOOST_TEST(out.str().empty());
}

BOOST_FIXTURE_TEST_CASE(SpecificationThatIsNoJsonIsNotSent, ExplainFixture)
{
    TemporaryFile broken("{");
    BOOST_TEST(explain(broken.path) == ExitInvalidFile);
    BOOST_TEST(explain("/nonexistent") == ExitInvalidFile);
    BOOST_TEST(lastBody.empty());
}

// The command line

static ExitCode usageOf(const std::vector<std::string>& words) { return parseArguments(words, "0").exitCode; }

BOOST_AUTO_TEST_CASE(InvalidUsageIsRejected)
{
    BOOST_TEST(usageOf({}) == ExitUsage);
    BOOST_TEST(usageOf({ "bogus" }) == ExitUsage);
    BOOST_TEST(usageOf({ "key" }) == ExitUsage);
    BOOST_TEST(usageOf({ "apply", "f.yaml" }) == ExitUsage);
    BOOST_TEST(usageOf({ "apply", "f.yaml", "--store", "127.0.0.1:1", "--wait" }) == ExitUsage);
    BOOST_TEST(usageOf({ "domain", "out", "kumasi-1", "--store", "127.0.0.1:1" }) == ExitUsage);
    BOOST_TEST(usageOf({ "get", "abc", "--entry", "127.0.0.1:1", "--key", "a.b\r\nX: y" }) == ExitUsage);
    BOOST_TEST(usageOf({ "submit", "--id", "a", "--service", "s", "--kind", "urgent", "--key", "a.b", "--entry", "127.0.0.1:1" }) == ExitUsage);
}

BOOST_AUTO_TEST_CASE(ExplainPlacementTakesOneIdentity)
{
    std::vector<std::string> words { "explain-placement", "--instance", "127.0.0.1:1", "--spec", "f", "--host", "h", "--path", "/p/", "--team", "t" };
    ParsedArguments parsed = parseArguments(words, "0");
    BOOST_TEST_REQUIRE(parsed.arguments.has_value());
    BOOST_TEST(parsed.arguments->instance == "127.0.0.1:1");
    BOOST_TEST(parsed.arguments->specFile == "f");
    BOOST_TEST(parsed.arguments->team == "t");
    words.insert(words.end(), { "--key", "k" });
    BOOST_TEST(usageOf(words) == ExitUsage);
    BOOST_TEST(usageOf({ "explain-placement", "--spec", "f" }) == ExitUsage);
}

BOOST_AUTO_TEST_CASE(WaitTakesAnOptionalNumber)
{
    std::vector<std::string> words { "apply", "f.yaml", "--store", "127.0.0.1:1", "--entry", "127.0.0.1:2", "--wait" };
    ParsedArguments parsed = parseArguments(words, "0");
    BOOST_TEST_REQUIRE(parsed.arguments.has_value());
    BOOST_TEST(parsed.arguments->wait->count() == 30);
    words.emplace_back("7");
    parsed = parseArguments(words, "0");
    BOOST_TEST_REQUIRE(parsed.arguments.has_value());
    BOOST_TEST(parsed.arguments->wait->count() == 7);
    BOOST_TEST(parsed.arguments->operands[0] == "f.yaml");
    BOOST_TEST(parsed.arguments->stores[0] == "127.0.0.1:1");
}

BOOST_AUTO_TEST_SUITE_END()
