#pragma once

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace crocuslever::testing {

/// A child process with its output in a file; killed when this goes away.
class Process {
public:
    /// Throws if the program can't be started.
    Process(const std::string& program, const std::vector<std::string>& arguments, const std::string& outputPath);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    /// Nothing happens to a process that has been waited for.
    void signal(int number) const;
    /// The exit status once it has ended; 128 + n after signal n.
    std::optional<int> poll();
    void killNow();

private:
    pid_t m_pid { -1 };
    std::optional<int> m_status;
};

} // namespace crocuslever::testing
