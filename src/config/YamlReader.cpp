#include "src/config/YamlReader.h"

#include <array>
#include <charconv>
#include <cmath>
#include <cstdlib>

namespace crocuslever {

namespace {

struct DurationUnit {
    const char* name;
    std::int64_t microseconds;
};

} // namespace

static constexpr std::array<DurationUnit, 5> kUnits { { { "h", 3600000000 }, { "m", 60000000 }, { "s", 1000000 }, { "ms", 1000 }, { "us", 1 } } };
// Far above any sensible value, and far below an overflow when two durations are added.
static constexpr std::int64_t kLongestDuration = 366LL * 24 * 3600000000;

static std::optional<std::int64_t> parseInteger(const std::string& text)
{
    std::int64_t n = 0;
    const char* end = text.data() + text.size();
    std::from_chars_result result = std::from_chars(text.data(), end, n);
    if (result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    return n;
}

std::optional<Duration> parseDuration(const std::string& text)
{
    std::size_t digits = text.find_first_not_of("0123456789");
    if (digits == 0 || digits == std::string::npos)
        return std::nullopt;
    std::optional<std::int64_t> n = parseInteger(text.substr(0, digits));
    if (!n)
        return std::nullopt;
    for (const DurationUnit& unit : kUnits) {
        if (text.substr(digits) != unit.name)
            continue;
        if (*n > kLongestDuration / unit.microseconds)
            return std::nullopt;
        return Duration(*n * unit.microseconds);
    }
    return std::nullopt;
}

std::string formatDuration(Duration duration)
{
    for (const DurationUnit& unit : kUnits) {
        if (duration.count() % unit.microseconds == 0 && duration.count() != 0)
            return std::to_string(duration.count() / unit.microseconds) + unit.name;
    }
    return "0s";
}

FaultList::FaultList(std::string fileName)
    : m_fileName(std::move(fileName))
{
}

void FaultList::add(int line, const std::string& key, const std::string& message)
{
    std::string where = m_fileName + ":" + std::to_string(line) + ": ";
    m_lines.emplace(line, where + (key.empty() ? message : key + ": " + message));
}

Error FaultList::toError(const std::string& step) const
{
    std::string joined;
    for (const auto& [line, text] : m_lines)
        joined += (joined.empty() ? "" : "\n") + text;
    return { ErrorCode::InvalidInput, step, {}, joined };
}

static int lineOfMark(const YAML::Mark& mark) { return mark.is_null() ? 1 : mark.line + 1; }

YAML::Node parseYaml(const std::string& text, FaultList& faults)
{
    try {
        return YAML::Load(text);
    } catch (const YAML::Exception& e) {
        faults.add(lineOfMark(e.mark), {}, "invalid YAML: " + e.msg);
        return {};
    }
}

MapReader::MapReader(const YAML::Node& node, std::string path, int line, FaultList& faults)
    : m_path(std::move(path))
    , m_line(line)
    , m_faults(&faults)
{
    if (node.IsNull())
        return;
    m_line = lineOfMark(node.Mark());
    if (!node.IsMap()) {
        m_faults->add(m_line, m_path, "must be a mapping of keys to values");
        return;
    }
    for (auto it = node.begin(); it != node.end(); ++it)
        addEntry(it->first, it->second);
}

void MapReader::addEntry(const YAML::Node& key, const YAML::Node& value)
{
    int line = lineOfMark(key.Mark());
    if (!key.IsScalar()) {
        m_faults->add(line, m_path, "has a key that is not a scalar");
        return;
    }
    if (!m_entries.emplace(key.Scalar(), value).second)
        m_faults->add(line, pathOf(key.Scalar()), "duplicate key");
    m_lines.emplace(key.Scalar(), line);
}

std::string MapReader::pathOf(const std::string& key) const
{
    if (m_path.empty() || key.empty())
        return m_path + key;
    return m_path + "." + key;
}

int MapReader::lineOf(const std::string& key) const
{
    auto it = m_lines.find(key);
    return it == m_lines.end() ? m_line : it->second;
}

void MapReader::addFault(const std::string& key, const std::string& message)
{
    m_faults->add(lineOf(key), pathOf(key), message);
}

void MapReader::require(const std::string& key)
{
    m_readKeys.insert(key);
    if (!has(key))
        addFault(key, "missing");
}

const YAML::Node* MapReader::find(const std::string& key)
{
    m_readKeys.insert(key);
    auto it = m_entries.find(key);
    return it == m_entries.end() ? nullptr : &it->second;
}

const YAML::Node* MapReader::findScalar(const std::string& key)
{
    const YAML::Node* node = find(key);
    if (!node || node->IsScalar())
        return node;
    addFault(key, "must be a single value");
    return nullptr;
}

std::string MapReader::text(const std::string& key, const std::string& fallback)
{
    const YAML::Node* node = findScalar(key);
    return node ? node->Scalar() : fallback;
}

std::string MapReader::requiredText(const std::string& key)
{
    require(key);
    const YAML::Node* node = findScalar(key);
    if (node && node->Scalar().empty())
        addFault(key, "must not be empty");
    return node ? node->Scalar() : std::string();
}

bool MapReader::boolean(const std::string& key, bool fallback)
{
    const YAML::Node* node = findScalar(key);
    if (!node)
        return fallback;
    if (node->Scalar() != "true" && node->Scalar() != "false") {
        addFault(key, "must be true or false");
        return fallback;
    }
    return node->Scalar() == "true";
}

std::int64_t MapReader::integer(const std::string& key, std::int64_t fallback, std::int64_t minimum, std::int64_t maximum)
{
    const YAML::Node* node = findScalar(key);
    if (!node)
        return fallback;
    std::optional<std::int64_t> n = parseInteger(node->Scalar());
    if (n && *n >= minimum && *n <= maximum)
        return *n;
    addFault(key, "must be a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    return fallback;
}

static std::optional<double> parseNumber(const std::string& text)
{
    char* end = nullptr;
    double n = std::strtod(text.c_str(), &end);
    if (text.empty() || end != text.c_str() + text.size() || !std::isfinite(n))
        return std::nullopt;
    return n;
}

static std::string shortNumber(double n)
{
    char buf[32];
    std::snprintf(buf, sizeof buf, "%g", n);
    return buf;
}

double MapReader::number(const std::string& key, double fallback, double minimum, double maximum)
{
    const YAML::Node* node = findScalar(key);
    if (!node)
        return fallback;
    std::optional<double> n = parseNumber(node->Scalar());
    if (n && *n >= minimum && *n <= maximum)
        return *n;
    addFault(key, "must be a number from " + shortNumber(minimum) + " to " + shortNumber(maximum));
    return fallback;
}

Duration MapReader::duration(const std::string& key, Duration fallback)
{
    const YAML::Node* node = findScalar(key);
    if (!node)
        return fallback;
    std::optional<Duration> duration = parseDuration(node->Scalar());
    if (duration && duration->count() > 0)
        return *duration;
    addFault(key, "must be a positive duration with a unit, such as 500ms, 5s or 24h");
    return fallback;
}

std::vector<std::string> MapReader::texts(const std::string& key)
{
    const YAML::Node* node = find(key);
    std::vector<std::string> texts;
    if (!node)
        return texts;
    if (!node->IsSequence()) {
        addFault(key, "must be a list");
        return texts;
    }
    for (const YAML::Node& item : *node) {
        if (item.IsScalar() && !item.Scalar().empty())
            texts.push_back(item.Scalar());
        else
            m_faults->add(lineOfMark(item.Mark()), pathOf(key), "each item must be a single value");
    }
    return texts;
}

MapReader MapReader::section(const std::string& key)
{
    const YAML::Node* node = find(key);
    return { node ? *node : YAML::Node(), pathOf(key), lineOf(key), *m_faults };
}

std::vector<MapReader> MapReader::sections(const std::string& key)
{
    const YAML::Node* node = find(key);
    std::vector<MapReader> sections;
    if (!node || node->IsNull())
        return sections;
    if (!node->IsSequence()) {
        addFault(key, "must be a list");
        return sections;
    }
    for (std::size_t n = 0; n < node->size(); ++n) {
        std::string path = pathOf(key) + "[" + std::to_string(n) + "]";
        sections.emplace_back((*node)[n], path, lineOf(key), *m_faults);
    }
    return sections;
}

void MapReader::finish()
{
    for (const auto& [key, node] : m_entries) {
        if (m_readKeys.count(key) == 0)
            addFault(key, "unknown key");
    }
}

} // namespace crocuslever
