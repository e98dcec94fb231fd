#pragma once

#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

namespace crocuslever::testing {

/// Appends events to a file, one JSON object per line, and flushes each. The member "t" is the
/// monotonic time in microseconds, which all processes of one machine share.
class EventLog {
public:
    explicit EventLog(const std::string& path);
    void write(nlohmann::json event);

private:
    std::ofstream m_file;
};

} // namespace crocuslever::testing
