#pragma once

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>

#include "crocuslever/Error.h"

namespace crocuslever {

/// Holds the first error found in a JSON document.
class JsonProblem {
public:
    /// `step` becomes the step of the error.
    explicit JsonProblem(std::string step);
    /// Records an InvalidInput error, unless there is an earlier one. An empty `path` means the
    /// whole document.
    void report(const std::string& path, const std::string& what);
    bool isEmpty() const { return !m_error.has_value(); }
    const Error& error() const { return *m_error; }

private:
    std::string m_step;
    std::optional<Error> m_error;
};

/// Parses the text. On a syntax error, reports it and returns a discarded value.
nlohmann::json parseJson(const std::string& text, JsonProblem&);

/// An inclusive range of integers.
struct IntegerRange {
    std::int64_t minimum { 0 };
    std::int64_t maximum { std::numeric_limits<std::int64_t>::max() };
};

/// Reads the members of a JSON object by name. Never throws: a missing or mistyped member is
/// reported as an error and read as an empty value, or as the lower bound for integers.
class JsonFields {
public:
    JsonFields(const nlohmann::json&, std::string path, JsonProblem&);

    bool has(const char* key) const;
    std::string pathOf(const std::string& key) const;
    std::string text(const char* key);
    std::string nonEmptyText(const char* key);
    std::int64_t integer(const char* key, IntegerRange = {});
    double number(const char* key);
    /// Returns the member, or an empty object or array if it is missing or of another type.
    const nlohmann::json& object(const char* key);
    const nlohmann::json& array(const char* key);
    /// Reports members that were not read by any of the calls above.
    void refuseUnknown();

private:
    const nlohmann::json* find(const char* key);
    void report(const char* key, const std::string& what);

    const nlohmann::json* m_object;
    std::string m_path;
    JsonProblem* m_problem;
    mutable std::set<std::string> m_readKeys;
};

} // namespace crocuslever
