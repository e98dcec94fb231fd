#include "src/upstream/UpstreamCodec.h"

#include <nlohmann/json.hpp>
#include <optional>

#include "src/codec/Base64.h"
#include "src/codec/Encoding.h"

namespace crocuslever {

using Json = nlohmann::json;

/// Serialises to ASCII, so that the text can be sent in a header; doesn't throw on invalid UTF-8.
static std::string dump(const Json& json)
{
    return json.dump(-1, ' ', true, Json::error_handler_t::replace);
}

static Json toJson(const Resources& resources)
{
    return { { "milli_cpu", resources.milliCpu }, { "memory_mb", resources.memoryMb },
        { "accelerators", resources.accelerators }, { "slots", resources.slots } };
}

template <typename Id>
static Json toJson(const std::vector<Id>& ids)
{
    Json list = Json::array();
    for (const Id& id : ids)
        list.push_back(id.value());
    return list;
}

/// Members common to all requests: the target upstream, and the shard and epoch that authorise it.
template <typename Command>
static Json commonFields(const Command& command)
{
    return { { "upstream", command.upstream.value() }, { "shard", command.shard }, { "epoch", command.epoch } };
}

UpstreamHttpRequest encodeRequest(const UpstreamFence& command)
{
    Json json = commonFields(command);
    json["owner"] = command.owner.value();
    return { "/v1/fence", "", dump(json) };
}

UpstreamHttpRequest encodeRequest(const UpstreamStart& command)
{
    Json json = commonFields(command);
    json["incarnation"] = command.incarnation.value();
    json["attempt"] = command.attempt.value();
    json["job"] = command.job.value();
    json["team"] = command.team.value();
    json["kind"] = toString(command.spec.kind);
    json["service"] = command.spec.service;
    json["idempotent"] = command.spec.idempotent;
    json["resources"] = toJson(command.spec.resources);
    json["run_time_ms"] = toMilliseconds(command.spec.runTime);
    json["lease_ms"] = toMilliseconds(command.lease);
    json["wait_for_result"] = command.waitForResult;
    json["length"] = command.spec.body.size();
    json["sha256"] = sha256Hex(command.spec.body);
    return { "/v1/attempts", dump(json), command.spec.body };
}

UpstreamHttpRequest encodeRequest(const UpstreamSync& command)
{
    Json json = commonFields(command);
    json["incarnation"] = command.incarnation.value();
    json["lease_ms"] = toMilliseconds(command.lease);
    json["renew"] = toJson(command.renew);
    json["acknowledge"] = toJson(command.acknowledge);
    return { "/v1/sync", "", dump(json) };
}

UpstreamHttpRequest encodeRequest(const UpstreamStop& command)
{
    Json json = commonFields(command);
    json["incarnation"] = command.incarnation.value();
    json["attempt"] = command.attempt.value();
    json["mode"] = toString(command.mode);
    return { "/v1/attempts/" + encodePercent(command.attempt.value()) + "/stop", "", dump(json) };
}

static std::string textOf(const Json& json, const char* name)
{
    auto it = json.find(name);
    return it != json.end() && it->is_string() ? it->get<std::string>() : std::string();
}

static std::int64_t numberOf(const Json& json, const char* name)
{
    auto it = json.find(name);
    return it != json.end() && it->is_number_integer() ? it->get<std::int64_t>() : 0;
}

static bool flagOf(const Json& json, const char* name)
{
    auto it = json.find(name);
    return it != json.end() && it->is_boolean() && it->get<bool>();
}

static Json memberOf(const Json& json, const char* name)
{
    auto it = json.find(name);
    return it != json.end() ? *it : Json();
}

static Resources resourcesOf(const Json& json, const char* name)
{
    Json member = memberOf(json, name);
    return { numberOf(member, "milli_cpu"), numberOf(member, "memory_mb"), numberOf(member, "accelerators"), numberOf(member, "slots") };
}

static std::optional<UpstreamOutcome> outcomeOf(const Json& json)
{
    std::string text = textOf(json, "outcome");
    for (UpstreamOutcome outcome : { UpstreamOutcome::Ok, UpstreamOutcome::StaleEpoch, UpstreamOutcome::WrongIncarnation, UpstreamOutcome::Refused, UpstreamOutcome::Unknown }) {
        if (text == toString(outcome))
            return outcome;
    }
    return std::nullopt;
}

static std::optional<AttemptState> stateOf(const Json& json)
{
    std::string text = textOf(json, "state");
    for (AttemptState state : { AttemptState::Unknown, AttemptState::Running, AttemptState::Ended, AttemptState::Stopped, AttemptState::NeverStarted }) {
        if (text == toString(state))
            return state;
    }
    return std::nullopt;
}

/// The result that `json` describes; none if length or checksum don't match `body`.
static std::optional<TaskResult> resultOf(const Json& json, const std::string& body)
{
    if (!json.is_object() || numberOf(json, "length") != static_cast<std::int64_t>(body.size()))
        return std::nullopt;
    if (textOf(json, "sha256") != sha256Hex(body))
        return std::nullopt;
    return TaskResult { flagOf(json, "succeeded"), static_cast<int>(numberOf(json, "status")), body };
}

static std::optional<AttemptStatus> statusOf(const Json& json)
{
    std::optional<AttemptState> state = stateOf(json);
    AttemptStatus status;
    status.attempt = AttemptId(textOf(json, "attempt"));
    if (!state || status.attempt.isEmpty())
        return std::nullopt;
    status.job = JobId(textOf(json, "job"));
    status.team = TeamId(textOf(json, "team"));
    status.state = *state;
    status.resources = resourcesOf(json, "resources");
    status.used = resourcesOf(json, "used");
    status.leaseLeft = fromMilliseconds(numberOf(json, "lease_left_ms"));
    if (status.state != AttemptState::Ended)
        return status;
    Json description = memberOf(json, "result");
    std::optional<std::string> body = decodeBase64(textOf(description, "body"));
    std::optional<TaskResult> result = body ? resultOf(description, *body) : std::nullopt;
    if (!result)
        return std::nullopt;
    status.result = std::move(*result);
    return status;
}

static Error answerError(const char* step, const UpstreamId& upstream, std::string message)
{
    return Error { ErrorCode::Unknown, step, upstream.value(), std::move(message) };
}

/// Parses an answer and checks the members common to all answers.
template <typename Command>
static Result<Json> parseAnswer(const Command& command, const std::string& text, const char* step)
{
    Json json = Json::parse(text, nullptr, false);
    if (!json.is_object() || !outcomeOf(json))
        return answerError(step, command.upstream, "malformed answer");
    if (textOf(json, "upstream") != command.upstream.value())
        return answerError(step, command.upstream, "answer is from another upstream, \"" + textOf(json, "upstream") + "\"");
    return json;
}

/// Reads the list of attempts; false if any entry is malformed or corrupted.
static bool readAttempts(const Json& json, std::vector<AttemptStatus>& attempts)
{
    Json list = memberOf(json, "attempts");
    if (!list.is_array())
        return false;
    for (const Json& item : list) {
        std::optional<AttemptStatus> status = statusOf(item);
        if (!status)
            return false;
        attempts.push_back(std::move(*status));
    }
    return true;
}

template <typename Answer, typename Command>
static Result<Answer> decodeAttemptList(const Command& command, const UpstreamHttpAnswer& answer, const char* step)
{
    Result<Json> json = parseAnswer(command, answer.body, step);
    if (!json)
        return json.error();
    Answer result;
    result.upstream = command.upstream;
    result.shard = command.shard;
    result.epoch = command.epoch;
    result.outcome = *outcomeOf(json.value());
    result.incarnation = IncarnationId(textOf(json.value(), "incarnation"));
    if (result.outcome != UpstreamOutcome::Ok)
        return result;
    // The list is rejected as a whole: the core would treat an omitted attempt as ended.
    if (!readAttempts(json.value(), result.attempts))
        return answerError(step, command.upstream, "malformed or corrupted list of attempts");
    return result;
}

Result<UpstreamFenceResult> decodeAnswer(const UpstreamFence& command, const UpstreamHttpAnswer& answer)
{
    return decodeAttemptList<UpstreamFenceResult>(command, answer, "upstream.fence");
}

Result<UpstreamSyncResult> decodeAnswer(const UpstreamSync& command, const UpstreamHttpAnswer& answer)
{
    return decodeAttemptList<UpstreamSyncResult>(command, answer, "upstream.sync");
}

static UpstreamOutcome startOutcome(UpstreamOutcome outcome, AttemptState state)
{
    if (outcome != UpstreamOutcome::Ok)
        return outcome;
    if (state == AttemptState::Running || state == AttemptState::Ended)
        return UpstreamOutcome::Ok;
    // A stopped attempt has begun but has no result, so the outcome is left for the owner to query.
    return state == AttemptState::NeverStarted ? UpstreamOutcome::Refused : UpstreamOutcome::Unknown;
}

Result<UpstreamStartResult> decodeAnswer(const UpstreamStart& command, const UpstreamHttpAnswer& answer)
{
    constexpr const char* kStep = "upstream.start";
    Result<Json> json = parseAnswer(command, answer.metadata, kStep);
    if (!json)
        return json.error();
    if (textOf(json.value(), "attempt") != command.attempt.value())
        return answerError(kStep, command.upstream, "answer is for another attempt, \"" + textOf(json.value(), "attempt") + "\"");
    AttemptState state = stateOf(json.value()).value_or(AttemptState::Unknown);
    UpstreamStartResult result;
    result.upstream = command.upstream;
    result.attempt = command.attempt;
    result.outcome = startOutcome(*outcomeOf(json.value()), state);
    result.incarnation = IncarnationId(textOf(json.value(), "incarnation"));
    if (result.outcome != UpstreamOutcome::Ok || state != AttemptState::Ended)
        return result;
    std::optional<TaskResult> taskResult = resultOf(memberOf(json.value(), "result"), answer.body);
    if (!taskResult)
        return answerError(kStep, command.upstream, "result doesn't match its length or checksum");
    result.ended = true;
    result.result = std::move(*taskResult);
    return result;
}

Result<UpstreamStopResult> decodeAnswer(const UpstreamStop& command, const UpstreamHttpAnswer& answer)
{
    constexpr const char* kStep = "upstream.stop";
    Result<Json> json = parseAnswer(command, answer.body, kStep);
    if (!json)
        return json.error();
    UpstreamStopResult result;
    result.upstream = command.upstream;
    result.attempt = command.attempt;
    result.outcome = *outcomeOf(json.value());
    if (result.outcome != UpstreamOutcome::Ok)
        return result;
    std::optional<AttemptStatus> status = statusOf(memberOf(json.value(), "status"));
    if (!status || status->attempt != command.attempt)
        return answerError(kStep, command.upstream, "answer lacks the status of the attempt");
    result.status = std::move(*status);
    return result;
}

} // namespace crocuslever
