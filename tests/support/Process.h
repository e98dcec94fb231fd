#pragma once

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace crocuslever::testing {

/// A child process whose standard output and error are appended to a file. The destructor kills it.
class Process {
public:
    /// Throws if the program can't be started.
    Process(const std::string& program, const std::vector<std::string>& arguments, const std::string& outputPath);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    pid_t pid() const { return m_pid; }
    /// Sends a signal. Has no effect once the process's end was observed by poll() or killNow().
    void signal(int number) const;
    /// The exit status, or 128 + n if signal n ended the process; empty while it runs.
    std::optional<int> poll();
    /// Sends SIGKILL and waits for the process to end.
    void killNow();

private:
    pid_t m_pid { -1 };
    std::optional<int> m_status;
};

} // namespace crocuslever::testing
