#pragma once

#include <cstdint>

#include "src/cell/AdmissionPlan.h"

namespace crocuslever::cellwire {
class AdmissionNotice;
}

namespace crocuslever::cell {

void encode(const AdmissionPlan&, std::int64_t token, cellwire::AdmissionNotice&);
AdmissionPlan decodePlan(const cellwire::AdmissionNotice&);

} // namespace crocuslever::cell
