#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>
#include <yaml-cpp/yaml.h>

#include "crocuslever/Error.h"
#include "crocuslever/Time.h"

namespace crocuslever {

/// Parses a whole number with a unit: "2300ms", "5s", "10m", "24h" or "500us". Empty if the text is
/// malformed or longer than 366 days.
std::optional<Duration> parseDuration(const std::string& text);
/// Formats a duration with the largest unit that divides it evenly; "0s" for zero.
std::string formatDuration(Duration);

/// Collects the faults found in one file, each with file, line and key.
class FaultList {
public:
    explicit FaultList(std::string fileName);

    /// `line` counts from 1. An empty key stands for the whole document.
    void add(int line, const std::string& key, const std::string& message);
    bool isEmpty() const { return m_lines.empty(); }
    /// An InvalidInput error with all faults, one per line, ordered by their line in the file.
    Error toError(const std::string& step) const;

private:
    std::string m_fileName;
    std::multimap<int, std::string> m_lines;
};

/// Parses a document. On a syntax error adds a fault and returns a null node.
YAML::Node parseYaml(const std::string& text, FaultList&);

/// Reads one YAML mapping. An invalid value adds a fault. The fallback is returned where a key is
/// absent or its value is invalid, so that one pass finds every fault.
class MapReader {
public:
    MapReader(const YAML::Node&, std::string path, int line, FaultList&);

    int line() const { return m_line; }
    int lineOf(const std::string& key) const;
    bool has(const std::string& key) const { return m_entries.count(key) > 0; }
    /// Adds a fault if the key is absent.
    void require(const std::string& key);

    std::string text(const std::string& key, const std::string& fallback = {});
    /// Adds a fault if the key is absent or its text is empty.
    std::string requiredText(const std::string& key);
    bool boolean(const std::string& key, bool fallback);
    /// Values outside of [minimum, maximum] are invalid.
    std::int64_t integer(const std::string& key, std::int64_t fallback, std::int64_t minimum, std::int64_t maximum);
    double number(const std::string& key, double fallback, double minimum, double maximum);
    /// A value must be greater than zero.
    Duration duration(const std::string& key, Duration fallback);
    /// The texts of the sequence under a key; empty if the key is absent.
    std::vector<std::string> texts(const std::string& key);

    /// The mapping under a key; empty if the key is absent.
    MapReader section(const std::string& key);
    /// The mappings of the sequence under a key; empty if the key is absent.
    std::vector<MapReader> sections(const std::string& key);

    void addFault(const std::string& key, const std::string& message);
    /// Adds a fault for each key that has not been read.
    void finish();

private:
    std::string pathOf(const std::string& key) const;
    const YAML::Node* find(const std::string& key);
    const YAML::Node* findScalar(const std::string& key);
    void addEntry(const YAML::Node& key, const YAML::Node& value);

    std::string m_path;
    int m_line;
    FaultList* m_faults;
    std::map<std::string, YAML::Node> m_entries;
    std::map<std::string, int> m_lines;
    std::set<std::string> m_readKeys;
};

} // namespace crocuslever
