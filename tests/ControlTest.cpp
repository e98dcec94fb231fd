#include <boost/asio/post.hpp>
#include <functional>
#include <nlohmann/json.hpp>

#include "src/config/ConfigurationFile.h"
#include "src/control/ConfigurationChanges.h"
#include "src/control/ConfigurationDiff.h"
#include "src/control/FleetStatus.h"
#include "tests/ControlFixture.h"
#include "tests/support/FakeHttpServer.h"

using namespace crocuslever;
using namespace crocuslever::testing;

using Lines = std::vector<std::string>;

BOOST_AUTO_TEST_SUITE(ControlTest)

BOOST_FIXTURE_TEST_CASE(TheFirstConfigurationHasRevisionOne, ControlFixture)
{
    StoredConfiguration before = read();
    BOOST_TEST(before.modRevision == 0);
    CommitReport report = store.commit(before, makeConfiguration(16));
    BOOST_TEST((report.outcome == CommitOutcome::Committed));
    BOOST_TEST(read().configuration.revision == 1);
    BOOST_TEST(read().configuration.teams[0].upperLimit == 16);
}

BOOST_FIXTURE_TEST_CASE(EachCommitIncrementsTheRevision, ControlFixture)
{
    store.commit(read(), makeConfiguration(16));
    Configuration changed = makeConfiguration(17);
    changed.revision = 77;
    CommitReport report = store.commit(read(), changed);
    BOOST_TEST(report.after.revision == 2);
    BOOST_TEST(read().configuration.revision == 2);
}

BOOST_FIXTURE_TEST_CASE(ConflictReportsTheOtherChange, ControlFixture)
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

BOOST_FIXTURE_TEST_CASE(ConcurrentFirstCommitsConflict, ControlFixture)
{
    StoredConfiguration before = read();
    putAsOtherOperator(20, 1);
    BOOST_TEST((store.commit(before, makeConfiguration(30)).outcome == CommitOutcome::Conflict));
    BOOST_TEST(read().configuration.teams[0].upperLimit == 20);
}

BOOST_FIXTURE_TEST_CASE(CommitWithLostReplyIsReadBack, ControlFixture)
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

BOOST_FIXTURE_TEST_CASE(ChangeWithLostReplyIsAppliedOnce, ControlFixture)
{
    store.commit(read(), makeConfiguration(16));
    fakeStore.dropAnswers(1);
    KeyHash key { "archive-2", "ef", std::string(64, 'a') };
    Result<CommitReport> report = store.change([&](const Configuration& configuration, bool) { return addKey(configuration, TeamId("archive"), key); });
    BOOST_TEST_REQUIRE(report.has_value());
    BOOST_TEST((report.value().outcome == CommitOutcome::Committed));
    BOOST_TEST(read().configuration.revision == 2);
    BOOST_TEST(read().configuration.teams[0].keys.size() == 2);
}

BOOST_FIXTURE_TEST_CASE(CommutingChangeIsRetriedAfterConflict, ControlFixture)
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

BOOST_FIXTURE_TEST_CASE(UnansweredCommitIsReportedAsUnknown, ControlFixture)
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

BOOST_FIXTURE_TEST_CASE(OverwrittenCommitIsReportedAsUnknown, ControlFixture)
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

BOOST_FIXTURE_TEST_CASE(ChangeWithoutEffectWritesNothing, ControlFixture)
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

BOOST_FIXTURE_TEST_CASE(ApplyCommitsTheFileOnce, ControlFixture)
{
    TemporaryFile file(fileText(16));
    BOOST_TEST(run("apply", { file.path }) == ExitOk);
    BOOST_TEST(read().configuration.revision == 1);
    BOOST_TEST(run("apply", { file.path }) == ExitOk);
    BOOST_TEST(out.str() == "no change to revision 1\n");
    BOOST_TEST(read().configuration.revision == 1);
}

BOOST_FIXTURE_TEST_CASE(InvalidFileChangesNothing, ControlFixture)
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

BOOST_FIXTURE_TEST_CASE(ConflictingApplyShowsAndKeepsTheOtherChange, ControlFixture)
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

BOOST_FIXTURE_TEST_CASE(DiffShowsChangesWithoutWriting, ControlFixture)
{
    putAsOtherOperator(16, 1);
    TemporaryFile file(fileText(30));
    StoreRevision revision = fakeStore.model().revision();
    BOOST_TEST(run("diff", { file.path }) == ExitOk);
    BOOST_TEST(out.str() == "~ team archive upper_limit: 16 -> 30\n");
    BOOST_TEST(fakeStore.model().revision() == revision);
}

BOOST_FIXTURE_TEST_CASE(KeysAreCreatedListedAndWithdrawn, ControlFixture)
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

BOOST_FIXTURE_TEST_CASE(DomainIsTakenOutAndReturned, ControlFixture)
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

BOOST_FIXTURE_TEST_CASE(JsonOutputIsOneDocument, ControlFixture)
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

struct WaitFixture : ControlFixture {
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

BOOST_AUTO_TEST_SUITE_END()
