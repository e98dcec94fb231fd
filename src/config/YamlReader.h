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

/// A whole number and its unit: "2300ms", "5s", "10m", "24h" or "500us".
std::optional<Duration> parseDuration(const std::string& text);
/// The same with the largest unit that divides it.
std::string formatDuration(Duration);

/// The faults found in one file, each named by file, line and key.
class FaultList {
public:
    explicit FaultList(std::string fileName);

    /// Lines count from 1.
    void add(int line, const std::string& key, const std::string& message);
    bool isEmpty() const { return m_lines.empty(); }
    /// All of them, one a line, in the order of the file.
    Error toError(const std::string& step) const;

private:
    std::string m_fileName;
    std::multimap<int, std::string> m_lines;
};

/// Parses a document; a syntax error becomes a fault and an empty node.
YAML::Node parseYaml(const std::string& text, FaultList&);

/// Reads one YAML mapping. Where a key is absent or faulty the fallback is
/// returned, so that reading goes on and every fault is found in one pass.
class MapReader {
public:
    MapReader(const YAML::Node&, std::string path, int line, FaultList&);

    int line() const { return m_line; }
    int lineOf(const std::string& key) const;
    bool has(const std::string& key) const { return m_entries.count(key) > 0; }
    /// Adds a fault unless the key is there.
    void require(const std::string& key);

    std::string text(const std::string& key, const std::string& fallback = {});
    /// Present and not empty.
    std::string requiredText(const std::string& key);
    bool boolean(const std::string& key, bool fallback);
    std::int64_t integer(const std::string& key, std::int64_t fallback, std::int64_t least, std::int64_t most);
    double number(const std::string& key, double fallback, double least, double most);
    /// Greater than zero.
    Duration duration(const std::string& key, Duration fallback);
    std::vector<std::string> texts(const std::string& key);

    /// The mapping under a key; empty where it is absent.
    MapReader section(const std::string& key);
    /// The mappings of the sequence under a key.
    std::vector<MapReader> sections(const std::string& key);

    void addFault(const std::string& key, const std::string& message);
    /// Adds a fault for each key that nothing asked for.
    void finish();

private:
    std::string pathOf(const std::string& key) const;
    const YAML::Node* find(const std::string& key);
    const YAML::Node* findScalar(const std::string& key);
    void takeEntry(const YAML::Node& key, const YAML::Node& value);

    std::string m_path;
    int m_line;
    FaultList* m_faults;
    std::map<std::string, YAML::Node> m_entries;
    std::map<std::string, int> m_lines;
    std::set<std::string> m_asked;
};

} // namespace crocuslever
