#include "src/daemon/ProcessUsage.h"

#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace crocuslever {

static std::int64_t readResidentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::int64_t totalPages = 0;
    std::int64_t residentPages = 0;
    file >> totalPages >> residentPages;
    return residentPages * sysconf(_SC_PAGESIZE);
}

void setProcessGauges(Counters& counters)
{
    constexpr std::int64_t kMicroseconds = 1000000;
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    std::int64_t seconds = usage.ru_utime.tv_sec + usage.ru_stime.tv_sec;
    counters.set("process_cpu_microseconds_total", seconds * kMicroseconds + usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
    counters.set("process_maximum_resident_kilobytes", usage.ru_maxrss);
    counters.set("process_resident_bytes", readResidentBytes());
}

} // namespace crocuslever
