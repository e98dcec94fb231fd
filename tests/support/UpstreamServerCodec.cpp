#include "tests/support/UpstreamServerCodec.h"

#include "src/codec/Base64.h"
#include "src/codec/Encoding.h"

namespace crocuslever::testing {

using Json = nlohmann::json;

Json encodeResources(const Resources& resources)
{
    return { { "milli_cpu", resources.milliCpu }, { "memory_mb", resources.memoryMb },
        { "accelerators", resources.accelerators }, { "slots", resources.slots } };
}

static Resources readResources(const Json& json)
{
    return { json.at("milli_cpu").get<std::int64_t>(), json.at("memory_mb").get<std::int64_t>(),
        json.at("accelerators").get<std::int64_t>(), json.at("slots").get<std::int64_t>() };
}

template <typename Command>
static void readCommon(const Json& json, Command& command)
{
    command.upstream = UpstreamId(json.at("upstream").get<std::string>());
    command.shard = json.at("shard").get<ShardIndex>();
    command.epoch = json.at("epoch").get<Epoch>();
}

static void read(const Json& json, UpstreamFence& command)
{
    readCommon(json, command);
    command.owner = InstanceId(json.at("owner").get<std::string>());
}

static WorkKind readKind(const std::string& text)
{
    for (WorkKind kind : { WorkKind::Urgent, WorkKind::Gang, WorkKind::Service }) {
        if (text == toString(kind))
            return kind;
    }
    return WorkKind::Batch;
}

static void read(const Json& json, UpstreamStart& command)
{
    readCommon(json, command);
    command.incarnation = IncarnationId(json.at("incarnation").get<std::string>());
    command.attempt = AttemptId(json.at("attempt").get<std::string>());
    command.job = JobId(json.at("job").get<std::string>());
    command.team = TeamId(json.at("team").get<std::string>());
    command.spec.kind = readKind(json.at("kind").get<std::string>());
    command.spec.service = json.at("service").get<std::string>();
    command.spec.idempotent = json.at("idempotent").get<bool>();
    command.spec.resources = readResources(json.at("resources"));
    command.spec.runTime = fromMilliseconds(json.at("run_time_ms").get<std::int64_t>());
    command.lease = fromMilliseconds(json.at("lease_ms").get<std::int64_t>());
    command.waitForResult = json.at("wait_for_result").get<bool>();
}

static std::vector<AttemptId> readIds(const Json& json)
{
    std::vector<AttemptId> ids;
    for (const Json& item : json)
        ids.emplace_back(item.get<std::string>());
    return ids;
}

static void read(const Json& json, UpstreamSync& command)
{
    readCommon(json, command);
    command.incarnation = IncarnationId(json.at("incarnation").get<std::string>());
    command.lease = fromMilliseconds(json.at("lease_ms").get<std::int64_t>());
    command.renew = readIds(json.at("renew"));
    command.acknowledge = readIds(json.at("acknowledge"));
}

static void read(const Json& json, UpstreamStop& command)
{
    readCommon(json, command);
    command.incarnation = IncarnationId(json.at("incarnation").get<std::string>());
    command.attempt = AttemptId(json.at("attempt").get<std::string>());
    std::string mode = json.at("mode").get<std::string>();
    for (StopMode candidate : { StopMode::Checkpoint, StopMode::Throttle }) {
        if (mode == toString(candidate))
            command.mode = candidate;
    }
}

template <typename Command>
static bool parse(const std::string& text, Command& command)
{
    try {
        read(Json::parse(text), command);
        return true;
    } catch (const Json::exception&) {
        return false;
    }
}

bool decodeCommand(const UpstreamHttpRequest& request, UpstreamFence& command) { return parse(request.body, command); }

bool decodeCommand(const UpstreamHttpRequest& request, UpstreamStart& command)
{
    if (!parse(request.metadata, command))
        return false;
    command.spec.body = request.body;
    Json json = Json::parse(request.metadata);
    return json.value("length", std::size_t(0)) == request.body.size() && json.value("sha256", "") == sha256Hex(request.body);
}

bool decodeCommand(const UpstreamHttpRequest& request, UpstreamSync& command) { return parse(request.body, command); }

bool decodeCommand(const UpstreamHttpRequest& request, UpstreamStop& command) { return parse(request.body, command); }

static std::string dump(const Json& json) { return json.dump(-1, ' ', true, Json::error_handler_t::replace); }

static int httpStatus(UpstreamOutcome outcome) { return outcome == UpstreamOutcome::Ok ? 200 : 409; }

static Json encodeResult(const TaskResult& result)
{
    return { { "succeeded", result.succeeded }, { "status", result.status }, { "length", result.body.size() }, { "sha256", sha256Hex(result.body) } };
}

static Json encodeStatus(const AttemptStatus& status)
{
    Json json { { "attempt", status.attempt.value() }, { "job", status.job.value() }, { "team", status.team.value() },
        { "state", toString(status.state) }, { "resources", encodeResources(status.resources) },
        { "used", encodeResources(status.used) }, { "lease_left_ms", toMilliseconds(status.leaseLeft) } };
    if (status.state == AttemptState::Ended) {
        json["result"] = encodeResult(status.result);
        json["result"]["body"] = encodeBase64(status.result.body);
    }
    return json;
}

template <typename ListResult>
static UpstreamHttpAnswer encodeList(const ListResult& result)
{
    Json json { { "outcome", toString(result.outcome) }, { "upstream", result.upstream.value() },
        { "incarnation", result.incarnation.value() }, { "attempts", Json::array() } };
    for (const AttemptStatus& status : result.attempts)
        json["attempts"].push_back(encodeStatus(status));
    return { httpStatus(result.outcome), "", dump(json) };
}

UpstreamHttpAnswer encodeAnswer(const UpstreamFenceResult& result) { return encodeList(result); }

UpstreamHttpAnswer encodeAnswer(const UpstreamSyncResult& result) { return encodeList(result); }

UpstreamHttpAnswer encodeAnswer(const UpstreamStartAnswer& answer, const UpstreamModelSettings& settings)
{
    Json json { { "outcome", toString(answer.outcome) }, { "upstream", settings.id.value() },
        { "incarnation", settings.incarnation.value() }, { "attempt", answer.status.attempt.value() },
        { "state", toString(answer.status.state) }, { "reason", answer.reason } };
    if (answer.outcome != UpstreamOutcome::Ok || answer.status.state != AttemptState::Ended)
        return { httpStatus(answer.outcome), dump(json), "" };
    json["result"] = encodeResult(answer.status.result);
    return { httpStatus(answer.outcome), dump(json), answer.status.result.body };
}

UpstreamHttpAnswer encodeAnswer(const UpstreamStopResult& result, const UpstreamModelSettings& settings)
{
    Json json { { "outcome", toString(result.outcome) }, { "upstream", settings.id.value() },
        { "incarnation", settings.incarnation.value() }, { "status", encodeStatus(result.status) } };
    return { httpStatus(result.outcome), "", dump(json) };
}

} // namespace crocuslever::testing
