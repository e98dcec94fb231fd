#include "src/control/JobCommands.h"

#include <nlohmann/json.hpp>
#include <optional>

#include "src/codec/Base64.h"
#include "src/codec/Encoding.h"
#include "src/control/RunIoContext.h"
#include "src/control/TextFile.h"
#include "src/http/HttpClient.h"

namespace crocuslever {

using nlohmann::json;

static constexpr int kOk = 200;
static constexpr int kAccepted = 202;
static constexpr int kUnavailable = 503;
static constexpr int kOutcomeUnknown = 504;
static constexpr int kMaximumTries = 4;

static Result<HttpReply> callOnce(boost::asio::io_context& io, HttpClient& client, const HttpRequest& request)
{
    std::optional<Result<HttpReply>> reply;
    client.send(request, [&reply](Result<HttpReply> result) { reply = std::move(result); });
    runUntilSet(io, reply);
    return *reply;
}

static HttpClientSettings clientSettings(const Arguments& arguments)
{
    constexpr std::uint64_t kMaximumBytes = 67108864;
    HttpClientSettings settings;
    settings.endpoints = arguments.entries;
    settings.timeout = std::chrono::seconds(10);
    settings.maximumBodyBytes = kMaximumBytes;
    return settings;
}

// The client switches to the next instance after each failure.
static Result<HttpReply> callEntries(boost::asio::io_context& io, const Arguments& arguments, const HttpRequest& request)
{
    constexpr std::chrono::milliseconds kRetryInterval(300);
    HttpClient client(io, clientSettings(arguments));
    Result<HttpReply> reply = callOnce(io, client, request);
    for (int n = 1; n < kMaximumTries && (reply.has_error() || reply.value().status == kUnavailable); ++n) {
        runFor(io, kRetryInterval);
        Result<HttpReply> retried = callOnce(io, client, request);
        // A refusal only tells that this try did not run; an earlier, unanswered one may have.
        bool wasLost = reply.has_error() && reply.error().code == ErrorCode::Unknown;
        if (retried || !wasLost)
            reply = retried;
        if (retried && retried.value().status == kUnavailable && wasLost)
            return Error { ErrorCode::Unknown, request.target, "", "one try got no answer, and the next was refused temporarily" };
    }
    return reply;
}

static ExitCode exitCodeOf(int status)
{
    if (status == kOk || status == kAccepted)
        return ExitOk;
    return status == kOutcomeUnknown ? ExitUnknown : ExitRefused;
}

static ExitCode reportError(const Error& error, CommandOutput output)
{
    output.err << "crocusctl: " << error.describe() << "\n";
    if (error.code == ErrorCode::Unknown)
        output.err << "The call may have taken effect. It is safe to run the same command again: the same id names the same job.\n";
    return error.code == ErrorCode::TooLarge ? ExitRefused : ExitUnknown;
}

static void printState(const std::string& body, bool asJson, std::ostream& out)
{
    json value = json::parse(body, nullptr, false);
    if (asJson || !value.is_object()) {
        out << body << (body.empty() || body.back() != '\n' ? "\n" : "");
        return;
    }
    for (const char* key : { "job", "outcome", "state", "reason", "message", "retry_after_ms" }) {
        if (value.contains(key))
            out << key << ": " << (value[key].is_string() ? value[key].get<std::string>() : value[key].dump()) << "\n";
    }
}

static ExitCode callForState(boost::asio::io_context& io, const Arguments& arguments, const HttpRequest& request, CommandOutput output)
{
    Result<HttpReply> reply = callEntries(io, arguments, request);
    if (reply.has_error())
        return reportError(reply.error(), output);
    ExitCode code = exitCodeOf(reply.value().status);
    printState(reply.value().body, arguments.asJson, code == ExitOk ? output.out : output.err);
    return code;
}

static ExitCode submit(boost::asio::io_context& io, const Arguments& arguments, CommandOutput output)
{
    json value { { "id", arguments.id }, { "kind", arguments.kind }, { "service", arguments.service }, { "idempotent", arguments.idempotent } };
    std::string body = arguments.body;
    if (!arguments.bodyFile.empty()) {
        Result<std::string> text = readTextFile(arguments.bodyFile);
        if (text.has_error()) {
            output.err << "crocusctl: " << text.error().describe() << "\n";
            return ExitInvalidFile;
        }
        body = text.value();
    }
    // The body may hold any bytes, not only text.
    value["body_base64"] = encodeBase64(body);
    std::string document = value.dump(-1, ' ', false, json::error_handler_t::replace);
    return callForState(io, arguments, { "POST", "/v1/jobs", document, arguments.key }, output);
}

static std::string jobTarget(const Arguments& arguments) { return "/v1/jobs/" + encodePercent(arguments.operands[0]); }

static bool hasFailed(const std::string& body)
{
    json value = json::parse(body, nullptr, false);
    return value.is_object() && value.value("state", json()) == "failed";
}

// Prints the task's answer whether the task succeeded or failed; the job's state tells which.
static ExitCode printResult(boost::asio::io_context& io, const Arguments& arguments, CommandOutput output)
{
    Result<HttpReply> reply = callEntries(io, arguments, { "GET", jobTarget(arguments) + "/result", "", arguments.key });
    if (reply.has_error())
        return reportError(reply.error(), output);
    if (reply.value().status != kOk) {
        printState(reply.value().body, arguments.asJson, output.err);
        return reply.value().status == kOutcomeUnknown ? ExitUnknown : ExitRefused;
    }
    output.out << reply.value().body;
    Result<HttpReply> state = callEntries(io, arguments, { "GET", jobTarget(arguments), "", arguments.key });
    if (state.has_error() || !hasFailed(state.value().body))
        return ExitOk;
    output.err << "crocusctl: the task failed\n";
    return ExitRefused;
}

ExitCode runJobCommand(boost::asio::io_context& io, const Arguments& arguments, CommandOutput output)
{
    if (arguments.command == "submit")
        return submit(io, arguments, output);
    if (arguments.command == "result")
        return printResult(io, arguments, output);
    std::string method = arguments.command == "cancel" ? "DELETE" : "GET";
    return callForState(io, arguments, { method, jobTarget(arguments), "", arguments.key }, output);
}

} // namespace crocuslever
