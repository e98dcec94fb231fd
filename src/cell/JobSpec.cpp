#include "src/cell/JobSpec.h"

namespace crocuslever::cell {

std::string describeFault(const JobSpec& spec)
{
    std::int64_t tasks = 0;
    for (const StepSpec& step : spec.steps)
        tasks += step.count;
    if (tasks > kMaxTasksPerOccurrence)
        return "the job has " + std::to_string(tasks) + " tasks, more than " + std::to_string(kMaxTasksPerOccurrence);
    if (spec.occurrences > kMaxOccurrences)
        return "the job has " + std::to_string(spec.occurrences) + " occurrences, more than " + std::to_string(kMaxOccurrences);
    bool isIntervalValid = spec.intervalMs >= 0 && spec.intervalMs <= kMaxIntervalMs;
    if (spec.occurrences > 0 && !isIntervalValid)
        return "the interval of " + std::to_string(spec.intervalMs) + " ms between occurrences is out of range";
    return {};
}

} // namespace crocuslever::cell
