#include "tests/support/Process.h"

#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace crocuslever::testing {

static std::vector<char*> makeArgv(std::vector<std::string>& words)
{
    std::vector<char*> argv;
    argv.reserve(words.size() + 1);
    for (std::string& word : words)
        argv.push_back(word.data());
    argv.push_back(nullptr);
    return argv;
}

Process::Process(const std::string& program, const std::vector<std::string>& arguments, const std::string& outputPath)
{
    std::vector<std::string> words { program };
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char*> argv = makeArgv(words);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr mode_t kMode = 0644;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, outputPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, kMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    int error = posix_spawn(&m_pid, program.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        throw std::runtime_error("can't start " + program);
}

Process::~Process() { killNow(); }

void Process::signal(int number) const
{
    // The system doesn't reuse the process id until waitpid() has returned it.
    if (!m_status)
        ::kill(m_pid, number);
}

static int statusOf(int status)
{
    constexpr int kSignalBase = 128;
    return WIFEXITED(status) ? WEXITSTATUS(status) : kSignalBase + WTERMSIG(status);
}

std::optional<int> Process::poll()
{
    int status = 0;
    if (!m_status && ::waitpid(m_pid, &status, WNOHANG) == m_pid)
        m_status = statusOf(status);
    return m_status;
}

void Process::killNow()
{
    signal(SIGKILL);
    int status = 0;
    if (!m_status && ::waitpid(m_pid, &status, 0) == m_pid)
        m_status = statusOf(status);
}

} // namespace crocuslever::testing
