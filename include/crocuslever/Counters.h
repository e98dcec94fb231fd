#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace crocuslever {

/// Metric counters and gauges by the name under which `/metrics` exports them. The name
/// includes the unit and, in braces, the labels: "starts_total{kind=\"urgent\"}".
class Counters {
public:
    void add(const std::string& name, std::int64_t n = 1) { m_values[name] += n; }
    void set(const std::string& name, std::int64_t value) { m_values[name] = value; }
    /// 0 if the metric was never written.
    std::int64_t get(const std::string& name) const;
    const std::map<std::string, std::int64_t>& values() const { return m_values; }

private:
    std::map<std::string, std::int64_t> m_values;
};

} // namespace crocuslever
