#include "src/daemon/LoopLoad.h"

#include <algorithm>
#include <vector>

namespace crocuslever {

void markPart(LoopLoad& load, const std::string& part, TimePoint now)
{
    if (load.markedAt != TimePoint())
        load.spent[part] += now - load.markedAt;
    load.markedAt = now;
}

void recordTurn(LoopLoad& load, TimePoint due, TimePoint now)
{
    Duration delay = now - due;
    ++load.turns;
    load.totalDelay += delay;
    load.longestDelay = std::max(load.longestDelay, delay);
}

static std::vector<std::pair<Duration, std::string>> spentSinceSummary(const LoopLoad& load)
{
    std::vector<std::pair<Duration, std::string>> parts;
    for (const auto& [part, spent] : load.spent) {
        auto before = load.summarized.find(part);
        parts.emplace_back(spent - (before == load.summarized.end() ? Duration(0) : before->second), part);
    }
    std::sort(parts.rbegin(), parts.rend());
    return parts;
}

std::string summarizeLoad(LoopLoad& load, TimePoint now)
{
    std::string text = "of " + std::to_string(toMilliseconds(now - load.summarizedAt)) + " ms:";
    for (const auto& [spent, part] : spentSinceSummary(load)) {
        if (toMilliseconds(spent) > 0)
            text += " " + part + " " + std::to_string(toMilliseconds(spent)) + ",";
    }
    Duration meanDelay = load.totalDelay / std::max(1, load.turns);
    text += " " + std::to_string(load.turns) + " turns, up to " + std::to_string(toMilliseconds(load.longestDelay)) + " ms late, " + std::to_string(toMilliseconds(meanDelay)) + " on average";
    load.summarized = load.spent;
    load.summarizedAt = now;
    load.turns = 0;
    load.longestDelay = Duration(0);
    load.totalDelay = Duration(0);
    return text;
}

void setLoadGauges(const LoopLoad& load, Counters& counters)
{
    for (const auto& [part, spent] : load.spent)
        counters.set("loop_milliseconds_total{part=\"" + part + "\"}", toMilliseconds(spent));
    counters.set("loop_delay_milliseconds", toMilliseconds(load.longestDelay));
}

} // namespace crocuslever
