#include "src/control/Arguments.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <tclap/CmdLine.h>

namespace crocuslever {

static const char* const kExitCodes = "Exit status: 0 success; 1 refused or failed; 2 invalid usage; 3 invalid file; "
                                      "4 conflict with another operator's change, nothing was changed; 5 not reachable, or the outcome is unknown; "
                                      "6 stored, but not yet active on every instance.";

namespace {

struct Command {
    const char* name;
    std::vector<const char*> operands;
    const char* description;
};

} // namespace

static const std::vector<Command>& commands()
{
    static const std::vector<Command> kCommands = {
        { "validate", { "FILE" }, "Check a configuration file." },
        { "diff", { "FILE" }, "Show what applying the file would change." },
        { "apply", { "FILE" }, "Store the file's configuration; with --wait [SECONDS], wait until every instance uses it." },
        { "status", {}, "Show the status that each entry instance reports, and the revision in the store." },
        { "key new", { "TEAM" }, "Create a key for a team and print it; it can't be shown again." },
        { "key withdraw", { "TEAM", "KEYID" }, "Withdraw a team's key." },
        { "key list", {}, "List the active keys by team and id." },
        { "domain out", { "NAME" }, "Stop placing new work in a failure domain; requires --reason." },
        { "domain in", { "NAME" }, "Resume placing work in a failure domain." },
        { "submit", {}, "Submit a job; requires --id and --service. The same id names the same job." },
        { "get", { "JOB" }, "Show a job's state." },
        { "result", { "JOB" }, "Print a job's result unchanged." },
        { "cancel", { "JOB" }, "Cancel a job." },
        { "explain-placement", {}, "Show whether the cell would accept a job now, and where its tasks could start; nothing is submitted. Status 0 if it would be accepted, 1 if not, 5 if the instance doesn't own the cell." },
    };
    return kCommands;
}

static std::string usageOf(const Command& command)
{
    std::string text = command.name;
    for (const char* operand : command.operands)
        text += std::string(" ") + operand;
    return text;
}

static void printHelp(std::ostream& out)
{
    out << "Usage: crocusctl COMMAND [OPTIONS]\n\nCommands (crocusctl COMMAND --help for the options of each):\n";
    for (const Command& command : commands())
        out << "  " << usageOf(command) << "\n      " << command.description << "\n";
    out << "\n"
        << kExitCodes << "\n";
}

static const Command* findCommand(const std::vector<std::string>& words)
{
    for (const Command& command : commands()) {
        std::string two = words.size() > 1 ? words[0] + " " + words[1] : "";
        if (command.name == words[0] || command.name == two)
            return &command;
    }
    return nullptr;
}

static bool isNumber(const std::string& text)
{
    return !text.empty() && text.find_first_not_of("0123456789") == std::string::npos;
}

// Inserts the default after a --wait without a number, as TCLAP has no options with an optional value.
static void insertDefaultWait(std::vector<std::string>& words)
{
    static const char* const kDefaultWait = "30";
    for (std::size_t i = 0; i < words.size(); ++i) {
        bool hasValue = i + 1 < words.size() && isNumber(words[i + 1]);
        if (words[i] == "--wait" && !hasValue)
            words.insert(words.begin() + static_cast<std::ptrdiff_t>(i) + 1, kDefaultWait);
    }
}

namespace {

bool isJobCommand(const std::string& name) { return name == "submit" || name == "get" || name == "result" || name == "cancel"; }

bool needsStore(const std::string& name) { return name != "validate" && name != "status" && name != "explain-placement" && !isJobCommand(name); }

/// Parser of one command, with only the options that the command takes.
class OptionReader {
public:
    OptionReader(const Command& command, const std::string& version)
        : m_name(command.name)
        , m_line(std::string(command.description) + " " + kExitCodes, ' ', version)
        , m_json("", "json", "Print JSON", m_line)
    {
        m_line.setExceptionHandling(false);
        for (const char* operand : command.operands)
            addOperand(operand);
        if (m_name == "status" || needsStore(m_name))
            addList(m_stores, "store", "Endpoint of the key-value store", needsStore(m_name));
        if (m_name == "status" || m_name == "apply" || isJobCommand(m_name))
            addList(m_entries, "entry", "Endpoint of an entry instance", m_name != "apply");
        addCommandOptions();
    }

    Arguments read(std::vector<std::string>& words)
    {
        m_line.parse(words);
        Arguments arguments;
        arguments.command = m_name;
        for (const auto& operand : m_operands)
            arguments.operands.push_back(operand->getValue());
        arguments.asJson = m_json.getValue();
        arguments.stores = m_stores ? m_stores->getValue() : std::vector<std::string>();
        arguments.entries = m_entries ? m_entries->getValue() : std::vector<std::string>();
        if (m_wait && m_wait->isSet())
            arguments.wait = std::chrono::seconds(m_wait->getValue());
        readCommandOptions(arguments);
        return arguments;
    }

private:
    using TextArg = std::unique_ptr<TCLAP::ValueArg<std::string>>;
    using ListArg = std::unique_ptr<TCLAP::MultiArg<std::string>>;

    void addOperand(const char* name)
    {
        m_operands.push_back(std::make_unique<TCLAP::UnlabeledValueArg<std::string>>(name, name, true, "", name, m_line));
    }

    void addList(ListArg& arg, const char* name, const char* description, bool required)
    {
        arg = std::make_unique<TCLAP::MultiArg<std::string>>("", name, std::string(description) + "; may be repeated", required, "IP:port", m_line);
    }

    void addText(TextArg& arg, const char* name, const char* description, bool required, const char* type, const char* fallback = "")
    {
        arg = std::make_unique<TCLAP::ValueArg<std::string>>("", name, description, required, fallback, type, m_line);
    }

    void addCommandOptions()
    {
        if (m_name == "apply")
            m_wait = std::make_unique<TCLAP::ValueArg<unsigned int>>("", "wait", "Wait at most this long until all instances use the configuration; 30 if no number is given", false, 0, "seconds", m_line);
        if (m_name == "domain out")
            addText(m_reason, "reason", "Reason, for the other operators", true, "text");
        if (isJobCommand(m_name))
            addText(m_key, "key", "The team's key; by default that of the environment variable CROCUSLEVER_KEY, which other users can't see", false, "ID.SECRET");
        if (m_name == "submit")
            addSubmitOptions();
        if (m_name == "explain-placement")
            addExplainOptions();
    }

    void addExplainOptions()
    {
        addText(m_instance, "instance", "Metrics address of the instance that owns the cell", true, "IP:port");
        addText(m_specFile, "spec", "File with the job, as in a submission", true, "file");
        addText(m_host, "host", "Host of the job's route", true, "name");
        addText(m_path, "path", "Path of the submission; without a job id, the answer is for jobs like this", true, "path");
        addText(m_key, "key", "The team's key; by default that of the environment variable CROCUSLEVER_KEY, which other users can't see", false, "key");
        addText(m_team, "team", "Name of the team, in place of its key", false, "name");
    }

    void addSubmitOptions()
    {
        addText(m_id, "id", "The job's idempotency id", true, "id");
        addText(m_service, "service", "Name of the handler at the upstream", true, "name");
        addText(m_kind, "kind", "batch, gang or service", false, "kind", "batch");
        addText(m_body, "body", "Body of the task", false, "text");
        addText(m_bodyFile, "body-file", "File with the body of the task", false, "file");
        m_idempotent = std::make_unique<TCLAP::SwitchArg>("", "idempotent", "The job may be retried", m_line);
    }

    static std::string valueOf(const TextArg& arg) { return arg ? arg->getValue() : ""; }

    void readCommandOptions(Arguments& arguments) const
    {
        arguments.reason = valueOf(m_reason);
        arguments.key = valueOf(m_key);
        arguments.id = valueOf(m_id);
        arguments.service = valueOf(m_service);
        arguments.kind = valueOf(m_kind);
        arguments.body = valueOf(m_body);
        arguments.bodyFile = valueOf(m_bodyFile);
        arguments.instance = valueOf(m_instance);
        arguments.specFile = valueOf(m_specFile);
        arguments.host = valueOf(m_host);
        arguments.path = valueOf(m_path);
        arguments.team = valueOf(m_team);
        arguments.idempotent = m_idempotent && m_idempotent->getValue();
    }

    std::string m_name;
    TCLAP::CmdLine m_line;
    TCLAP::SwitchArg m_json;
    std::vector<std::unique_ptr<TCLAP::UnlabeledValueArg<std::string>>> m_operands;
    ListArg m_stores;
    ListArg m_entries;
    std::unique_ptr<TCLAP::ValueArg<unsigned int>> m_wait;
    std::unique_ptr<TCLAP::SwitchArg> m_idempotent;
    TextArg m_reason;
    TextArg m_key;
    TextArg m_id;
    TextArg m_service;
    TextArg m_kind;
    TextArg m_body;
    TextArg m_bodyFile;
    TextArg m_instance;
    TextArg m_specFile;
    TextArg m_host;
    TextArg m_path;
    TextArg m_team;
};

} // namespace

static std::string findUsageError(const Arguments& arguments)
{
    if (arguments.wait && arguments.entries.empty())
        return "--wait requires --entry, the instances to query";
    if (!arguments.body.empty() && !arguments.bodyFile.empty())
        return "--body and --body-file are mutually exclusive";
    if (arguments.command == "domain out" && arguments.reason.empty())
        return "--reason must not be empty";
    if (arguments.command == "submit" && arguments.kind != "batch" && arguments.kind != "gang" && arguments.kind != "service")
        return "--kind must be batch, gang or service";
    if (!arguments.key.empty() && !arguments.team.empty())
        return "--key and --team are mutually exclusive";
    if (!isJobCommand(arguments.command))
        return "";
    if (arguments.key.empty())
        return "--key or the environment variable CROCUSLEVER_KEY is required";
    // The key is sent in an HTTP header.
    bool isValid = std::all_of(arguments.key.begin(), arguments.key.end(), [](unsigned char c) { return c > ' ' && c < 127; });
    return isValid ? "" : "the key contains a space, a control character or a non-ASCII character";
}

static ParsedArguments failUsage(const std::string& message)
{
    std::cerr << "crocusctl: " << message << "\n";
    return { std::nullopt, ExitUsage };
}

static ParsedArguments parseCommand(const Command& command, std::vector<std::string> words, const std::string& version)
{
    bool isTwoWords = std::string(command.name).find(' ') != std::string::npos;
    words.erase(words.begin(), words.begin() + (isTwoWords ? 2 : 1));
    words.insert(words.begin(), std::string("crocusctl ") + command.name);
    insertDefaultWait(words);
    try {
        Arguments arguments = OptionReader(command, version).read(words);
        const char* key = std::getenv("CROCUSLEVER_KEY");
        bool takesKey = isJobCommand(arguments.command) || (arguments.command == "explain-placement" && arguments.team.empty());
        if (takesKey && arguments.key.empty() && key)
            arguments.key = key;
        std::string fault = findUsageError(arguments);
        if (!fault.empty())
            return failUsage(fault);
        return { arguments, ExitOk };
    } catch (const TCLAP::ArgException& e) {
        return failUsage(e.error() + " " + e.argId() + "; see crocusctl " + command.name + " --help");
    } catch (const TCLAP::ExitException& e) {
        return { std::nullopt, e.getExitStatus() == 0 ? ExitOk : ExitUsage };
    }
}

ParsedArguments parseArguments(std::vector<std::string> words, const std::string& version)
{
    if (words.empty()) {
        printHelp(std::cerr);
        return { std::nullopt, ExitUsage };
    }
    if (words[0] == "--help" || words[0] == "-h") {
        printHelp(std::cout);
        return { std::nullopt, ExitOk };
    }
    if (words[0] == "--version") {
        std::cout << "crocusctl " << version << "\n";
        return { std::nullopt, ExitOk };
    }
    const Command* command = findCommand(words);
    if (!command)
        return failUsage("unknown command \"" + words[0] + "\"; see crocusctl --help");
    return parseCommand(*command, std::move(words), version);
}

} // namespace crocuslever
