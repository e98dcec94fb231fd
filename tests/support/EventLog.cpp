#include "tests/support/EventLog.h"

#include "src/daemon/SystemClock.h"

namespace crocuslever::testing {

EventLog::EventLog(const std::string& path)
    : m_file(path, std::ios::app)
{
}

void EventLog::write(nlohmann::json event)
{
    event["t"] = readClock().steady.time_since_epoch().count();
    m_file << event.dump() << '\n'
           << std::flush;
}

} // namespace crocuslever::testing
