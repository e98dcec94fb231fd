#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace crocuslever {

/// Named metric counters and gauges, as `/metrics` prints them. Names carry the
/// unit and, in braces, labels: "starts_total{kind=\"urgent\"}".
class Counters {
public:
    void add(const std::string& name, std::int64_t n = 1) { m_values[name] += n; }
    void set(const std::string& name, std::int64_t value) { m_values[name] = value; }
    std::int64_t get(const std::string& name) const;
    const std::map<std::string, std::int64_t>& values() const { return m_values; }

private:
    std::map<std::string, std::int64_t> m_values;
};

} // namespace crocuslever
