#include "src/codec/JsonFields.h"

#include <cmath>
#include <utility>

namespace crocuslever {

using nlohmann::json;

static const json kEmptyObject = json::object();
static const json kEmptyArray = json::array();

JsonProblem::JsonProblem(std::string step)
    : m_step(std::move(step))
{
}

void JsonProblem::report(const std::string& path, const std::string& what)
{
    if (m_error)
        return;
    m_error = Error { ErrorCode::InvalidInput, m_step, "", path.empty() ? what : path + ": " + what };
}

json parseJson(const std::string& text, JsonProblem& problem)
{
    json value = json::parse(text, nullptr, false);
    if (value.is_discarded())
        problem.report("", "not valid JSON");
    return value;
}

JsonFields::JsonFields(const json& value, std::string path, JsonProblem& problem)
    : m_object(&value)
    , m_path(std::move(path))
    , m_problem(&problem)
{
    if (value.is_object())
        return;
    m_problem->report(m_path, "must be an object");
    m_object = &kEmptyObject;
}

bool JsonFields::has(const char* key) const
{
    m_readKeys.insert(key);
    return m_object->contains(key);
}

std::string JsonFields::pathOf(const std::string& key) const
{
    return m_path.empty() ? key : m_path + "." + key;
}

void JsonFields::report(const char* key, const std::string& what)
{
    m_problem->report(pathOf(key), what);
}

const json* JsonFields::find(const char* key)
{
    m_readKeys.insert(key);
    auto it = m_object->find(key);
    if (it != m_object->end())
        return &*it;
    report(key, "is missing");
    return nullptr;
}

std::string JsonFields::text(const char* key)
{
    const json* value = find(key);
    if (value && value->is_string())
        return value->get<std::string>();
    if (value)
        report(key, "must be a string");
    return "";
}

std::string JsonFields::nonEmptyText(const char* key)
{
    std::string value = text(key);
    if (value.empty())
        report(key, "must not be empty");
    return value;
}

static bool fitsInt64(const json& value)
{
    if (!value.is_number_integer())
        return false;
    constexpr std::uint64_t kMaximum = std::numeric_limits<std::int64_t>::max();
    return !value.is_number_unsigned() || value.get<std::uint64_t>() <= kMaximum;
}

std::int64_t JsonFields::integer(const char* key, IntegerRange range)
{
    const json* value = find(key);
    if (!value)
        return range.minimum;
    if (!fitsInt64(*value)) {
        report(key, "must be an integer");
        return range.minimum;
    }
    std::int64_t n = value->get<std::int64_t>();
    if (n >= range.minimum && n <= range.maximum)
        return n;
    report(key, "must be from " + std::to_string(range.minimum) + " to " + std::to_string(range.maximum));
    return range.minimum;
}

double JsonFields::number(const char* key)
{
    const json* value = find(key);
    if (!value)
        return 0;
    if (value->is_number() && std::isfinite(value->get<double>()))
        return value->get<double>();
    report(key, "must be a number");
    return 0;
}

const json& JsonFields::object(const char* key)
{
    const json* value = find(key);
    if (value && value->is_object())
        return *value;
    if (value)
        report(key, "must be an object");
    return kEmptyObject;
}

const json& JsonFields::array(const char* key)
{
    const json* value = find(key);
    if (value && value->is_array())
        return *value;
    if (value)
        report(key, "must be an array");
    return kEmptyArray;
}

void JsonFields::refuseUnknown()
{
    for (const auto& [key, value] : m_object->items()) {
        if (m_readKeys.count(key) == 0)
            m_problem->report(pathOf(key), "is not a known setting");
    }
}

} // namespace crocuslever
