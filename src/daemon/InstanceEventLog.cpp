#include "src/daemon/InstanceEventLog.h"

#include <nlohmann/json.hpp>

namespace crocuslever {

InstanceEventLog::InstanceEventLog(const InstanceId& instance, const std::string& fileName)
    : m_instance(instance)
{
    if (!fileName.empty())
        m_file.open(fileName, std::ios::app);
}

void InstanceEventLog::write(TimePoint now, const std::string& event, std::uint64_t revision)
{
    if (!m_file.is_open())
        return;
    nlohmann::ordered_json value;
    value["t"] = now.time_since_epoch().count();
    value["source"] = "instance";
    value["instance"] = m_instance.value();
    value["event"] = event;
    value["revision"] = revision;
    m_file << value.dump() << '\n'
           << std::flush;
}

} // namespace crocuslever
