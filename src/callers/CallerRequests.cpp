#include "src/callers/CallerRequests.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

#include "src/callers/CallerAnswers.h"
#include "src/codec/Base64.h"

namespace crocuslever {

/// Limit of each declared resource, in the unit of that resource; far above any upstream's capacity.
static constexpr std::int64_t kMaximumResourceAmount = 1000000000;
static constexpr std::int64_t kMaximumTasks = 10000;
static constexpr std::int64_t kMaximumAttempts = 100; ///< Also the default; the configuration limits it further.
static constexpr std::int64_t kMaximumMilliseconds = 366LL * 24 * 3600 * 1000;
static constexpr std::size_t kMaximumNameLength = 128;
static constexpr std::size_t kMaximumKeyLength = 256;

CallKind kindOf(const CallerCall& call)
{
    if (std::holds_alternative<UrgentRequest>(call.request))
        return CallKind::Urgent;
    if (std::holds_alternative<JobSubmission>(call.request))
        return CallKind::Submission;
    if (std::holds_alternative<JobCancellation>(call.request))
        return CallKind::Cancellation;
    return std::get<JobQuery>(call.request).wantResult ? CallKind::Result : CallKind::Query;
}

static CallerHttpAnswer badRequest(const std::string& message)
{
    constexpr int kStatus = 400;
    return formatRefusal(kStatus, CallOutcome::Invalid, RefusalReason::BadRequest, message);
}

static CallerHttpAnswer unauthorized(const std::string& message)
{
    constexpr int kStatus = 401;
    return formatRefusal(kStatus, CallOutcome::Unauthorized, RefusalReason::None, message);
}

static CallerHttpAnswer notFound()
{
    constexpr int kStatus = 404;
    return formatRefusal(kStatus, CallOutcome::NotFound, RefusalReason::None, "no such path; see docs/API.md");
}

static CallerHttpAnswer wrongMethod(const std::string& allowed)
{
    constexpr int kStatus = 405;
    CallerHttpAnswer answer = formatRefusal(kStatus, CallOutcome::Invalid, RefusalReason::BadRequest, "this path takes " + allowed);
    answer.headers.emplace_back("Allow", allowed);
    return answer;
}

static bool isName(const std::string& text)
{
    auto isAllowed = [](char c) { return std::isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.'; };
    return !text.empty() && text.size() <= kMaximumNameLength && std::all_of(text.begin(), text.end(), isAllowed);
}

static std::optional<std::int64_t> parseInteger(const std::string& text)
{
    std::int64_t n = 0;
    const char* end = text.data() + text.size();
    std::from_chars_result result = std::from_chars(text.data(), end, n);
    if (result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    return n;
}

namespace {

/// Reads named values by type. Collects every error, so that one answer can report all of them.
class FieldReader {
public:
    explicit FieldReader(std::map<std::string, nlohmann::json> values, std::string prefix = {})
        : m_values(std::move(values))
        , m_prefix(std::move(prefix))
    {
    }

    bool has(const std::string& key) const { return m_values.count(key) > 0; }
    void addError(const std::string& key, const std::string& message) { m_errors.push_back(m_prefix + key + ": " + message); }
    const std::vector<std::string>& errors() const { return m_errors; }
    void addErrors(const FieldReader& other) { m_errors.insert(m_errors.end(), other.m_errors.begin(), other.m_errors.end()); }

    const nlohmann::json* find(const std::string& key)
    {
        m_readKeys.insert(key);
        auto it = m_values.find(key);
        return it == m_values.end() ? nullptr : &it->second;
    }

    std::string text(const std::string& key)
    {
        const nlohmann::json* value = find(key);
        if (value && value->is_string())
            return value->get<std::string>();
        addError(key, value ? "must be a string" : "missing");
        return {};
    }

    std::string name(const std::string& key)
    {
        std::size_t n = m_errors.size();
        std::string value = text(key);
        if (m_errors.size() == n && !isName(value))
            addError(key, "must be 1 to 128 letters, digits, '-', '_' or '.'");
        return value;
    }

    bool boolean(const std::string& key, bool fallback)
    {
        const nlohmann::json* value = find(key);
        if (!value)
            return fallback;
        if (!value->is_boolean())
            addError(key, "must be true or false");
        return value->is_boolean() ? value->get<bool>() : fallback;
    }

    std::int64_t integer(const std::string& key, std::int64_t fallback, std::int64_t minimum, std::int64_t maximum)
    {
        const nlohmann::json* value = find(key);
        if (!value)
            return fallback;
        if (value->is_number_integer() && isWithin(*value, minimum, maximum))
            return value->get<std::int64_t>();
        addError(key, "must be a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
        return fallback;
    }

    void reportUnknownKeys()
    {
        for (const auto& [key, value] : m_values) {
            if (m_readKeys.count(key) == 0)
                addError(key, "unknown key");
        }
    }

private:
    static bool isWithin(const nlohmann::json& value, std::int64_t minimum, std::int64_t maximum)
    {
        // get<std::int64_t>() turns an unsigned number above the signed range into a negative one.
        constexpr std::uint64_t kLargest = std::numeric_limits<std::int64_t>::max();
        if (value.is_number_unsigned() && value.get<std::uint64_t>() > kLargest)
            return false;
        std::int64_t n = value.get<std::int64_t>();
        return n >= minimum && n <= maximum;
    }

    std::map<std::string, nlohmann::json> m_values;
    std::string m_prefix;
    std::set<std::string> m_readKeys;
    std::vector<std::string> m_errors;
};

} // namespace

static CallerHttpAnswer refuse(const FieldReader& fields)
{
    std::string joined;
    for (const std::string& error : fields.errors())
        joined += (joined.empty() ? "" : "; ") + error;
    return badRequest(joined);
}

/// Zero amounts tell the core that no resources are declared, so that the configuration's defaults apply.
static const Resources kUndeclaredResources { 0, 0, 0, 1 };

static Resources readResources(FieldReader& fields)
{
    bool isDeclared = fields.has("milli_cpu") || fields.has("memory_mb") || fields.has("accelerators");
    Resources resources = isDeclared ? TaskSpec().resources : kUndeclaredResources;
    resources.milliCpu = fields.integer("milli_cpu", resources.milliCpu, 0, kMaximumResourceAmount);
    resources.memoryMb = fields.integer("memory_mb", resources.memoryMb, 0, kMaximumResourceAmount);
    resources.accelerators = fields.integer("accelerators", resources.accelerators, 0, kMaximumResourceAmount);
    return resources;
}

static std::vector<std::string> split(const std::string& text, char separator)
{
    std::vector<std::string> parts;
    std::size_t from = 0;
    while (true) {
        std::size_t at = text.find(separator, from);
        parts.push_back(text.substr(from, at - from));
        if (at == std::string::npos)
            return parts;
        from = at + 1;
    }
}

/// Infers the type of a query value: boolean, integer or string. Percent-encoding is not decoded,
/// because no valid value needs it.
static nlohmann::json queryValue(const std::string& text)
{
    if (text == "true" || text == "false")
        return text == "true";
    std::optional<std::int64_t> n = parseInteger(text);
    return n ? nlohmann::json(*n) : nlohmann::json(text);
}

static FieldReader parseQuery(const std::string& query)
{
    std::map<std::string, nlohmann::json> values;
    std::vector<std::string> duplicateKeys;
    for (const std::string& part : split(query, '&')) {
        std::size_t equals = part.find('=');
        std::string key = part.substr(0, equals);
        std::string value = equals == std::string::npos ? std::string() : part.substr(equals + 1);
        if (!part.empty() && !values.emplace(key, queryValue(value)).second)
            duplicateKeys.push_back(key);
    }
    FieldReader fields(std::move(values));
    for (const std::string& key : duplicateKeys)
        fields.addError(key, "given twice");
    return fields;
}

using ParsedRequest = std::variant<CallerCall, CallerHttpAnswer>;

static ParsedRequest parseUrgent(const std::string& service, const std::string& query, const CallerHttpRequest& request)
{
    if (!isName(service))
        return badRequest("service: must be 1 to 128 letters, digits, '-', '_' or '.'");
    FieldReader fields = parseQuery(query);
    TaskSpec spec;
    spec.kind = WorkKind::Urgent;
    spec.service = service;
    spec.idempotent = fields.boolean("idempotent", false);
    spec.resources = readResources(fields);
    spec.deadline = fromMilliseconds(fields.integer("deadline_ms", 0, 1, kMaximumMilliseconds));
    spec.body = request.body;
    fields.reportUnknownKeys();
    if (!fields.errors().empty())
        return refuse(fields);
    CallerCall call;
    call.request = UrgentRequest { spec };
    return call;
}

static WorkKind readKind(FieldReader& fields)
{
    std::size_t n = fields.errors().size();
    std::string text = fields.text("kind");
    for (WorkKind kind : { WorkKind::Batch, WorkKind::Gang, WorkKind::Service }) {
        if (text == toString(kind))
            return kind;
    }
    if (fields.errors().size() == n)
        fields.addError("kind", "must be batch, gang or service");
    return WorkKind::Batch;
}

static std::string readBody(FieldReader& fields)
{
    if (!fields.has("body_base64"))
        return fields.has("body") ? fields.text("body") : std::string();
    if (fields.find("body"))
        fields.addError("body", "must be left out with body_base64");
    std::optional<std::string> bytes = decodeBase64(fields.text("body_base64"));
    if (!bytes)
        fields.addError("body_base64", "must be base64 with its padding");
    return bytes.value_or(std::string());
}

static Resources readNestedResources(FieldReader& fields)
{
    const nlohmann::json* value = fields.find("resources");
    if (!value)
        return kUndeclaredResources;
    if (!value->is_object()) {
        fields.addError("resources", "must be an object");
        return kUndeclaredResources;
    }
    FieldReader nested(value->get<std::map<std::string, nlohmann::json>>(), "resources.");
    Resources resources = readResources(nested);
    nested.reportUnknownKeys();
    fields.addErrors(nested);
    return resources;
}

static TaskSpec readSpec(FieldReader& fields)
{
    TaskSpec spec;
    spec.kind = readKind(fields);
    spec.service = fields.name("service");
    spec.idempotent = fields.boolean("idempotent", false);
    spec.resources = readNestedResources(fields);
    spec.taskCount = static_cast<int>(fields.integer("task_count", 1, 1, kMaximumTasks));
    spec.maximumAttempts = static_cast<int>(fields.integer("maximum_attempts", kMaximumAttempts, 1, kMaximumAttempts));
    spec.runTime = fromMilliseconds(fields.integer("run_time_ms", 0, 0, kMaximumMilliseconds));
    spec.deadline = fromMilliseconds(fields.integer("deadline_ms", 0, 0, kMaximumMilliseconds));
    spec.body = readBody(fields);
    if (spec.kind == WorkKind::Batch && spec.taskCount > 1)
        fields.addError("task_count", "must be 1 for batch work");
    return spec;
}

static ParsedRequest parseSubmission(const CallerHttpRequest& request)
{
    nlohmann::json document = nlohmann::json::parse(request.body, nullptr, false);
    if (document.is_discarded())
        return badRequest("the body is not JSON");
    if (!document.is_object())
        return badRequest("the body must be a JSON object");
    FieldReader fields(document.get<std::map<std::string, nlohmann::json>>());
    JobSubmission submission;
    submission.idempotencyId = fields.name("id");
    submission.spec = readSpec(fields);
    fields.reportUnknownKeys();
    if (!fields.errors().empty())
        return refuse(fields);
    CallerCall call;
    call.request = submission;
    return call;
}

static ParsedRequest makeCall(std::variant<UrgentRequest, JobSubmission, JobQuery, JobCancellation> request)
{
    CallerCall call;
    call.request = std::move(request);
    return call;
}

static ParsedRequest parseJobRequest(const JobId& job, const CallerHttpRequest& request)
{
    if (request.method == "GET")
        return makeCall(JobQuery { job, false });
    if (request.method == "DELETE")
        return makeCall(JobCancellation { job });
    return wrongMethod("GET, DELETE");
}

static ParsedRequest parseJobs(const std::vector<std::string>& path, const CallerHttpRequest& request)
{
    constexpr std::size_t kWithJob = 4;
    constexpr std::size_t kWithResult = 5;
    if (path.size() < kWithJob)
        return request.method == "POST" ? parseSubmission(request) : wrongMethod("POST");
    if (!isName(path[3]))
        return notFound();
    if (path.size() == kWithJob)
        return parseJobRequest(JobId(path[3]), request);
    if (path.size() != kWithResult || path[4] != "result")
        return notFound();
    return request.method == "GET" ? makeCall(JobQuery { JobId(path[3]), true }) : wrongMethod("GET");
}

static ParsedRequest route(const CallerHttpRequest& request)
{
    std::size_t mark = request.target.find('?');
    std::vector<std::string> path = split(request.target.substr(0, mark), '/');
    std::string query = mark == std::string::npos ? std::string() : request.target.substr(mark + 1);
    // "/v1/urgent/x" splits into "", "v1", "urgent" and "x".
    if (path.size() < 3 || !path[0].empty() || path[1] != "v1")
        return notFound();
    if (path[2] == "urgent" && path.size() == 4)
        return request.method == "POST" ? parseUrgent(path[3], query, request) : wrongMethod("POST");
    if (path[2] != "jobs")
        return notFound();
    if (!query.empty())
        return badRequest(query.substr(0, query.find('=')) + ": unknown key");
    return parseJobs(path, request);
}

static std::optional<std::string> readKey(const std::string& authorization)
{
    static const std::string kScheme = "Bearer ";
    if (authorization.compare(0, kScheme.size(), kScheme) != 0)
        return std::nullopt;
    std::string key = authorization.substr(kScheme.size());
    std::size_t dot = key.find('.');
    if (dot == 0 || dot == std::string::npos || dot + 1 == key.size() || key.size() > kMaximumKeyLength)
        return std::nullopt;
    return key;
}

ParsedRequest parseCallerRequest(const CallerHttpRequest& request)
{
    std::optional<std::string> key = readKey(request.authorization);
    if (!key)
        return unauthorized("show a key: \"Authorization: Bearer ID.SECRET\"");
    ParsedRequest parsed = route(request);
    if (CallerCall* call = std::get_if<CallerCall>(&parsed))
        call->key = *key;
    return parsed;
}

} // namespace crocuslever
