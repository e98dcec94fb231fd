#include "src/control/ExplainCommand.h"

#include <nlohmann/json.hpp>
#include <optional>

#include "src/control/RunIoContext.h"
#include "src/control/TextFile.h"
#include "src/http/HttpClient.h"

namespace crocuslever {

using Json = nlohmann::ordered_json;

static constexpr int kOk = 200;
static constexpr int kNotOwner = 409;

// Members that are absent or of another type yield an empty value.

static std::string textOf(const Json& object, const char* key)
{
    auto it = object.find(key);
    return it != object.end() && it->is_string() ? it->get<std::string>() : std::string();
}

static double numberOf(const Json& object, const char* key)
{
    auto it = object.find(key);
    return it != object.end() && it->is_number() ? it->get<double>() : 0.0;
}

static std::string countOf(const Json& object, const char* key) { return std::to_string(static_cast<std::int64_t>(numberOf(object, key))); }

static bool isSet(const Json& object, const char* key)
{
    auto it = object.find(key);
    return it != object.end() && it->is_boolean() && it->get<bool>();
}

static Json memberOf(const Json& object, const char* key)
{
    auto it = object.find(key);
    return it == object.end() ? Json() : *it;
}

static Result<HttpReply> ask(boost::asio::io_context& io, const Arguments& arguments, const std::string& job)
{
    Json question { { "host", arguments.host }, { "path", arguments.path }, { "job", job } };
    if (!arguments.key.empty())
        question["key"] = arguments.key;
    if (!arguments.team.empty())
        question["team"] = arguments.team;
    HttpClientSettings settings;
    settings.endpoints = { arguments.instance };
    HttpClient client(io, settings);
    HttpRequest request;
    request.target = "/explain-placement";
    request.body = question.dump(-1, ' ', false, Json::error_handler_t::replace);
    std::optional<Result<HttpReply>> reply;
    client.send(request, [&reply](Result<HttpReply> result) { reply = std::move(result); });
    runUntilSet(io, reply);
    return *reply;
}

static void printStep(const Json& step, std::size_t n, std::ostream& out)
{
    out << "step " << n << ": " << countOf(step, "tasks") << " tasks" << (isSet(step, "gang") ? " that start together" : "")
        << (isSet(step, "waits_for_steps") ? ", after other steps" : "") << "; the team's limit allows " << countOf(step, "within_limit") << " now\n"
        << "    of " << countOf(step, "upstreams") << " upstreams " << countOf(step, "fit_now") << " have room, for " << countOf(step, "tasks_fit_now") << " of the tasks; "
        << countOf(step, "fit_after_preemption") << " after preemption\n";
    if (numberOf(step, "advice_needed") > 0.0)
        out << "    " << countOf(step, "advice_needed") << " of these can only be used once the advice service has named them\n";
    Json leftOut = memberOf(step, "left_out");
    for (const auto& [reason, count] : leftOut.items())
        out << "    left out, " << reason << ": " << (count.is_number_integer() ? count.get<std::int64_t>() : 0) << "\n";
    for (const Json& choice : memberOf(step, "choices")) {
        out << "    choice: " << textOf(choice, "upstream") << " (" << textOf(choice, "domain") << "), fits " << countOf(choice, "fits") << ", "
            << countOf(choice, "left_millicpu") << " mcpu left after one task" << (isSet(choice, "near_data") ? "" : ", far from its data") << "\n";
    }
}

static void printExplanation(const Json& answer, std::ostream& out)
{
    std::string reason = textOf(answer, "reason");
    out << textOf(answer, "decision") << (reason.empty() ? "" : ": " + reason) << "\n";
    std::string team = textOf(answer, "team");
    if (!answer.contains("route"))
        return;
    Json wait = memberOf(answer, "expected_wait_ms");
    out << "route " << textOf(answer, "route") << ", priority " << countOf(answer, "priority") << ", team " << (team.empty() ? "none" : team) << "\n"
        << "accepted: " << countOf(answer, "accepted_of_class_thousandths") << " thousandths of its class, " << countOf(answer, "accepted_of_team_thousandths") << " of its team's jobs\n"
        << "expected wait of its class: " << (wait.is_number() ? countOf(answer, "expected_wait_ms") + " ms" : "not known") << "\n"
        << "the team holds " << numberOf(answer, "team_share") << " of the cell; its fair share is " << numberOf(answer, "team_fair_share") << "\n"
        << countOf(answer, "jobs_waiting") << " jobs wait" << (isSet(answer, "starts_held") ? "; the owner starts no tasks now" : "") << "\n";
    std::size_t n = 0;
    for (const Json& step : memberOf(answer, "steps"))
        printStep(step, n++, out);
    if (numberOf(answer, "steps_omitted") > 0.0)
        out << countOf(answer, "steps_omitted") << " further steps are not shown\n";
}

static ExitCode reportFailure(int status, const Json& answer, const Arguments& arguments, std::ostream& err)
{
    std::string owner = textOf(answer, "owner");
    std::string error = textOf(answer, "error");
    if (status == kNotOwner && !owner.empty())
        err << "crocusctl: " << arguments.instance << " doesn't own the cell; ask instance " << owner << " (its peers call it at " << textOf(answer, "owner_address") << ") at its metrics address\n";
    else if (status == kNotOwner)
        err << "crocusctl: " << arguments.instance << " doesn't own the cell and knows no owner; try again later\n";
    else
        err << "crocusctl: " << arguments.instance << " answered with HTTP status " << status << (error.empty() ? "" : ": " + error) << "\n";
    return ExitUnknown;
}

ExitCode runExplainCommand(boost::asio::io_context& io, const Arguments& arguments, CommandOutput output)
{
    Result<std::string> job = readTextFile(arguments.specFile);
    if (job.has_error() || !Json::accept(job.value())) {
        output.err << "crocusctl: " << (job.has_error() ? job.error().describe() : arguments.specFile + " is not JSON") << "\n";
        return ExitInvalidFile;
    }
    Result<HttpReply> reply = ask(io, arguments, job.value());
    if (reply.has_error()) {
        output.err << "crocusctl: " << reply.error().describe() << "\n";
        return ExitUnknown;
    }
    Json answer = Json::parse(reply.value().body, nullptr, false);
    std::string decision = textOf(answer, "decision");
    // An instance without this command answers with its metrics.
    if (reply.value().status != kOk || decision.empty())
        return reportFailure(reply.value().status, answer, arguments, output.err);
    if (arguments.asJson)
        output.out << answer.dump(2, ' ', false, Json::error_handler_t::replace) << "\n";
    else
        printExplanation(answer, output.out);
    return decision == "accepted" ? ExitOk : ExitRefused;
}

} // namespace crocuslever
