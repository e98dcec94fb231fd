#include "src/cell/AdmissionCodec.h"

#include <algorithm>

#include "cell.pb.h"

namespace crocuslever::cell {

namespace wire = crocuslever::cellwire;

void encode(const AdmissionPlan& plan, std::int64_t token, wire::AdmissionNotice& out)
{
    out.set_token(token);
    for (const auto& [priority, it] : plan.classes) {
        wire::AdmittedClass& row = *out.add_classes();
        row.set_priority(priority);
        row.set_accepted_thousandths(static_cast<int>(it.accepted));
        row.set_others_thousandths(static_cast<int>(it.acceptedOfOthers));
        row.set_wait_ms(toMilliseconds(it.wait));
    }
    for (const auto& [of, thousandths] : plan.shares) {
        wire::AdmittedTeam& row = *out.add_teams();
        row.set_route(of.first);
        row.set_team(of.second);
        row.set_thousandths(static_cast<int>(thousandths));
    }
}

static std::int64_t clampShare(std::int64_t thousandths) { return std::clamp<std::int64_t>(thousandths, 0, kWholeShare); }

AdmissionPlan decodePlan(const wire::AdmissionNotice& in)
{
    AdmissionPlan plan;
    for (const wire::AdmittedClass& row : in.classes()) {
        Duration wait = std::max(Duration(0), fromMilliseconds(row.wait_ms()));
        plan.classes[row.priority()] = { clampShare(row.accepted_thousandths()), clampShare(row.others_thousandths()), wait };
    }
    for (const wire::AdmittedTeam& row : in.teams())
        plan.shares[{ row.route(), row.team() }] = clampShare(row.thousandths());
    return plan;
}

} // namespace crocuslever::cell
