#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>
#include <thread>

namespace standin3 {

using Clock = std::chrono::steady_clock;

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

inline void sleepMs(int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

/// What was sent, answered and run, one line each, with the milliseconds since the begin.
class Record {
public:
    explicit Record(const std::string& file)
        : m_out(file, std::ios::trunc)
        , m_begin(Clock::now())
    {
    }

    std::int64_t now() const { return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_begin).count(); }

    void write(const std::string& line)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_out << now() << " " << line << std::endl;
    }

private:
    std::ofstream m_out;
    std::mutex m_mutex;
    Clock::time_point m_begin;
};

} // namespace standin3
