#include "src/core/Guards.h"

#ifdef CROCUSLEVER_TEST_SWITCHES

#include <set>

namespace crocuslever {

static std::set<Guard>& guardsOff()
{
    static std::set<Guard> guards;
    return guards;
}

bool isOn(Guard guard) { return guardsOff().count(guard) == 0; }

GuardOff::GuardOff(Guard guard)
    : m_guard(guard)
{
    guardsOff().insert(guard);
}

GuardOff::~GuardOff() { guardsOff().erase(m_guard); }

} // namespace crocuslever

#endif
