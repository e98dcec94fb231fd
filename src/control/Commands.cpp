#include "src/control/Commands.h"

#include <nlohmann/json.hpp>

#include "src/codec/RecordCodec.h"
#include "src/config/ConfigurationFile.h"
#include "src/control/ConfigurationChanges.h"
#include "src/control/ConfigurationDiff.h"
#include "src/control/ConfigurationStore.h"
#include "src/control/ExplainCommand.h"
#include "src/control/FleetStatus.h"
#include "src/control/JobCommands.h"
#include "src/control/RunIoContext.h"
#include "src/control/TextFile.h"

namespace crocuslever {

using Json = nlohmann::ordered_json;

namespace {

/// Parameters of every command handler.
struct Context {
    boost::asio::io_context& io;
    const Arguments& arguments;
    CommandOutput output;
};

} // namespace

static std::string dump(const Json& value) { return value.dump(2, ' ', false, Json::error_handler_t::replace) + "\n"; }

static ExitCode reportError(const Context& context, const Error& error)
{
    context.output.err << "crocusctl: " << error.describe() << "\n";
    if (error.code == ErrorCode::Unavailable)
        context.output.err << "Nothing was changed.\n";
    return error.code == ErrorCode::Unavailable || error.code == ErrorCode::Unknown ? ExitUnknown : ExitRefused;
}

static StoreClientSettings storeSettings(const Arguments& arguments)
{
    StoreClientSettings settings;
    settings.endpoints = arguments.stores;
    return settings;
}

static Result<Configuration> loadFile(const std::string& path)
{
    Result<std::string> text = readTextFile(path);
    if (text.has_error())
        return text.error();
    Result<Configuration> configuration = parseConfigurationFile(text.value(), path);
    if (configuration.has_error())
        return configuration.error();
    // The store format has a resolution of 1 ms; values that it can't represent must not change silently.
    Result<Configuration> stored = decodeConfiguration(encodeConfiguration(configuration.value()));
    if (stored.has_error())
        return Error { ErrorCode::InvalidInput, "configuration.check", path, stored.error().message };
    if (stored.value() != configuration.value())
        return Error { ErrorCode::InvalidInput, "configuration.check", path, "durations must be whole milliseconds" };
    return configuration;
}

static ExitCode reportInvalid(const Context& context, const Error& error)
{
    // Parse errors name the file themselves, with one fault on each line.
    context.output.err << (error.step == "configuration.parse" ? error.message : error.describe()) << "\n";
    return ExitInvalidFile;
}

static ExitCode validate(const Context& context)
{
    Result<Configuration> configuration = loadFile(context.arguments.operands[0]);
    if (configuration.has_error())
        return reportInvalid(context, configuration.error());
    if (context.arguments.asJson)
        context.output.out << dump({ { "valid", true } });
    else
        context.output.out << context.arguments.operands[0] << ": valid, " << configuration.value().teams.size() << " teams\n";
    return ExitOk;
}

static void printLines(std::ostream& out, const std::vector<std::string>& lines)
{
    for (const std::string& line : lines)
        out << line << "\n";
}

static ExitCode showDiff(const Context& context)
{
    Result<Configuration> wanted = loadFile(context.arguments.operands[0]);
    if (wanted.has_error())
        return reportInvalid(context, wanted.error());
    Result<StoredConfiguration> stored = ConfigurationStore(context.io, storeSettings(context.arguments)).read();
    if (stored.has_error())
        return reportError(context, stored.error());
    std::vector<std::string> lines = diffConfigurations(stored.value().configuration, wanted.value());
    if (context.arguments.asJson)
        context.output.out << dump({ { "revision", stored.value().configuration.revision }, { "changes", lines } });
    else if (lines.empty())
        context.output.out << "no change to revision " << stored.value().configuration.revision << "\n";
    else
        printLines(context.output.out, lines);
    return ExitOk;
}

static const char* outcomeName(CommitOutcome outcome)
{
    switch (outcome) {
    case CommitOutcome::Committed:
        return "committed";
    case CommitOutcome::Conflict:
        return "conflict";
    case CommitOutcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

static void printAsJson(const Context& context, const CommitReport& report, Json value)
{
    value["outcome"] = outcomeName(report.outcome);
    value["revision"] = report.after.revision;
    value["changes"] = diffConfigurations(report.before, report.after);
    if (report.current)
        value["other_changes"] = diffConfigurations(report.before, *report.current);
    context.output.out << dump(value);
}

static void printCommitted(std::ostream& out, const CommitReport& report)
{
    std::vector<std::string> lines = diffConfigurations(report.before, report.after);
    printLines(out, lines);
    out << (lines.empty() ? "no change to revision " : "stored as revision ") << report.after.revision << "\n";
}

static void printConcurrentChange(std::ostream& err, const CommitReport& report)
{
    if (!report.current)
        return;
    err << "Changed by another operator since revision " << report.before.revision << ", now revision " << report.current->revision << ":\n";
    printLines(err, diffConfigurations(report.before, *report.current));
}

static void printNotCommitted(std::ostream& err, const CommitReport& report)
{
    if (report.outcome == CommitOutcome::Conflict)
        err << "crocusctl: conflict with another operator's change; your change was not made\n";
    else
        err << "crocusctl: the store's answer was lost; your change may have taken effect, or may still do so\n";
    printConcurrentChange(err, report);
    if (report.outcome == CommitOutcome::Unknown)
        err << "Check the stored configuration with crocusctl diff before trying again.\n";
}

static ExitCode exitCodeOf(CommitOutcome outcome)
{
    switch (outcome) {
    case CommitOutcome::Committed:
        return ExitOk;
    case CommitOutcome::Conflict:
        return ExitConflict;
    case CommitOutcome::Unknown:
        return ExitUnknown;
    }
    return ExitUnknown;
}

static ExitCode reportCommit(const Context& context, const CommitReport& report, const Json& extraFields = Json::object())
{
    if (context.arguments.asJson)
        printAsJson(context, report, extraFields);
    else if (report.outcome == CommitOutcome::Committed)
        printCommitted(context.output.out, report);
    if (report.outcome != CommitOutcome::Committed)
        printNotCommitted(context.output.err, report);
    return exitCodeOf(report.outcome);
}

static std::vector<InstanceStatus> successfulStatuses(const std::vector<Result<InstanceStatus>>& results)
{
    std::vector<InstanceStatus> answers;
    for (const Result<InstanceStatus>& result : results) {
        if (result)
            answers.push_back(result.value());
    }
    return answers;
}

// Instances that do not answer still count while another instance lists them as members.
static std::vector<std::string> findLaggingInstances(const Context& context, std::uint64_t revision)
{
    std::vector<InstanceStatus> answers = successfulStatuses(fetchFleetStatus(context.io, context.arguments.entries));
    if (answers.empty())
        return { "unknown: no entry instance answered" };
    return findLaggingMembers(answers, revision);
}

static ExitCode waitUntilActive(const Context& context, std::uint64_t revision)
{
    constexpr std::chrono::milliseconds kStatusPollInterval(200);
    std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + *context.arguments.wait;
    std::vector<std::string> lagging = findLaggingInstances(context, revision);
    while (!lagging.empty() && std::chrono::steady_clock::now() < end) {
        runFor(context.io, kStatusPollInterval);
        lagging = findLaggingInstances(context, revision);
    }
    if (lagging.empty()) {
        // With --json, standard output must remain a single JSON document.
        (context.arguments.asJson ? context.output.err : context.output.out) << "active on every instance\n";
        return ExitOk;
    }
    context.output.err << "crocusctl: revision " << revision << " is stored, but not yet active on:\n";
    printLines(context.output.err, lagging);
    return ExitNotActive;
}

static CommitReport commitIfChanged(ConfigurationStore& store, const StoredConfiguration& before, const Configuration& wanted)
{
    bool isSame = before.modRevision != 0 && diffConfigurations(before.configuration, wanted).empty();
    if (isSame)
        return { CommitOutcome::Committed, before.configuration, before.configuration, std::nullopt };
    return store.commit(before, wanted);
}

static ExitCode apply(const Context& context)
{
    Result<Configuration> wanted = loadFile(context.arguments.operands[0]);
    if (wanted.has_error())
        return reportInvalid(context, wanted.error());
    ConfigurationStore store(context.io, storeSettings(context.arguments));
    Result<StoredConfiguration> before = store.read();
    if (before.has_error())
        return reportError(context, before.error());
    CommitReport report = commitIfChanged(store, before.value(), wanted.value());
    ExitCode code = reportCommit(context, report);
    if (code != ExitOk || !context.arguments.wait)
        return code;
    return waitUntilActive(context, report.after.revision);
}

static ExitCode commitChange(const Context& context, const ConfigurationChange& change)
{
    ConfigurationStore store(context.io, storeSettings(context.arguments));
    Result<CommitReport> report = store.change(change);
    if (report.has_error())
        return reportError(context, report.error());
    return reportCommit(context, report.value());
}

static void printKey(const Context& context, const CommitReport& report, const NewKey& key)
{
    std::ostream& out = context.output.out;
    // Printed even if the outcome is unknown: the key may be active, and its secret is stored nowhere.
    out << "key (can't be shown again): " << key.text << "\n";
    out << "entry for the team's keys in the configuration file:\n  - {id: " << key.hash.id << ", salt: \"" << key.hash.salt
        << "\", hash: \"" << key.hash.hash << "\"}\n";
    reportCommit(context, report);
}

static ExitCode newKey(const Context& context)
{
    TeamId team(context.arguments.operands[0]);
    Result<NewKey> key = makeKey(team);
    if (key.has_error())
        return reportError(context, key.error());
    ConfigurationStore store(context.io, storeSettings(context.arguments));
    Result<CommitReport> report = store.change([&](const Configuration& configuration, bool) { return addKey(configuration, team, key.value().hash); });
    if (report.has_error())
        return reportError(context, report.error());
    const KeyHash& hash = key.value().hash;
    if (report.value().outcome == CommitOutcome::Conflict)
        return reportCommit(context, report.value());
    if (context.arguments.asJson)
        return reportCommit(context, report.value(), { { "key", key.value().text }, { "id", hash.id }, { "salt", hash.salt }, { "hash", hash.hash } });
    printKey(context, report.value(), key.value());
    return exitCodeOf(report.value().outcome);
}

static ExitCode withdrawTeamKey(const Context& context)
{
    TeamId team(context.arguments.operands[0]);
    const std::string& id = context.arguments.operands[1];
    return commitChange(context, [&](const Configuration& configuration, bool mayBeApplied) { return withdrawKey(configuration, team, id, mayBeApplied); });
}

static ExitCode listKeys(const Context& context)
{
    Result<StoredConfiguration> stored = ConfigurationStore(context.io, storeSettings(context.arguments)).read();
    if (stored.has_error())
        return reportError(context, stored.error());
    Json list = Json::array();
    for (const Team& team : stored.value().configuration.teams) {
        for (const KeyHash& key : team.keys) {
            list.push_back({ { "team", team.id.value() }, { "key", key.id } });
            if (!context.arguments.asJson)
                context.output.out << team.id.value() << " " << key.id << "\n";
        }
    }
    if (context.arguments.asJson)
        context.output.out << dump(list);
    return ExitOk;
}

static ExitCode explain(const Context& context) { return runExplainCommand(context.io, context.arguments, context.output); }

static ExitCode domainOut(const Context& context)
{
    FailureDomainId domain(context.arguments.operands[0]);
    return commitChange(context, [&](const Configuration& configuration, bool) { return addDomainOutage(configuration, domain, context.arguments.reason); });
}

static ExitCode domainIn(const Context& context)
{
    FailureDomainId domain(context.arguments.operands[0]);
    return commitChange(context, [&](const Configuration& configuration, bool mayBeApplied) { return removeDomainOutage(configuration, domain, mayBeApplied); });
}

static void printStatus(std::ostream& out, const InstanceStatus& status)
{
    out << status.instance.value() << " (" << status.endpoint << ", domain " << status.domain.value() << "): "
        << (status.ready ? "ready" : "not ready") << (status.shuttingDown ? ", shutting down" : "")
        << ", revision " << status.revision << ", " << status.revisions.size() << " members, "
        << status.shardsOwned << " shards, " << status.shardsWithoutOwner << " without owner, " << status.jobs << " jobs, "
        << status.upstreamsListed << " upstreams, " << status.upstreamsQuarantined << " quarantined\n";
    for (const std::string& domain : status.domainsOut)
        out << "    domain out: " << domain << "\n";
}

static bool printFleet(const Context& context, const std::vector<Result<InstanceStatus>>& fleet)
{
    bool isComplete = true;
    for (const Result<InstanceStatus>& result : fleet) {
        if (result && !context.arguments.asJson)
            printStatus(context.output.out, result.value());
        if (result)
            continue;
        context.output.err << "crocusctl: " << result.error().describe() << "\n";
        isComplete = false;
    }
    return isComplete;
}

static ExitCode showStatus(const Context& context)
{
    std::vector<Result<InstanceStatus>> fleet = fetchFleetStatus(context.io, context.arguments.entries);
    bool isComplete = printFleet(context, fleet);
    Json value { { "store_revision", Json() }, { "instances", Json::array() } };
    for (const InstanceStatus& status : successfulStatuses(fleet))
        value["instances"].push_back(Json::parse(status.json, nullptr, false));
    if (!context.arguments.stores.empty()) {
        Result<StoredConfiguration> stored = ConfigurationStore(context.io, storeSettings(context.arguments)).read();
        isComplete = isComplete && stored.has_value();
        if (stored)
            value["store_revision"] = stored.value().configuration.revision;
        else
            context.output.err << "crocusctl: " << stored.error().describe() << "\n";
        if (stored && !context.arguments.asJson)
            context.output.out << "store: revision " << stored.value().configuration.revision << "\n";
    }
    if (context.arguments.asJson)
        context.output.out << dump(value);
    return isComplete ? ExitOk : ExitUnknown;
}

namespace {

struct Handler {
    const char* command;
    ExitCode (*run)(const Context&);
};

} // namespace

ExitCode runCommand(boost::asio::io_context& io, const Arguments& arguments, CommandOutput output)
{
    static constexpr Handler kHandlers[] = {
        { "validate", validate },
        { "diff", showDiff },
        { "apply", apply },
        { "status", showStatus },
        { "key new", newKey },
        { "key withdraw", withdrawTeamKey },
        { "key list", listKeys },
        { "domain out", domainOut },
        { "domain in", domainIn },
        { "explain-placement", explain },
    };
    for (const Handler& handler : kHandlers) {
        if (arguments.command == handler.command)
            return handler.run({ io, arguments, output });
    }
    return runJobCommand(io, arguments, output);
}

} // namespace crocuslever
