#include "src/store/StoreJson.h"

#include <cerrno>
#include <cstdlib>
#include <nlohmann/json.hpp>

#include "src/codec/Base64.h"
#include "src/codec/JsonFields.h"

namespace crocuslever {

using nlohmann::json;

static const json kNullJson;

std::string rangeEndOf(const std::string& prefix)
{
    std::string end = prefix;
    while (!end.empty() && end.back() == '\xff')
        end.pop_back();
    // etcd treats a range end of "\0" as unbounded.
    if (end.empty())
        return std::string(1, '\0');
    ++end.back();
    return end;
}

static std::string firstKeyOf(const std::string& prefix)
{
    return prefix.empty() ? std::string(1, '\0') : prefix;
}

// Decoding helpers. The gateway omits members that have their default value.

static const json& memberOf(const json& value, const char* key)
{
    if (!value.is_object())
        return kNullJson;
    auto it = value.find(key);
    return it == value.end() ? kNullJson : *it;
}

static std::int64_t parseInteger(const std::string& text, const char* key, JsonProblem& problem)
{
    char* end = nullptr;
    errno = 0;
    std::int64_t n = std::strtoll(text.c_str(), &end, 10);
    if (text.empty() || *end != '\0' || errno != 0)
        problem.report(key, "must be an integer");
    return n;
}

static std::int64_t readInteger(const json& value, const char* key, JsonProblem& problem)
{
    const json& member = memberOf(value, key);
    if (member.is_null())
        return 0;
    if (member.is_string())
        return parseInteger(member.get_ref<const std::string&>(), key, problem);
    if (member.is_number_integer())
        return member.get<std::int64_t>();
    problem.report(key, "must be an integer");
    return 0;
}

static std::string readBytes(const json& value, const char* key, JsonProblem& problem)
{
    const json& member = memberOf(value, key);
    if (member.is_null())
        return "";
    if (member.is_string()) {
        std::optional<std::string> bytes = decodeBase64(member.get_ref<const std::string&>());
        if (bytes)
            return *bytes;
    }
    problem.report(key, "must be base64");
    return "";
}

static bool readFlag(const json& value, const char* key, JsonProblem& problem)
{
    const json& member = memberOf(value, key);
    if (!member.is_null() && !member.is_boolean())
        problem.report(key, "must be true or false");
    return member.is_boolean() && member.get<bool>();
}

static StoreEntry readEntry(const json& value, JsonProblem& problem)
{
    StoreEntry entry;
    entry.key = readBytes(value, "key", problem);
    entry.value = readBytes(value, "value", problem);
    entry.modRevision = readInteger(value, "mod_revision", problem);
    if (entry.key.empty())
        problem.report("key", "is missing");
    return entry;
}

static std::vector<StoreEntry> readEntries(const json& value, JsonProblem& problem)
{
    std::vector<StoreEntry> entries;
    for (const json& entry : memberOf(value, "kvs"))
        entries.push_back(readEntry(entry, problem));
    return entries;
}

static StoreRevision readRevision(const json& value, JsonProblem& problem)
{
    StoreRevision revision = readInteger(memberOf(value, "header"), "revision", problem);
    // Every answer of the service has a positive revision.
    if (revision <= 0)
        problem.report("header.revision", "is missing");
    return revision;
}

// Transactions

static json encodeCompare(const StoreCompare& compare)
{
    return { { "key", encodeBase64(compare.key) },
        { "target", "MOD" },
        { "result", "EQUAL" },
        { "mod_revision", std::to_string(compare.modRevision) } };
}

static json encodeCompare(const StoreValueCompare& compare)
{
    return { { "key", encodeBase64(compare.key) },
        { "target", "VALUE" },
        { "result", "EQUAL" },
        { "value", encodeBase64(compare.value) } };
}

static json encodePut(const StorePut& put)
{
    json request = { { "key", encodeBase64(put.key) }, { "value", encodeBase64(put.value) } };
    if (put.lease != 0)
        request["lease"] = std::to_string(put.lease);
    return { { "request_put", request } };
}

static json encodeCompares(const StoreTransaction& transaction)
{
    json compares = json::array();
    for (const StoreCompare& compare : transaction.compares)
        compares.push_back(encodeCompare(compare));
    for (const StoreValueCompare& compare : transaction.valueCompares)
        compares.push_back(encodeCompare(compare));
    return compares;
}

static json encodeChanges(const StoreTransaction& transaction)
{
    json changes = json::array();
    for (const StorePut& put : transaction.puts)
        changes.push_back(encodePut(put));
    for (const std::string& key : transaction.deletes)
        changes.push_back({ { "request_delete_range", { { "key", encodeBase64(key) } } } });
    return changes;
}

static json encodeReads(const StoreTransaction& transaction)
{
    json reads = json::array();
    for (const std::string& key : transaction.readOnConflict)
        reads.push_back({ { "request_range", { { "key", encodeBase64(key) } } } });
    return reads;
}

std::string encodeTransaction(const StoreTransaction& transaction)
{
    json request = { { "compare", encodeCompares(transaction) },
        { "success", encodeChanges(transaction) },
        { "failure", encodeReads(transaction) } };
    return request.dump();
}

Result<StoreTransactionResult> decodeTransaction(const std::string& body)
{
    JsonProblem problem("store.transact");
    json value = parseJson(body, problem);
    StoreTransactionResult result;
    result.revision = readRevision(value, problem);
    result.outcome = readFlag(value, "succeeded", problem) ? StoreOutcome::Committed : StoreOutcome::Conflict;
    for (const json& response : memberOf(value, "responses")) {
        for (StoreEntry& entry : readEntries(memberOf(response, "response_range"), problem))
            result.read.push_back(std::move(entry));
    }
    if (!problem.isEmpty())
        return problem.error();
    return result;
}

// Ranges

std::string encodeRange(const RangePageRequest& page)
{
    json request = { { "key", encodeBase64(firstKeyOf(page.firstKey)) },
        { "range_end", encodeBase64(page.rangeEnd) },
        { "limit", std::to_string(page.limit) } };
    if (page.revision != 0)
        request["revision"] = std::to_string(page.revision);
    return request.dump();
}

Result<RangePageResult> decodeRange(const std::string& body)
{
    JsonProblem problem("store.range");
    json value = parseJson(body, problem);
    RangePageResult result { readRevision(value, problem), readEntries(value, problem), readFlag(value, "more", problem) };
    if (result.more && result.entries.empty())
        problem.report("more", "is set on an empty page");
    if (!problem.isEmpty())
        return problem.error();
    return result;
}

// Leases

std::string encodeLeaseGrant(std::int64_t ttlSeconds)
{
    return json({ { "TTL", std::to_string(ttlSeconds) } }).dump();
}

std::string encodeLeaseRequest(LeaseId lease)
{
    return json({ { "ID", std::to_string(lease) } }).dump();
}

Result<LeaseAnswer> decodeLease(const std::string& body)
{
    JsonProblem problem("store.lease");
    json value = parseJson(body, problem);
    // A keep-alive is a streaming call, so the gateway wraps its answer in "result".
    const json& answer = memberOf(value, "result").is_object() ? memberOf(value, "result") : value;
    LeaseAnswer lease { readInteger(answer, "ID", problem), readInteger(answer, "TTL", problem) };
    if (lease.lease == 0)
        problem.report("ID", "is missing");
    if (!problem.isEmpty())
        return problem.error();
    return lease;
}

bool isLeaseNotFound(const std::string& body)
{
    constexpr int kNotFound = 5; // The gRPC status code.
    JsonProblem problem("store.lease");
    json value = parseJson(body, problem);
    return readInteger(value, "code", problem) == kNotFound && problem.isEmpty();
}

// Watches

std::string encodeWatch(const StoreWatch& watch)
{
    json create = { { "key", encodeBase64(firstKeyOf(watch.prefix)) },
        { "range_end", encodeBase64(rangeEndOf(watch.prefix)) },
        { "progress_notify", true } };
    if (watch.fromRevision != 0)
        create["start_revision"] = std::to_string(watch.fromRevision);
    return json({ { "create_request", create } }).dump();
}

static void addEvent(const json& event, std::vector<StoreWatchEvents>& events, JsonProblem& problem)
{
    StoreEntry entry = readEntry(memberOf(event, "kv"), problem);
    // A key can change several times in one answer, but only once per revision. Keeping revisions
    // separate preserves the order of these changes.
    if (events.empty() || events.back().revision != entry.modRevision)
        events.push_back({ entry.modRevision, {}, {} });
    const json& type = memberOf(event, "type");
    if (type.is_string() && type.get_ref<const std::string&>() == "DELETE")
        events.back().deletes.push_back(std::move(entry.key));
    else
        events.back().puts.push_back(std::move(entry));
}

Result<WatchAnswer> decodeWatch(const std::string& line)
{
    JsonProblem problem("store.watch");
    json value = parseJson(line, problem);
    const json& result = memberOf(value, "result");
    if (!result.is_object())
        problem.report("result", "is missing");
    WatchAnswer answer;
    answer.revision = readRevision(result, problem);
    answer.created = readFlag(result, "created", problem);
    answer.cancelled = readFlag(result, "canceled", problem);
    for (const json& event : memberOf(result, "events"))
        addEvent(event, answer.events, problem);
    if (!problem.isEmpty())
        return problem.error();
    return answer;
}

} // namespace crocuslever
