#pragma once

#include <chrono>
#include <fstream>
#include <iostream>
#include <mutex>
#include <string>

namespace standin {

/// Milliseconds since the start of the program.
inline std::int64_t now()
{
    static const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start).count();
}

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// What was sent, answered and run, a line each, with the time in milliseconds.
class Record {
public:
    explicit Record(const std::string& fileName)
        : m_file(fileName)
    {
        now();
    }

    void write(const std::string& line)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_file << now() << ' ' << line << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

} // namespace standin
