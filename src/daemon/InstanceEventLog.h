#pragma once

#include <cstdint>
#include <fstream>
#include <string>

#include "crocuslever/Ids.h"
#include "crocuslever/Time.h"

namespace crocuslever {

/// Appends state changes of this instance to a file as JSON lines, for tests that check a whole
/// history: {"t", "source", "instance", "event", "revision"}. "t" is the monotonic time in
/// microseconds.
class InstanceEventLog {
public:
    /// An empty file name disables the log.
    InstanceEventLog(const InstanceId&, const std::string& fileName);

    void write(TimePoint now, const std::string& event, std::uint64_t revision);

private:
    InstanceId m_instance;
    std::ofstream m_file;
};

} // namespace crocuslever
