#pragma once

#include <cstdint>
#include <fstream>
#include <string>

#include "crocuslever/Ids.h"
#include "crocuslever/Time.h"

namespace crocuslever {

/// JSON lines of what this instance goes through, for tests that judge a whole
/// history: {"t", "source", "instance", "event", "revision"}.
class InstanceEventLog {
public:
    /// An empty file name turns it off.
    InstanceEventLog(const InstanceId&, const std::string& fileName);

    void write(TimePoint now, const std::string& event, std::uint64_t revision);

private:
    InstanceId m_instance;
    std::ofstream m_file;
};

} // namespace crocuslever
