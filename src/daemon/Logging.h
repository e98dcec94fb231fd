#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "crocuslever/Error.h"
#include "crocuslever/Events.h"
#include "crocuslever/Ids.h"

namespace spdlog {
class logger;
}

namespace crocuslever {

/// Formats a line as one JSON object: time, level, instance, step, peer, job, message. `wallMs` is
/// the Unix time in milliseconds.
std::string formatLogLine(const LogLine&, const InstanceId&, std::int64_t wallMs);

/// When lines leave the process.
enum class LogFlush {
    EachLine,
    ByCaller, ///< With the next flush(), or once many have gathered. Saves a system call a line.
};

/// Writes JSON lines to a file, to standard error or to standard output.
class Logger {
public:
    /// An empty file name means standard error, and "-" standard output.
    /// Lines below `minimumLevel` are not written.
    static Result<Logger> open(const InstanceId&, LogLevel minimumLevel, const std::string& fileName, LogFlush = LogFlush::EachLine);

    void flush();
    void write(const LogLine&, std::int64_t wallMs);
    void write(LogLevel, const Error&, std::int64_t wallMs);

private:
    Logger(InstanceId, LogLevel, std::shared_ptr<spdlog::logger>);

    InstanceId m_instance;
    LogLevel m_minimumLevel;
    std::shared_ptr<spdlog::logger> m_logger;
};

} // namespace crocuslever
