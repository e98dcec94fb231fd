#include "src/core/Guards.h"

#ifdef CROCUSLEVER_TEST_SWITCHES

#include <set>

namespace crocuslever {

static std::set<Guard>& disabledGuards()
{
    static std::set<Guard> guards;
    return guards;
}

bool isEnabled(Guard guard) { return disabledGuards().count(guard) == 0; }

ScopedGuardDisabler::ScopedGuardDisabler(Guard guard)
    : m_guard(guard)
{
    disabledGuards().insert(guard);
}

ScopedGuardDisabler::~ScopedGuardDisabler() { disabledGuards().erase(m_guard); }

} // namespace crocuslever

#endif
