#include "crocuslever/Counters.h"

namespace crocuslever {

std::int64_t Counters::get(const std::string& name) const
{
    auto it = m_values.find(name);
    return it == m_values.end() ? 0 : it->second;
}

} // namespace crocuslever
