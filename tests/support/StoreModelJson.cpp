#include "tests/support/StoreModelJson.h"

#include <stdexcept>

#include "src/codec/Base64.h"

namespace crocuslever::testing {

using nlohmann::json;

std::int64_t readInt64(const json& value, const char* key)
{
    if (!value.contains(key))
        return 0;
    const json& member = value.at(key);
    return member.is_string() ? std::stoll(member.get<std::string>()) : member.get<std::int64_t>();
}

std::string readBase64(const json& value, const char* key)
{
    std::optional<std::string> bytes = decodeBase64(value.value(key, std::string()));
    if (!bytes)
        throw std::invalid_argument(std::string(key) + " is not valid base64");
    return *bytes;
}

static ModelCompare readCompare(const json& value)
{
    ModelCompare compare;
    compare.key = readBase64(value, "key");
    std::string target = value.at("target").get<std::string>();
    if (value.value("result", "EQUAL") != "EQUAL")
        throw std::invalid_argument("unsupported compare result; only EQUAL is supported");
    if (target == "VALUE")
        compare.value = readBase64(value, "value");
    else if (target == "MOD")
        compare.modRevision = readInt64(value, "mod_revision");
    else
        throw std::invalid_argument("compare target " + target + " is not supported");
    return compare;
}

static ModelOperation readPut(const json& value)
{
    ModelOperation operation;
    operation.key = readBase64(value, "key");
    operation.value = readBase64(value, "value");
    operation.lease = readInt64(value, "lease");
    return operation;
}

static ModelOperation readDelete(const json& value)
{
    ModelOperation operation;
    operation.kind = ModelOperationKind::Delete;
    operation.key = readBase64(value, "key");
    operation.rangeEnd = readBase64(value, "range_end");
    return operation;
}

ModelOperation readModelRange(const json& value)
{
    ModelOperation operation;
    operation.kind = ModelOperationKind::Range;
    operation.key = readBase64(value, "key");
    operation.rangeEnd = readBase64(value, "range_end");
    operation.limit = static_cast<std::size_t>(readInt64(value, "limit"));
    operation.revision = readInt64(value, "revision");
    return operation;
}

static ModelOperation readOperation(const json& value)
{
    if (value.contains("request_put"))
        return readPut(value.at("request_put"));
    if (value.contains("request_delete_range"))
        return readDelete(value.at("request_delete_range"));
    return readModelRange(value.at("request_range"));
}

static std::vector<ModelOperation> readOperations(const json& value, const char* key)
{
    std::vector<ModelOperation> operations;
    for (const json& operation : value.value(key, json::array()))
        operations.push_back(readOperation(operation));
    return operations;
}

ModelTransaction readModelTransaction(const json& value)
{
    ModelTransaction transaction;
    for (const json& compare : value.value("compare", json::array()))
        transaction.compares.push_back(readCompare(compare));
    transaction.success = readOperations(value, "success");
    transaction.failure = readOperations(value, "failure");
    return transaction;
}

json headerJson(StoreRevision revision)
{
    return { { "cluster_id", "1" }, { "member_id", "1" }, { "revision", std::to_string(revision) }, { "raft_term", "2" } };
}

static json toJson(const StoreEntry& entry)
{
    json value = { { "key", encodeBase64(entry.key) }, { "mod_revision", std::to_string(entry.modRevision) } };
    // The gateway omits empty values.
    if (!entry.value.empty())
        value["value"] = encodeBase64(entry.value);
    return value;
}

static json rangeBody(const ModelOperationResult& result)
{
    json value = json::object();
    for (const StoreEntry& entry : result.entries)
        value["kvs"].push_back(toJson(entry));
    if (result.more)
        value["more"] = true;
    return value;
}

json toJson(const ModelOperationResult& result, StoreRevision revision)
{
    json value = rangeBody(result);
    value["header"] = headerJson(revision);
    return value;
}

static json responseJson(const ModelOperationResult& result, StoreRevision revision)
{
    json header = { { "header", { { "revision", std::to_string(revision) } } } };
    switch (result.kind) {
    case ModelOperationKind::Put:
        return { { "response_put", header } };
    case ModelOperationKind::Delete:
        header["deleted"] = std::to_string(result.deleted);
        return { { "response_delete_range", header } };
    case ModelOperationKind::Range:
        break;
    }
    return { { "response_range", toJson(result, revision) } };
}

json toJson(const ModelTransactionResult& result)
{
    json value = { { "header", headerJson(result.revision) } };
    if (result.succeeded)
        value["succeeded"] = true;
    for (const ModelOperationResult& operation : result.results)
        value["responses"].push_back(responseJson(operation, result.revision));
    return value;
}

json toJson(const std::vector<ModelChange>& changes)
{
    json events = json::array();
    for (const ModelChange& change : changes) {
        json event = { { "kv", toJson(change.entry) } };
        if (change.deleted)
            event["type"] = "DELETE";
        events.push_back(event);
    }
    return events;
}

} // namespace crocuslever::testing
