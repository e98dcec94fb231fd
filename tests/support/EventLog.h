#pragma once

#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

namespace crocuslever::testing {

/// Appends one JSON object a line to a file, flushed each, with the monotonic
/// time in microseconds (the same clock in every process of one machine) as "t".
class EventLog {
public:
    explicit EventLog(const std::string& path);
    void write(nlohmann::json event);

private:
    std::ofstream m_file;
};

} // namespace crocuslever::testing
